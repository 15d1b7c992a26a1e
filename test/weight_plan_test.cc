#include <catch2/catch.hpp>

#include "goldcrestwood/weight_plan.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

std::vector<WeightCandidate> nineCandidates()
{
    std::vector<WeightCandidate> result;
    for (std::uint32_t number = 0; number < 9; ++number)
        result.push_back({ UpstreamId("r" + std::to_string(number)), 1, 9 - number });
    return result;
}

} // namespace

TEST_CASE("a third of the replicas updates at a time, the least busy first")
{
    WeightPlan plan({ "m", 2 });
    const auto first = plan.start(nineCandidates(), start);
    CHECK(first == std::vector { UpstreamId("r8"), UpstreamId("r7"), UpstreamId("r6") });
    CHECK(plan.start(nineCandidates(), start).empty());
    plan.onReport(UpstreamId("r7"), 2, false, start + 1s);
    auto later = nineCandidates();
    later[7].version = 2;
    CHECK(plan.start(later, start + 1s) == std::vector { UpstreamId("r5") });
    CHECK(plan.done().size() == 1);
}

TEST_CASE("a resting replica updates after the others")
{
    WeightPlan plan({ "m", 2 });
    auto candidates = nineCandidates();
    candidates[8].isResting = true;
    CHECK(plan.start(candidates, start) == std::vector { UpstreamId("r7"), UpstreamId("r6"), UpstreamId("r5") });
    plan.onReport(UpstreamId("r7"), 2, false, start + 1s);
    candidates[7].version = 2;
    candidates[8].isResting = false;
    CHECK(plan.start(candidates, start + 1s) == std::vector { UpstreamId("r8") });
}

TEST_CASE("a small service still updates two replicas at a time")
{
    WeightPlan plan({ "m", 2 });
    auto candidates = nineCandidates();
    candidates.resize(3);
    CHECK(plan.start(candidates, start).size() == 2);
}

TEST_CASE("a load order waits for the runs of its replica up to the drain timeout")
{
    WeightPlan plan({ "m", 2 });
    plan.start(nineCandidates(), start);
    const UpstreamId replica("r8");
    CHECK_FALSE(plan.isOrderDue(replica, 5, start + 100ms));
    CHECK(plan.isOrderDue(replica, 1, start + 100ms));
    CHECK(plan.isOrderDue(replica, 5, start + 800ms));
    CHECK_FALSE(plan.isOrderDue(UpstreamId("r0"), 0, start + 800ms));
}

TEST_CASE("an order without effect is repeated, an order in progress is not")
{
    WeightPlan plan({ "m", 2 });
    plan.start(nineCandidates(), start);
    const UpstreamId replica("r8");
    plan.onOrderSent(replica, start);
    CHECK_FALSE(plan.isOrderDue(replica, 0, start + 600ms));
    plan.onReport(replica, 1, true, start + 600ms);
    CHECK_FALSE(plan.isOrderDue(replica, 0, start + 1200ms));
    plan.onReport(replica, 1, false, start + 1300ms);
    CHECK(plan.isOrderDue(replica, 0, start + 1300ms));
}

TEST_CASE("an order that is carried out seconds late holds up no other replica")
{
    WeightPlan plan({ "m", 2 });
    plan.start(nineCandidates(), start);
    for (const auto* replica : { "r8", "r7" })
        plan.onOrderSent(UpstreamId(replica), start);
    CHECK(plan.loadCount(start + 600ms) == 2);
    CHECK_FALSE(plan.isOrderDue(UpstreamId("r6"), 0, start + 600ms));
    plan.onReport(UpstreamId("r8"), 1, false, start + 600ms);
    plan.onReport(UpstreamId("r7"), 1, true, start + 600ms);
    // One replica loads, the other one shows nothing of its order.
    CHECK(plan.loadCount(start + 800ms) == 1);
    CHECK(plan.isOrderDue(UpstreamId("r6"), 0, start + 800ms));
    // A repeated order takes no slot; the load does once it shows.
    plan.onOrderSent(UpstreamId("r8"), start + 800ms);
    CHECK(plan.loadCount(start + 800ms) == 1);
    plan.onReport(UpstreamId("r8"), 1, true, start + 1200ms);
    CHECK(plan.loadCount(start + 1200ms) == 2);
    CHECK(plan.isLoading(UpstreamId("r8")));
}

TEST_CASE("a gone or silent replica is replaced in the plan")
{
    WeightPlan plan({ "m", 2 });
    plan.start(nineCandidates(), start);
    std::set<UpstreamId> present;
    for (const auto& candidate : nineCandidates())
        present.insert(candidate.upstream);
    present.erase(UpstreamId("r8"));
    plan.onReport(UpstreamId("r7"), 1, true, start + 1s);
    plan.expire(present, start + 1600ms);
    CHECK(plan.ordered().size() == 1);
    // The silent replica is skipped for a while.
    const auto next = plan.start(nineCandidates(), start + 1600ms);
    CHECK(std::find(next.begin(), next.end(), UpstreamId("r6")) == next.end());
}

TEST_CASE("a large pool updates within the same time limit as a small one")
{
    // Load pattern: 140 replicas; a load takes 0.3 s after a drain of 0.8 s; all must have the weights within 8 s.
    constexpr std::size_t replicas = 140;
    constexpr auto load = 300ms;
    constexpr auto tick = 50ms;
    std::vector<WeightCandidate> candidates;
    for (std::size_t number = 0; number < replicas; ++number)
        candidates.push_back({ UpstreamId("r" + std::to_string(number)), 1, 5 });
    std::map<UpstreamId, TimePoint> loading;
    WeightPlan plan({ "m", 2 });
    auto now = start;
    for (; plan.done().size() < replicas && now < start + 60s; now += tick) {
        plan.start(candidates, now);
        for (const auto& order : plan.ordered()) {
            const auto loadStart = loading.find(order.upstream);
            const bool isLoaded = loadStart != loading.end() && now - loadStart->second >= load;
            plan.onReport(order.upstream, isLoaded ? 2 : 1, loadStart != loading.end() && !isLoaded, now);
            if (isLoaded) {
                loading.erase(order.upstream);
                for (auto& candidate : candidates)
                    if (candidate.upstream == order.upstream)
                        candidate.version = 2;
            } else if (loadStart == loading.end() && plan.isOrderDue(order.upstream, 5, now)) {
                plan.onOrderSent(order.upstream, now);
                loading[order.upstream] = now;
            }
        }
        // With more than a fifth of the pool loading at once, each load takes longer.
        REQUIRE(loading.size() <= replicas / 5);
    }
    CHECK(plan.done().size() == replicas);
    CHECK(now - start <= 6s);
}
