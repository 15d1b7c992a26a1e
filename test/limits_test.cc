/// @file
/// Targets of the admission policy under overload and during the return of a failure domain, on the benchmark's model.

#include <catch2/catch.hpp>

#include "../support/bench/limits_model.h"

using namespace goldcrestwood;
using namespace goldcrestwood::bench;

TEST_CASE("an overload by large accounts hardly slows Important callers")
{
    const auto seed = GENERATE(1, 2, 3);
    INFO("seed " << seed);
    const auto results = Model(Policy::Production, overloadScenario(std::uint64_t(seed))).run();
    auto p95 = [&](double from, double to, std::size_t first, std::size_t last) {
        return results.quantile(0.95, [&](const Sample& sample) {
            return sample.arrival >= from && sample.arrival < to && sample.caller >= first && sample.caller <= last;
        });
    };
    CHECK(p95(60, 120, 0, 0) <= 1.2 * p95(20, 60, 0, 0));
    // The first seconds are excluded because all replicas start cold.
    auto refusedOf = [&](std::size_t first, std::size_t last) {
        return results.count([&](const Sample& sample) {
            return sample.refused && sample.arrival >= 20 && sample.caller >= first && sample.caller <= last;
        });
    };
    CHECK(refusedOf(0, 0) == 0);
    CHECK(refusedOf(4, 7) == 0);
    CHECK(refusedOf(1, 3) > 0);
    CHECK(results.crashes == 0);
}

TEST_CASE("no replica of a returning failure domain is overloaded to failure")
{
    const auto seed = GENERATE(1, 2, 3);
    INFO("seed " << seed);
    const auto results = Model(Policy::Production, domainScenario(std::uint64_t(seed))).run();
    CHECK(results.crashes == 0);
    CHECK(results.count([](const Sample& sample) { return sample.lost; }) == 0);
    CHECK(results.count([](const Sample& sample) { return sample.firstToken > 1.5; }) == 0);
}
