#include <catch2/catch.hpp>

#include "edge/framing.h"

using namespace goldcrestwood;

namespace {

template <bool isRequest>
struct Reading {
    ErrorCode error;
    FramingFault fault = FramingFault::None;
};

/// Reads a message's head as the daemon does.
template <bool isRequest>
Reading<isRequest> readHead(const std::string& firstLine, unsigned version, const std::string& fields)
{
    http::parser<isRequest, http::empty_body> parser;
    Reading<isRequest> reading;
    parser.put(asio::buffer(firstLine + "\r\nHost: x\r\n" + fields + "\r\n"), reading.error);
    reading.fault = framingFault(parser.get(), version, parser.chunked());
    return reading;
}

bool isRefused(const std::string& fields)
{
    const auto reading = readHead<true>("POST / HTTP/1.1", 11, fields);
    return reading.error || reading.fault != FramingFault::None;
}

} // namespace

TEST_CASE("bodies with a length, in chunks or absent are read")
{
    for (const std::string fields : { "", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "transfer-encoding:  CHUNKED \r\n" }) {
        INFO(fields);
        CHECK_FALSE(isRefused(fields));
        const auto answer = readHead<false>("HTTP/1.1 200 OK", 11, fields);
        CHECK_FALSE(answer.error);
        CHECK(answer.fault == FramingFault::None);
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
    CHECK(readHead<true>("POST / HTTP/1.0", 10, "Transfer-Encoding: chunked\r\n").fault == FramingFault::Ambiguous);
}

TEST_CASE("a coding that is applied before the chunks is told from an ambiguous one")
{
    for (const std::string fields : { "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" }) {
        INFO(fields);
        CHECK(readHead<true>("POST / HTTP/1.1", 11, fields).fault == FramingFault::UnsupportedCoding);
        CHECK(readHead<false>("HTTP/1.1 200 OK", 11, fields).fault == FramingFault::UnsupportedCoding);
    }
}
