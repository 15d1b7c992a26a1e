/// @file
/// UpstreamBoard: whether an upstream may take a request, from its state, its load and its own notices.

#include <algorithm>

#include "upstream_cost.h"

namespace goldcrestwood {

namespace {

    /// Time before the end of the drain period from which a draining upstream gets no requests.
    constexpr Duration drainMargin = std::chrono::milliseconds(250);

} // namespace

const char* toString(Obstacle obstacle)
{
    switch (obstacle) {
    case Obstacle::None:
        return "none";
    case Obstacle::AlreadyTried:
        return "tried";
    case Obstacle::Leaving:
        return "leaving";
    case Obstacle::BackingOff:
        return "resting";
    case Obstacle::Evacuated:
        return "evacuated";
    case Obstacle::LoadingWeights:
        return "ordered";
    case Obstacle::OldWeights:
        return "old_weights";
    case Obstacle::Version:
        return "version";
    case Obstacle::Cold:
        return "cold";
    case Obstacle::Limited:
        return "limited";
    case Obstacle::Slots:
        return "slots";
    case Obstacle::Memory:
        return "memory";
    case Obstacle::Backlog:
        return "backlog";
    }
    return "unknown";
}

std::string PlacementObstacles::text() const
{
    std::string result;
    for (const auto& [obstacle, count] : this->upstreams)
        result += (result.empty() ? "" : " ") + std::string(toString(obstacle)) + ':' + std::to_string(count);
    return result;
}

bool UpstreamBoard::onNotice(const UpstreamId& id, std::int64_t born, const UpstreamNotice& notice, TimePoint now)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || found->second.entry.born != born)
        return false;
    auto& upstream = found->second;
    const bool isLeavingNew = notice.isLeaving && !upstream.leavingSince;
    if (isLeavingNew)
        upstream.leavingSince = now;
    // Each notice holds for its own duration, so the latest end applies.
    const bool isBackoffNew = notice.backoff && now + *notice.backoff > upstream.backoffUntil;
    if (isBackoffNew)
        upstream.backoffUntil = now + *notice.backoff;
    return isLeavingNew || isBackoffNew;
}

bool UpstreamBoard::isLastResort(const Upstream& upstream, TimePoint now) const
{
    return upstream.leavingSince && now - *upstream.leavingSince < this->bounds.drainTime - drainMargin;
}

bool UpstreamBoard::maySend(const PlacementChoice& choice, TimePoint now) const
{
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end() || found->second.entry.born != choice.born)
        return true;
    const auto& upstream = found->second;
    if (now < upstream.backoffUntil)
        return false;
    return !upstream.leavingSince || (*upstream.leavingSince <= choice.chosen && this->isLastResort(upstream, now));
}

bool UpstreamBoard::isLeaving(const UpstreamId& id) const
{
    const auto found = this->upstreams.find(id);
    return found != this->upstreams.end() && found->second.leavingSince;
}

Duration UpstreamBoard::backoffRemaining(const UpstreamId& id, TimePoint now) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? Duration(0) : std::max(Duration(0), found->second.backoffUntil - now);
}

std::vector<std::string> UpstreamBoard::leavingAddresses() const
{
    std::vector<std::string> result;
    for (const auto& [id, upstream] : this->upstreams)
        if (upstream.leavingSince)
            result.push_back(upstream.entry.address);
    return result;
}

