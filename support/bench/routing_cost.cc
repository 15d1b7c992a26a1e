/// @file
/// Cost benchmark: time and memory of a routing decision, over the number of replicas and of prompts in the index.

#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "goldcrestwood/prefix_index.h"
#include "goldcrestwood/router.h"

using namespace goldcrestwood;

namespace {

constexpr std::uint32_t chainBlocks = 8;
constexpr std::size_t decisions = 20000;

std::vector<ChainHash> chainOf(std::uint64_t prompt)
{
    std::vector<ChainHash> chain;
    for (std::uint64_t i = 0; i < chainBlocks; ++i) {
        const auto previous = chain.empty() ? prompt : chain.back().value;
        chain.push_back({ stableHash({ reinterpret_cast<const char*>(&i), sizeof(i) }, previous) });
    }
    return chain;
}

UpstreamId replicaId(std::size_t number)
{
    return UpstreamId("replica-" + std::to_string(number));
}

struct Cost {
    double lookUpMicroseconds = 0;
    double chooseMicroseconds = 0;
    std::size_t indexBytes = 0;
    std::size_t routerBytes = 0;
};

template <typename Work>
double microsecondsEach(const Work& work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < decisions; ++i)
        work(i);
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begin;
    return elapsed.count() / decisions;
}

Cost measure(std::size_t replicas, std::size_t prompts)
{
    Random random(1);
    const ServiceName service("kiln-voice");
    const VersionName version("v1");
    const TimePoint start { std::chrono::seconds(1000) };

    Router router;
    std::vector<RouteTarget> targets;
    for (std::size_t i = 0; i < replicas; ++i)
        targets.push_back({ replicaId(i), FailureDomain("domain-" + std::to_string(i % 14)), version });
    router.setTargets(service, targets);

    PrefixIndexSettings settings;
    settings.maxBlocks = prompts * chainBlocks;
    PrefixIndex index(settings);
    for (std::size_t i = 0; i < prompts; ++i) {
        const auto hashes = hashValues(chainOf(i));
        index.expect({ replicaId(i % replicas), hashes }, start);
        index.observe(BlocksSeen { UpstreamId("store-" + std::to_string(i % 40)), Tier::StoreMemory, hashes, {} }, start);
    }

    Cost cost;
    std::vector<ChainCoverage> coverages(decisions);
    std::vector<std::vector<ChainHash>> chains;
    for (std::size_t i = 0; i < decisions; ++i)
        chains.push_back(chainOf(random() % prompts));
    cost.lookUpMicroseconds = microsecondsEach([&](std::size_t i) { coverages[i] = index.lookUp(chains[i], start); });
    auto allowed = [](const RouteTarget&) { return UpstreamCheck {}; };
    auto links = [](const UpstreamId&) { return LinkEstimate { 64e6, 0 }; };
    cost.chooseMicroseconds = microsecondsEach([&](std::size_t i) {
        const RouteRequest request { service, version, { {}, chains[i], chainBlocks * 1000 + 10, 1000 }, coverages[i], true, 1 << 20 };
        if (const auto decision = router.choose(request, allowed, links, start, random))
            router.finish(decision->ticket);
    });
    cost.indexBytes = index.memoryBytes();
    cost.routerBytes = router.memoryBytes();
    return cost;
}

void print(std::size_t replicas, std::size_t prompts)
{
    const auto cost = measure(replicas, prompts);
    std::printf("%9zu %9zu %12.2f %12.2f %12.1f %14.1f %12.1f\n", replicas, prompts, cost.lookUpMicroseconds, cost.chooseMicroseconds,
        static_cast<double>(cost.indexBytes) / 1024, static_cast<double>(cost.indexBytes) / static_cast<double>(prompts),
        static_cast<double>(cost.routerBytes) / 1024);
}

} // namespace

int main()
{
    std::printf("%9s %9s %12s %12s %12s %14s %12s\n", "replicas", "prompts", "look-up us", "choose us", "index KiB",
        "index B/prompt", "router KiB");
    for (const std::size_t prompts : { 1000, 300000 }) {
        for (const std::size_t replicas : { 10, 100, 1000, 4500 })
            print(replicas, prompts);
    }
    return 0;
}
