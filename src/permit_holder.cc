#include "goldcrestwood/permits.h"

#include <algorithm>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

std::vector<InstanceId> floorHolders(const UpstreamId& upstream, const std::vector<InstanceId>& listed, std::uint32_t coldBound,
    const PermitSettings& settings)
{
    const auto requests = std::min(coldBound / 2, settings.maxFloorRequests);
    const auto ranked = rendezvousRank(stableHash(upstream.value), listed, requests + 1);
    std::vector<InstanceId> holders;
    for (std::size_t i = ranked.size() > requests ? 1 : 0; i < ranked.size(); ++i)
        holders.push_back(listed[ranked[i]]);
    return holders;
}

std::uint32_t floorShare(const UpstreamId& upstream, const std::vector<InstanceId>& listed, const InstanceId& self,
    std::uint32_t coldBound, const PermitSettings& settings)
{
    const auto holders = floorHolders(upstream, listed, coldBound, settings);
    return std::find(holders.begin(), holders.end(), self) == holders.end() ? 0 : 1;
}

PermitHolder::PermitHolder(UpstreamId target, InstanceId id, std::uint64_t processIncarnation, ConcurrencySettings limits,
    PermitSettings permitSettings, TimePoint now)
    : upstream(std::move(target))
    , self(std::move(id))
    , incarnation(processIncarnation)
    , settings(permitSettings)
    , detector(limits)
    , floorSettledAt(now)
    , grantExpiry(now)
    , lastSentAt(now - permitSettings.renewAfter)
{
}

void PermitHolder::setFloor(std::uint32_t share, TimePoint now)
{
    if (share > this->floor) {
        this->settledFloor = this->usableFloor(now);
        this->floorSettledAt = now + this->settings.floorSettleTime;
    }
    this->floor = share;
}

void PermitHolder::onOwnerChange()
{
    // Further grants of the old owner are ignored; its earlier grant stays usable and is reported to the new owner.
    this->minAcceptedSequence = this->sequence + 1;
    this->mustReportNow = true;
}

std::optional<Permit> PermitHolder::tryAcquire(TimePoint now)
{
    if (this->running >= this->allowance(now))
        return std::nullopt;
    ++this->running;
    this->peakDemand = std::max(this->peakDemand, this->running + this->waiting);
    return Permit { this->detector.epoch() };
}

void PermitHolder::onFirstToken(std::uint64_t epoch, double slowdown)
{
    this->onEpoch(epoch);
    if (slowdown <= 0)
        return;
    this->slowdownSum += slowdown;
    ++this->slowdownSamples;
    if (this->detector.onSuccesses(1, this->running, slowdown) == LimitChange::None)
        return;
    this->coldSequence = this->sequence + 1;
    this->dropGrant(this->sequence);
}

void PermitHolder::release(const Permit& permit, PermitEnd end)
{
    --this->running;
    if (permit.epoch != this->detector.epoch() || end == PermitEnd::Cancelled)
        return;
    if (end == PermitEnd::Succeeded) {
        ++this->successes;
        this->detector.onSuccesses(1, this->running, 0);
        return;
    }
    ++this->errors;
    // The owner decides on the errors of all holders; this holder stops at once on its own evidence.
    if (this->detector.onErrors(1) == LimitChange::ResetToCold)
        this->dropGrant(this->sequence);
}

void PermitHolder::onEpoch(std::uint64_t epoch)
{
    if (epoch <= this->detector.epoch())
        return;
    const auto change = this->detector.onEpoch(epoch);
    this->successes = 0;
    this->errors = 0;
    if (change == LimitChange::ResetToCold)
        this->dropGrant(this->sequence);
}

void PermitHolder::onGrant(const PermitGrant& grant, TimePoint now)
{
    if (grant.upstream != this->upstream || grant.incarnation != this->incarnation)
        return;
    if (grant.sequence < std::max(this->minAcceptedSequence, this->grantSequence) || grant.epoch < this->detector.epoch())
        return;
    auto isAnswered = [&](const Sent& entry) { return entry.sequence == grant.sequence; };
    const auto request = std::find_if(this->sentRequests.begin(), this->sentRequests.end(), isAnswered);
    if (request == this->sentRequests.end() || request->at + grant.term <= now)
        return;
    this->onEpoch(grant.epoch);
    // For one sequence the owner only increases the count, so the order of its messages does not matter.
    this->grantedCount = grant.sequence == this->grantSequence ? std::max(this->grantedCount, grant.count) : grant.count;
    this->grantSequence = grant.sequence;
    this->minAcceptedSequence = grant.sequence;
    this->grantExpiry = request->at + grant.term;
    this->unansweredRequests = 0;
    this->othersWait = grant.contended;
    if (grant.sequence >= this->coldSequence)
        this->coldSequence = 0;
}

