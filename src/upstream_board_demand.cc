/// @file
/// UpstreamBoard: demand for the replicas of a service.

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "goldcrestwood/upstream_board.h"

namespace goldcrestwood {

namespace {

    /// Share of failures among an upstream's recent answers from which it counts as failing.
    constexpr double failingShare = 0.2;

    /// Each upstream has two aggregators, so that one of them may be silent.
    constexpr std::size_t silentAggregators = 1;

    double ratio(double part, double whole)
    {
        return whole > 0 ? part / whole : 0;
    }

} // namespace

double UpstreamBoard::usedShare(const Upstream& upstream, const Load& load, const EngineLimits* engine, const BacklogLimits& limits) const
{
    auto used = ratio(load.requests, std::max(1U, upstream.entry.slots));
    if (engine != nullptr) {
        const auto prefillMs = [&](std::uint64_t tokens) { return static_cast<double>(tokens) / this->tokensPerMillisecond * upstream.slowness; };
        used = std::max({ used, ratio(static_cast<double>(load.memory()), static_cast<double>(engine->cacheTokens) * this->settings.memoryShare),
            ratio(prefillMs(load.backlogAhead(0)), toMs(limits.shortest) * this->settings.backlogShare),
            ratio(prefillMs(load.backlogAhead(engineClasses - 1)), toMs(limits.longest) * this->settings.backlogShare) });
    }
    return std::min(used, 1.0);
}

bool UpstreamBoard::isImpaired(const Upstream& upstream, TimePoint now) const
{
    return now < upstream.coldUntil || now < upstream.avoidUntil || now < upstream.backoffUntil || this->loadingWeights.contains(upstream.entry.id)
        || this->failureShareOf(upstream, now) >= failingShare;
}

bool UpstreamBoard::hasLoadSums(const std::vector<InstanceId>& aggregators, TimePoint now) const
{
    const auto silent = std::count_if(aggregators.begin(), aggregators.end(), [&](const auto& aggregator) {
        const auto found = this->digests.find(aggregator);
        return aggregator != this->self && (found == this->digests.end() || now - found->second.at > this->settings.peerReportLifetime);
    });
    return static_cast<std::size_t>(silent) <= silentAggregators;
}

std::vector<DomainDemand> UpstreamBoard::demandFor(
    const ServiceName& service, const BacklogLimits& limits, const std::function<bool(const UpstreamId&)>& isAggregated, TimePoint now) const
{
    std::map<FailureDomain, DomainDemand> domains;
    const auto ids = this->byService.find(service);
    if (ids == this->byService.end())
        return {};
    const auto* description = this->serviceOf(service);
    const auto* engine = description != nullptr && description->engine ? &*description->engine : nullptr;
    const bool isAnyFull = std::any_of(this->digests.begin(), this->digests.end(),
        [&](const auto& digest) { return digest.second.isFull && now - digest.second.at <= this->settings.peerReportLifetime; });
    std::vector<DomainDemand*> unlisted; // The domain of each upstream whose load no digest had room for.
    std::optional<std::pair<double, std::uint32_t>> least;
    for (const auto& id : ids->second) {
        const auto& upstream = this->upstreams.at(id);
        auto& domain = domains[upstream.entry.domain];
        domain.domain = upstream.entry.domain;
        if (upstream.entry.isDraining || upstream.leavingSince) {
            ++domain.leaving;
            continue;
        }
        if (this->evacuated.contains(upstream.entry.domain))
            continue;
        ++domain.ready;
        domain.impaired += this->isImpaired(upstream, now) ? 1 : 0;
        const auto load = this->totalLoad(upstream, now);
        const bool isReported = upstream.reported && now - upstream.reported->at <= this->settings.peerReportLifetime;
        if (isAnyFull && !isReported && !isAggregated(id)) {
            unlisted.push_back(&domain);
            continue;
        }
        const auto used = this->usedShare(upstream, load, engine, limits);
        if (isReported)
            least = std::min(least.value_or(std::pair(used, load.requests)), std::pair(used, load.requests));
        domain.used += used;
        domain.requests += load.requests;
    }
    // A full digest names the busiest upstreams, so the others are at most as busy as the least busy one that it names. If it names
    // none of this service, they count as idle: its upstreams are then less busy than all that it names.
    if (least)
        for (auto* domain : unlisted) {
            domain->used += least->first;
            domain->requests += least->second;
        }
    std::vector<DomainDemand> result;
    result.reserve(domains.size());
    for (const auto& [name, demand] : domains)
        result.push_back(demand);
    return result;
}

} // namespace goldcrestwood
