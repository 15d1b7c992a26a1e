#pragma once

/// @file
/// Moves a service's requests to a new version of its upstreams, or back: decides how many requests the new version gets and
/// compares the versions on the outcomes of all daemons.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// An operator's order to move a service to another version.
struct RolloutOrder {
    ServiceName service;
    std::string target; ///< Software version to roll out.
    Duration duration = Duration(0); ///< From the order to its deadline.

    bool operator==(const RolloutOrder&) const = default;
};

/// State of a roll-out as reported to the operator.
enum class RolloutState : std::uint8_t { Active,
    Complete,
    Reverted };

/// @return The name of @p state in logs.
const char* toString(RolloutState state);

/// Constraints of a request on the software version of its upstream; an empty string is no constraint.
struct VersionDemand {
    std::string wanted;
    std::string avoided;
    bool isTrial = false; ///< Falls back to the old version if the wanted one has no free capacity.

    bool operator==(const VersionDemand&) const = default;
};

struct RolloutSettings {
    /// Share of the exposure bound that the trial may use before the takeover; the rest covers the time after it.
    double trialShare = 0.5;
    /// Minimum answers of the new version for approval: with 30, a failure rate of one in ten shows with 95 % probability.
    std::uint32_t minAnswers = 30;
    /// Minimum failures for a comparison of failure shares: one failure in two answers is no evidence.
    std::uint32_t minFailures = 4;
    /// Minimum timed answers for a comparison of means: the mean of fewer is not close to normally distributed.
    std::uint32_t minTimedAnswers = 10;
    /// Standard errors between the versions that count as a difference. The test is repeated each second, so a single
    /// test needs a confidence far above 95 %.
    double significance = 4;
    /// A version counts as worse only if its times exceed the other's by more than this factor, even if the difference is
    /// significant.
    double worseTimeRatio = 1.4;
    /// A version counts as worse only if its failure share exceeds the other's by more than this.
    double worseFailureExcess = 0.03;
    /// A version is approved only if its excess failure share plus one standard error is below this.
    double tolerableFailureExcess = 0.1;
    /// Share of the duration between the takeover and the stop of the old upstreams, so that requests in flight can finish.
    double drainShare = 0.03;
    /// A roll-out applies for this long after its deadline; registry entries of stopped upstreams expire well within it.
    Duration retention = std::chrono::seconds(30);
};

/// The outcome of one request.
struct RolloutOutcome {
    std::string route;
    bool isTarget = false;
    bool isFailure = false;
    std::optional<double> timeRatio; ///< Time to the first byte relative to the time expected for the prompt.
};

/// One daemon's view of the roll-out of one service. Load pattern: the new version fails or is slow for some of its
/// requests, on a single route or only late in the roll-out, while the whole site may be slow or upstreams of both versions fail.
class Rollout {
public:
    /// @param offset Position of the order in the operator's topic; a later order replaces an earlier one.
    /// @param orderedAt When the order was given, if this daemon saw it.
    Rollout(RolloutOrder order, std::uint64_t offset, std::optional<TimePoint> orderedAt, SiteBounds siteBounds, RolloutSettings rolloutSettings = {});

    const RolloutOrder& order() const { return this->ordered; }
    std::uint64_t offset() const { return this->orderOffset; }
    /// Changes the order's position: the same order was written again after the store had lost it.
    void moveTo(std::uint64_t offset) { this->orderOffset = offset; }
    bool isReverted() const { return this->reverted; }
    bool isApproved() const { return this->approved; }
    /// @return Whether this daemon knows when the order was given.
    bool isOrderTimeKnown() const { return this->since.has_value(); }

    /// @return Whether the old version gets no new request.
    bool hasTakenOver(TimePoint now) const;
    /// @param requestId Assigns the request to a version by hash, always the same one.
    /// @param isFirstAttempt Whether this is the first attempt; a retry never joins the trial.
    /// @param readyTargets Upstreams of the new version that accept requests.
    /// @param readyOthers Upstreams of other versions that accept requests.
    VersionDemand demandFor(const std::string& requestId, bool isFirstAttempt, std::size_t readyTargets, std::size_t readyOthers, TimePoint now) const;
    /// @return Whether the roll-out has ended so long ago that no upstream of the old version is left.
    bool isExpired(TimePoint now) const;
    /// @return Whether the old upstreams may be stopped.
    bool isComplete(TimePoint now) const;

    void onOutcome(const RolloutOutcome& outcome);
    /// Merges a peer's notice; its outcomes replace those of the peer's previous notice.
    void onNotice(const InstanceId& peer, std::uint64_t incarnation, const RolloutNotice& notice, TimePoint now);
    /// @return This daemon's notice to its peers.
    RolloutNotice notice(TimePoint now) const;

    /// Compares the versions on the outcomes of all daemons.
    /// @param readyTargets Upstreams of the new version that accept requests.
    /// @param readyOthers Upstreams of other versions that accept requests.
    /// @return Whether the verdict has changed.
    bool evaluate(std::size_t readyTargets, std::size_t readyOthers, TimePoint now);
    /// Reverts to the old version regardless of the outcomes.
    void revert() { this->reverted = true; }

    /// @return Outcomes of all daemons, by route and by whether they are of the new version.
    std::vector<RolloutOutcomes> evidence() const;

private:
    using Outcomes = std::map<std::pair<std::string, bool>, RolloutOutcomes>;

    TimePoint takeoverTime() const;
    /// @return Whether the request is part of the trial.
    bool isInTrial(const std::string& requestId, TimePoint now) const;
    /// @return Whether the new version is significantly worse.
    bool isWorse(const RolloutOutcomes& target, const RolloutOutcomes& others) const;
    /// @return Whether the new version is within tolerance of the others, one standard error included.
    bool isNonInferior(const RolloutOutcomes& target, const RolloutOutcomes& others) const;

    RolloutOrder ordered;
    std::uint64_t orderOffset;
    std::optional<TimePoint> since;
    SiteBounds bounds;
    RolloutSettings settings;
    bool reverted = false;
    bool approved = false;
    Outcomes own;
    std::map<std::pair<InstanceId, std::uint64_t>, std::vector<RolloutOutcomes>> peerOutcomes; ///< Latest outcomes of each peer process (instance and incarnation).
};

} // namespace goldcrestwood
