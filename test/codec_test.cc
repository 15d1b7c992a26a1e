/// @file
/// Round trips of generated messages and compatibility with adjacent releases.

#include <catch2/catch.hpp>

#include "goldcrestwood/configuration.h"
#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/log_record.h"

using namespace goldcrestwood;

TEST_CASE("a message is unchanged by encoding and decoding")
{
    const LogRecord record { 1, { InstanceId("nha-be-1"), 7, 42 }, "ClaimRecord", std::string("\0\xff", 2) };
    const auto decoded = decode<LogRecord>(encode(record));
    REQUIRE(decoded);
    CHECK(*decoded == record);
}

TEST_CASE("a field missing in an older release keeps its default")
{
    const auto decoded = decode<UpstreamEntry>("\x91\xa1k");
    REQUIRE(decoded);
    CHECK(decoded->id == UpstreamId("k"));
    CHECK(decoded->resumes);
}

TEST_CASE("heartbeats of daemons that don't report waiting requests are understood, and theirs by such daemons")
{
    EdgeHeartbeat heartbeat;
    heartbeat.instance = InstanceId("i");
    heartbeat.sequence = 7;
    // An array of 18 fields, the last of them absent.
    const auto encoded = encode(heartbeat);
    REQUIRE(encoded.substr(0, 3) == std::string("\xdc\x00\x12", 3));
    REQUIRE(encoded.back() == '\xc0');
    CHECK(decode<EdgeHeartbeat>(std::string("\xdc\x00\x11", 3) + encoded.substr(3, encoded.size() - 4)) == heartbeat);
    // To an earlier build the field is one more than it knows.
    CHECK(decode<EdgeHeartbeat>(std::string("\xdc\x00\x13", 3) + encoded.substr(3) + "\x05") == heartbeat);
    heartbeat.waiting = { { ServiceName("s"), 3 } };
    CHECK(decode<EdgeHeartbeat>(encode(heartbeat)) == heartbeat);
}

TEST_CASE("invalid bytes give a decode error")
{
    CHECK_FALSE(decode<LogRecord>("no message"));
    CHECK_FALSE(decode<LogRecord>(""));
    CHECK_FALSE(decode<LogRecord>("\x93\x01"));
}

TEST_CASE("announced counts and nesting beyond the bytes of a message give a decode error")
{
    CHECK_FALSE(decode<LogRecord>("\xdd\xff\xff\xff\xff"));
    CHECK_FALSE(decode<LogRecord>("\x91\xdd\xff\xff\xff\xff"));
    CHECK_FALSE(decode<LogRecord>("\xdf\xff\xff\xff\xff"));
    CHECK_FALSE(decode<LogRecord>("\xdb\xff\xff\xff\xff"));
    CHECK_FALSE(decode<LogRecord>(std::string(200000, '\x91')));
}
