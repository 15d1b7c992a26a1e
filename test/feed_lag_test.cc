#include <catch2/catch.hpp>

#include "goldcrestwood/feed_lag.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
constexpr Duration limit = 250ms;

} // namespace

TEST_CASE("a peer is queried only once the topic has been stalled for the limit")
{
    FeedLag lag;
    CHECK_FALSE(lag.isOverdue(5, 5, start, limit));
    CHECK_FALSE(lag.isOverdue(5, 6, start + 1s, limit));
    CHECK_FALSE(lag.isOverdue(5, 6, start + 1200ms, limit));
    CHECK(lag.isOverdue(5, 7, start + 1250ms, limit));
    // Catching up in between restarts the timer.
    CHECK_FALSE(lag.isOverdue(7, 7, start + 2s, limit));
    CHECK_FALSE(lag.isOverdue(7, 8, start + 3s, limit));
}

TEST_CASE("no peer is queried while the topic advances, however far ahead the peers are")
{
    // Load pattern: 140 upstreams write to the registry; heartbeats always report a later end than the one known here.
    FeedLag lag;
    auto now = start;
    for (std::uint64_t end = 0; end < 100; ++end, now += 200ms)
        REQUIRE_FALSE(lag.isOverdue(end, end + 10, now, limit));
    CHECK(lag.isOverdue(99, 200, now + 50ms, limit));
}
