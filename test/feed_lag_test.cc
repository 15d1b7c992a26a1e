#include <catch2/catch.hpp>

#include "goldcrestwood/feed_lag.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
constexpr Duration limit = 250ms;

} // namespace

TEST_CASE("a peer is asked once the topic has stood still for the limit, and not before")
{
    FeedLag lag;
    CHECK_FALSE(lag.isOverdue(5, 5, start, limit));
    CHECK_FALSE(lag.isOverdue(5, 6, start + 1s, limit));
    CHECK_FALSE(lag.isOverdue(5, 6, start + 1200ms, limit));
    CHECK(lag.isOverdue(5, 7, start + 1250ms, limit));
    // Caught up in between: the time begins anew.
    CHECK_FALSE(lag.isOverdue(7, 7, start + 2s, limit));
    CHECK_FALSE(lag.isOverdue(7, 8, start + 3s, limit));
}

TEST_CASE("a topic that moves on asks nobody, however far ahead the peers are")
{
    // Load pattern: 140 upstreams write to the registry; a heartbeat always tells a later end than the one known.
    FeedLag lag;
    auto now = start;
    for (std::uint64_t end = 0; end < 100; ++end, now += 200ms)
        REQUIRE_FALSE(lag.isOverdue(end, end + 10, now, limit));
    CHECK(lag.isOverdue(99, 200, now + 50ms, limit));
}
