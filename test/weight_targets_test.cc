#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "goldcrestwood/store_outage.h"
#include "goldcrestwood/weight_bound.h"
#include "goldcrestwood/weight_targets.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

} // namespace

TEST_CASE("the age of a target version counts from its own naming, even when a newer one follows")
{
    WeightTargets targets;
    CHECK(targets.add({ 2, start, true, 0 }, start));
    CHECK(targets.add({ 3, start + 9s, true, 2 }, start));
    CHECK_FALSE(targets.add({ 2, start + 9s, true, 0 }, start));
    CHECK(targets.newest() == 3);
    CHECK(targets.newestNamedFor(8s, start + 10s) == 2);
    CHECK(targets.newestNamedFor(8s, start + 17s) == 3);
    // Time before the end of a store outage does not count.
    const auto dueAt = [](TimePoint outageEnd) { return [outageEnd](TimePoint named) { return std::max(named, outageEnd) + 8s; }; };
    CHECK(targets.newestDue(start + 17s, dueAt(start + 12s)) == 0);
    CHECK(targets.supersededAt(1, dueAt({})) == start + 8s);
    CHECK(targets.supersededAt(2, dueAt({})) == start + 17s);
    CHECK_FALSE(targets.supersededAt(3, dueAt({})));
}

TEST_CASE("a restarted process learns the time of a target version from a peer that saw it named")
{
    WeightTargets targets;
    targets.add({ 2, start - 5s, false, {} }, start - 5s);
    CHECK(targets.withKnownTime(8).empty());
    targets.add({ 2, start - 1s, true, 0 }, start);
    CHECK(targets.withKnownTime(8) == std::vector<WeightTarget> { { 2, start - 1s, true, 0 } });
    // The earliest time wins.
    targets.add({ 2, start - 2s, true, 0 }, start);
    targets.add({ 2, start, true, 0 }, start);
    CHECK(targets.withKnownTime(8) == std::vector<WeightTarget> { { 2, start - 2s, true, 0 } });
}

TEST_CASE("a restarted process keeps to the bound of a version that was replaced before it started")
{
    // Version 2 was named at 0 s, version 3 at 8 s; the process starts at 8.5 s and finds version 3 only. The bound is 10 s.
    const auto started = start + 8500ms;
    const auto cautious = started - 7s;
    WeightTargets targets;
    targets.add({ 3, cautious, false, {} }, cautious);

    SECTION("if its peers tell the time of the newest version only, from its contact time on")
    {
        targets.add({ 3, start + 8s, true, {} }, started);
        CHECK(targets.newestNamedFor(10s, started + 2900ms) == 0);
        CHECK(targets.newestNamedFor(10s, started + 3s) == 2);
        CHECK(targets.supersededAt(1, [](TimePoint named) { return named + 10s; }) == started + 3s);
        CHECK(targets.newestNamedFor(10s, start + 18s) == 3);
    }
    SECTION("from the time that a peer tells")
    {
        targets.add({ 3, start + 8s, true, 2 }, started);
        targets.add({ 2, start, true, 0 }, started);
        CHECK(targets.newestNamedFor(10s, start + 9900ms) == 0);
        CHECK(targets.newestNamedFor(10s, start + 10s) == 2);
        CHECK(targets.newestNamedFor(10s, start + 18s) == 3);
    }
    SECTION("but not to that of a version that was never named")
    {
        targets.add({ 7, start + 8s, true, 3 }, started);
        targets.add({ 3, start + 5s, true, 0 }, started);
        CHECK(targets.newestNamedFor(10s, start + 14900ms) == 0);
        CHECK(targets.newestNamedFor(10s, start + 15s) == 3);
        CHECK(targets.newestNamedFor(10s, start + 18s) == 7);
    }
}

TEST_CASE("a daemon reports the newest target versions only")
{
    WeightTargets targets;
    for (std::uint64_t version = 2; version <= 9; ++version)
        targets.add({ version, start + std::chrono::seconds(version), version != 8, version - 1 }, start);
    const auto reported = targets.withKnownTime(3);
    REQUIRE(reported.size() == 3);
    CHECK(reported[0].version == 9);
    CHECK(reported[1].version == 7);
    CHECK(reported[2].version == 6);
    CHECK(targets.newestBelow(9) == 8);
    CHECK(targets.newestBelow(2) == 0);
}

TEST_CASE("the store counts as unavailable only if at least half of the daemons cannot read it")
{
    StoreOutage outage;
    outage.onView(6, 7, start);
    CHECK_FALSE(outage.isActive());
    outage.onView(3, 7, start + 1s);
    CHECK(outage.isActive());
    outage.onView(4, 7, start + 2s);
    CHECK_FALSE(outage.isActive());
    CHECK(outage.endedAt() == start + 2s);
    // A view without any daemon does not change the state.
    outage.onView(0, 0, start + 3s);
    CHECK_FALSE(outage.isActive());
    outage.onView(0, 1, start + 3s);
    CHECK(outage.isActive());
}

