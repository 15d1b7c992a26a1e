/// @file
/// UpstreamBoard: which requests leave the daemon's own failure domain, and how many.

#include <algorithm>
#include <map>

#include "upstream_cost.h"

namespace goldcrestwood {

namespace {

    /// Connect times within a failure domain and to another one until they are measured, milliseconds.
    constexpr double usualLocalDelayMs = 0.5;
    constexpr double usualCrossingDelayMs = 2;
    /// A streamed token is an event of about this size.
    constexpr double bytesPerOutputToken = 16;
    constexpr double bytesPerKilobyte = 1024;
    /// Another domain whose load is at least this share of the own domain's is short of capacity too.
    constexpr double similarLoad = 0.75;
    /// Share of the room that is used within one view. In the model of domain_model_test 0.5 does not fill a steady gap, and above 1
    /// more requests are late where demand is out of step.
    constexpr double usedRoom = 0.75;
    /// The room is computed again after this time, as it takes a pass over all upstreams of the service.
    constexpr Duration roomLifetime = std::chrono::milliseconds(50);

} // namespace

UpstreamBoard::DomainScope UpstreamBoard::domainScope(const PlacementRequest& request, const std::set<UpstreamId>& excluded, TimePoint now) const
{
    const auto ids = this->byService.find(request.service);
    if (this->ownDomain.value.empty() || ids == this->byService.end())
        return {};
    bool isLocalKnown = false;
    bool isElsewhereKnown = false;
    DomainScope scope;
    for (const auto& id : ids->second) {
        const auto& upstream = this->upstreams.at(id);
        const bool local = this->isLocal(upstream);
        (local ? isLocalKnown : isElsewhereKnown) |= upstream.pace.isKnown();
        if (local && !scope.hasUsableLocal)
            scope.hasUsableLocal = !excluded.contains(id) && !upstream.leavingSince && upstream.avoidUntil <= now && this->eligibilityObstacle(upstream, request, now) == Obstacle::None;
    }
    scope.isActive = isLocalKnown && isElsewhereKnown;
    return scope;
}

void UpstreamBoard::onConnected(const PlacementChoice& choice, Duration time, TimePoint now)
{
    if (const auto* entry = this->find(choice.upstream); entry != nullptr && !this->ownDomain.value.empty())
        this->linkDelays[entry->domain].onConnected(time, now);
}

double UpstreamBoard::crossingMs(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const
{
    const auto delayTo = [&](const FailureDomain& to, double usual) {
        const auto delay = this->linkDelays.find(to);
        return delay == this->linkDelays.end() ? usual : delay->second.ms(now).value_or(usual);
    };
    const auto delay = std::max(0.0, delayTo(upstream.entry.domain, usualCrossingDelayMs) - delayTo(this->ownDomain, usualLocalDelayMs));
    const auto bytes = static_cast<double>(request.bodyBytes) + static_cast<double>(request.outputTokens) * bytesPerOutputToken;
    return delay + bytes / bytesPerKilobyte * this->settings.crossingMsPerKilobyte;
}

double UpstreamBoard::capacityShare(const ServiceName& service, TimePoint now) const
{
    // The busiest resource counts: slots, or memory of engines.
    std::map<FailureDomain, std::pair<double, double>> loads; // Sum and number.
    const auto* known = this->serviceOf(service);
    const auto ids = this->byService.find(service);
    if (ids == this->byService.end())
        return 0;
    for (const auto& id : ids->second) {
        const auto& upstream = this->upstreams.at(id);
        const auto load = this->totalLoad(upstream, now);
        auto used = static_cast<double>(load.requests) / std::max(1U, upstream.entry.slots);
        if (known != nullptr && known->engine && known->engine->cacheTokens > 0)
            used = std::max(used, static_cast<double>(load.memory()) / static_cast<double>(known->engine->cacheTokens));
        auto& [sum, number] = loads[upstream.entry.domain];
        sum += used;
        number += 1;
    }
    const auto loadOf = [&](const FailureDomain& of) {
        const auto found = loads.find(of);
        return found == loads.end() ? 0.0 : found->second.first / found->second.second;
    };
    const auto ownLoad = loadOf(this->ownDomain);
    double own = 0;
    double all = 0;
    for (const auto& daemon : this->daemons) {
        const auto capacity = std::max(daemon.capacity, minCapacity);
        if (daemon.instance == this->self)
            own = capacity;
        // A daemon without upstreams in its domain sends everything elsewhere.
        if (daemon.instance == this->self || daemon.domain == this->ownDomain || !loads.contains(daemon.domain) || loadOf(daemon.domain) >= similarLoad * ownLoad)
            all += capacity;
    }
    return own > 0 ? own / all : 1;
}

double UpstreamBoard::roomElsewhere(const PlacementRequest& request, const std::set<UpstreamId>& excluded, double limitMs, std::uint64_t missing, TimePoint now) const
{
    const auto* service = this->serviceOf(request.service);
    const auto* engine = service != nullptr && service->engine ? &*service->engine : nullptr;
    double room = 0;
    const auto ids = this->byService.find(request.service);
    if (ids == this->byService.end())
        return 0;
    for (const auto& id : ids->second) {
        const auto& upstream = this->upstreams.at(id);
        if (this->isLocal(upstream) || excluded.contains(id) || upstream.leavingSince || upstream.avoidUntil > now || this->eligibilityObstacle(upstream, request, now) != Obstacle::None)
            continue;
        const auto load = this->totalLoad(upstream, now);
        if (this->capacityObstacle(upstream, load, request, engine, now) != Obstacle::None)
            continue;
        const auto waitMs = engine != nullptr ? this->prefillCost(upstream, load, request, missing, now) : latencyCost(upstream, load, now);
        Load more = load;
        ++more.requests;
        more.backlog[classOf(request)] += missing;
        const auto nextMs = engine != nullptr ? this->prefillCost(upstream, more, request, missing, now) : latencyCost(upstream, more, now);
        auto free = static_cast<double>(upstream.entry.slots) - load.requests;
        if (engine != nullptr)
            free = std::min(free, (static_cast<double>(engine->cacheTokens) * this->settings.memoryShare - static_cast<double>(load.memory())) / static_cast<double>(std::max<std::uint64_t>(1, privateTokens(request))));
        room += roomAt(limitMs - this->crossingMs(upstream, request, now), waitMs, nextMs - waitMs, free);
    }
    return room;
}

LeaveReason UpstreamBoard::decideLeave(const Placed& local, const Placed& elsewhere, const DomainScope& scope, const PlacementRequest& request, const std::set<UpstreamId>& excluded, TimePoint now)
{
    DomainWaits waits { scope.hasUsableLocal, std::nullopt, std::nullopt, elsewhere.crossingMs, 0 };
    if (local.upstream != nullptr)
        waits.localMs = local.cost;
    if (elsewhere.upstream != nullptr)
        waits.elsewhereMs = elsewhere.cost;
    if (local.upstream != nullptr && elsewhere.upstream != nullptr)
        waits.savedReadMs = (static_cast<double>(local.coverage.missing) - static_cast<double>(elsewhere.coverage.missing)) / this->tokensPerMillisecond
            + local.coverage.transferMs - elsewhere.coverage.transferMs;
    const auto reason = leaveReason(waits);
    if (reason != LeaveReason::Shortage)
        return reason;
    auto& overflow = this->overflows[request.service];
    if (now - overflow.at > roomLifetime) {
        const auto limitMs = std::min(waits.localMs.value_or(toMs(request.objective)), toMs(request.objective));
        const auto room = this->roomElsewhere(request, excluded, limitMs, elsewhere.coverage.missing, now);
        overflow.room = room * usedRoom * this->capacityShare(request.service, now);
        overflow.at = now;
    }
    return overflow.share.mayLeave(overflow.room, this->random, now) ? LeaveReason::Shortage : LeaveReason::None;
}

} // namespace goldcrestwood
