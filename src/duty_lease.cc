#include "goldcrestwood/duty_lease.h"

#include <algorithm>

#include "goldcrestwood/log_position.h"

namespace goldcrestwood {

DutyLease::DutyLease(InstanceId instance, std::string machineAddress, std::uint64_t processIncarnation, DutyLeaseSettings leaseSettings)
    : self(std::move(instance))
    , address(std::move(machineAddress))
    , incarnation(processIncarnation)
    , settings(leaseSettings)
{
}

void DutyLease::onRecord(const DutyRecord& record, std::uint64_t position, TimePoint now)
{
    if (position < this->nextOffset)
        return;
    this->lastRecord = record;
    this->lastSeen = now;
    this->nextOffset = position + 1;
    if (!this->isLastHolder())
        this->ownFence = 0;
}

void DutyLease::onReadTo(std::uint64_t end)
{
    this->nextOffset = std::max(this->nextOffset, end);
    this->upToDate = this->hasRead = true;
}

void DutyLease::onRestored(std::uint64_t era, TimePoint now)
{
    this->nextOffset = logPosition(era, 0);
    this->upToDate = false;
    this->ownFence = 0;
    this->lastRecord.reset();
    // Records that the store acknowledged before its return were sent before now. A process that has just started learns of any
    // return in this way; fences then keep it apart from a holder whose record is lost.
    if (this->hasRead || !this->settings.upstreamsCheckFences)
        this->claimableFrom = now + this->settings.term + this->settings.margin + (this->settings.upstreamsCheckFences ? Duration(0) : this->settings.handoverGap);
}

bool DutyLease::isLastHolder() const
{
    return this->lastRecord && this->lastRecord->holder == this->self && this->lastRecord->incarnation == this->incarnation;
}

bool DutyLease::isOwnPredecessor() const
{
    return this->lastRecord && this->lastRecord->holder == this->self && this->lastRecord->address == this->address
        && this->lastRecord->incarnation != this->incarnation;
}

bool DutyLease::mayClaim(bool isHolderHealthy, TimePoint now) const
{
    if (!this->upToDate || this->isTermPending(now))
        return false;
    if (!this->lastRecord || this->isLastHolder() || this->isOwnPredecessor())
        return true;
    // The last holder's term began before its record was seen here, so it ends before termEnd.
    const auto termEnd = this->lastSeen + this->settings.term + this->settings.margin;
    if (this->settings.upstreamsCheckFences && !isHolderHealthy)
        return now >= termEnd;
    return now >= termEnd + this->settings.handoverGap;
}

void DutyLease::onAppended(const DutyRecord& record, std::uint64_t position, TimePoint sent)
{
    this->lastRecord = record;
    this->lastSeen = sent;
    this->nextOffset = position + 1;
    if (this->ownFence == 0)
        this->ownFence = position + 1;
    this->orderUntil = sent + this->settings.term;
    this->lastSentAt = sent;
}

void DutyLease::onAppendFailed()
{
    this->upToDate = false;
}

void DutyLease::onFenceRefused(TimePoint now)
{
    this->ownFence = 0;
    this->upToDate = false;
    this->claimableFrom = now + this->settings.margin + this->settings.handoverGap;
}

bool DutyLease::mayOrder(TimePoint now) const
{
    return this->ownFence > 0 && this->isLastHolder() && now < this->orderUntil;
}

bool DutyLease::isRenewalDue(TimePoint now) const
{
    return now - this->lastSentAt >= this->settings.renewalInterval;
}

} // namespace goldcrestwood
