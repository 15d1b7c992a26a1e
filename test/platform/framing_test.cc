#include <optional>

#include <catch2/catch.hpp>

#include "daemon/framing.h"
#include "edge/net.h"

using namespace goldcrestwood;

namespace {

/// Reads a message's head as the daemon does.
/// @return What the daemon makes of it; nothing if the HTTP library refuses it.
template <bool isRequest>
std::optional<FramingFault> readHead(const std::string& fields, unsigned version = 11)
{
    http::parser<isRequest, http::empty_body> parser;
    ErrorCode error;
    parser.put(asio::buffer((isRequest ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n") + fields + "\r\n"), error);
    return error ? std::nullopt : std::optional(framingFault(parser.get(), version, parser.chunked()));
}

bool isRefused(const std::string& fields)
{
    return readHead<true>(fields) != FramingFault::None;
}

} // namespace

TEST_CASE("bodies with a length, in chunks or absent are read")
{
    for (const std::string fields : { "", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "transfer-encoding:  CHUNKED \r\n" }) {
        INFO(fields);
        CHECK(readHead<true>(fields) == FramingFault::None);
        CHECK(readHead<false>(fields) == FramingFault::None);
    }
}

// UNASKED: the body under a transfer coding that the library does not know was read as the next request.
TEST_CASE("a body whose length is in doubt is refused")
{
    for (const std::string value : { "identity", "chunked, identity", "Chunked, Identity", "gzip", "deflate", "xchunked", "chunked, gzip", "gzip, identity", "\"chunked\"",
             ",", "", " ", "chunked, chunked", "chunked;q=1", "chunked x", "chun ked", "chunked\v", "identity, identity" }) {
        INFO(value);
        CHECK(isRefused("Transfer-Encoding: " + value + "\r\n"));
        CHECK(isRefused("Transfer-Encoding: " + value + "\r\nContent-Length: 5\r\n"));
        CHECK(isRefused("Content-Length: 5\r\nTransfer-Encoding: " + value + "\r\n"));
        CHECK(isRefused("X-Other: chunked\r\nTransfer-Encoding: " + value + "\r\nX-More: a\r\n"));
    }
    for (const std::string fields : { "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n",
             "Transfer-Encoding: gzip\r\nTransfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n" }) {
        INFO(fields);
        CHECK(isRefused(fields));
    }
    // Readers of HTTP/1.0 know no chunks.
    CHECK(readHead<true>("Transfer-Encoding: chunked\r\n", 10) == FramingFault::Ambiguous);
}

TEST_CASE("a coding that is applied before the chunks is told from an ambiguous one")
{
    for (const std::string fields : { "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" }) {
        INFO(fields);
        CHECK(readHead<true>(fields) == FramingFault::UnsupportedCoding);
        CHECK(readHead<false>(fields) == FramingFault::UnsupportedCoding);
    }
}

// MIXED: the body that such an answer announces was left out, and its bytes were read as the next answer.
TEST_CASE("an answer without content that announces a body is refused")
{
    for (const unsigned status : { 200U, 204U, 304U }) {
        INFO(status);
        const auto faultOf = [&](http::field name, const char* value) {
            http::fields fields;
            fields.set(name, value);
            return answerFramingFault(fields, 11, name == http::field::transfer_encoding, status);
        };
        const auto expected = status == 204 ? FramingFault::Ambiguous : FramingFault::None;
        CHECK(faultOf(http::field::content_length, "5") == expected);
        CHECK(faultOf(http::field::transfer_encoding, "chunked") == expected);
        CHECK(faultOf(http::field::content_length, "0") == FramingFault::None);
        CHECK(answerFramingFault({}, 11, false, status) == FramingFault::None);
    }
}
