#pragma once

/// @file
/// Seeded traces of prompts that return after long gaps, sized like both sites.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "goldcrestwood/chain.h"
#include "goldcrestwood/random.h"

namespace goldcrestwood::bench {

/// Hardware, load and incidents of a site; times in seconds.
struct Site {
    std::string name;
    std::size_t replicas = 12;
    std::size_t stores = 2;
    std::size_t daemons = 7;
    double prefillRate = 8000;
    std::size_t engineBlocks = 200;
    std::size_t storeMemoryBlocks = 4000;
    std::size_t storeDiskBlocks = 12000;
    double linkBytesPerSecond = 64e6;
    double diskFactor = 2;
    std::uint64_t blockBytes = 1 << 20;
    std::uint32_t blockTokens = 1000;
    double newPromptsPerSecond = 2.4;
    std::uint32_t sharedBlocks = 2;
    std::uint32_t minOwnBlocks = 4;
    std::uint32_t maxOwnBlocks = 12;
    double medianGap = 240;
    double gapSpread = 0.8;
    double warmUp = 900;
    double length = 2700;
    double overloadFrom = 1300;
    double overloadUntil = 1390;
    double overloadFactor = 4;
    double domainOutFrom = 1800;
    double domainBackAt = 2000;
};

inline Site kilnVoice()
{
    Site site;
    site.name = "kiln-voice";
    return site;
}

/// Without a store, this load uses the same share of accelerator time as that of kiln-voice.
inline Site tuulModels()
{
    Site site;
    site.name = "tuul-models";
    site.replicas = 9;
    site.newPromptsPerSecond = 3.6;
    site.sharedBlocks = 6;
    site.minOwnBlocks = 2;
    site.maxOwnBlocks = 6;
    site.medianGap = 400;
    return site;
}

/// tuul-models at a little more than half the load.
inline Site tuulModelsLight()
{
    auto site = tuulModels();
    site.name = "tuul-models-light";
    site.newPromptsPerSecond = 2.0;
    return site;
}

/// One arrival of a prompt.
struct TraceRequest {
    double at = 0;
    ClientAccount account;
    std::vector<ChainHash> blocks;
    std::uint32_t tokens = 0;
    /// Whether the prompt arrived before.
    bool isReturning = false;
    /// Blocks that also occurred in earlier requests.
    std::uint32_t seenBlocks = 0;
};

/// An account's share of the prompts and the probability that a prompt returns.
struct TraceAccount {
    ClientAccount name;
    double weight = 1;
    double returnChance = 0.5;
};

inline std::vector<TraceAccount> traceAccounts()
{
    const double weights[] = { 30, 22, 14, 8, 7, 6, 5, 4, 2, 2 };
    const double chances[] = { 0.75, 0.7, 0.1, 0.6, 0.3, 0.7, 0.05, 0.5, 0.4, 0.2 };
    std::vector<TraceAccount> accounts;
    for (std::size_t i = 0; i < std::size(weights); ++i)
        accounts.push_back({ ClientAccount("account-" + std::to_string(i)), weights[i], chances[i] });
    return accounts;
}

inline void addBlocks(std::vector<ChainHash>& blocks, std::uint64_t label, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto previous = blocks.empty() ? 0 : blocks.back().value;
        blocks.push_back({ stableHash(std::to_string(label) + ":" + std::to_string(i), previous) });
    }
}

/// Adds a prompt and its later returns to a trace.
inline void addPrompt(const Site& site, const TraceAccount& account, std::uint64_t label, double at, Random& random,
    std::vector<TraceRequest>& trace)
{
    std::uniform_int_distribution<std::uint32_t> size(site.minOwnBlocks, site.maxOwnBlocks);
    std::lognormal_distribution<double> gap(std::log(site.medianGap), site.gapSpread);
    TraceRequest request { at, account.name, {}, 0, false, 0 };
    addBlocks(request.blocks, std::hash<std::string>()(account.name.value), site.sharedBlocks);
    addBlocks(request.blocks, label, size(random));
    while (request.at < site.length) {
        const auto tail = static_cast<std::uint32_t>(random() % site.blockTokens);
        request.tokens = static_cast<std::uint32_t>(request.blocks.size()) * site.blockTokens + tail;
        trace.push_back(request);
        if (uniform(random) >= account.returnChance)
            return;
        request.at += gap(random);
        request.isReturning = true;
        if (uniform(random) < 0.5)
            addBlocks(request.blocks, label, 1);
    }
}

/// @return The site's requests in order of arrival.
inline std::vector<TraceRequest> makeTrace(const Site& site, std::uint64_t seed)
{
    Random random(seed);
    const auto accounts = traceAccounts();
    std::vector<double> weights;
    weights.reserve(accounts.size());
    for (const auto& account : accounts)
        weights.push_back(account.weight);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    std::vector<TraceRequest> trace;
    std::uint64_t label = 0;
    for (auto at = 0.0; at < site.length;) {
        const auto overload = at >= site.overloadFrom && at < site.overloadUntil;
        const auto rate = site.newPromptsPerSecond * (overload ? site.overloadFactor : 1);
        at += std::exponential_distribution<double>(rate)(random);
        addPrompt(site, accounts[pick(random)], ++label, at, random, trace);
    }
    std::sort(trace.begin(), trace.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    std::unordered_set<ChainHash> seen;
    for (auto& request : trace) {
        for (const auto block : request.blocks)
            request.seenBlocks += seen.insert(block).second ? 0 : 1;
    }
    return trace;
}

} // namespace goldcrestwood::bench
