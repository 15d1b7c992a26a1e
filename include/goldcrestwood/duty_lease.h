#pragma once

/// @file
/// Who may give orders to upstreams: one holder, elected by appends to a topic of the store on the condition of its end.

#include <cstdint>
#include <optional>
#include <string>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct DutyLeaseSettings {
    /// The holder gives orders for so long after it sent its last acknowledged record.
    Duration term = std::chrono::milliseconds(1200);
    /// The holder writes a record at least this often while it has work.
    Duration renewal = std::chrono::milliseconds(400);
    /// Least time between orders of two holders that are both in order (the site's bound).
    Duration turn = std::chrono::seconds(3);
    /// Allowance for orders on their way and for clocks of different speed.
    Duration margin = std::chrono::milliseconds(300);
    /// Whether upstreams refuse lower fencing numbers. Then a silent holder need not be waited out as long.
    bool upstreamsCheckFences = true;
};

/// The lease as one daemon knows it. Times are of a clock that counts the suspension of the machine.
class DutyLease {
public:
    /// @param address Of this machine, which no other has while the records live.
    DutyLease(InstanceId instance, std::string address, std::uint64_t incarnation, DutyLeaseSettings settings = {});

    /// The topic was read: @p record stands at @p offset, as its last one.
    void onRecord(const DutyRecord& record, std::uint64_t offset, TimePoint now);

    /// The topic was read up to @p end.
    void onReadTo(std::uint64_t end);

    /// @param holderSeemsWell Whether the last holder is heard and reads the store.
    /// @return Whether this daemon may try to become the holder now.
    bool mayClaim(bool holderSeemsWell, TimePoint now) const;

    /// An own append at @p offset, sent at @p sent, was acknowledged.
    void onAppended(const DutyRecord& record, std::uint64_t offset, TimePoint sent);

    /// An own append was refused or its outcome is unknown: the topic must be read before the next one.
    void onAppendFailed();

    /// @return Whether this daemon may give an order now.
    bool mayOrder(TimePoint now) const;
    /// @return Whether the holder should write a record now.
    bool isRenewalDue(TimePoint now) const;
    /// @return Whether this daemon wrote the last record, and its process is still the same.
    bool isLastHolder() const;

    std::uint64_t fence() const { return this->ownFence; }
    /// @return Where the next append must find the end of the topic.
    std::uint64_t end() const { return this->readTo; }
    bool mustRead() const { return !this->upToDate; }
    const std::optional<DutyRecord>& last() const { return this->lastRecord; }
    /// @return Whether an earlier process of this machine wrote the last record: it has ended, so there is nobody to wait for.
    bool isOwnPredecessor() const;

private:
    InstanceId self;
    std::string address;
    std::uint64_t incarnation;
    DutyLeaseSettings settings;
    std::optional<DutyRecord> lastRecord;
    TimePoint lastSeen;
    std::uint64_t readTo = 0;
    bool upToDate = false;
    std::uint64_t ownFence = 0; ///< 0: not the holder.
    TimePoint orderUntil;
    TimePoint lastSent;
};

} // namespace goldcrestwood
