#pragma once

/// @file
/// Decides how many replicas a service needs in each failure domain.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "goldcrestwood/duties/domain_demand.h"
#include "goldcrestwood/duties/duty_outcome.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"
#include "goldcrestwood/traffic.h"

namespace goldcrestwood {

struct ReplicaScalerSettings {
    /// Demand swings with periods of ten to fifteen seconds; the maximum over this time contains a peak of each.
    Duration demandPeriod = std::chrono::seconds(15);
    /// Demand is averaged over this time: the load of a moment varies with single large prompts.
    Duration sampleTime = std::chrono::seconds(1);
    /// The trend is the growth over this time.
    Duration trendTime = std::chrono::seconds(3);
    /// Demand counts as growing if it exceeds that of the whole period before by this factor.
    double newPeakFactor = 1.05;
    /// Limit of the growth that is expected within the boot time, as a share of the demand: a burst ends as fast as it began.
    double maxTrendShare = 0.3;
    /// Share of the capacity of all domains that the predicted demand may use; the rest is for bursts within a second.
    double targetUse = 0.7;
    /// Share of a domain's capacity that its own predicted demand may use. Domains peak at different times, and a burst in one can use
    /// the room of others.
    double targetUseInDomain = 0.85;
    /// Share of the capacity left after the loss of the largest failure domain that the predicted demand of all may use.
    double targetUseAfterLoss = 0.95;
    /// Replicas are removed only if the demand uses no more than this share of the three above afterwards.
    double removalMargin = 0.85;
    /// Replicas of a domain removed at a time; a removed replica takes its cached prompt parts with it.
    std::uint32_t maxRemoved = 2;
    /// Domains of fewer replicas lose one at a time.
    std::uint32_t smallDomain = 10;
    /// Share of a domain's replicas that may be missing, surplus or impaired while others are removed. Of hundreds of replicas some
    /// always are; a domain of fewer than a hundred must be whole.
    double toleratedShare = 0.01;
    /// Minimum time between two removals in a domain.
    Duration removalInterval = std::chrono::seconds(5);
    /// After an increase the number of waiting requests is believed for this time; later it grows because replicas are booting.
    Duration onsetTime = std::chrono::seconds(2);
    /// New replicas are cold for this time after their boot.
    Duration coldTime = std::chrono::seconds(2);
    /// Limit of the demand of waiting requests, as a share of the capacity of the ready replicas.
    double maxWaitingShare = 1;
    /// A view without figures for longer than this interrupts the period.
    Duration maxViewGap = std::chrono::seconds(2);
    /// An unanswered call may be executed up to this time later.
    Duration maxExecutionDelay = std::chrono::seconds(12);
    /// An order whose outcome is not reported within this time counts as unanswered; longer than the timeout of a call.
    Duration answerTimeout = std::chrono::seconds(6);
    /// Delay before a call that failed is made again.
    Duration retryDelay = std::chrono::seconds(1);
};

/// Why a number of replicas is requested, the most urgent reason first.
enum class ScaleReason : std::uint8_t {
    Increase,
    Retry, ///< The last call was not acknowledged.
    Repeat, ///< An older call may have been executed after the last one, or the number of ready replicas differs.
    Decrease,
};

/// @return The name of @p reason in logs.
const char* toString(ScaleReason reason);

/// Request for a number of replicas of a service in one failure domain.
struct ScaleOrder {
    FailureDomain domain;
    std::uint32_t desired = 0;
    ScaleReason reason = ScaleReason::Increase;

    bool operator==(const ScaleOrder&) const = default;
};

/// Numbers of replicas of one service, as its duty holder decides them. A new holder starts with a new object.
///
/// Load pattern: demand swings by half with periods of ten to fifteen seconds, out of phase between failure domains, while a new
/// replica serves eight seconds later. The number therefore follows the peaks of a period rather than the demand of a moment.
class ReplicaScaler {
public:
    explicit ReplicaScaler(Autoscale bounds, ReplicaScalerSettings settings = {});

    /// Applies changed bounds from the configuration.
    void setBounds(const Autoscale& changed) { this->bounds = changed; }

    /// Takes the demand and decides; meant to be called several times a second. One call at a time is under way for each domain.
    /// @param view Demand from a fresh view, or nothing if there is none.
    /// @return The orders to send now, the most urgent first; each needs a matching onOutcome() or onNotSent().
    std::vector<ScaleOrder> decide(const std::optional<ServiceDemand>& view, TimePoint now);

