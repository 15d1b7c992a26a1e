#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <random>

#include "goldcrestwood/random.h"
#include "goldcrestwood/rollout.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
const ServiceName model("model");
const RolloutOrder order { model, "v2", 15s };

/// The outcome of one request to a version, by time and route.
struct Answer {
    bool isFailure = false;
    double ratio = 1;
};
using Version = std::function<Answer(Random&, TimePoint, int route)>;

Answer baseline(Random& random, TimePoint /*now*/, int /*route*/)
{
    return { uniform(random) < 0.02, std::exp(std::normal_distribution<double>(0, 0.8)(random)) };
}

Version slowed(double share, double factor)
{
    return [=](Random& random, TimePoint now, int route) {
        auto answer = baseline(random, now, route);
        if (uniform(random) < share)
            answer.ratio *= factor;
        return answer;
    };
}

Version failing(double share)
{
    return [=](Random& random, TimePoint now, int route) {
        auto answer = baseline(random, now, route);
        answer.isFailure = answer.isFailure || uniform(random) < share;
        return answer;
    };
}

bool isSentToTarget(const Rollout& rollout, const std::string& requestId, TimePoint now)
{
    return rollout.demandFor(requestId, true, 9, 9, now).wanted == order.target;
}

struct SimulationResult {
    std::size_t requests = 0;
    std::size_t exposed = 0;
    std::size_t afterFiftiethBad = 0; ///< Requests that started at the new version later than the bound allows.
    bool isReverted = false;
    bool isComplete = false;
};

/// Load pattern: 120 requests a second on three routes over seven daemons, which exchange notices once a second.
SimulationResult simulate(const Version& target, const Version& others, std::uint64_t seed)
{
    constexpr std::size_t daemons = 7;
    const SiteBounds bounds;
    Random random(seed);
    std::vector<Rollout> site(daemons, Rollout(order, 5, start, bounds));
    SimulationResult result;
    std::size_t bad = 0;
    std::optional<TimePoint> fiftieth;
    for (auto now = start; now < start + order.duration; now += 8ms) {
        if ((now - start) % 1s == 0s) {
            for (std::size_t to = 0; to < daemons; ++to)
                for (std::size_t from = 0; from < daemons; ++from)
                    if (from != to)
                        site[to].onNotice(InstanceId("daemon-" + std::to_string(from)), 1, site[from].notice(now), now);
            site[0].evaluate(9, 9, now);
        }
        auto& daemon = site[result.requests % daemons];
        const auto route = static_cast<int>(result.requests % 3);
        const bool isTarget = isSentToTarget(daemon, std::to_string(seed) + "-" + std::to_string(result.requests), now);
        ++result.requests;
        const auto answer = isTarget ? target(random, now, route) : others(random, now, route);
        daemon.onOutcome({ "route-" + std::to_string(route), isTarget, answer.isFailure, answer.ratio });
        if (!isTarget)
            continue;
        ++result.exposed;
        result.afterFiftiethBad += fiftieth && now > *fiftieth + 5s ? 1 : 0;
        if ((answer.isFailure || answer.ratio > 3) && ++bad == 50)
            fiftieth = now;
    }
    result.isReverted = site[0].isReverted();
    result.isComplete = site[0].isComplete(start + order.duration - 1ms);
    return result;
}

void checkReverted(const Version& target, const Version& others)
{
    const SiteBounds bounds;
    int reverted = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const auto result = simulate(target, others, seed);
        CHECK(static_cast<double>(result.exposed) <= bounds.exposureShare * static_cast<double>(result.requests) + bounds.exposureSlack);
        CHECK(result.afterFiftiethBad == 0);
        CHECK_FALSE(result.isComplete);
        reverted += result.isReverted ? 1 : 0;
    }
    CHECK(reverted >= 95);
}

} // namespace

TEST_CASE("a new version that is several times slower is reverted before the takeover")
{
    checkReverted(slowed(1, 4), baseline);
    checkReverted(slowed(0.6, 6), baseline);
}

