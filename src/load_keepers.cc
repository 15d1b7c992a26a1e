#include "goldcrestwood/load_keepers.h"

#include <algorithm>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    /// Two, as one aggregator of an upstream may be dead or partitioned.
    constexpr std::size_t aggregatorsPerKey = 2;

} // namespace

std::vector<InstanceId> LoadAggregators::aggregatorsOf(std::string_view key) const
{
    if (this->mesh)
        return this->aggregators;
    std::vector<InstanceId> result;
    for (const auto index : rendezvousRank(stableHash(key), this->aggregators, aggregatorsPerKey))
        result.push_back(this->aggregators[index]);
    return result;
}

bool LoadAggregators::aggregates(const InstanceId& daemon, std::string_view key) const
{
    const auto assigned = this->aggregatorsOf(key);
    return std::find(assigned.begin(), assigned.end(), daemon) != assigned.end();
}

std::map<InstanceId, LoadReport> LoadAggregators::split(const InstanceId& self, const LoadReport& report) const
{
    std::map<InstanceId, LoadReport> result;
    for (const auto& aggregator : this->aggregators)
        if (aggregator != self) {
            auto& part = result[aggregator];
            part.instance = self;
            part.wantsDigest = !this->mesh;
        }
    const auto addToReports = [&](std::string_view key, const auto& item, auto LoadReport::*list) {
        for (const auto& aggregator : this->aggregatorsOf(key))
            if (const auto part = result.find(aggregator); part != result.end())
                (part->second.*list).push_back(item);
    };
    for (const auto& use : report.uses)
        addToReports(use.upstream.value, use, &LoadReport::uses);
    for (const auto& outcomes : report.upstreams)
        addToReports(outcomes.upstream.value, outcomes, &LoadReport::upstreams);
    for (const auto& source : report.sources)
        addToReports(source.address, source, &LoadReport::sources);
    for (const auto& pace : report.paces)
        addToReports(pace.upstream.value, pace, &LoadReport::paces);
    return result;
}

} // namespace goldcrestwood
