#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "goldcrestwood/store_outage.h"
#include "goldcrestwood/weight_targets.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

} // namespace

TEST_CASE("the age of a target version counts from its own naming, even when a newer one follows")
{
    WeightTargets targets;
    CHECK(targets.name(2, start, true));
    CHECK(targets.name(3, start + 9s, true));
    CHECK_FALSE(targets.name(2, start + 9s, true));
    CHECK(targets.newestNamedFor(8s, start + 10s) == 2);
    CHECK(targets.newestNamedFor(8s, start + 17s) == 3);
    // Time before the end of a store outage does not count.
    CHECK(targets.newestNamedFor(8s, start + 17s, start + 12s) == 0);
    CHECK(targets.supersededAt(1, 8s) == start + 8s);
    CHECK(targets.supersededAt(2, 8s) == start + 17s);
    CHECK_FALSE(targets.supersededAt(3, 8s));
}

TEST_CASE("a restarted process learns the time of a target version from a peer that saw it named")
{
    WeightTargets targets;
    targets.name(2, start - 5s, false);
    CHECK_FALSE(targets.newestWithKnownTime());
    targets.onNamingTime(2, start - 1s);
    CHECK(targets.newestWithKnownTime()->since == start - 1s);
    // The earliest time wins; the time of a version that is not a target changes nothing.
    targets.onNamingTime(2, start - 2s);
    targets.onNamingTime(2, start);
    targets.onNamingTime(1, start - 90s);
    CHECK(targets.newestWithKnownTime()->since == start - 2s);
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
        const auto named = start;
        for (auto& daemon : site)
            daemon.targets.name(2, named, true);
        const auto restart = [&](Daemon& daemon, TimePoint now) {
            daemon = { {}, now, true };
            daemon.targets.name(2, now - (bound - contact), false);
        };
        TimePoint nextFault = start + within(6s);
        for (auto now = start; now < start + 20s; now += 50ms) {
            if (now >= nextFault) {
                // Every third fault restarts all daemons, like a power loss of the site; otherwise the survivors inform the others.
                const bool isSiteWide = random() % 3 == 0;
                for (auto& daemon : site)
                    if (isSiteWide || random() % 2 == 0)
                        restart(daemon, now);
                nextFault = now + within(4s);
            }
            for (auto& sender : site)
                if (const auto target = sender.targets.newestWithKnownTime())
                    site[random() % daemons].targets.onNamingTime(2, target->since);
            for (const auto& daemon : site) {
                const bool hasContact = now - daemon.startedAt >= contact;
                const bool acceptsOldWeights = daemon.targets.newestNamedFor(bound, now) < 2;
                INFO("seed " << seed << " at " << toSeconds(now - start) << " s");
                CHECK_FALSE((hasContact && acceptsOldWeights && now - named > bound));
            }
        }
    }
}
