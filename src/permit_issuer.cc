#include "goldcrestwood/permits.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    std::uint32_t saturatingSubtract(std::uint32_t left, std::uint32_t right)
    {
        return left > right ? left - right : 0;
    }

} // namespace

PermitIssuer::PermitIssuer(UpstreamId target, ConcurrencySettings limits, PermitSettings permitSettings, TimePoint now)
    : upstream(std::move(target))
    , settings(permitSettings)
    , concurrency(limits)
    , settledAt(now + permitSettings.quorumTerm + permitSettings.term + permitSettings.clockMargin)
{
}

void PermitIssuer::setFloors(std::vector<InstanceId> daemons, TimePoint now)
{
    for (const auto& former : this->floors) {
        if (std::find(daemons.begin(), daemons.end(), former) == daemons.end())
            this->orphans.push_back({ 1, now });
    }
    this->floors = std::move(daemons);
}

std::vector<PermitMessage> PermitIssuer::onRequest(const PermitRequest& request, TimePoint now)
{
    if (request.upstream != this->upstream)
        return {};
    this->expireHolders(now);
    auto* holder = this->findOrAddHolder(request, now);
    if (!holder)
        return {};
    this->applyReport(*holder, request, now);
    std::vector<PermitMessage> out;
    if (this->updateLimit(*holder, request, now) == LimitChange::ResetToCold)
        out = this->revokeAll(holder->id);
    out.push_back(this->issueGrant(*holder, this->grantableCount(*holder, now), now));
    this->serveWaiting(out, now);
    return out;
}

std::vector<PermitMessage> PermitIssuer::onLoad(std::uint64_t reportedEpoch, std::uint32_t reportedRequests, TimePoint now)
{
    std::vector<PermitMessage> out;
    if (this->concurrency.onEpoch(reportedEpoch) == LimitChange::ResetToCold)
        out = this->revokeAll(InstanceId());
    if (now >= this->settledAt + this->settings.maxLoadReportAge)
        this->unattributedRequests = std::min(this->unattributedRequests.value_or(reportedRequests), reportedRequests);
    for (auto& orphan : this->orphans) {
        if (now >= orphan.since + this->settings.orphanCheckAfter)
            orphan.count = std::min(orphan.count, reportedRequests);
    }
    for (auto& holder : this->holders) {
        if (now < holder.lastReportAt + this->settings.orphanCheckAfter)
            continue;
        holder.inFlight = std::min(charge(holder), reportedRequests);
        holder.inherited = 0;
        holder.issuedGrants.clear();
    }
    this->serveWaiting(out, now);
    return out;
}

void PermitIssuer::onHandover(const PermitHandover& handover, TimePoint now)
{
    if (handover.upstream != this->upstream || !handover.authoritative)
        return;
    if (this->isHandedOver || now >= this->settledAt)
        return;
    this->concurrency.restore(handover.epoch, handover.limit);
    for (const auto& [id, incarnation, count] : handover.charges) {
        if (id.empty()) {
            this->orphans.push_back({ count, now });
        } else if (!this->find(id)) {
            Holder holder;
            holder.id = id;
            holder.incarnation = incarnation;
            holder.inherited = count;
            holder.lastReportAt = now;
            this->holders.push_back(std::move(holder));
        }
    }
    this->unattributedRequests = 0;
    this->settledAt = now;
}

void PermitIssuer::onUnanimous(TimePoint now)
{
    if (now >= this->settledAt)
        this->unattributedRequests = 0;
}

PermitHandover PermitIssuer::handOver(TimePoint now)
{
    this->expireHolders(now);
    this->isHandedOver = true;
    PermitHandover handover { this->upstream, this->epoch(), static_cast<double>(this->limit()), {}, now < this->authorityUntil };
    for (const auto& holder : this->holders) {
        if (const auto count = charge(holder); count > 0)
            handover.charges.push_back({ holder.id, holder.incarnation, count });
    }
    for (const auto& orphan : this->orphans)
        handover.charges.push_back({ InstanceId(), 0, orphan.count });
    if (const auto remaining = this->unattributedRequests.value_or(this->limit()); remaining > 0)
        handover.charges.push_back({ InstanceId(), 0, remaining });
    return handover;
}

std::vector<PermitMessage> PermitIssuer::poll(TimePoint now)
{
    this->expireHolders(now);
    std::vector<PermitMessage> out;
    this->serveWaiting(out, now);
    return out;
}

std::size_t PermitIssuer::stateBytes() const
{
    auto bytes = sizeof(*this) + this->orphans.capacity() * sizeof(Orphan) + this->floors.capacity() * sizeof(InstanceId);
    for (const auto& holder : this->holders)
        bytes += sizeof(holder) + holder.issuedGrants.capacity() * sizeof(IssuedGrant);
    return bytes;
}

