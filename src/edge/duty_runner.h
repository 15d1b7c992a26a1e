#pragma once

/// @file
/// Brings model replicas to the weights that the operator named, by one daemon at a time.

#include <map>
#include <optional>

#include "edge/edge_state.h"
#include "edge/http_call.h"
#include "edge/peer_link.h"
#include "edge/service_queue.h"
#include "goldcrestwood/duty_lease.h"
#include "goldcrestwood/weight_plan.h"

namespace goldcrestwood {

class DutyRunner {
public:
    DutyRunner(EdgeState& state, const asio::any_io_executor& executor, ServiceQueues& queues, const PeerLink& peers);

    /// Looks for work for the life of the process, and does it while this daemon holds the duty.
    Task<> run();

private:
    std::vector<WeightCandidate> candidates(const std::string& model) const;
    std::optional<NamedWeights> unfinished() const;
    Task<> follow(Duration hold);
    Task<> work(const NamedWeights& target);
    Task<bool> append(const DutyRecord& record);
    Task<bool> readTopic(Duration hold);
    Task<> drive(UpstreamId upstream);
    /// Makes a call to an upstream, and believes what its answer says of it.
    Task<std::optional<HttpAnswer>> callUpstream(HttpCaller& caller, UpstreamId upstream, OutgoingCall call);
    /// Asks an upstream how far it is, and orders if its turn has come.
    Task<> ask(HttpCaller& caller, UpstreamId upstream);
    void believe(const DutyRecord& record);
    bool holderSeemsWell() const;
    bool isMyTurn() const;
    DutyRecord record() const;

    EdgeState& state;
    asio::any_io_executor executor;
    ServiceQueues& queues;
    const PeerLink& peers;
    HttpCaller store;
    DutyLease lease;
    std::optional<WeightPlan> plan;
    std::set<UpstreamId> driven; ///< Upstreams for which a coroutine runs.
    std::optional<TimePoint> claimableSince; ///< Since when this daemon might claim the duty.
};

} // namespace goldcrestwood