TEST_CASE("a new version that fails some of its requests is reverted")
{
    checkReverted(failing(0.3), baseline);
    checkReverted(failing(1), baseline);
}

TEST_CASE("a new version that is slow on only one route is reverted")
{
    checkReverted([](Random& random, TimePoint now, int route) { return route == 1 ? slowed(1, 6)(random, now, route) : baseline(random, now, route); }, baseline);
}

TEST_CASE("a good version takes over in time, even while the whole site is slow")
{
    for (const auto& [target, others] : { std::pair<Version, Version>(baseline, baseline), std::pair<Version, Version>(slowed(1, 5), slowed(1, 5)) }) {
        int complete = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
            complete += simulate(target, others, seed).isComplete ? 1 : 0;
        CHECK(complete >= 97);
    }
}

TEST_CASE("a daemon that does not know when a roll-out was ordered uses only the old version until a peer reports the time")
{
    Rollout rollout(order, 5, std::nullopt, SiteBounds {});
    const auto countTargeted = [&] {
        std::size_t count = 0;
        for (int number = 0; number < 1000; ++number)
            count += isSentToTarget(rollout, std::to_string(number), start + 5s) ? 1 : 0;
        return count;
    };
    CHECK(countTargeted() == 0);
    RolloutNotice notice;
    notice.service = model;
    notice.order = 5;
    notice.isWitnessed = true;
    notice.ageMs = 5000;
    rollout.onNotice(InstanceId("other"), 1, notice, start + 5s);
    CHECK(countTargeted() > 0);
    CHECK(countTargeted() < 100);
    notice.isReverted = true;
    rollout.onNotice(InstanceId("other"), 1, notice, start + 5s);
    CHECK(countTargeted() == 0);
}

TEST_CASE("no version takes over without answers or with too few upstreams for the load")
{
    Rollout unanswered(order, 5, start, SiteBounds {});
    CHECK_FALSE(unanswered.evaluate(9, 9, start + 14s));
    CHECK_FALSE(unanswered.hasTakenOver(start + 15s));
    CHECK(unanswered.evaluate(9, 9, start + 14500ms));
    CHECK(unanswered.isReverted());
    Rollout undersized(order, 5, start, SiteBounds {});
    for (int answer = 0; answer < 100; ++answer)
        for (const bool isTarget : { false, true })
            undersized.onOutcome({ "route", isTarget, false, 1.0 });
    CHECK_FALSE(undersized.evaluate(2, 9, start + 14s));
    CHECK(undersized.evaluate(9, 9, start + 14s));
    CHECK(undersized.hasTakenOver(start + 15s));
}

TEST_CASE("a version that appears slower does not take over until the difference is ruled out")
{
    Rollout rollout(order, 5, start, SiteBounds {});
    for (int answer = 0; answer < 36; ++answer) {
        const auto spread = std::exp(answer % 2 == 0 ? -0.8 : 0.8);
        rollout.onOutcome({ "route", true, false, 1.6 * spread });
        for (int other = 0; other < 20; ++other)
            rollout.onOutcome({ "route", false, false, spread });
    }
    CHECK_FALSE(rollout.evaluate(9, 9, start + 14s));
    CHECK_FALSE(rollout.isReverted());
    CHECK_FALSE(rollout.isApproved());
}

TEST_CASE("after the takeover a request waits for the new version instead of starting at an old one that is about to stop")
{
    Rollout rollout(order, 5, start, SiteBounds {});
    for (int answer = 0; answer < 100; ++answer)
        for (const bool isTarget : { false, true })
            rollout.onOutcome({ "route", isTarget, false, 1.0 });
    REQUIRE(rollout.evaluate(9, 9, start + 14s));
    const auto late = start + 14800ms;
    CHECK(rollout.demandFor("any", false, 9, 9, late) == VersionDemand { "v2", {}, false });
    CHECK(rollout.demandFor("any", false, 0, 9, late) == VersionDemand {});
    CHECK(rollout.demandFor("any", false, 9, 9, start + 14s) == VersionDemand { {}, "v2", false });
}