Obstacle UpstreamBoard::eligibilityObstacle(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const
{
    const auto& entry = upstream.entry;
    if (entry.isDraining || (upstream.leavingSince && !this->isLastResort(upstream, now)))
        return Obstacle::Leaving;
    if (now < upstream.backoffUntil)
        return Obstacle::BackingOff;
    if (this->evacuated.contains(entry.domain))
        return Obstacle::Evacuated;
    if (this->loadingWeights.contains(entry.id))
        return Obstacle::LoadingWeights;
    if (!request.excludedVersion.empty() && entry.softwareVersion == request.excludedVersion)
        return Obstacle::Version;
    if (!request.requiredVersion.empty() && entry.softwareVersion != request.requiredVersion)
        return Obstacle::Version;
    if (request.minWeightVersion > 0) {
        const auto weights = entry.weights.find(request.model);
        if (weights == entry.weights.end() || weights->second < request.minWeightVersion)
            return Obstacle::OldWeights;
    }
    return this->hasColdCapacity(upstream, now) ? Obstacle::None : Obstacle::Cold;
}

Obstacle UpstreamBoard::capacityObstacle(const Upstream& upstream, const Load& load, const PlacementRequest& request, const EngineLimits* engine, TimePoint now) const
{
    if (!this->hasTurn(upstream, now))
        return Obstacle::Limited;
    // Reserve room for a request that arrives later and can still be on time; assume that it is as large.
    const auto reserved = request.isLate ? request.promptTokens + request.outputTokens : 0;
    if (engine == nullptr)
        return load.requests + (request.isLate ? 1 : 0) >= 2 * std::max(1U, upstream.entry.slots) ? Obstacle::Slots : Obstacle::None;
    if (load.requests >= upstream.entry.slots)
        return Obstacle::Slots;
    const auto memory = static_cast<double>(engine->cacheTokens) * this->settings.memoryShare;
    const auto fits = [&](std::uint64_t tokens) { return load.requests == 0 || static_cast<double>(tokens + reserved) <= memory; };
    auto needed = load.memory() + privateTokens(request);
    // Most requests fit, or not, whichever of their parts are in use.
    if (fits(needed) && !fits(needed + sharedTokens(request)))
        forEachShared(request, scopeOf(upstream.entry, request), [&](std::uint32_t key, std::uint32_t tokens) {
            if (!load.uses(key))
                needed += tokens;
        });
    if (!fits(needed))
        return Obstacle::Memory;
    const auto ahead = static_cast<double>(load.backlogAhead(classOf(request)));
    const bool isLate = ahead > 0 && ahead / this->tokensPerMillisecond * slownessAt(upstream, now) > toMs(request.objective) * this->settings.backlogShare;
    return isLate ? Obstacle::Backlog : Obstacle::None;
}

PlacementObstacles UpstreamBoard::obstaclesOf(const PlacementRequest& request, const std::set<UpstreamId>& excluded, TimePoint now) const
{
    PlacementObstacles result;
    const auto ids = this->byService.find(request.service);
    if (ids == this->byService.end())
        return result;
    const auto* service = this->serviceOf(request.service);
    const auto* engine = service != nullptr && service->engine ? &*service->engine : nullptr;
    for (const auto& id : ids->second) {
        const auto& upstream = this->upstreams.at(id);
        auto obstacle = excluded.contains(id) ? Obstacle::AlreadyTried : this->eligibilityObstacle(upstream, request, now);
        if (obstacle == Obstacle::None)
            obstacle = this->capacityObstacle(upstream, this->totalLoad(upstream, now), request, engine, now);
        ++result.upstreams[obstacle];
    }
    return result;
}

std::optional<TimePoint> UpstreamBoard::nextAvailableAt(
    const PlacementRequest& request, const std::set<UpstreamId>& excluded, std::size_t ahead, TimePoint now) const
{
    std::optional<TimePoint> result;
    std::optional<TimePoint> firstTurn;
    double turns = 0;
    double turnsPerSecond = 0;
    const auto ids = this->byService.find(request.service);
    if (ids == this->byService.end())
        return result;
    for (const auto& id : ids->second) {
        if (excluded.contains(id))
            continue;
        const auto& upstream = this->upstreams.at(id);
        const auto obstacle = this->eligibilityObstacle(upstream, request, now);
        if (obstacle == Obstacle::BackingOff)
            result = std::min(result.value_or(upstream.backoffUntil), upstream.backoffUntil);
        else if (obstacle == Obstacle::None && !this->hasTurn(upstream, now)) {
            const auto share = this->turnShare(upstream);
            const auto heldUntil = upstream.limit.heldUntil(share, now);
            firstTurn = std::min(firstTurn.value_or(heldUntil), heldUntil);
            turns += upstream.limit.turns(share, now);
            turnsPerSecond += share.perSecond;
        } else if (obstacle != Obstacle::Leaving)
            return std::nullopt;
    }
    if (turnsPerSecond <= 0)
        return result;
    const auto turn = std::max(*firstTurn, now + fromSeconds((static_cast<double>(ahead + 1) - turns) / turnsPerSecond));
    return std::min(result.value_or(turn), turn);
}

} // namespace goldcrestwood
