#pragma once

/// @file
/// Which model replicas take new weights next, so that all have them in time and enough of them serve meanwhile.

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
    /// Replicas of a service that take weights at the same time, as a share; a load waits for the runs of its replica first.
    double share = 1.0 / 3;
    /// At least so many: the weight store serves two loads at full speed.
    std::size_t least = 2;
    /// Loads at the same time, as a share of the replicas and at least: beyond them each load takes longer (the users'
    /// pages: 2 of 9 and of 12, 18 of 90, 28 of 140). Other replicas under order end their runs meanwhile.
    double loadShare = 0.2;
    std::size_t leastLoads = 2;
    /// A replica takes its order when at most so many requests are left there, or after this time: the runs that
    /// are left go on over the change, and what they make from then on is worth less to their callers.
    std::uint32_t drainedRequests = 1;
    Duration drainLimit = std::chrono::milliseconds(800);
    /// An order that shows no effect for so long is given again.
    Duration repeat = std::chrono::milliseconds(700);
    /// A replica that does not report for so long leaves its place to another.
    Duration silence = std::chrono::milliseconds(1500);
};

/// A replica and the number of requests in flight there.
struct WeightCandidate {
    UpstreamId upstream;
    std::uint64_t version = 0;
    std::uint32_t requests = 0;
    bool isResting = false; ///< It wants no call for a while.
};

/// Progress of one model's move to a version, at the holder.
class WeightPlan {
public:
    explicit WeightPlan(NamedWeights planTarget, WeightPlanSettings planSettings = {})
        : target(std::move(planTarget))
        , settings(planSettings)
    {
    }

    /// @param candidates All ready replicas of the model.
    /// @return Replicas that join those under order now, the least busy first.
    std::vector<UpstreamId> start(const std::vector<WeightCandidate>& candidates, TimePoint now);

    /// @return Whether an order for @p upstream should leave now.
    /// @param requests In flight at the replica, as far as known.
    bool isOrderDue(const UpstreamId& upstream, std::uint32_t requests, TimePoint now) const;
    /// @return Whether an order has been sent to @p upstream and its effect is awaited.
    bool isLoading(const UpstreamId& upstream) const;
    /// @return Replicas of which this holds.
    std::size_t loading() const;
    void onOrderSent(const UpstreamId& upstream, TimePoint now);
    /// @param version What the replica reports.
    void onReport(const UpstreamId& upstream, std::uint64_t version, bool isBusy, TimePoint now);
    /// Replicas that are gone or silent free their places.
    void expire(const std::set<UpstreamId>& present, TimePoint now);

    const NamedWeights& weights() const { return this->target; }
    std::vector<OrderedUpstream> ordered() const;
    const std::vector<OrderedUpstream>& done() const { return this->finished; }

private:
    struct Progress {
        TimePoint started;
        std::optional<TimePoint> orderSent;
        TimePoint lastReport;
    };

    NamedWeights target;
    WeightPlanSettings settings;
    std::size_t replicas = 0; ///< As of the last start.
    std::map<UpstreamId, Progress> running;
    std::map<UpstreamId, TimePoint> silent; ///< Passed over for a while.
    std::vector<OrderedUpstream> finished;
};

} // namespace goldcrestwood