    void onOutcome(const ScaleOrder& order, DutyOutcome outcome, TimePoint now);
    /// The order was dropped before a call was made; the next decision returns it again with the newest number.
    void onNotSent(const ScaleOrder& order);

    /// Takes over the last number that an earlier holder recorded; it may not have been sent, or be executed later.
    void onRecorded(const FailureDomain& domain, std::uint32_t desired, TimePoint now);

    /// @return The number in force of each domain that has one.
    std::map<FailureDomain, std::uint32_t> desired() const;

private:
    /// Mean demand within a sample time.
    struct Sample {
        TimePoint at; ///< Its start.
        double sum = 0;
        std::uint32_t count = 0;
        std::uint32_t ready = 0; ///< Most ready replicas.

        double mean() const { return this->count == 0 ? 0 : this->sum / this->count; }
    };
    using History = std::deque<Sample>;
    struct Domain {
        History history;
        TimePoint since; ///< When it was first seen, also after it was forgotten.
        DomainDemand demand; ///< By the last view.
        std::optional<std::uint32_t> ordered; ///< Last number decided.
        std::optional<ScaleReason> change; ///< Why it was changed, until it is sent.
        bool isAccepted = false; ///< The platform acknowledged it.
        std::optional<TimePoint> callSince; ///< A call is under way since then.
        TimePoint lastCall;
        TimePoint retryAt;
        std::optional<TimePoint> pendingUntil; ///< Until then an older call may still be executed.
        TimePoint removedAt;
    };
    /// Numbers of replicas by domain.
    using Numbers = std::map<FailureDomain, std::uint32_t>;

    void observe(const std::vector<DomainDemand>& view, TimePoint now);
    /// @return The waiting requests that count as demand, in replicas, by domain.
    std::map<FailureDomain, double> waitingDemand(const std::vector<DomainDemand>& view, TimePoint now);
    void addSample(History& history, double value, std::uint32_t ready, TimePoint now) const;
    /// @return Demand in replicas at the end of the boot time.
    double predict(const History& history, TimePoint now) const;
    /// @return The number that is in force, or was present when this holder began.
    std::uint32_t presentNumber(const Domain& domain) const;
    static bool isLost(const Domain& domain) { return domain.demand.ready == 0; }
    /// @param margin Factor on the shares of capacity that demand may use.
    /// @return The numbers that the predicted demand needs.
    Numbers needed(double margin, TimePoint now) const;
    /// Raises the numbers in proportion until they add up to @p required, without lost domains.
    void coverTotal(Numbers& numbers, double required) const;
    /// Raises the smallest numbers until @p required replicas are left after the loss of the largest domain.
    void coverLoss(Numbers& numbers, double required) const;
    std::uint32_t withinBounds(double replicas) const;
    /// @return Whether all replicas are present and healthy.
    bool isSettled() const;
    /// @return Whether replicas may be removed: a full period has been seen, and no new replica is about to change the load.
    bool mayRemove(TimePoint now) const;
    /// @param required The number that the predicted demand needs.
    /// @param sufficient The number that is enough with a margin.
    void decideNumber(Domain& domain, std::uint32_t required, std::uint32_t sufficient, bool mayRemoveNow, TimePoint now);
    std::optional<ScaleReason> reasonToCall(const Domain& domain, TimePoint now) const;
    void expireCalls(TimePoint now);

    Autoscale bounds;
    ReplicaScalerSettings settings;
    std::map<FailureDomain, Domain> domains;
    History total; ///< Demand of all domains.
    std::optional<TimePoint> viewSince; ///< Begin of the uninterrupted full view.
    TimePoint lastView;
    std::optional<TimePoint> lastPartialView; ///< Last view that was not whole, or in which a domain was lost or new.
    double usePerRequest = 0; ///< Moving average, in replicas; 0 if unknown.
    std::optional<TimePoint> increasedAt; ///< First increase for the present demand.
    std::optional<TimePoint> lastIncrease;
    std::uint64_t waiting = 0; ///< Waiting requests by the last view.
    std::uint64_t waitingAtIncrease = 0; ///< Most waiting requests at the onset of the present demand.
    bool isFenced = false;
};

} // namespace goldcrestwood
