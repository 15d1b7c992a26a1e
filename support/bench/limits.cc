/// @file
/// Limit policies under overload and during the outage of a failure domain: the production policy compared with fixed limits,
/// a single queue and no limits.

#include <cstdio>
#include <cstdlib>

#include "limits_model.h"

using namespace goldcrestwood;
using namespace goldcrestwood::bench;

namespace {

constexpr std::pair<const char*, Policy> policies[] = {
    { "ours", Policy::Production }, { "one queue", Policy::Fifo }, { "fixed limits", Policy::Fixed }, { "no limits", Policy::None }
};

/// First-token objective of the callers.
constexpr double targetSeconds = 1.5;

void printOverload(std::uint64_t seed)
{
    std::printf("Overload from 60 s to 120 s, seed %lu; p95 first token in ms\n", static_cast<unsigned long>(seed));
    std::printf("%-13s %9s %9s %6s %9s %9s %9s %8s %7s %6s %6s\n", "", "important", "overload", "ratio", "small", "overload",
        "large", "refused", "late", "lost", "falls");
    for (const auto& [name, policy] : policies) {
        const auto scenario = overloadScenario(seed);
        const auto results = Model(policy, scenario).run();
        auto in = [&](const Sample& sample, double from, double to, std::size_t first, std::size_t last) {
            return sample.arrival >= from && sample.arrival < to && sample.caller >= first && sample.caller <= last;
        };
        auto p95 = [&](double from, double to, std::size_t first, std::size_t last) {
            return 1000 * results.quantile(0.95, [&](const Sample& sample) { return in(sample, from, to, first, last); });
        };
        const auto before = p95(20, 60, 0, 0);
        const auto during = p95(60, 120, 0, 0);
        auto sinceOverload = [&](const Sample& sample) { return sample.arrival >= 60; };
        std::printf("%-13s %9.0f %9.0f %6.2f %9.0f %9.0f %9.0f %8zu %7zu %6zu %6u\n", name, before, during, during / before,
            p95(20, 60, 4, 7), p95(60, 120, 4, 7), p95(60, 120, 1, 3),
            results.count([&](const Sample& sample) { return sinceOverload(sample) && sample.refused; }),
            results.count([&](const Sample& sample) { return sinceOverload(sample) && sample.firstToken > targetSeconds; }),
            results.count([&](const Sample& sample) { return sinceOverload(sample) && sample.lost; }), results.crashes);
        auto important = [&](const Sample& sample) { return in(sample, 60, 120, 0, 0); };
        std::printf("%-13s important: p95 wait %.0f ms;", "", 1000 * results.quantile(0.95, important, &Sample::wait));
        std::printf(" refused of important %zu, of small %zu, of batch %zu; batch served %zu\n",
            results.count([&](const Sample& sample) { return in(sample, 60, 120, 0, 0) && sample.refused; }),
            results.count([&](const Sample& sample) { return in(sample, 60, 120, 4, 7) && sample.refused; }),
            results.count([&](const Sample& sample) { return in(sample, 60, 120, 8, 9) && sample.refused; }),
            results.count([&](const Sample& sample) { return in(sample, 60, 120, 8, 9) && sample.firstToken >= 0; }));
    }
}

void printDomain(std::uint64_t seed)
{
    std::printf("\nA failure domain leaves at 40 s and comes back cold at 70 s, seed %lu\n", static_cast<unsigned long>(seed));
    std::printf("%-13s %8s %7s %6s %6s %10s %12s %12s\n", "", "refused", "late", "lost", "falls", "over cold", "p95 out", "p95 back");
    for (const auto& [name, policy] : policies) {
        const auto results = Model(policy, domainScenario(seed)).run();
        auto sinceOutage = [](const Sample& sample) { return sample.arrival >= 40; };
        std::printf("%-13s %8zu %7zu %6zu %6u %10u %9.0f ms %9.0f ms\n", name,
            results.count([&](const Sample& sample) { return sinceOutage(sample) && sample.refused; }),
            results.count([&](const Sample& sample) { return sinceOutage(sample) && sample.firstToken > targetSeconds; }),
            results.count([&](const Sample& sample) { return sinceOutage(sample) && sample.lost; }), results.crashes,
            results.maxAboveColdCapacity,
            1000 * results.quantile(0.95, [](const Sample& sample) { return sample.arrival >= 40 && sample.arrival < 70; }),
            1000 * results.quantile(0.95, [](const Sample& sample) { return sample.arrival >= 70; }));
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    printOverload(seed);
    printDomain(seed);
}
