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

/// How a version answers at some time on some route.
struct Answer {
    bool isFailure = false;
    double ratio = 1;
};
using Version = std::function<Answer(Random&, TimePoint, int route)>;

Answer usual(Random& random, TimePoint /*now*/, int /*route*/)
{
    return { uniform(random) < 0.02, std::exp(std::normal_distribution<double>(0, 0.8)(random)) };
}

Version slowed(double share, double factor)
{
    return [=](Random& random, TimePoint now, int route) {
        auto answer = usual(random, now, route);
        if (uniform(random) < share)
            answer.ratio *= factor;
        return answer;
    };
}

Version failing(double share)
{
    return [=](Random& random, TimePoint now, int route) {
        auto answer = usual(random, now, route);
        answer.isFailure = answer.isFailure || uniform(random) < share;
        return answer;
    };
}

bool isSentToTarget(const Rollout& rollout, const std::string& requestId, TimePoint now)
{
    return rollout.demandFor(requestId, true, 9, 9, now).wanted == order.target;
}

struct Day {
    std::size_t requests = 0;
    std::size_t exposed = 0;
    std::size_t afterFiftiethBad = 0; ///< Requests that began at the new version later than the bound allows.
    bool isReverted = false;
    bool isComplete = false;
};

/// Load pattern: 120 requests a second over seven daemons, on three routes, that tell each other once a second.
Day play(const Version& target, const Version& others, std::uint64_t seed)
{
    constexpr std::size_t daemons = 7;
    const SiteBounds bounds;
    Random random(seed);
    std::vector<Rollout> site(daemons, Rollout(order, 5, start, bounds));
    Day day;
    std::size_t bad = 0;
    std::optional<TimePoint> fiftieth;
    for (auto now = start; now < start + order.duration; now += 8ms) {
        if ((now - start) % 1s == 0s) {
            for (std::size_t to = 0; to < daemons; ++to)
                for (std::size_t from = 0; from < daemons; ++from)
                    if (from != to)
                        site[to].onNotice(InstanceId("daemon-" + std::to_string(from)), 1, site[from].notice(now), now);
            site[0].judge(9, 9, now);
        }
        auto& daemon = site[day.requests % daemons];
        const auto route = static_cast<int>(day.requests % 3);
        const bool isTarget = isSentToTarget(daemon, std::to_string(seed) + "-" + std::to_string(day.requests), now);
        ++day.requests;
        const auto answer = isTarget ? target(random, now, route) : others(random, now, route);
        daemon.onOutcome({ "route-" + std::to_string(route), isTarget, answer.isFailure, answer.ratio });
        if (!isTarget)
            continue;
        ++day.exposed;
        day.afterFiftiethBad += fiftieth && now > *fiftieth + 5s ? 1 : 0;
        if ((answer.isFailure || answer.ratio > 3) && ++bad == 50)
            fiftieth = now;
    }
    day.isReverted = site[0].isReverted();
    day.isComplete = site[0].isComplete(start + order.duration - 1ms);
    return day;
}

void checkReverted(const Version& target, const Version& others)
{
    const SiteBounds bounds;
    int reverted = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const auto day = play(target, others, seed);
        CHECK(static_cast<double>(day.exposed) <= bounds.exposeShare * static_cast<double>(day.requests) + bounds.exposeSlack);
        CHECK(day.afterFiftiethBad == 0);
        CHECK_FALSE(day.isComplete);
        reverted += day.isReverted ? 1 : 0;
    }
    CHECK(reverted >= 95);
}

} // namespace

TEST_CASE("a new version that answers several times slower is taken back before it takes over")
{
    checkReverted(slowed(1, 4), usual);
    checkReverted(slowed(0.6, 6), usual);
}

TEST_CASE("a new version that fails a part of its requests is taken back")
{
    checkReverted(failing(0.3), usual);
    checkReverted(failing(1), usual);
}

TEST_CASE("a version that is slow on one route only is taken back")
{
    checkReverted([](Random& random, TimePoint now, int route) { return route == 1 ? slowed(1, 6)(random, now, route) : usual(random, now, route); }, usual);
}

TEST_CASE("a good version takes over in time, also while the whole site is slow")
{
    for (const auto& [target, others] : { std::pair<Version, Version>(usual, usual), std::pair<Version, Version>(slowed(1, 5), slowed(1, 5)) }) {
        int complete = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
            complete += play(target, others, seed).isComplete ? 1 : 0;
        CHECK(complete >= 97);
    }
}

TEST_CASE("a daemon that does not know when a roll-out was ordered sends to the old version only, until a peer tells")
{
    Rollout rollout(order, 5, std::nullopt, SiteBounds {});
    const auto tried = [&] {
        std::size_t count = 0;
        for (int number = 0; number < 1000; ++number)
            count += isSentToTarget(rollout, std::to_string(number), start + 5s) ? 1 : 0;
        return count;
    };
    CHECK(tried() == 0);
    RolloutNotice notice;
    notice.service = model;
    notice.order = 5;
    notice.isWitnessed = true;
    notice.ageMs = 5000;
    rollout.onNotice(InstanceId("other"), 1, notice, start + 5s);
    CHECK(tried() > 0);
    CHECK(tried() < 100);
    notice.isReverted = true;
    rollout.onNotice(InstanceId("other"), 1, notice, start + 5s);
    CHECK(tried() == 0);
}

TEST_CASE("no version takes over on missing answers, or with too few upstreams for the load")
{
    Rollout unseen(order, 5, start, SiteBounds {});
    CHECK_FALSE(unseen.judge(9, 9, start + 14s));
    CHECK_FALSE(unseen.hasTakenOver(start + 15s));
    CHECK(unseen.judge(9, 9, start + 14500ms));
    CHECK(unseen.isReverted());
    Rollout weak(order, 5, start, SiteBounds {});
    for (int answer = 0; answer < 100; ++answer)
        for (const bool isTarget : { false, true })
            weak.onOutcome({ "route", isTarget, false, 1.0 });
    CHECK_FALSE(weak.judge(2, 9, start + 14s));
    CHECK(weak.judge(9, 9, start + 14s));
    CHECK(weak.hasTakenOver(start + 15s));
}

TEST_CASE("a version that looks slower does not take over before the difference is ruled out")
{
    Rollout rollout(order, 5, start, SiteBounds {});
    for (int answer = 0; answer < 36; ++answer) {
        const auto spread = std::exp(answer % 2 == 0 ? -0.8 : 0.8);
        rollout.onOutcome({ "route", true, false, 1.6 * spread });
        for (int other = 0; other < 20; ++other)
            rollout.onOutcome({ "route", false, false, spread });
    }
    CHECK_FALSE(rollout.judge(9, 9, start + 14s));
    CHECK_FALSE(rollout.isReverted());
    CHECK_FALSE(rollout.isApproved());
}

TEST_CASE("after the takeover a request waits for the new version rather than begin at an old one that is about to stop")
{
    Rollout rollout(order, 5, start, SiteBounds {});
    for (int answer = 0; answer < 100; ++answer)
        for (const bool isTarget : { false, true })
            rollout.onOutcome({ "route", isTarget, false, 1.0 });
    REQUIRE(rollout.judge(9, 9, start + 14s));
    const auto late = start + 14800ms;
    CHECK(rollout.demandFor("any", false, 9, 9, late) == VersionDemand { "v2", {}, false });
    CHECK(rollout.demandFor("any", false, 0, 9, late) == VersionDemand {});
    CHECK(rollout.demandFor("any", false, 9, 9, start + 14s) == VersionDemand { {}, "v2", false });
}
