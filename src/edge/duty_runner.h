#pragma once

/// @file
/// Updates model replicas to the weights named by the operator, and appends the counts of the usage reports and the requested numbers
/// of replicas to the duty topic. One daemon at a time holds the duty.

#include <map>
#include <optional>

#include "edge/edge_state.h"
#include "edge/http_call.h"
#include "edge/peer_link.h"
#include "edge/scale_runner.h"
#include "edge/service_queue.h"
#include "edge/usage_runner.h"
#include "goldcrestwood/duty_lease.h"
#include "goldcrestwood/weight_plan.h"
#include "platform/decode.h"

namespace goldcrestwood {

class DutyRunner {
public:
    DutyRunner(EdgeState& state, const asio::any_io_executor& executor, ServiceQueues& queues, PeerLink& peers);

    /// Runs for the life of the process and orders weight updates while this daemon holds the duty.
    Task<> run();
    /// @return The part that exchanges counts with peers and sends the usage reports.
    UsageRunner& usageReports() { return this->usage; }
    /// @return The part that requests numbers of replicas.
    ScaleRunner& replicaRequests() { return this->scale; }

private:
    std::vector<WeightCandidate> candidates(const std::string& model) const;
    std::optional<NamedWeights> nextTarget() const;
    Task<> followTopic(Duration hold);
    Task<> runPlan(const NamedWeights& target);
    /// @return Whether usage reports or numbers of replicas need a record, or a holder.
    bool isCallWorkDue() const;
    /// Appends a record for the calls to the platform.
    Task<> runCalls();
    /// Reads the topic, then claims the lease, works as its holder or follows the topic.
    Task<> work(const std::optional<NamedWeights>& target);
    Task<> pause(Duration duration);
    Task<bool> append(const DutyRecord& record);
    Task<bool> readTopic(Duration hold);
    Task<> updateUpstream(UpstreamId upstream);
    /// @return The upstream's report, or nothing without a valid one.
    Task<std::optional<platform::EngineReport>> readReport(HttpCaller& caller, UpstreamId upstream);
    /// @return The status of the answer, or 0 without one.
    Task<unsigned> sendOrder(HttpCaller& caller, UpstreamId upstream, platform::WeightOrder order);
    /// Queries an upstream's progress and sends its order if that is due.
    Task<> queryUpstream(HttpCaller& caller, UpstreamId upstream);
    void applyRecord(const DutyRecord& record);
    /// Checks whether the store has returned from an older copy of its data; if so, the topic must be read again.
    /// @return Whether the answer continues what was read before.
    bool continuesTopic(const HttpAnswer& answer);
    bool isHolderHealthy() const;
    bool isClaimDue() const;
    DutyRecord makeRecord();

    EdgeState& state;
    asio::any_io_executor executor;
    ServiceQueues& queues;
    const PeerLink& peers;
    HttpCaller store;
    DutyLease lease;
    UsageRunner usage;
    ScaleRunner scale;
    /// End of the records that the store had when it returned from an older copy; nothing until they have been read.
    std::optional<std::uint64_t> copiedUpTo = 0;
    std::optional<WeightPlan> plan;
    std::set<UpstreamId> updatingUpstreams; ///< Upstreams with a running update coroutine.
    std::optional<TimePoint> claimableSince; ///< Since when this daemon may claim the duty.
};

} // namespace goldcrestwood
