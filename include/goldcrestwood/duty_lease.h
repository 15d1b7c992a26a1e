#pragma once

/// @file
/// Lease for giving orders to upstreams. The holder is elected by conditional appends to a topic of the store.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct DutyLeaseSettings {
    /// How long the holder may give orders after sending its last acknowledged record.
    Duration term = std::chrono::milliseconds(1200);
    /// The holder writes a record at this interval while it has work.
    Duration renewalInterval = std::chrono::milliseconds(400);
    /// Minimum time between orders of two healthy holders (a requirement of the site).
    Duration handoverGap = std::chrono::seconds(3);
    /// Allowance for orders in flight and for clock drift.
    Duration margin = std::chrono::milliseconds(300);
    /// Whether upstreams refuse lower fencing numbers. If so, a successor to an unhealthy holder need not wait for handoverGap.
    bool upstreamsCheckFences = true;
};

/// One daemon's view of the lease. Times come from a clock that also runs while the machine is suspended.
class DutyLease {
public:
    /// @param address Address of this machine; no other machine uses it while the records are retained.
    DutyLease(InstanceId instance, std::string address, std::uint64_t incarnation, DutyLeaseSettings settings = {});

    /// Handles a record read from the topic: @p record at @p position is the last one.
    void onRecord(const DutyRecord& record, std::uint64_t position, TimePoint now);

    /// Marks the topic as read up to @p end.
    void onReadTo(std::uint64_t end);

    /// Handles an answer of a store that has returned from an older copy of its data. Its last record may be that of an earlier
    /// holder, while a later one whose record is lost still gives orders until its term ends.
    /// @param era Number of the store's returns.
    void onRestored(std::uint64_t era, TimePoint now);

    /// @param isHolderHealthy Whether the last holder is heard from and reads the store.
    /// @return Whether this daemon may try to become the holder now.
    bool mayClaim(bool isHolderHealthy, TimePoint now) const;

    /// Handles the acknowledgement of this daemon's append at @p position, sent at @p sent.
    void onAppended(const DutyRecord& record, std::uint64_t position, TimePoint sent);

    /// Handles an append that was refused or has an unknown outcome: the topic must be read before the next append.
    void onAppendFailed();

    /// Handles the refusal of an order because a higher fencing token was seen: this daemon gives no order with its token again, and
    /// waits as after another holder's order before it claims a new one.
    void onFenceRefused(TimePoint now);

    /// Continues at @p position after records that the store has removed.
    void skipTo(std::uint64_t position) { this->nextOffset = std::max(this->nextOffset, position); }

    /// @return Whether this daemon may give an order now.
    bool mayOrder(TimePoint now) const;
    /// @return Whether the holder should write a record now.
    bool isRenewalDue(TimePoint now) const;
    /// @return Whether this process wrote the last record.
    bool isLastHolder() const;
    /// @return Whether a holder whose record the store has lost may still give orders.
    bool isTermPending(TimePoint now) const { return this->claimableFrom && now < *this->claimableFrom; }

    std::uint64_t fence() const { return this->ownFence; }
    /// @return The topic's end that the next append is conditional on.
    std::uint64_t end() const { return this->nextOffset; }
    bool mustRead() const { return !this->upToDate; }
    /// @return Whether the topic has been read to an end of it.
    bool hasReadTopic() const { return this->hasRead; }
    const std::optional<DutyRecord>& last() const { return this->lastRecord; }
    /// @return Whether an earlier process of this machine wrote the last record. That process has ended, so no wait is needed.
    bool isOwnPredecessor() const;

private:
    InstanceId self;
    std::string address;
    std::uint64_t incarnation;
    DutyLeaseSettings settings;
    std::optional<DutyRecord> lastRecord;
    TimePoint lastSeen;
    std::uint64_t nextOffset = 0;
    bool upToDate = false;
    std::uint64_t ownFence = 0; ///< 0 if this daemon is not the holder.
    bool hasRead = false;
    std::optional<TimePoint> claimableFrom; ///< End of the terms of holders whose records the store has lost.
    TimePoint orderUntil;
    TimePoint lastSentAt;
};

} // namespace goldcrestwood
