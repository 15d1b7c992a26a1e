#pragma once

/// @file
/// Leases granted through the log, with fencing numbers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "goldcrestwood/journal_messages.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Timing of a lease.
struct LeaseSettings {
    /// How long a lease lasts after a renewal is sent, provided that the renewal is read back.
    Duration term = std::chrono::seconds(10);
    /// Interval between the holder's renewals.
    Duration renewalInterval = std::chrono::seconds(3);
    /// The holder gives no orders in this last part of the term. Covers clock drift and the delay between check and write.
    Duration margin = std::chrono::seconds(1);
    /// Longest time from the check of the lease until the order completes at the upstream.
    Duration maxOrderDuration = std::chrono::seconds(2);
    /// Maximum random delay before claiming an expired lease, so that few claimants write.
    Duration maxClaimJitter = std::chrono::seconds(1);
    /// A claim or renewal without a result is retried after this time.
    Duration retryInterval = std::chrono::seconds(2);
};

/// All leases of the stream. Every daemon folds the same records into the same table.
class LeaseTable {
public:
    LeaseTable() = default;
    explicit LeaseTable(const LeaseTableState& state);

    /// @return Whether the claim won.
    bool apply(std::uint64_t offset, const RecordId& id, const LeaseClaim& claim);
    /// @return Whether the renewal was valid.
    bool apply(std::uint64_t offset, const RecordId& id, const LeaseRenewal& renewal);
    /// @return Whether the release was valid.
    bool apply(std::uint64_t offset, const RecordId& id, const LeaseRelease& release);

    /// @return The lease, or null if nobody has ever held it.
    const LeaseState* find(std::string_view name) const;
    /// @return All leases, for a snapshot.
    LeaseTableState state() const;

    bool operator==(const LeaseTable&) const = default;

private:
    LeaseState* findHeld(const RecordId& id, std::string_view name, std::uint64_t fence);

    std::map<std::string, LeaseState, std::less<>> leases;
};

using LeaseRecord = std::variant<LeaseClaim, LeaseRenewal, LeaseRelease>;

/// One daemon's client of one lease: decides when to claim and renew, and whether orders may be given now.
class LeaseHolder {
public:
    LeaseHolder(const LeaseSettings& settings, std::string name, InstanceId self, std::uint64_t incarnation);

    /// Updates the holder from the table. Call after each read of the log, even if it returned no records.
    /// @param table The fold at the end of the read.
    /// @param now Time after the read.
    void observe(const LeaseTable& table, TimePoint now, Random& random);

    /// @param now Time just before the record is handed to the journal; it is taken as the send time.
    /// @return The record to submit now, if any.
    std::optional<LeaseRecord> poll(TimePoint now);

    /// Call just before an order is written to the upstream, with a fresh clock reading.
    /// @param checksFencing Whether the upstream refuses orders with an old fencing number.
    /// @return The fencing number to send with the order, or nothing if this daemon must not give the order now.
    std::optional<std::uint64_t> fenceForOrder(TimePoint now, bool checksFencing) const;

    /// @return Whether the lease is held and has not expired by this daemon's clock.
    bool isHeld(TimePoint now) const;

    /// Releases the lease for good. Call when no order is in flight; the next poll() returns the record to submit.
    void release();

    /// @return Latest time for the next poll().
    TimePoint nextWake() const;

private:
    struct Attempt {
        std::uint64_t number = 0;
        TimePoint sentAt;
    };

    bool isOwn(const LeaseState& lease) const;
    void onOwn(const LeaseState& lease, TimePoint now);
    void onOther(const LeaseState& lease, TimePoint now, Random& random);
    std::uint64_t startAttempt(TimePoint now);

    LeaseSettings settings;
    std::string name;
    InstanceId self;
    std::uint64_t incarnation;
    LeaseState lastState;
    bool hasObserved = false;
    std::optional<std::uint64_t> fence;
    TimePoint validUntil;
    TimePoint predecessorOrdersUntil;
    TimePoint nextClaimAt;
    TimePoint nextRenewalAt;
    bool releasing = false;
    bool retired = false;
    std::uint64_t nextAttempt = 1;
    std::vector<Attempt> attempts;
};

} // namespace goldcrestwood
