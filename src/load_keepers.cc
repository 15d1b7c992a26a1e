#include "goldcrestwood/load_keepers.h"

#include <algorithm>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    /// Keepers of an upstream: one may be dead or cut off.
    constexpr std::size_t keepersOfEach = 2;

} // namespace

std::vector<InstanceId> LoadKeepers::keepersOf(std::string_view key) const
{
    if (this->mesh)
        return this->keepers;
    std::vector<InstanceId> result;
    for (const auto index : rendezvousRank(stableHash(key), this->keepers, keepersOfEach))
        result.push_back(this->keepers[index]);
    return result;
}

bool LoadKeepers::keeps(const InstanceId& keeper, std::string_view key) const
{
    const auto owners = this->keepersOf(key);
    return std::find(owners.begin(), owners.end(), keeper) != owners.end();
}

std::map<InstanceId, LoadReport> LoadKeepers::split(const InstanceId& self, const LoadReport& report) const
{
    std::map<InstanceId, LoadReport> result;
    for (const auto& keeper : this->keepers)
        if (keeper != self) {
            auto& part = result[keeper];
            part.instance = self;
            part.wantsDigest = !this->mesh;
        }
    const auto give = [&](std::string_view key, const auto& item, auto LoadReport::*list) {
        for (const auto& keeper : this->keepersOf(key))
            if (const auto part = result.find(keeper); part != result.end())
                (part->second.*list).push_back(item);
    };
    for (const auto& use : report.uses)
        give(use.upstream.value, use, &LoadReport::uses);
    for (const auto& experience : report.upstreams)
        give(experience.upstream.value, experience, &LoadReport::upstreams);
    for (const auto& source : report.sources)
        give(source.address, source, &LoadReport::sources);
    return result;
}

} // namespace goldcrestwood