TEST_CASE("a new process that has not read the store yet does not count that as an outage")
{
    // Otherwise each start would restart the age of the named weights.
    StoreOutage outage;
    outage.onView(0, 1, start);
    CHECK_FALSE(outage.isActive());
    outage.onView(7, 7, start + 200ms);
    CHECK(outage.endedAt() == TimePoint());
    StoreOutage real;
    real.onView(0, 1, start);
    real.onView(0, 7, start + 1s);
    CHECK(real.isActive());
}

TEST_CASE("times between outages of the store add up towards the bound of a version")
{
    SiteBounds bounds;
    bounds.contactTime = 3s;
    bounds.weightSwitchTime = 10s;
    bounds.weightSwitchTotal = 14s;
    StoreOutage outage;
    const WeightBound bound(bounds, outage, 0s);
    outage.onView(6, 6, start);
    CHECK(bound(start + 4s) == start + 14s);

    // The store is away from 12 s to 13 s, and counts as available from 16 s on: 8 s, then 6 s more.
    outage.onView(0, 6, start + 12s);
    CHECK(outage.isActive());
    outage.onView(6, 6, start + 13s);
    CHECK(outage.periods() == std::vector<StoreOutage::Period> { { start + 12s, start + 13s } });
    CHECK(bound(start + 4s) <= start + 22s);
    CHECK(bound(start + 4s) >= start + 16s);
    CHECK(WeightBound(bounds, outage, 700ms)(start + 4s) == bound(start + 4s) - 700ms);
    // One unbroken time comes first for a version that was named shortly before the outage, or after it.
    CHECK(bound(start + 11s) == start + 23s);
    CHECK(bound(start + 15s) == start + 25s);

    // From 16 s to 19 s are 3 s, which leaves 3 s after the next outage.
    outage.onView(0, 6, start + 19s);
    outage.onView(6, 6, start + 20s);
    CHECK(bound(start + 4s) <= start + 26s);
    CHECK(bound(start + 4s) > start + 20s);
    // A further outage leaves nothing: the version is required once the store is back.
    outage.onView(0, 6, start + 27s);
    outage.onView(6, 6, start + 28s);
    CHECK(bound(start + 4s) <= start + 28s + bounds.contactTime);
}

TEST_CASE("only the last outages of the store are kept")
{
    StoreOutage outage;
    outage.onView(6, 6, start);
    for (int number = 1; number <= 40; ++number) {
        outage.onView(0, 6, start + number * 2s);
        outage.onView(6, 6, start + number * 2s + 1s);
    }
    CHECK(outage.periods().size() == 16);
    CHECK(outage.endedAt() == start + 81s);
}

TEST_CASE("across restarts no daemon uses old weights for longer than the bound")
{
    constexpr Duration bound = 8s;
    constexpr Duration contact = 3s;
    constexpr int daemons = 5;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 random(seed);
        const auto within = [&](Duration longest) { return Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(longest.count()))); };
        struct Daemon {
            WeightTargets targets;
            TimePoint startedAt;
            bool isUp = true;
        };
        std::vector<Daemon> site(daemons);
        // Versions 2, 3 and so on.
        constexpr Duration step = 50ms;
        const std::vector<TimePoint> named { start, start + within(6s) / step * step, start + 6s + within(6s) / step * step };
        std::uint64_t newest = 1;
        const auto restart = [&](Daemon& daemon, TimePoint now) {
            daemon = { {}, now, true };
            const auto cautious = now - (bound - contact);
            if (newest > 1)
                daemon.targets.add({ newest, cautious, false, {} }, cautious);
        };
        TimePoint nextFault = start + within(6s);
        for (auto now = start; now < start + 30s; now += step) {
            for (; newest - 1 < named.size() && now >= named[newest - 1]; ++newest)
                for (auto& daemon : site)
                    daemon.targets.add({ newest + 1, now, true, daemon.targets.newest() }, now);
            if (now >= nextFault) {
                // Every third fault restarts all daemons, like a power loss of the site; otherwise the survivors inform the others.
                const bool isSiteWide = random() % 3 == 0;
                for (auto& daemon : site)
                    if (isSiteWide || random() % 2 == 0)
                        restart(daemon, now);
                nextFault = now + within(4s);
            }
            for (auto& sender : site)
                for (const auto& target : sender.targets.withKnownTime(8))
                    site[random() % daemons].targets.add(target, now - (bound - contact));
            for (const auto& daemon : site) {
                const bool hasContact = now - daemon.startedAt >= contact;
                const auto required = daemon.targets.newestNamedFor(bound, now);
                INFO("seed " << seed << " at " << toSeconds(now - start) << " s");
                for (std::uint64_t version = 2; version <= newest; ++version)
                    CHECK_FALSE((hasContact && required < version && now - named[version - 2] > bound));
            }
        }
    }
}
