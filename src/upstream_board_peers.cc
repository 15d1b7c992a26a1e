/// @file
/// UpstreamBoard: exchange of load and outcomes with the other daemons.

#include <algorithm>
#include <utility>

#include "upstream_cost.h"

namespace goldcrestwood {

namespace {

    /// Smaller failure shares are not reported.
    constexpr double minReportedFailureShare = 0.01;

    /// Visits the entries of a map round-robin, starting after @p last, until @p visit returns false.
    /// @param last Set to the key of the last visited entry.
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

    /// Keeps only the @p limit entries with the most requests.
    template <typename Use>
    void keepBusiest(std::vector<Use>& uses, std::size_t limit)
    {
        if (uses.size() <= limit)
            return;
        const auto end = uses.begin() + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(uses.begin(), end, uses.end(), [](const auto& left, const auto& right) { return left.requests > right.requests; });
        uses.erase(end, uses.end());
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

void UpstreamBoard::onAggregatorLoad(const InstanceId& aggregator, const std::vector<UpstreamLoad>& loads, TimePoint now,
    const std::function<bool(const UpstreamId&)>& isAggregated)
{
    auto& digest = this->digests[aggregator];
    digest.at = now;
    digest.isFull = loads.size() >= this->settings.maxReportedLoads;
    auto& reported = digest.upstreams;
    for (const auto& id : reported)
        if (const auto found = this->upstreams.find(id); found != this->upstreams.end() && found->second.reported && found->second.reported->aggregator == aggregator)
            found->second.reported.reset();
    reported.clear();
    for (const auto& load : loads) {
        if (isAggregated && isAggregated(load.upstream))
            continue;
        if (const auto found = this->upstreams.find(load.upstream); found != this->upstreams.end()) {
            ReportedLoad sum { aggregator, {}, load.failureShare, now };
            addUse(sum.load, { load.upstream, load.requests, load.tokens, load.backlog, {} });
            found->second.reported = std::move(sum);
            reported.push_back(load.upstream);
        }
    }
}

void UpstreamBoard::addUse(Load& load, const UpstreamUse& use)
{
    load.requests += use.requests;
    load.tokens += use.tokens;
    for (std::size_t index = 0; index < std::min(engineClasses, use.backlog.size()); ++index)
        load.backlog[index] += use.backlog[index];
}

template <typename Predicate>
void UpstreamBoard::addPeers(Load& load, const Upstream& upstream, Predicate isCounted, TimePoint now) const
{
    auto& shared = load.peerParts;
    for (const auto& [peer, report] : upstream.peers) {
        if (!isCounted(peer) || now - report.at > this->settings.peerReportLifetime)
            continue;
        addUse(load, report.use);
        shared.insert(shared.end(), report.use.parts.begin(), report.use.parts.end());
    }
    std::erase_if(shared, [&](const auto& part) { return upstream.ownParts.contains(part.key); });
    std::stable_sort(shared.begin(), shared.end(), [](const auto& left, const auto& right) { return left.key < right.key; });
    shared.erase(std::unique(shared.begin(), shared.end(), [](const auto& left, const auto& right) { return left.key == right.key; }), shared.end());
}

UpstreamBoard::Load UpstreamBoard::ownLoad(const Upstream& upstream)
{
    auto load = upstream.own;
    load.ownParts = &upstream.ownParts;
    return load;
}

UpstreamBoard::Load UpstreamBoard::totalLoad(const Upstream& upstream, TimePoint now) const
{
    auto load = ownLoad(upstream);
    if (upstream.reported && now - upstream.reported->at <= this->settings.peerReportLifetime) {
        const auto& reported = upstream.reported->load;
        addUse(load, { {}, reported.requests, reported.tokens, { reported.backlog.begin(), reported.backlog.end() }, {} });
        return load;
    }
    this->addPeers(
        load, upstream, [](const InstanceId&) { return true; }, now);
    return load;
}

double UpstreamBoard::failureShareOf(const Upstream& upstream, TimePoint now) const
{
    const bool isReported = upstream.reported && now - upstream.reported->at <= this->settings.peerReportLifetime;
    return isReported ? upstream.reported->failureShare : upstream.failureShare;
}

std::vector<UpstreamLoad> UpstreamBoard::loadsFor(
    const InstanceId& receiver, const std::function<bool(const UpstreamId&)>& isAggregated, TimePoint now) const
{
    std::vector<UpstreamLoad> result;
    for (const auto& [id, upstream] : this->upstreams) {
        if (!isAggregated(id))
            continue;
        auto load = ownLoad(upstream);
        this->addPeers(
            load, upstream, [&](const InstanceId& peer) { return peer != receiver; }, now);
        if (load.requests > 0 || upstream.failureShare >= minReportedFailureShare)
            result.push_back({ id, load.requests, load.memory(), { load.backlog.begin(), load.backlog.end() }, upstream.failureShare });
    }
    keepBusiest(result, this->settings.maxReportedLoads);
    return result;
}

std::vector<SourceExperience> UpstreamBoard::slowSources(TimePoint now) const
{
    std::vector<SourceExperience> result;
    for (const auto& [address, source] : this->transferSources) {
        const auto slowness = slownessOf(source, now);
        // The minimum number of samples from which a receiver derives an estimate.
        if (slowness > 1 && result.size() < this->settings.maxReportedSources)
            result.push_back({ address, std::vector<double>(minTransferSamples, slowness) });
    }
    return result;
}

std::vector<UpstreamUse> UpstreamBoard::ownUses() const
{
    std::vector<UpstreamUse> uses;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.own.requests == 0)
            continue;
        const auto& load = upstream.own;
        uses.push_back({ id, load.requests, load.tokens, { load.backlog.begin(), load.backlog.end() }, {} });
    }
    keepBusiest(uses, this->settings.maxReportedUses);
    // Parts beyond the limit are counted as private tokens.
    auto left = this->settings.maxReportedParts;
    for (auto& use : uses) {
        const auto& own = this->upstreams.at(use.upstream).ownParts;
        use.parts = own.first(left);
        use.tokens += own.tokens() - sumOfTokens(use.parts);
        left -= use.parts.size();
    }
    return uses;
}

void UpstreamBoard::onPeerOutcomes(
    const std::vector<UpstreamExperience>& outcomes, const std::vector<SourceExperience>& sources, TimePoint now)
{
    for (const auto& report : outcomes)
        if (const auto found = this->upstreams.find(report.upstream); found != this->upstreams.end())
            this->recordOutcomes(found->second, report.answers, report.failures);
    for (const auto& report : sources)
        this->recordSourceSamples(report, now);
}

std::vector<UpstreamExperience> UpstreamBoard::takeUpstreamOutcomes()
{
    std::vector<UpstreamExperience> result;
    visitAfter(this->upstreams, this->lastReportedUpstream, [&](auto& entry) {
        auto& outcomes = entry.second.unreportedOutcomes;
        if (outcomes.answers + outcomes.failures > 0) {
            result.push_back(std::exchange(outcomes, {}));
            result.back().upstream = entry.first;
        }
        return result.size() < this->settings.maxReportedUpstreams;
    });
    return result;
}

std::uint32_t UpstreamBoard::requestsAt(const UpstreamId& id, TimePoint now) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? 0 : this->totalLoad(found->second, now).requests;
}

void UpstreamBoard::removeUnknownPeers()
{
    for (auto entry = this->usedByPeer.begin(); entry != this->usedByPeer.end();) {
        if (std::any_of(this->daemons.begin(), this->daemons.end(), [&](const auto& daemon) { return daemon.instance == entry->first; })) {
            ++entry;
            continue;
        }
        for (const auto& id : entry->second)
            if (const auto found = this->upstreams.find(id); found != this->upstreams.end())
                found->second.peers.erase(entry->first);
        entry = this->usedByPeer.erase(entry);
    }
}

void UpstreamBoard::recordSourceSamples(const SourceExperience& report, TimePoint now)
{
    for (const auto slowness : report.slowness)
        addSample(this->transferSources[report.address].samples, { now, std::clamp(slowness, 1.0, maxSlowness) });
}

std::vector<SourceExperience> UpstreamBoard::takeSourceSamples()
{
    std::vector<SourceExperience> result;
    visitAfter(this->transferSources, this->lastReportedSource, [&](auto& entry) {
        if (!entry.second.unreported.empty())
            result.push_back({ entry.first, std::exchange(entry.second.unreported, {}) });
        return result.size() < this->settings.maxReportedSources;
    });
    return result;
}

} // namespace goldcrestwood
