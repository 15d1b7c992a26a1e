#include "goldcrestwood/export_policy.h"

#include <algorithm>
#include <map>
#include <optional>

namespace goldcrestwood {

namespace {

    constexpr double minStoredConfidence = 0.5;

    std::vector<UpstreamId> storesOf(const ChainCoverage& coverage, std::uint32_t block)
    {
        std::vector<UpstreamId> stores;
        for (const auto& run : coverage.stores) {
            const auto covers = run.firstBlock <= block && block < run.firstBlock + run.blocks;
            if (covers && run.confidence >= minStoredConfidence)
                stores.push_back(run.store);
        }
        return stores;
    }

    bool hasLinkCapacity(const ExportSettings& settings, const ExportTarget& target)
    {
        const auto backlog = target.link.bytesPerSecond > 0 ? target.link.backlogBytes / target.link.bytesPerSecond : 0;
        return target.link.bytesPerSecond > 0 && backlog <= toSeconds(settings.maxBacklog);
    }

    /// @return The target for a further copy in a domain that is not in @p usedDomains, by rendezvous hashing of @p key, or
    /// null.
    const ExportTarget* chooseTarget(const std::vector<const ExportTarget*>& targets, ChainHash key,
        const std::vector<FailureDomain>& usedDomains)
    {
        const ExportTarget* best = nullptr;
        auto score = [&](const ExportTarget& target) { return stableHash(target.store.value, key.value); };
        for (const auto* target : targets) {
            if (std::find(usedDomains.begin(), usedDomains.end(), target->domain) != usedDomains.end())
                continue;
            if (!best || score(*target) > score(*best))
                best = target;
        }
        return best;
    }

} // namespace

std::vector<ExportOrder> planExports(const ExportSettings& settings, const std::vector<ChainHash>& chain,
    const ChainCoverage& coverage, const std::vector<ExportTarget>& targets)
{
    std::map<UpstreamId, FailureDomain> domains;
    std::vector<const ExportTarget*> usable;
    for (const auto& target : targets) {
        domains[target.store] = target.domain;
        if (hasLinkCapacity(settings, target))
            usable.push_back(&target);
    }
    std::optional<ChainHash> placementKey;
    std::map<UpstreamId, std::vector<std::uint32_t>> orders;
    for (std::uint32_t block = 0; block < chain.size(); ++block) {
        const auto touches = block < coverage.touches.size() ? coverage.touches[block] + 1 : 1;
        const auto stores = storesOf(coverage, block);
        const auto worthKeeping = touches >= settings.minimumTouches || coverage.returnChance >= settings.minimumReturnChance;
        const std::size_t wantedCopies = touches >= settings.copyTouches ? 2 : 1;
        if (stores.size() >= wantedCopies)
            continue;
        // Later blocks are useless without this one.
        if (!worthKeeping)
            break;
        std::vector<FailureDomain> usedDomains;
        usedDomains.reserve(stores.size());
        for (const auto& store : stores)
            usedDomains.push_back(domains[store]);
        // The first block without a copy is the key of all later ones, so that a prompt's own blocks are placed
        // independently of a shared prefix.
        if (stores.empty() && !placementKey)
            placementKey = chain[block];
        const auto* target = chooseTarget(usable, placementKey.value_or(chain[block]), usedDomains);
        const auto secondCopy = !stores.empty();
        if (target && !(secondCopy && target->fill > settings.maxCopyFill))
            orders[target->store].push_back(block);
        else if (!secondCopy)
            break;
    }
    std::vector<ExportOrder> result;
    result.reserve(orders.size());
    for (auto& [store, blocks] : orders)
        result.push_back({ store, std::move(blocks) });
    return result;
}

} // namespace goldcrestwood