std::uint32_t PermitIssuer::charge(const Holder& holder)
{
    auto largest = std::max(holder.inFlight, holder.inherited);
    for (const auto& given : holder.issuedGrants)
        largest = std::max(largest, given.count);
    return largest;
}

std::uint32_t PermitIssuer::grantedCount(const Holder& holder)
{
    const bool isAnswered = !holder.issuedGrants.empty() && holder.issuedGrants.back().sequence == holder.sequence;
    return isAnswered ? holder.issuedGrants.back().count : 0;
}

PermitIssuer::Holder* PermitIssuer::find(const InstanceId& id)
{
    auto isMatch = [&](const Holder& holder) { return holder.id == id; };
    const auto found = std::find_if(this->holders.begin(), this->holders.end(), isMatch);
    return found == this->holders.end() ? nullptr : &*found;
}

PermitIssuer::Holder* PermitIssuer::findOrAddHolder(const PermitRequest& request, TimePoint now)
{
    auto* holder = this->find(request.holder);
    if (!holder) {
        this->holders.emplace_back();
        holder = &this->holders.back();
        holder->id = request.holder;
        holder->incarnation = request.incarnation;
    }
    if (request.incarnation < holder->incarnation)
        return nullptr;
    if (request.incarnation > holder->incarnation) {
        // Requests of the former process may still run at the upstream.
        if (const auto remaining = charge(*holder); remaining > 0)
            this->orphans.push_back({ remaining, now });
        *holder = Holder();
        holder->id = request.holder;
        holder->incarnation = request.incarnation;
    }
    return request.sequence > holder->sequence ? holder : nullptr;
}

void PermitIssuer::applyReport(Holder& holder, const PermitRequest& request, TimePoint now) const
{
    std::erase_if(holder.issuedGrants, [&](const IssuedGrant& given) { return given.sequence < request.validFrom; });
    const bool usesOwnGrant = !holder.issuedGrants.empty() && holder.issuedGrants.front().sequence == request.validFrom;
    holder.inherited = usesOwnGrant ? 0 : request.held;
    holder.sequence = request.sequence;
    holder.inFlight = request.inFlight;
    holder.wanted = request.wanted;
    holder.lastReportAt = now;
}

LimitChange PermitIssuer::updateLimit(Holder& holder, const PermitRequest& request, TimePoint now)
{
    if (this->concurrency.onEpoch(request.epoch) == LimitChange::ResetToCold)
        return LimitChange::ResetToCold;
    if (request.epoch < this->epoch())
        return LimitChange::None;
    if (holder.epoch != request.epoch) {
        holder.epoch = request.epoch;
        holder.successes = 0;
        holder.errors = 0;
    }
    if (request.cold)
        return this->concurrency.resetToCold();
    // Permits granted by a former owner in this epoch show what load the upstream can sustain.
    if (holder.inherited > 0 && !this->isSettled(now))
        this->concurrency.restore(request.epoch, this->inheritedSum());
    const auto successes = request.successes - std::min(request.successes, holder.successes);
    const auto errors = request.errors - std::min(request.errors, holder.errors);
    holder.successes = std::max(holder.successes, request.successes);
    holder.errors = std::max(holder.errors, request.errors);
    const auto change = this->concurrency.onSuccesses(successes, this->inFlight(), request.slowdown);
    return change == LimitChange::None ? this->concurrency.onErrors(errors) : change;
}

std::uint32_t PermitIssuer::inFlight() const
{
    std::uint32_t sum = 0;
    for (const auto& holder : this->holders)
        sum += holder.inFlight;
    return sum;
}

std::uint32_t PermitIssuer::inheritedSum() const
{
    std::uint32_t sum = 0;
    for (const auto& holder : this->holders)
        sum += holder.inherited;
    return sum;
}

std::uint32_t PermitIssuer::chargedExcept(const Holder* except) const
{
    auto sum = this->unattributedRequests.value_or(0);
    for (const auto& holder : this->holders)
        sum += &holder == except ? 0 : charge(holder);
    for (const auto& orphan : this->orphans)
        sum += orphan.count;
    return sum;
}

std::uint32_t PermitIssuer::grantableCount(const Holder& holder, TimePoint now) const
{
    if (this->isHandedOver || now >= this->authorityUntil)
        return 0;
    if (!this->isSettled(now)) {
        const auto before = std::max(holder.inherited, largestGrant(holder));
        return std::min({ holder.wanted, before, saturatingSubtract(this->limit(), this->chargedExcept(&holder)) });
    }
    const auto available = saturatingSubtract(this->limit(), this->chargedExcept(&holder) + this->reservedForFloors());
    const auto desired = std::min(holder.wanted, available);
    const auto contention = this->contentionFor(holder, now);
    if (!contention.othersWait)
        return desired;
    if (contention.othersWaitLonger && available <= 1)
        return 0;
    return std::min(desired, contention.fairShare);
}

