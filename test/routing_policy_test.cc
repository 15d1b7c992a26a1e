/// @file
/// Policy figures of routing against a perfect view and against least load, on seeded traces of both sites.

#include <catch2/catch.hpp>

#include "../support/bench/routing_policies.h"

using namespace goldcrestwood;
using namespace goldcrestwood::bench;

namespace {

/// Share recomputed relative to an oracle that knows every cache.
constexpr double maxRecomputedRatio = 1.15;
/// How much faster the slow returning prompts are than by least load.
constexpr double minReturningGain = 2;

void checkSite(const Site& site)
{
    const auto seed = GENERATE(std::uint64_t { 1 }, std::uint64_t { 2 }, std::uint64_t { 3 });
    const auto trace = makeTrace(site, seed);
    const auto ours = runProject(site, trace, false);
    const auto oracle = runProject(site, trace, true);
    const auto leastLoad = runSimple(site, trace, SimplePolicy::LeastLoad);
    INFO(site.name << ", seed " << seed);
    CHECK(ours.recomputedShare <= maxRecomputedRatio * oracle.recomputedShare);
    CHECK(leastLoad.returningP95 >= minReturningGain * ours.returningP95);
    CHECK(leastLoad.outP95 >= ours.outP95);
}

} // namespace

TEST_CASE("kiln-voice: routing recomputes little and answers returning prompts early")
{
    checkSite(kilnVoice());
}

TEST_CASE("tuul-models: routing recomputes little and answers returning prompts early")
{
    checkSite(tuulModels());
}
