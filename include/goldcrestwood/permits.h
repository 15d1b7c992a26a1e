#pragma once

/// @file
/// Permits to send requests to an upstream. The upstream's owner grants them so that all daemons together stay within its
/// concurrency limit.

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "goldcrestwood/capacity_messages.h"
#include "goldcrestwood/concurrency.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Settings shared by permit holders and owners. All times are durations, so clocks need not be synchronized.
struct PermitSettings {
    /// Validity of a grant; the holder counts it from when it sent the request.
    Duration term = std::chrono::seconds(2);
    /// Time that owners add to allow for clocks that run at different rates.
    Duration clockMargin = std::chrono::milliseconds(100);
    /// Age at which a holder renews a grant that it uses.
    Duration renewAfter = std::chrono::milliseconds(800);
    /// Minimum interval between requests from one holder.
    Duration requestInterval = std::chrono::milliseconds(20);
    /// Delay before an unanswered request is retried; doubles up to `renewAfter`.
    Duration answerTimeout = std::chrono::milliseconds(100);
    /// Delay before a newly assigned floor share may be used, since an older list may still assign it to another daemon.
    Duration floorSettleTime = std::chrono::seconds(10);
    /// Validity of the majority support of an owner.
    Duration quorumTerm = std::chrono::seconds(2);
    /// Maximum run time of a request; requests of a silent holder stay charged for this long.
    Duration orphanChargeTime = std::chrono::seconds(60);
    /// Maximum age of the data in a load report of an upstream.
    Duration maxLoadReportAge = std::chrono::seconds(2);
    /// Silence after which the upstream's load report may lower a holder's charge.
    Duration orphanCheckAfter = std::chrono::seconds(10);
    /// Maximum number of requests reserved as floor shares of one upstream.
    std::uint32_t maxFloorRequests = 2;

    bool operator==(const PermitSettings&) const = default;
};

/// Reserves a part of the cold bound for a few daemons chosen by rendezvous hashing, which may use it even if the owner is
/// unreachable. Owners never lend these shares to other daemons, because requests already sent could not be recalled in
/// time. The owner's successors rank first, so that its next successor already has a share when the owner fails.
/// @param listed All daemons of the upstream's region on the platform's list, in any order.
/// @return The daemons that may each have one request in flight without a grant; fewer than @p coldBound.
std::vector<InstanceId> floorHolders(const UpstreamId& upstream, const std::vector<InstanceId>& listed, std::uint32_t coldBound,
    const PermitSettings& settings = {});

/// @return Requests that @p self may have in flight without a grant.
std::uint32_t floorShare(const UpstreamId& upstream, const std::vector<InstanceId>& listed, const InstanceId& self,
    std::uint32_t coldBound, const PermitSettings& settings = {});

/// Permission to send one request; released when the request ends.
struct Permit {
    /// Latest known epoch of the upstream when the permit was acquired.
    std::uint64_t epoch = 0;

    bool operator==(const Permit&) const = default;
};

/// How a request at an upstream ended.
enum class PermitEnd : std::uint8_t {
    Succeeded, ///< The response was complete.
    Failed, ///< The upstream failed, rejected the request or stopped responding.
    Cancelled, ///< Cancelled by the daemon or the caller; not evidence about the upstream.
};

/// The permits of one daemon for one upstream.
class PermitHolder {
public:
    /// @param limits Concurrency bounds of the upstream; the holder uses them to detect a cold upstream itself.
    /// @param processIncarnation Incarnation of this daemon; increases with each restart.
    PermitHolder(UpstreamId target, InstanceId id, std::uint64_t processIncarnation, ConcurrencySettings limits,
        PermitSettings permitSettings, TimePoint now);

    /// Sets the share that may be used without a grant. An increase takes effect after the settling time.
    void setFloor(std::uint32_t share, TimePoint now);

    /// The owner of the upstream has changed; a report to the new owner becomes due at once.
    void onOwnerChange();

    /// Sets the number of queued requests that this upstream could serve now.
    void setWaiting(std::uint32_t requests) { this->waiting = requests; }

    /// @return A permit for one request, or nothing; a request must not be sent without a permit.
    std::optional<Permit> tryAcquire(TimePoint now);

