#include "goldcrestwood/feed_readers.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    /// Weight of a candidate's capacity; a daemon of four times the capacity is chosen 64 times as often.
    constexpr double capacityExponent = 3;
    /// Most daemons that query one reader, relative to an even share.
    constexpr double maxShareFactor = 1.15;

} // namespace

std::vector<InstanceId> feedReaders(const std::vector<DaemonCapacity>& candidates, const FeedReaderSettings& settings)
{
    const auto key = stableHash("feed readers");
    std::vector<std::pair<double, const DaemonCapacity*>> ranking;
    ranking.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranking.emplace_back(weightedScore(key, candidate.instance.value, std::pow(std::max(candidate.capacity, minCapacity), capacityExponent)), &candidate);
    std::sort(ranking.begin(), ranking.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    const auto count = std::min(settings.readerCount, ranking.size());
    const auto maxPerDomain = (count + 1) / 2;
    std::map<FailureDomain, std::size_t> perDomain;
    std::vector<InstanceId> result;
    std::vector<InstanceId> spare; // For a site with too few candidates in other domains.
    for (const auto& [score, candidate] : ranking)
        (++perDomain[candidate->domain] <= maxPerDomain ? result : spare).push_back(candidate->instance);
    result.insert(result.end(), spare.begin(), spare.end());
    result.resize(count);
    return result;
}

InstanceId readerFor(const InstanceId& self, const std::vector<InstanceId>& readers, const std::vector<DaemonCapacity>& daemons)
{
    if (readers.empty())
        return {};
    // Rendezvous hashing with bounded loads: a daemon whose reader is full takes the next one in its ranking.
    const auto ownHash = stableHash(self.value);
    std::vector<std::uint64_t> order { ownHash };
    for (const auto& daemon : daemons)
        if (const auto hash = stableHash(daemon.instance.value); hash < ownHash)
            order.push_back(hash);
    std::sort(order.begin(), order.end());
    // All of the bounds together exceed the number of daemons, so that one reader is always below its own.
    const auto evenShare = static_cast<double>(daemons.size() + 1) / static_cast<double>(readers.size());
    const auto maxFollowers = static_cast<std::size_t>(std::ceil(evenShare * maxShareFactor));
    std::vector<std::size_t> followers(readers.size());
    std::size_t chosen = 0;
    for (const auto hash : order) {
        const auto ranking = rendezvousRank(hash, readers, readers.size());
        chosen = *std::find_if(ranking.begin(), ranking.end(), [&](auto reader) { return followers[reader] < maxFollowers; });
        ++followers[chosen];
    }
    return readers[chosen];
}

bool followsEngines(std::size_t daemons, const FeedReaderSettings& settings)
{
    return daemons <= settings.maxEngineFollowers;
}

Duration queryInterval(std::size_t daemons, const FeedReaderSettings& settings)
{
    return std::clamp<Duration>(settings.queryIntervalPerDaemon * static_cast<int>(daemons), settings.minQueryInterval, settings.maxQueryInterval);
}

} // namespace goldcrestwood
