#pragma once

/// @file
/// Checks that the length of a message's body is beyond doubt (RFC 9112, 6.1 and 6.3), and of the status of an answer (RFC 9110, 15).

#include <boost/beast/http/fields.hpp>

namespace goldcrestwood {

/// Why a message's body cannot be read.
enum class FramingFault {
    None,
    Ambiguous, ///< Another reader may find another length.
    UnsupportedCoding, ///< The length is known, but the body has a transfer coding that is not decoded here.
};

/// HTTP libraries take a body for empty, or to last until the connection ends, if they do not know the transfer coding. Bytes of such
/// a body would be read as the next message.
/// @param fields Header fields of a request or an answer; others than those of the framing may be left out.
/// @param version HTTP version of the message, 11 for HTTP/1.1.
/// @param isChunked Whether the library reads the body in chunks.
FramingFault framingFault(const boost::beast::http::fields& fields, unsigned version, bool isChunked);

/// @param status Of the answer. One without content that announces a body is ambiguous too: a reader that takes the status for it finds
/// the next answer in that body (RFC 9110, 15.3.5).
/// @return The fault of an answer.
FramingFault answerFramingFault(const boost::beast::http::fields& fields, unsigned version, bool isChunked, unsigned status);

/// @return The fault in words, for logs and error messages.
const char* toString(FramingFault fault);

/// @return Whether @p status is that of an interim answer, which the final one follows. 101 is not: requests ask for no upgrade, and
/// the bytes after it would be of another protocol.
constexpr bool isInterimStatus(unsigned status)
{
    constexpr unsigned switchingProtocols = 101;
    return status >= 100 && status < 200 && status != switchingProtocols;
}

/// @return Whether @p status is that of a final answer. HTTP libraries accept any three digits.
constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status < 600;
}

/// An answer with this status names no length either.
inline constexpr unsigned noContentStatus = 204;

/// @return Whether an answer with the final @p status has a body, which may be empty (RFC 9110, 6.4.1).
constexpr bool hasContent(unsigned status)
{
    constexpr unsigned notModified = 304;
    return status != noContentStatus && status != notModified;
}

constexpr bool isSuccessStatus(unsigned status)
{
    return status >= 200 && status < 300;
}

/// @return Whether @p status states that the request has not run and never will.
constexpr bool isRefusalStatus(unsigned status)
{
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned misdirectedRequest = 421;
    constexpr unsigned tooManyRequests = 429;
    constexpr unsigned serviceUnavailable = 503;
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests || status == serviceUnavailable;
}

} // namespace goldcrestwood