    /// A request has produced its first token.
    /// @param epoch Epoch that the upstream reported with it, 0 if unknown.
    /// @param slowdown Ratio of observed to expected time to first token, 0 if unknown.
    void onFirstToken(std::uint64_t epoch, double slowdown);

    /// Releases a permit after its request has ended at the upstream.
    void release(const Permit& permit, PermitEnd end);

    /// The upstream reported its epoch in a response, an event or a load report.
    void onEpoch(std::uint64_t epoch);

    void onGrant(const PermitGrant& grant, TimePoint now);
    void onRevoke(const PermitRevoke& revoke);
    /// Other holders wait for permits of the upstream: the next report is due now and returns unused permits.
    void onContention() { this->othersWait = true; }

    /// @return The request to send to the owner, if one is due. The owner's own holder sends requests too.
    std::optional<PermitRequest> poll(TimePoint now);

    std::uint32_t inFlight() const { return this->running; }

    /// @return Further requests that may be started now.
    std::uint32_t free(TimePoint now) const;

    /// @return Whether the holder has no valid grant and may use only its floor share.
    bool isFloorOnly(TimePoint now) const { return !this->hasGrant(now); }

    /// @return Whether the holder has no state worth keeping.
    bool isIdle(TimePoint now) const;

private:
    std::uint32_t allowance(TimePoint now) const;
    std::uint32_t usableFloor(TimePoint now) const;
    std::uint32_t aboveFloor(std::uint32_t requests, TimePoint now) const;
    std::uint32_t wanted(TimePoint now) const;
    bool hasGrant(TimePoint now) const { return now < this->grantExpiry; }
    bool isDue(TimePoint now) const;
    TimePoint sentAt(std::uint64_t sequence) const;
    void dropGrant(std::uint64_t upTo);
    void note(LimitChange change);

    struct Sent {
        std::uint64_t sequence = 0;
        TimePoint at;
    };

    UpstreamId upstream;
    InstanceId self;
    std::uint64_t incarnation;
    PermitSettings settings;
    ConcurrencyLimit detector;
    std::vector<Sent> sentRequests;
    std::uint64_t sequence = 0;
    std::uint64_t grantSequence = 0;
    std::uint64_t minAcceptedSequence = 1;
    std::uint64_t coldSequence = 0;
    std::uint32_t grantedCount = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t peakDemand = 0;
    std::uint32_t reportedWanted = 0;
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedHeld = 0;
    std::uint32_t unansweredRequests = 0;
    std::uint64_t successes = 0;
    std::uint64_t errors = 0;
    double slowdownSum = 0;
    std::uint32_t slowdownSamples = 0;
    std::uint32_t floor = 0;
    std::uint32_t settledFloor = 0;
    TimePoint floorSettledAt;
    TimePoint grantExpiry;
    TimePoint lastSentAt;
    bool othersWait = false;
    bool coldSeen = false;
    bool mustReportNow = true;
};

/// A grant and its recipient.
struct AddressedGrant {
    InstanceId to;
    PermitGrant grant;

    bool operator==(const AddressedGrant&) const = default;
};

/// A revocation and its recipient.
struct AddressedRevoke {
    InstanceId to;
    PermitRevoke revoke;

    bool operator==(const AddressedRevoke&) const = default;
};

using PermitMessage = std::variant<AddressedGrant, AddressedRevoke>;

/// Grants the permits of one upstream and tracks them. Created when the membership names this daemon the owner of the upstream,
/// destroyed when it names another one.
class PermitIssuer {
public:
    /// Until all grants of a former owner have expired, a new owner grants no more than holders already have.
    PermitIssuer(UpstreamId target, ConcurrencySettings limits, PermitSettings permitSettings, TimePoint now);

    /// Sets the daemons that have a floor share, from `floorHolders()`; these shares are not granted to others. A share
    /// assigned by a former list stays charged until requests sent under it have ended.
    void setFloors(std::vector<InstanceId> daemons, TimePoint now);

    /// @param until When the majority support expires, from `ViewQuorum`; nothing is granted after that.
    void setAuthority(TimePoint until) { this->authorityUntil = until; }

    /// @return Grants for the sender and for waiting holders, and revocations if the upstream has turned cold.
    std::vector<PermitMessage> onRequest(const PermitRequest& request, TimePoint now);

