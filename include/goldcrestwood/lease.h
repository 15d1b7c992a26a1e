#pragma once

/// @file
/// Leases that the log decides, with fencing numbers.

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

/// Terms and margins of a lease.
struct LeaseSettings {
    /// How long a lease lasts after the sending of a renewal that is read back.
    Duration term = std::chrono::seconds(10);
    /// The holder sends a renewal this often.
    Duration renewEvery = std::chrono::seconds(3);
    /// The holder gives no order in this last part of the term; covers clock drift and the pause between check and write.
    Duration margin = std::chrono::seconds(1);
    /// Longest time between the check of the lease and the order's end at the upstream.
    Duration longestOrder = std::chrono::seconds(2);
    /// Claimants of a lapsed lease wait up to this long, so that few of them write.
    Duration claimSpread = std::chrono::seconds(1);
    /// A claim or renewal without a result is sent again after this time.
    Duration retryEvery = std::chrono::seconds(2);
};

/// All leases of the stream, folded in the same way by each daemon.
class LeaseTable {
public:
    LeaseTable() = default;
    explicit LeaseTable(const LeaseTableState& state);

    /// @return Whether the claim won.
    bool apply(std::uint64_t offset, const RecordId& id, const LeaseClaim& claim);
    /// @return Whether the renewal counts.
    bool apply(std::uint64_t offset, const RecordId& id, const LeaseRenewal& renewal);
    /// @return Whether the release counts.
    bool apply(std::uint64_t offset, const RecordId& id, const LeaseRelease& release);

    /// @return The lease, if anybody has ever held it.
    const LeaseState* find(std::string_view name) const;
    /// @return All leases, for a snapshot.
    LeaseTableState state() const;

    bool operator==(const LeaseTable&) const = default;

private:
    LeaseState* held(const RecordId& id, std::string_view name, std::uint64_t fence);

    std::map<std::string, LeaseState, std::less<>> leases;
};

using LeaseRecord = std::variant<LeaseClaim, LeaseRenewal, LeaseRelease>;

/// One daemon's side of one lease: when to claim and renew, and whether it may give orders now.
class LeaseHolder {
public:
    LeaseHolder(const LeaseSettings& settings, std::string name, InstanceId self, std::uint64_t incarnation);

    /// Tells the holder the table as it stands; call after each read of the log, also when nothing came.
    /// @param table The fold at the end of what was read.
    /// @param now Time after the read.
    void observe(const LeaseTable& table, TimePoint now, Random& random);

    /// @param now Time just before the record is handed to the journal; it counts as the sending of a renewal.
    /// @return A record to submit now, if any.
    std::optional<LeaseRecord> poll(TimePoint now);

    /// Call just before the order is written to the upstream, with a fresh clock reading.
    /// @param checksFencing Whether the upstream refuses orders with an old fencing number.
    /// @return The fencing number to send along, or nothing if this daemon must not order there now.
    std::optional<std::uint64_t> fenceForOrder(TimePoint now, bool checksFencing) const;

    /// @return Whether the lease is held and has not lapsed by this daemon's clock.
    bool isHeld(TimePoint now) const;

    /// Gives the lease up and claims it no more; call when no order is in flight. A record to submit comes with the next poll().
    void release();

    /// @return Latest time for the next poll().
    TimePoint nextWake() const;

private:
    struct Attempt {
        std::uint64_t number = 0;
        TimePoint sent;
    };

    bool isOwn(const LeaseState& lease) const;
    void onOwn(const LeaseState& lease, TimePoint now);
    void onOther(const LeaseState& lease, TimePoint now, Random& random);
    std::uint64_t startAttempt(TimePoint now);

    LeaseSettings settings;
    std::string name;
    InstanceId self;
    std::uint64_t incarnation;
    LeaseState seen;
    bool observed = false;
    std::optional<std::uint64_t> fence;
    TimePoint validUntil;
    TimePoint quietUntil;
    TimePoint claimAt;
    TimePoint sendAt;
    bool releasing = false;
    bool retired = false;
    std::uint64_t nextAttempt = 1;
    std::vector<Attempt> attempts;
};

} // namespace goldcrestwood
