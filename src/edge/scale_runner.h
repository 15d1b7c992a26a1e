#pragma once

/// @file
/// Requests the numbers of replicas of the services with autoscale while this daemon holds the duty.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "edge/edge_state.h"
#include "edge/http_call.h"
#include "edge/peer_link.h"
#include "edge/service_queue.h"
#include "goldcrestwood/duties/replica_scaler.h"
#include "goldcrestwood/duty_lease.h"

namespace goldcrestwood {

/// The part of the duty that concerns numbers of replicas; does nothing if no service has autoscale or the duty is off.
class ScaleRunner {
public:
    ScaleRunner(EdgeState& state, const asio::any_io_executor& executor, const ServiceQueues& queues, const PeerLink& peers, DutyLease& lease);

    /// Decides the numbers and sends the recorded ones while the lease allows it, for the life of the process.
    Task<> run();

    /// @param isHolderHealthy Whether the last holder is heard from and reads the store.
    /// @return Whether this daemon should append a record or, if it is not the holder, try to become it.
    bool isWorkDue(bool isHolderHealthy) const;
    /// Adds all requested numbers to the next record of the duty topic.
    void addTo(DutyRecord& record) const;
    /// Handles the acknowledgement of a record to which addTo() was applied.
    void onAppended(const DutyRecord& record);
    /// Handles a record read from the duty topic.
    void onRecord(const DutyRecord& record);
    /// Makes no calls before @p until, a time of suspensionAwareNow().
    void holdCalls(TimePoint until) { this->callsFrom = until; }

private:
    using Place = std::pair<ServiceName, FailureDomain>;
    /// An order that is not sent yet.
    struct Pending {
        ServiceName service;
        ScaleOrder order;
        TimePoint decided;
        bool isRecorded = false;
    };

    bool isHolder() const { return this->lease.fence() > 0 && this->lease.isLastHolder() && !this->state.isStopping; }
    /// Starts afresh with the recorded numbers if this daemon has become the holder since the last call.
    void beginTerm(TimePoint now);
    void decide(TimePoint now);
    /// @param problem Set to the reason if there is no view.
    std::optional<ServiceDemand> view(const TrafficService& service, TimePoint now, std::string& problem) const;
    /// Adds the requests that wait at all daemons.
    void addWaiting(ServiceDemand& demand, const ServiceName& service, TimePoint now) const;
    BacklogLimits backlogLimits(const ServiceName& service) const;
    void dropLatePending(TimePoint now);
    void sendNext(TimePoint now);
    Task<> send(ServiceName service, ScaleOrder order, std::uint64_t fence);
    void onOutcome(const ServiceName& service, const ScaleOrder& order, std::uint64_t fence, DutyOutcome outcome);

    EdgeState& state;
    asio::any_io_executor executor;
    const ServiceQueues& queues;
    const PeerLink& peers;
    DutyLease& lease;
    std::uint64_t term = 0; ///< Fencing token for which the scalers were made; 0 if this daemon is not the holder.
    std::map<ServiceName, ReplicaScaler> scalers;
    std::map<ServiceName, std::string> problems; ///< Why a service has no view, for the log.
    std::map<Place, std::uint32_t> recorded; ///< The numbers in the duty topic.
    std::vector<Pending> pending;
    Duration callInterval { 0 };
    TimePoint nextCall;
    TimePoint nextDecision;
    TimePoint callsFrom;
};

} // namespace goldcrestwood
