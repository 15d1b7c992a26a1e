/// @file
/// The part of the board that tells the peers of own work and experience, and counts theirs.

#include <algorithm>
#include <utility>

#include "upstream_cost.h"

namespace goldcrestwood {

namespace {

    /// Visits the entries of a map from after @p last on, then from its beginning, until @p visit wants no more.
    /// @param last Set to the key of the last one visited.
    template <typename Map, typename Visit>
    void visitAfter(Map& map, typename Map::key_type& last, Visit visit)
    {
        auto position = map.upper_bound(last);
        for (std::size_t count = 0; count < map.size(); ++count) {
            if (position == map.end())
                position = map.begin();
            last = position->first;
            if (!visit(*position))
                return;
            ++position;
        }
    }

} // namespace

void UpstreamBoard::onPeerUse(const InstanceId& peer, const std::vector<UpstreamUse>& uses, TimePoint now)
{
    auto& used = this->usedByPeer[peer];
    for (const auto& id : used)
        if (const auto found = this->upstreams.find(id); found != this->upstreams.end())
            found->second.peers.erase(peer);
    used.clear();
    for (const auto& use : uses)
        if (const auto found = this->upstreams.find(use.upstream); found != this->upstreams.end()) {
            found->second.peers[peer] = { use, now };
            used.push_back(use.upstream);
        }
}

UpstreamBoard::Load UpstreamBoard::totalLoad(const Upstream& upstream, TimePoint now) const
{
    auto load = upstream.own;
    for (const auto& [peer, report] : upstream.peers) {
        if (now - report.at > this->settings.peerReportLifetime)
            continue;
        load.requests += report.use.requests;
        load.tokens += report.use.tokens;
        for (std::size_t index = 0; index < std::min(engineClasses, report.use.backlog.size()); ++index)
            load.backlog[index] += report.use.backlog[index];
    }
    return load;
}

std::vector<UpstreamUse> UpstreamBoard::ownUses() const
{
    std::vector<UpstreamUse> uses;
    for (const auto& [id, upstream] : this->upstreams)
        if (upstream.own.requests > 0)
            uses.push_back({ id, upstream.own.requests, upstream.own.tokens, { upstream.own.backlog.begin(), upstream.own.backlog.end() } });
    if (uses.size() > this->settings.mostToldUses) {
        const auto end = uses.begin() + static_cast<std::ptrdiff_t>(this->settings.mostToldUses);
        std::nth_element(uses.begin(), end, uses.end(), [](const auto& left, const auto& right) { return left.requests > right.requests; });
        uses.erase(end, uses.end());
    }
    return uses;
}

void UpstreamBoard::onPeerExperience(
    const std::vector<UpstreamExperience>& experiences, const std::vector<SourceExperience>& sources, TimePoint now)
{
    for (const auto& told : experiences)
        if (const auto found = this->upstreams.find(told.upstream); found != this->upstreams.end())
            this->learnOutcome(found->second, told.answers, told.failures);
    for (const auto& told : sources)
        this->learnSource(told, now);
}

std::vector<UpstreamExperience> UpstreamBoard::takeUpstreamExperience()
{
    std::vector<UpstreamExperience> result;
    visitAfter(this->upstreams, this->lastToldUpstream, [&](auto& entry) {
        auto& experience = entry.second.experience;
        if (experience.answers + experience.failures > 0) {
            result.push_back(std::exchange(experience, {}));
            result.back().upstream = entry.first;
        }
        return result.size() < this->settings.mostToldUpstreams;
    });
    return result;
}

std::uint32_t UpstreamBoard::requestsAt(const UpstreamId& id, TimePoint now) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? 0 : this->totalLoad(found->second, now).requests;
}

void UpstreamBoard::forgetPeers()
{
    for (auto entry = this->usedByPeer.begin(); entry != this->usedByPeer.end();) {
        if (std::find(this->daemons.begin(), this->daemons.end(), entry->first) != this->daemons.end()) {
            ++entry;
            continue;
        }
        for (const auto& id : entry->second)
            if (const auto found = this->upstreams.find(id); found != this->upstreams.end())
                found->second.peers.erase(entry->first);
        entry = this->usedByPeer.erase(entry);
    }
}

void UpstreamBoard::learnSource(const SourceExperience& told, TimePoint now)
{
    for (const auto slowness : told.slowness)
        keepSample(this->moveSources[told.address].samples, { now, std::clamp(slowness, 1.0, mostSlowness) });
}

std::vector<SourceExperience> UpstreamBoard::takeSourceExperience()
{
    std::vector<SourceExperience> result;
    visitAfter(this->moveSources, this->lastToldSource, [&](auto& entry) {
        if (!entry.second.untold.empty())
            result.push_back({ entry.first, std::exchange(entry.second.untold, {}) });
        return result.size() < this->settings.mostToldSources;
    });
    return result;
}

} // namespace goldcrestwood