std::uint32_t PermitIssuer::largestGrant(const Holder& holder)
{
    std::uint32_t largest = 0;
    for (const auto& given : holder.issuedGrants)
        largest = std::max(largest, given.count);
    return largest;
}

PermitIssuer::Contention PermitIssuer::contentionFor(const Holder& holder, TimePoint now) const
{
    Contention contention;
    contention.fairShare = this->fairShare(now);
    for (const auto& other : this->holders) {
        if (&other == &holder || !this->isWaiting(other, contention.fairShare, now))
            continue;
        contention.othersWait = true;
        if (grantedCount(other) == 0 && other.lastGrantAt < holder.lastGrantAt)
            contention.othersWaitLonger = true;
    }
    return contention;
}

std::uint32_t PermitIssuer::fairShare(TimePoint now) const
{
    const auto term = this->settings.term;
    auto isActive = [&](const Holder& holder) { return holder.wanted > 0 && now < holder.lastReportAt + term; };
    const auto active = std::count_if(this->holders.begin(), this->holders.end(), isActive);
    return std::max(1U, this->limit() / static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(active, 1)));
}

bool PermitIssuer::isWaiting(const Holder& holder, std::uint32_t fair, TimePoint now) const
{
    const bool isActive = now < holder.lastReportAt + this->settings.term && holder.sequence > holder.revokedUpTo;
    const auto granted = grantedCount(holder);
    return isActive && holder.wanted > granted && granted < fair;
}

PermitMessage PermitIssuer::issueGrant(Holder& holder, std::uint32_t count, TimePoint now) const
{
    if (count > 0 && largestGrant(holder) == 0)
        holder.lastGrantAt = now;
    const bool isAnswered = !holder.issuedGrants.empty() && holder.issuedGrants.back().sequence == holder.sequence;
    if (!isAnswered)
        holder.issuedGrants.push_back({ holder.sequence, count, now });
    auto& given = holder.issuedGrants.back();
    given.count = std::max(given.count, count);
    const PermitGrant grant { this->upstream, holder.incarnation, holder.sequence, this->epoch(), given.count,
        this->contentionFor(holder, now).othersWait, this->settings.term };
    return AddressedGrant { holder.id, grant };
}

void PermitIssuer::serveWaiting(std::vector<PermitMessage>& out, TimePoint now)
{
    auto isBefore = [](const Holder& left, const Holder& right) {
        return std::pair(grantedCount(left), left.lastGrantAt) < std::pair(grantedCount(right), right.lastGrantAt);
    };
    const auto fair = this->fairShare(now);
    while (true) {
        Holder* next = nullptr;
        for (auto& holder : this->holders) {
            if (this->isWaiting(holder, fair, now) && (!next || isBefore(holder, *next)))
                next = &holder;
        }
        if (!next)
            return;
        const auto count = this->grantableCount(*next, now);
        if (count <= grantedCount(*next))
            return;
        out.push_back(this->issueGrant(*next, count, now));
    }
}

std::vector<PermitMessage> PermitIssuer::revokeAll(const InstanceId& sender)
{
    std::vector<PermitMessage> out;
    for (auto& holder : this->holders) {
        // The sender's request is answered afterwards, so only its older grants are revoked.
        holder.revokedUpTo = holder.id == sender ? holder.sequence - 1 : holder.sequence;
        out.push_back(AddressedRevoke { holder.id, { this->upstream, holder.revokedUpTo, this->epoch() } });
    }
    return out;
}

void PermitIssuer::expireHolders(TimePoint now)
{
    const auto grantLifetime = this->settings.term + this->settings.clockMargin;
    const auto chargeTime = this->settings.orphanChargeTime;
    std::erase_if(this->orphans, [&](const Orphan& orphan) { return orphan.count == 0 || now >= orphan.since + grantLifetime + chargeTime; });
    auto isExpired = [&](const Holder& holder) {
        const bool isSilent = now >= holder.lastReportAt + grantLifetime + chargeTime;
        const bool isUnused = holder.wanted == 0 && charge(holder) == 0 && now >= holder.lastReportAt + grantLifetime;
        return isSilent || isUnused;
    };
    std::erase_if(this->holders, isExpired);
    if (!this->unattributedRequests && now >= this->settledAt + chargeTime)
        this->unattributedRequests = 0;
}

} // namespace goldcrestwood
