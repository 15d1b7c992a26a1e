/// @file
/// Compares the routing policy with an oracle and with least load, on seeded traces of both sites.

#include <catch2/catch.hpp>

#include "../support/bench/routing_policies.h"

using namespace goldcrestwood;
using namespace goldcrestwood::bench;

namespace {

/// Maximum share of recomputed tokens relative to an oracle that knows every cache.
constexpr double maxRecomputedRatio = 1.15;
/// Minimum ratio of least load's p95 for returning prompts to that of the policy.
constexpr double minReturningGain = 2;

void checkSite(const Site& site)
{
    const auto seed = GENERATE(std::uint64_t { 1 }, std::uint64_t { 2 }, std::uint64_t { 3 });
    const auto trace = makeTrace(site, seed);
    const auto policy = runProduction(site, trace, false);
    const auto oracle = runProduction(site, trace, true);
    const auto leastLoad = runSimple(site, trace, SimplePolicy::LeastLoad);
    INFO(site.name << ", seed " << seed);
    CHECK(policy.recomputedShare <= maxRecomputedRatio * oracle.recomputedShare);
    CHECK(leastLoad.returningP95 >= minReturningGain * policy.returningP95);
    CHECK(leastLoad.domainOutP95 >= policy.domainOutP95);
}

} // namespace

TEST_CASE("kiln-voice: routing recomputes little and answers returning prompts fast")
{
    checkSite(kilnVoice());
}

TEST_CASE("tuul-models: routing recomputes little and answers returning prompts fast")
{
    checkSite(tuulModels());
}
