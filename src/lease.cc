#include "goldcrestwood/lease.h"

#include <algorithm>
#include <utility>

namespace goldcrestwood {

namespace {

    /// Older attempts are forgotten, so reading back their results has no effect.
    constexpr std::size_t maxAttempts = 16;

    Duration randomDelay(Duration maximum, Random& random)
    {
        return fromSeconds(toSeconds(maximum) * uniform(random));
    }

} // namespace

LeaseTable::LeaseTable(const LeaseTableState& state)
{
    for (const auto& lease : state.leases)
        this->leases[lease.name] = lease;
}

bool LeaseTable::apply(std::uint64_t offset, const RecordId& id, const LeaseClaim& claim)
{
    const auto* lease = this->find(claim.name);
    const bool isCurrent = claim.replaces == (lease ? lease->fence : 0) && claim.lastRenewal == (lease ? lease->renewal : 0);
    if (!isCurrent)
        return false;
    this->leases[claim.name] = { claim.name, id.instance, id.incarnation, offset + 1, claim.term, claim.attempt, offset };
    return true;
}

LeaseState* LeaseTable::findHeld(const RecordId& id, std::string_view name, std::uint64_t fence)
{
    const auto place = this->leases.find(name);
    if (place == this->leases.end())
        return nullptr;
    auto& lease = place->second;
    const bool isHolder = lease.holder == id.instance && lease.incarnation == id.incarnation && lease.fence == fence;
    return isHolder ? &lease : nullptr;
}

bool LeaseTable::apply(std::uint64_t offset, const RecordId& id, const LeaseRenewal& renewal)
{
    auto* lease = this->findHeld(id, renewal.name, renewal.fence);
    if (!lease)
        return false;
    lease->renewal = renewal.attempt;
    lease->changed = offset;
    return true;
}

bool LeaseTable::apply(std::uint64_t offset, const RecordId& id, const LeaseRelease& release)
{
    auto* lease = this->findHeld(id, release.name, release.fence);
    if (!lease)
        return false;
    lease->holder = InstanceId();
    lease->changed = offset;
    return true;
}

const LeaseState* LeaseTable::find(std::string_view name) const
{
    const auto place = this->leases.find(name);
    return place == this->leases.end() ? nullptr : &place->second;
}

LeaseTableState LeaseTable::state() const
{
    LeaseTableState state;
    for (const auto& [key, lease] : this->leases)
        state.leases.push_back(lease);
    return state;
}

LeaseHolder::LeaseHolder(
    const LeaseSettings& terms, std::string lease, InstanceId instance, std::uint64_t ownIncarnation)
    : settings(terms)
    , name(std::move(lease))
    , self(std::move(instance))
    , incarnation(ownIncarnation)
{
}

bool LeaseHolder::isOwn(const LeaseState& lease) const
{
    return lease.holder == this->self && lease.incarnation == this->incarnation;
}

void LeaseHolder::observe(const LeaseTable& table, TimePoint now, Random& random)
{
    const auto* found = table.find(this->name);
    const auto lease = found ? *found : LeaseState();
    if (this->hasObserved && lease == this->lastState)
        return;
    if (this->isOwn(lease) && !this->retired)
        this->onOwn(lease, now);
    else
        this->onOther(lease, now, random);
    this->lastState = lease;
    this->hasObserved = true;
}

void LeaseHolder::onOwn(const LeaseState& lease, TimePoint now)
{
    const bool isNew = this->fence != lease.fence;
    if (isNew) {
        const bool isFirst = this->hasObserved && this->lastState.fence == 0;
        this->fence = lease.fence;
        this->validUntil = now;
        this->predecessorOrdersUntil = isFirst ? now : now + this->settings.maxOrderDuration;
    }
    const auto attempt = std::find_if(this->attempts.begin(), this->attempts.end(),
        [&](const Attempt& sent) { return sent.number == lease.renewal; });
    if (attempt == this->attempts.end())
        return;
    this->validUntil = std::max(this->validUntil, attempt->sentAt + lease.term - this->settings.margin);
    this->nextRenewalAt = attempt->sentAt + this->settings.renewalInterval;
}

void LeaseHolder::onOther(const LeaseState& lease, TimePoint now, Random& random)
{
    // A renewal is read after it was sent, so this wait ends after the holder's term.
    const bool isVacant = lease.holder.empty();
    this->fence.reset();
    this->nextClaimAt = now + (isVacant ? Duration(0) : lease.term) + randomDelay(this->settings.maxClaimJitter, random);
}

std::uint64_t LeaseHolder::startAttempt(TimePoint now)
{
    if (this->attempts.size() >= maxAttempts)
        this->attempts.erase(this->attempts.begin());
    this->attempts.push_back({ this->nextAttempt, now });
    return this->nextAttempt++;
}

std::optional<LeaseRecord> LeaseHolder::poll(TimePoint now)
{
    if (this->releasing) {
        this->releasing = false;
        if (const auto held = std::exchange(this->fence, std::nullopt))
            return LeaseRelease { this->name, *held };
    }
    if (!this->hasObserved || this->retired)
        return std::nullopt;
    if (this->fence) {
        if (now < this->nextRenewalAt)
            return std::nullopt;
        this->nextRenewalAt = now + this->settings.retryInterval;
        return LeaseRenewal { this->name, *this->fence, this->startAttempt(now) };
    }
    if (now < this->nextClaimAt)
        return std::nullopt;
    this->nextClaimAt = now + this->settings.retryInterval;
    return LeaseClaim { this->name, this->lastState.fence, this->lastState.renewal, this->settings.term, this->startAttempt(now) };
}

bool LeaseHolder::isHeld(TimePoint now) const
{
    return this->fence && !this->releasing && now < this->validUntil;
}

std::optional<std::uint64_t> LeaseHolder::fenceForOrder(TimePoint now, bool checksFencing) const
{
    if (!this->isHeld(now) || (!checksFencing && now < this->predecessorOrdersUntil))
        return std::nullopt;
    return this->fence;
}

void LeaseHolder::release()
{
    this->releasing = true;
    this->retired = true;
}

TimePoint LeaseHolder::nextWake() const
{
    if (this->releasing)
        return TimePoint::min();
    if (!this->hasObserved || this->retired)
        return TimePoint::max();
    return this->fence ? this->nextRenewalAt : this->nextClaimAt;
}

} // namespace goldcrestwood
