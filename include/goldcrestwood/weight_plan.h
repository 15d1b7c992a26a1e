#pragma once

/// @file
/// Schedules a rolling weight update: which model replicas load new weights next, so that all are updated in time and enough
/// replicas keep serving.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/registry_entry.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct WeightPlanSettings {
    /// Maximum share of a service's replicas that update at the same time, draining included.
    double updateShare = 1.0 / 3;
    /// The maximum is at least this number: the weight store serves two loads at full speed.
    std::size_t minUpdates = 2;
    /// Maximum concurrent loads, as a share of the replicas and at least `minLoads`: with more, each load takes longer (the
    /// users' pages give 2 of 9 and of 12, 18 of 90, 28 of 140). The other updating replicas drain meanwhile.
    double loadShare = 0.2;
    std::size_t minLoads = 2;
    /// A replica gets its load order when at most this many requests are left there, or after `drainTimeout`: the remaining
    /// runs continue across the change, and the tokens they produce after it are worth less to their callers.
    std::uint32_t maxRemainingRequests = 1;
    Duration drainTimeout = std::chrono::milliseconds(800);
    /// An order without visible effect is sent again after this time.
    Duration repeatInterval = std::chrono::milliseconds(700);
    /// A replica that does not report for this long is replaced in the plan by another.
    Duration reportTimeout = std::chrono::milliseconds(1500);
};

/// A replica that may be updated.
struct WeightCandidate {
    UpstreamId upstream;
    std::uint64_t version = 0;
    std::uint32_t requests = 0; ///< In flight.
    bool isResting = false; ///< The replica asked for no calls for a while.
};

/// Rolling update of one model to one version; run by the lease holder.
class WeightPlan {
public:
    explicit WeightPlan(NamedWeights planTarget, WeightPlanSettings planSettings = {})
        : target(std::move(planTarget))
        , settings(planSettings)
    {
    }

    /// @param candidates All ready replicas of the model.
    /// @return Replicas that start to update now, the least busy first.
    std::vector<UpstreamId> start(const std::vector<WeightCandidate>& candidates, TimePoint now);

    /// @param requests Known requests in flight at the replica.
    /// @return Whether a load order for @p upstream should be sent now.
    bool isOrderDue(const UpstreamId& upstream, std::uint32_t requests, TimePoint now) const;
    /// @return Whether a load order was sent to @p upstream and it has not reported the target version yet.
    bool isLoading(const UpstreamId& upstream) const;
    /// @return Number of replicas that load, or have just been ordered to. An order without visible effect may be carried out
    /// seconds later, and holds up no other replica meanwhile.
    std::size_t loadCount(TimePoint now) const;
    void onOrderSent(const UpstreamId& upstream, TimePoint now);
    /// @param version Version that the replica reports.
    /// @param isBusy Whether the replica is loading weights.
    void onReport(const UpstreamId& upstream, std::uint64_t version, bool isBusy, TimePoint now);
    /// Drops replicas that are gone or silent from the plan, so that others can start.
    void expire(const std::set<UpstreamId>& present, TimePoint now);

    const NamedWeights& weights() const { return this->target; }
    std::vector<OrderedUpstream> ordered() const;
    const std::vector<OrderedUpstream>& done() const { return this->finished; }

private:
    struct Progress {
        TimePoint started;
        std::optional<TimePoint> orderSent; ///< Last order.
        TimePoint lastEffect; ///< Last report of a load in progress, or the first order.
        TimePoint lastReport;
    };

    NamedWeights target;
    WeightPlanSettings settings;
    std::size_t replicas = 0; ///< Number of candidates at the last start().
    std::map<UpstreamId, Progress> running;
    std::map<UpstreamId, TimePoint> skippedSince; ///< Skipped by start() for a while, since the given time.
    std::vector<OrderedUpstream> finished;
};

} // namespace goldcrestwood
