#include "goldcrestwood/feed_readers.h"

#include <algorithm>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

std::vector<InstanceId> feedReaders(const std::vector<DaemonCapacity>& candidates, const FeedReaderSettings& settings)
{
    const auto key = stableHash("feed readers");
    std::vector<std::pair<double, InstanceId>> ranking;
    ranking.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranking.emplace_back(weightedScore(key, candidate.instance.value, std::max(candidate.capacity, minCapacity)), candidate.instance);
    const auto count = std::min(settings.readerCount, ranking.size());
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), ranking.end(), std::greater<>());
    std::vector<InstanceId> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back(ranking[index].second);
    return result;
}

InstanceId readerFor(const InstanceId& self, const std::vector<InstanceId>& readers)
{
    const auto ranking = rendezvousRank(stableHash(self.value), readers, 1);
    return ranking.empty() ? InstanceId() : readers[ranking.front()];
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
