/// @file
/// Policy benchmark: the production routing compared with simple policies and an oracle, on seeded traces of both sites.

#include <cstdio>
#include <cstdlib>

#include "routing_policies.h"

using namespace goldcrestwood;
using namespace goldcrestwood::bench;

namespace {

void print(const PolicyMetrics& metrics)
{
    std::printf("%-16s %8.3f %8.3f %10.3f %10.3f %10.3f %10.1f %8.1f %8.1f\n", metrics.policy.c_str(), metrics.p50, metrics.p95,
        metrics.returningP50, metrics.returningP95, metrics.domainOutP95, 100 * metrics.recomputedShare, metrics.gigabytes,
        100 * metrics.linkShare);
}

void runSite(const Site& site, std::uint64_t seed)
{
    const auto trace = makeTrace(site, seed);
    std::printf("\n%s: %zu replicas, %zu prompts, seed %llu\n", site.name.c_str(), site.replicas, trace.size(),
        static_cast<unsigned long long>(seed));
    std::printf("%-16s %8s %8s %10s %10s %10s %10s %8s %8s\n", "policy", "p50 s", "p95 s", "return p50", "return p95",
        "out p95", "recomp. %", "GB", "link %");
    print(runProduction(site, trace, false));
    print(runProduction(site, trace, true));
    print(runSimple(site, trace, SimplePolicy::RoundRobin));
    print(runSimple(site, trace, SimplePolicy::LeastLoad));
    print(runSimple(site, trace, SimplePolicy::PrefixAffinity));
}

} // namespace

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    runSite(kilnVoice(), seed);
    runSite(tuulModels(), seed);
    runSite(tuulModelsLight(), seed);
    return 0;
}
