/// @file
/// Round trips of generated messages and their tolerance of neighbouring releases.

#include <catch2/catch.hpp>

#include "goldcrestwood/configuration.h"
#include "goldcrestwood/log_record.h"

using namespace goldcrestwood;

TEST_CASE("a message survives encoding")
{
    const LogRecord record { 1, { InstanceId("nha-be-1"), 7, 42 }, "ClaimRecord", std::string("\0\xff", 2) };
    const auto decoded = decode<LogRecord>(encode(record));
    REQUIRE(decoded);
    CHECK(*decoded == record);
}

TEST_CASE("a field that an older release lacks keeps its default")
{
    const auto decoded = decode<UpstreamEntry>("\x91\xa1k");
    REQUIRE(decoded);
    CHECK(decoded->id == UpstreamId("k"));
    CHECK(decoded->resumes);
}

TEST_CASE("bytes that are no message give an error")
{
    CHECK_FALSE(decode<LogRecord>("no message"));
    CHECK_FALSE(decode<LogRecord>(""));
    CHECK_FALSE(decode<LogRecord>("\x93\x01"));
}
