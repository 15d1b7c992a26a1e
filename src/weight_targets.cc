#include "goldcrestwood/weight_targets.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    constexpr std::size_t maxTargets = 64;

} // namespace

bool WeightTargets::add(const WeightTarget& target, TimePoint unseenSince)
{
    if (target.version == 0)
        return false;
    const auto position = std::lower_bound(this->targets.begin(), this->targets.end(), target.version,
        [](const Entry& entry, std::uint64_t version) { return entry.target.version < version; });
    if (position == this->targets.end() || position->target.version != target.version) {
        // An unknown target below one that is held may be as old as that one's are.
        const auto gapSince = position == this->targets.end() ? unseenSince : position->unseenSince;
        this->targets.insert(position, { target, gapSince });
        // The oldest ones have long been superseded.
        if (this->targets.size() > maxTargets)
            this->targets.erase(this->targets.begin());
        return true;
    }
    auto& known = position->target;
    if (target.isTimeKnown) {
        known.since = known.isTimeKnown ? std::min(known.since, target.since) : target.since;
        known.isTimeKnown = true;
    }
    if (!known.replaces)
        known.replaces = target.replaces;
    return false;
}

std::uint64_t WeightTargets::newestBelow(std::uint64_t version) const
{
    std::uint64_t result = 0;
    for (const auto& entry : this->targets)
        if (entry.target.version < version)
            result = entry.target.version;
    return result;
}

std::vector<WeightTarget> WeightTargets::withKnownTime(std::size_t most) const
{
    std::vector<WeightTarget> result;
    for (auto entry = this->targets.rbegin(); entry != this->targets.rend() && result.size() < most; ++entry)
        if (entry->target.isTimeKnown)
            result.push_back(entry->target);
    return result;
}

} // namespace goldcrestwood