    /// A load report of the upstream has arrived.
    /// @param reportedEpoch Epoch of the upstream.
    /// @param reportedRequests Requests of all daemons that run or wait at the upstream.
    std::vector<PermitMessage> onLoad(std::uint64_t reportedEpoch, std::uint32_t reportedRequests, TimePoint now);

    /// Takes over the charges of a former owner that has stopped granting; ignored once this owner has begun to grant.
    void onHandover(const PermitHandover& handover, TimePoint now);

    /// All listed daemons agree with this owner's view, so each has reported its requests in flight. Needed for upstreams
    /// without load reports, which otherwise tell a new owner about requests that former holders left running.
    void onUnanimous(TimePoint now);

    /// Stops granting permanently.
    /// @return The charges for the successor.
    PermitHandover handOver(TimePoint now);

    /// Call a few times a second.
    /// @return Grants that have become possible for waiting holders.
    std::vector<PermitMessage> poll(TimePoint now);

    /// @return Maximum number of requests that all daemons together can have in flight now.
    std::uint32_t charged() const { return this->chargedExcept(nullptr) + this->reservedForFloors(); }

    std::uint32_t limit() const { return this->concurrency.limit(); }
    std::uint64_t epoch() const { return this->concurrency.epoch(); }

    /// @return Memory used by the state, in bytes, for the capacity page.
    std::size_t stateBytes() const;

private:
    struct IssuedGrant {
        std::uint64_t sequence = 0;
        std::uint32_t count = 0;
        TimePoint at;
    };

    struct Holder {
        InstanceId id;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        /// Grants up to this sequence are revoked; no further ones are issued for it.
        std::uint64_t revokedUpTo = 0;
        std::uint64_t epoch = 0;
        std::vector<IssuedGrant> issuedGrants;
        std::uint32_t inFlight = 0;
        std::uint32_t wanted = 0;
        /// Permits from a former owner that the holder may still use.
        std::uint32_t inherited = 0;
        std::uint64_t successes = 0;
        std::uint64_t errors = 0;
        TimePoint lastReportAt;
        TimePoint lastGrantAt;
    };

    /// Demand of the other holders.
    struct Contention {
        std::uint32_t fairShare = 1;
        bool othersWait = false;
        bool othersWaitLonger = false;
    };

    struct Orphan {
        std::uint32_t count = 0;
        TimePoint since;
    };

    static std::uint32_t charge(const Holder& holder);
    static std::uint32_t grantedCount(const Holder& holder);
    static std::uint32_t largestGrant(const Holder& holder);
    Holder* find(const InstanceId& id);
    Holder* findOrAddHolder(const PermitRequest& request, TimePoint now);
    void applyReport(Holder& holder, const PermitRequest& request, TimePoint now) const;
    LimitChange updateLimit(Holder& holder, const PermitRequest& request, TimePoint now);
    std::uint32_t inFlight() const;
    std::uint32_t inheritedSum() const;
    bool isSettled(TimePoint now) const { return now >= this->settledAt && this->unattributedRequests; }
    std::uint32_t chargedExcept(const Holder* except) const;
    std::uint32_t reservedForFloors() const { return static_cast<std::uint32_t>(this->floors.size()); }
    std::uint32_t grantableCount(const Holder& holder, TimePoint now) const;
    std::uint32_t fairShare(TimePoint now) const;
    Contention contentionFor(const Holder& holder, TimePoint now) const;
    bool isWaiting(const Holder& holder, std::uint32_t fair, TimePoint now) const;
    PermitMessage issueGrant(Holder& holder, std::uint32_t count, TimePoint now) const;
    void serveWaiting(std::vector<PermitMessage>& out, TimePoint now);
    std::vector<PermitMessage> revokeAll(const InstanceId& sender);
    void expireHolders(TimePoint now);

    UpstreamId upstream;
    PermitSettings settings;
    ConcurrencyLimit concurrency;
    std::vector<Holder> holders;
    std::vector<Orphan> orphans;
    std::vector<InstanceId> floors;
    /// Upper bound of requests left running by holders of a former owner; nothing while unknown.
    std::optional<std::uint32_t> unattributedRequests;
    TimePoint settledAt;
    TimePoint authorityUntil;
    bool isHandedOver = false;
};

} // namespace goldcrestwood
