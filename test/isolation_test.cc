/// @file
/// When a partitioned daemon stops accepting new work, and when it resumes.

#include <catch2/catch.hpp>

#include "goldcrestwood/isolation.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 250ms;
constexpr PeerContact allPeers { 6, 6, true };
constexpr PeerContact fewPeers { 6, 2, true };
constexpr PeerContact noPeers { 6, 0, true };

struct Clock {
    TimePoint now = TimePoint(1h);
    Isolation isolation { {}, now };

    /// @return When the state last changed, from the start of the run, or nothing.
    std::optional<Duration> run(const PeerContact& contact, bool logWorks, Duration time)
    {
        std::optional<Duration> changed;
        for (Duration passed = step; passed <= time; passed += step) {
            this->now += step;
            if (logWorks)
                this->isolation.onLogRead(this->now);
            const bool before = this->isolation.isIsolated();
            if (this->isolation.poll(contact, this->now) != before)
                changed = passed;
        }
        return changed;
    }
};

} // namespace

TEST_CASE("a daemon is isolated only when the log and most peers are unreachable at the same time")
{
    Clock clock;
    CHECK_FALSE(clock.run(allPeers, false, 60s));
    CHECK_FALSE(clock.run(noPeers, true, 60s));
    CHECK_FALSE(clock.run({ 0, 0, true }, false, 60s));
    const auto isolatedAfter = clock.run(fewPeers, false, 10s);
    REQUIRE(isolatedAfter);
    CHECK(*isolatedAfter <= 4s);
    CHECK(clock.isolation.isIsolated());
}

TEST_CASE("contact by either the log or the peers ends the isolation, once it has lasted for a while")
{
    Clock clock;
    clock.run(noPeers, false, 10s);
    REQUIRE(clock.isolation.isIsolated());
    const bool byLog = GENERATE(true, false);
    const auto back = clock.run(byLog ? noPeers : allPeers, byLog, 10s);
    REQUIRE(back);
    CHECK(*back >= 2s);
    CHECK(*back <= 3s);
    CHECK_FALSE(clock.isolation.isIsolated());
}

TEST_CASE("intermittent contact does not make the state flap")
{
    Clock clock;
    std::size_t changes = 0;
    for (int i = 0; i < 20; ++i) {
        changes += clock.run(noPeers, false, 6s) ? 1 : 0;
        changes += clock.run(allPeers, false, 500ms) ? 1 : 0;
    }
    CHECK(changes == 1);
}

TEST_CASE("after a pause of the process, earlier contact does not count as fresh")
{
    Clock clock;
    clock.run(allPeers, true, 5s);
    clock.now += 20s;
    CHECK(clock.isolation.poll(allPeers, clock.now));
    const auto back = clock.run(allPeers, true, 5s);
    REQUIRE(back);
    CHECK(*back <= 3s);
}

TEST_CASE("of two equal partitions without the log, exactly one keeps working")
{
    Clock withLowest;
    withLowest.run({ 5, 2, true }, false, 10s);
    CHECK_FALSE(withLowest.isolation.isIsolated());
    Clock without;
    without.run({ 5, 2, false }, false, 10s);
    CHECK(without.isolation.isIsolated());
}

TEST_CASE("both sides of a partition keep working while each reads the log")
{
    Clock smaller;
    smaller.run({ 6, 2, false }, true, 60s);
    CHECK_FALSE(smaller.isolation.isIsolated());
}
