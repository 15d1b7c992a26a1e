/// @file
/// The part of the board that tells the peers of own work and experience, and counts theirs.

#include <algorithm>
#include <utility>

#include "upstream_cost.h"

namespace goldcrestwood {

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
    for (auto& [id, upstream] : this->upstreams) {
        auto& experience = upstream.experience;
        if (experience.answers + experience.failures == 0)
            continue;
        result.push_back(std::exchange(experience, {}));
        result.back().upstream = id;
    }
    return result;
}

std::uint32_t UpstreamBoard::requestsAt(const UpstreamId& id) const
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        return 0;
    auto sum = found->second.own.requests;
    for (const auto& [peer, report] : found->second.peers)
        sum += report.use.requests;
    return sum;
}

void UpstreamBoard::learnSource(const SourceExperience& told, TimePoint now)
{
    for (const auto slowness : told.slowness)
        keepSample(this->moveSources[told.address].samples, { now, std::clamp(slowness, 1.0, mostSlowness) });
}

std::vector<SourceExperience> UpstreamBoard::takeSourceExperience()
{
    std::vector<SourceExperience> result;
    for (auto& [address, source] : this->moveSources)
        if (!source.untold.empty())
            result.push_back({ address, std::exchange(source.untold, {}) });
    return result;
}

} // namespace goldcrestwood