void PermitHolder::onRevoke(const PermitRevoke& revoke)
{
    if (revoke.upstream != this->upstream)
        return;
    this->onEpoch(revoke.epoch);
    if (revoke.sequence < this->grantSequence)
        return;
    this->detector.resetToCold();
    this->dropGrant(revoke.sequence);
}

std::optional<PermitRequest> PermitHolder::poll(TimePoint now)
{
    if (!this->isDue(now))
        return std::nullopt;
    const bool isUsable = this->hasGrant(now);
    ++this->sequence;
    if (!isUsable)
        this->minAcceptedSequence = this->sequence;
    std::erase_if(this->sentRequests, [&](const Sent& entry) { return entry.at + this->settings.term <= now; });
    this->sentRequests.push_back({ this->sequence, now });

    PermitRequest request;
    request.upstream = this->upstream;
    request.holder = this->self;
    request.incarnation = this->incarnation;
    request.sequence = this->sequence;
    request.validFrom = isUsable ? this->grantSequence : this->sequence;
    request.epoch = this->detector.epoch();
    request.held = isUsable ? this->grantedCount : 0;
    request.inFlight = this->aboveFloor(this->running, now);
    request.wanted = this->wanted(now);
    request.successes = this->successes;
    request.errors = this->errors;
    request.slowdown = this->slowdownSamples > 0 ? this->slowdownSum / this->slowdownSamples : 0;
    request.cold = this->coldSequence > 0;

    this->slowdownSum = 0;
    this->slowdownSamples = 0;
    this->reportedWanted = request.wanted;
    this->reportedRunning = request.inFlight;
    this->reportedHeld = request.held;
    this->peakDemand = this->running + this->waiting;
    this->lastSentAt = now;
    this->mustReportNow = false;
    ++this->unansweredRequests;
    return request;
}

std::uint32_t PermitHolder::free(TimePoint now) const
{
    const auto allowed = this->allowance(now);
    return allowed > this->running ? allowed - this->running : 0;
}

bool PermitHolder::isIdle(TimePoint now) const
{
    const bool isUsed = this->running > 0 || this->waiting > 0 || this->floor > 0;
    return !isUsed && this->reportedWanted == 0 && !this->hasGrant(now);
}

std::uint32_t PermitHolder::allowance(TimePoint now) const
{
    return this->usableFloor(now) + (this->hasGrant(now) ? this->grantedCount : 0);
}

std::uint32_t PermitHolder::usableFloor(TimePoint now) const
{
    return now >= this->floorSettledAt ? this->floor : std::min(this->floor, this->settledFloor);
}

std::uint32_t PermitHolder::aboveFloor(std::uint32_t requests, TimePoint now) const
{
    const auto share = this->usableFloor(now);
    return requests > share ? requests - share : 0;
}

std::uint32_t PermitHolder::wanted(TimePoint now) const
{
    const auto demand = this->running + this->waiting;
    return this->aboveFloor(this->othersWait ? demand : std::max(demand, this->peakDemand), now);
}

bool PermitHolder::isDue(TimePoint now) const
{
    const auto age = now - this->lastSentAt;
    if (age < this->settings.requestInterval)
        return false;
    if (this->mustReportNow)
        return true;
    if (this->unansweredRequests > 0) {
        const auto doublings = std::min(this->unansweredRequests - 1, 8U);
        if (age < std::min(this->settings.answerTimeout * (1 << doublings), this->settings.renewAfter))
            return false;
    }
    const auto desired = this->wanted(now);
    const auto allowed = this->hasGrant(now) ? this->grantedCount : 0;
    const bool needsReport = desired > this->reportedWanted || this->unansweredRequests > 0;
    if (needsReport && desired > allowed)
        return true;
    if (this->othersWait && (this->aboveFloor(this->running, now) < this->reportedRunning || desired < this->reportedWanted))
        return true;
    // The owner charges a former, larger grant until a report shows that the smaller one has arrived.
    if (this->othersWait && allowed < this->reportedHeld)
        return true;
    const bool isInUse = desired > 0 || this->reportedWanted > 0 || this->reportedRunning > 0;
    return isInUse && age >= this->settings.renewAfter;
}

void PermitHolder::dropGrant(std::uint64_t upTo)
{
    this->minAcceptedSequence = std::max(this->minAcceptedSequence, upTo + 1);
    this->grantedCount = 0;
    this->grantExpiry = TimePoint();
    this->mustReportNow = true;
}

} // namespace goldcrestwood
