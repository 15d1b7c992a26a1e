#include <catch2/catch.hpp>

#include "goldcrestwood/request_limit.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

/// @return What an answer stated that was read at @p read and whose request was sent 100 ms earlier.
LimitSighting seen(std::optional<double> perSecond, TimePoint read)
{
    return { perSecond, read - 100ms, read };
}

} // namespace

TEST_CASE("turns come at the daemon's share and do not accumulate beyond its burst")
{
    const TurnShare share { 0.5 };
    RequestLimit limit;
    REQUIRE(limit.hasTurn(share, start));
    REQUIRE(limit.onAnswer(seen(2.0, start)));
    limit.begin(0, start);
    REQUIRE_FALSE(limit.hasTurn(share, start + 1900ms));
    REQUIRE(limit.hasTurn(share, start + 2s));
    REQUIRE(limit.turns(share, start + 100s) == 1);
    limit.onSent(share, start + 100s);
    REQUIRE_FALSE(limit.hasTurn(share, start + 101900ms));
    REQUIRE(limit.hasTurn(share, start + 102s));
}

TEST_CASE("what was sent before a limit was known counts against it")
{
    const TurnShare share { 0.5 };
    RequestLimit limit;
    for (int number = 0; number < 10; ++number)
        limit.onSent(share, start + number * 100ms);
    REQUIRE(limit.onAnswer(seen(2.0, start + 1s)));
    limit.begin(1, start + 1s);
    // Three requests in 4 s are this daemon's share, so the last but two must leave the window.
    REQUIRE(limit.heldUntil(share, start + 1s) == start + 4700ms);
    REQUIRE_FALSE(limit.hasTurn(share, start + 4600ms));
    REQUIRE(limit.hasTurn(share, start + 4700ms));
}

TEST_CASE("a limit is lifted only by an answer to a request that was sent after the limit was read")
{
    RequestLimit limit;
    REQUIRE(limit.onAnswer(seen(2.0, start)));
    // Its request was sent before, so the answer may be older than the limit.
    REQUIRE_FALSE(limit.onAnswer({ std::nullopt, start - 10ms, start + 50ms }));
    REQUIRE_FALSE(limit.onAnswer({ 3.0, start - 10ms, start + 50ms }));
    REQUIRE(limit.perSecond() == 2.0);
    REQUIRE(limit.onAnswer({ std::nullopt, start + 10ms, start + 60ms }));
    REQUIRE_FALSE(limit.perSecond());
}

TEST_CASE("a lower limit applies at once, and a higher one after a round trip")
{
    RequestLimit limit;
    REQUIRE(limit.onAnswer(seen(2.0, start)));
    REQUIRE(limit.onAnswer({ 1.0, start - 50ms, start + 10ms }));
    REQUIRE(limit.perSecond() == 1.0);
    REQUIRE_FALSE(limit.onAnswer({ 4.0, start, start + 20ms }));
    REQUIRE(limit.onAnswer({ 4.0, start + 20ms, start + 40ms }));
    REQUIRE(limit.perSecond() == 4.0);
}

TEST_CASE("a limit that was read before it was lifted does not return with a late report")
{
    RequestLimit limit;
    REQUIRE(limit.onAnswer(seen(2.0, start)));
    REQUIRE(limit.onAnswer({ std::nullopt, start + 10ms, start + 60ms }));
    REQUIRE_FALSE(limit.onReport(seen(2.0, start)));
    REQUIRE_FALSE(limit.perSecond());
}

TEST_CASE("reports that daemons pass on to each other do not keep a limit in force")
{
    RequestLimit limit;
    REQUIRE(limit.onReport(seen(2.0, start)));
    REQUIRE_FALSE(limit.isOwn());
    // Each round adds the transit time to the apparent time of the sighting.
    for (int round = 1; round <= 100; ++round)
        REQUIRE_FALSE(limit.onReport(seen(2.0, limit.sighting().read + 20ms)));
    REQUIRE(limit.onAnswer({ std::nullopt, start + 10ms, start + 60ms }));
    REQUIRE_FALSE(limit.perSecond());
}
