#pragma once

/// @file
/// Moves a service's requests to a new version of its upstreams, or back: how many requests the new version gets, and what
/// all daemons together make of its answers.

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

/// What the operator asks for.
struct RolloutOrder {
    ServiceName service;
    std::string target; ///< Software version that the service is to run.
    Duration duration = Duration(0); ///< From the order to its deadline.

    bool operator==(const RolloutOrder&) const = default;
};

/// Where a roll-out stands, as the operator reads it.
enum class RolloutState : std::uint8_t { Active,
    Complete,
    Reverted };

/// @return The name of @p state in logs.
const char* toString(RolloutState state);

/// What a request asks of the software version of its upstream; empty: anything.
struct VersionDemand {
    std::string wanted;
    std::string avoided;
    bool isTrial = false; ///< The old version stays the way if the wanted one has no place.

    bool operator==(const VersionDemand&) const = default;
};

struct RolloutSettings {
    /// Share of the bound on exposure that the trial uses up to the takeover; the rest is for the time after it.
    double trialShare = 0.5;
    /// Answers of the new version without which it is not approved: a failure in ten shows among so many with 95 % certainty.
    std::uint32_t leastAnswers = 30;
    /// Failures without which the shares are not compared: one of two says nothing.
    std::uint32_t leastFailures = 4;
    /// Times without which the means are not compared: fewer are not near a normal distribution.
    std::uint32_t leastTimed = 10;
    /// Standard errors between the versions that count as a difference. The sum is looked at each second, so that one look
    /// must be far surer than 95 %.
    double significance = 4;
    /// A version that takes so much longer is worse, however sure the difference is.
    double worseTime = 1.4;
    /// Likewise, that fails so much more often.
    double worseFailures = 0.03;
    /// Failures that a version may have more and still take over, one standard error included.
    double tolerableFailures = 0.1;
    /// The old version is left this share of the duration before its upstreams stop, for requests in flight there.
    double drainShare = 0.03;
    /// Registry entries of stopped upstreams expire well within this time.
    Duration memory = std::chrono::seconds(30);
};

/// How one answer came out.
struct RolloutOutcome {
    std::string route;
    bool isTarget = false;
    bool isFailure = false;
    std::optional<double> timeRatio; ///< Time to the first byte against what the prompt makes one expect.
};

/// The roll-out of one service as one daemon knows it. Load pattern: the new version fails or is slow for a part of its
/// requests, on one route only or late, while the whole site may be slow or upstreams of both versions fail.
class Rollout {
public:
    /// @param offset Of the order in the operator's topic; a later order replaces an earlier one.
    /// @param since When the order was given, if this daemon saw it.
    Rollout(RolloutOrder order, std::uint64_t offset, std::optional<TimePoint> since, SiteBounds bounds, RolloutSettings settings = {});

    const RolloutOrder& order() const { return this->ordered; }
    std::uint64_t offset() const { return this->orderOffset; }
    bool isReverted() const { return this->reverted; }
    bool isApproved() const { return this->approved; }
    /// @return Whether this daemon knows when the order was given.
    bool isWitnessed() const { return this->since.has_value(); }

    /// @return Whether the old version gets no new request.
    bool hasTakenOver(TimePoint now) const;
    /// @param requestId The same request always comes to the same side.
    /// @param isFirstTry Whether the request has been nowhere yet; a trial is not repeated.
    /// @param readyTargets Upstreams of the new version that take requests.
    /// @param readyOthers Those of older versions.
    VersionDemand demandFor(const std::string& requestId, bool isFirstTry, std::size_t readyTargets, std::size_t readyOthers, TimePoint now) const;
    /// @return Whether the roll-out has ended so long ago that no upstream of the old version is left.
    bool isForgotten(TimePoint now) const;
    /// @return Whether the old upstreams may be stopped.
    bool isComplete(TimePoint now) const;

    void onOutcome(const RolloutOutcome& outcome);
    /// Takes over what a peer tells; its outcomes replace those that it told before.
    void onNotice(const InstanceId& peer, std::uint64_t incarnation, const RolloutNotice& notice, TimePoint now);
    /// @return What to tell peers.
    RolloutNotice notice(TimePoint now) const;

    /// Compares the versions on the outcomes of all daemons.
    /// @param readyTargets Upstreams of the new version that take requests.
    /// @param readyOthers Those of older versions.
    /// @return Whether the verdict has changed.
    bool judge(std::size_t readyTargets, std::size_t readyOthers, TimePoint now);
    /// Takes the new version back, whatever was seen.
    void revert() { this->reverted = true; }

    /// @return Outcomes of all daemons by route, the new version beside the others.
    std::vector<RolloutOutcomes> evidence() const;

private:
    using Outcomes = std::map<std::pair<std::string, bool>, RolloutOutcomes>;

    TimePoint takeover() const;
    /// @return Whether the new version may take the request.
    bool mayTryTarget(const std::string& requestId, TimePoint now) const;
    /// @return Whether the new version is surely worse.
    bool isWorse(const RolloutOutcomes& target, const RolloutOutcomes& others) const;
    /// @return Whether the new version is most likely not worse.
    bool isAsGood(const RolloutOutcomes& target, const RolloutOutcomes& others) const;

    RolloutOrder ordered;
    std::uint64_t orderOffset;
    std::optional<TimePoint> since;
    SiteBounds bounds;
    RolloutSettings settings;
    bool reverted = false;
    bool approved = false;
    Outcomes own;
    std::map<std::pair<InstanceId, std::uint64_t>, std::vector<RolloutOutcomes>> told; ///< By process.
};

} // namespace goldcrestwood
