#pragma once

/// @file
/// Adaptive concurrency limit of one upstream: cold bound, ramp by successes, then gradient descent on first-token times.

#include <cstdint>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// How an upstream's limit adapts.
struct ConcurrencySettings {
    /// Limit of a cold upstream, in requests.
    std::uint32_t cold = 2;
    /// Highest limit, in requests.
    std::uint32_t max = 32;
    /// Growth factor of the limit per round while ramping; a round is as many successes as the limit.
    double rampFactor = 1.5;
    /// Slowdown of the first token, relative to that of the unloaded upstream, up to which no queueing is assumed.
    double tolerance = 1.05;
    /// Slowdown relative to the mean that counts as a step when it lasts for `stepSamples`.
    double stepFactor = 4;
    /// Consecutive samples above the step.
    std::uint32_t stepSamples = 4;
    /// Consecutive errors that count as a burst.
    std::uint32_t burstErrors = 3;
    /// Weight of one first-token time in the moving average; small because the expected time is an estimate.
    double sampleWeight = 0.03;
    /// Weight of a new gradient in the limit.
    double smoothing = 0.5;
    /// Lower bound of the gradient: the largest relative decrease per round.
    double lowestGradient = 0.5;

    bool operator==(const ConcurrencySettings&) const = default;
};

/// Effect of an observation on a limit.
enum class LimitChange : std::uint8_t {
    None, ///< Nothing to report.
    ResetToCold, ///< Reset to the cold bound; unused permits end now.
};

/// Limit of one upstream. Slowdown is the ratio of observed to expected first-token time. The expected time is that of an
/// idle, warm upstream for the same prompt, so that long prompts do not look like load.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(ConcurrencySettings bounds = {});

    /// @return Maximum concurrent requests at the upstream, between the cold bound and the maximum.
    std::uint32_t limit() const { return static_cast<std::uint32_t>(this->value); }

    /// @return Newest epoch that the upstream reported; 0 before the first report.
    std::uint64_t epoch() const { return this->currentEpoch; }

    /// @return Whether the limit is still ramping up from the cold bound.
    bool ramping() const { return this->warming; }

    /// A higher epoch means a new process with cold caches; a lower one is outdated and ignored.
    LimitChange onEpoch(std::uint64_t reported);

    /// @param count Successful requests.
    /// @param inFlight Requests at the upstream when they ended; an unused limit does not grow.
    /// @param slowdown Their mean slowdown, or 0 if unknown.
    LimitChange onSuccesses(std::uint64_t count, std::uint32_t inFlight, double slowdown);

    /// @param count Requests that failed at the upstream.
    LimitChange onErrors(std::uint64_t count);

    /// Resets the limit to the cold bound.
    LimitChange resetToCold();

    /// Restores the limit reached at a former owner; never lowers the limit.
    void restore(std::uint64_t reported, double reached);

private:
    void addSample(double slowdown, std::uint64_t count);
    void updateUnloaded(bool used);
    void reviewUnloaded();
    double relativeSlowdown() const;
    void ramp(bool used);
    void followGradient(bool used);

    ConcurrencySettings settings;
    double value;
    double smoothedSlowdown = 0;
    double unloadedSlowdown = 0;
    std::uint64_t samples = 0;
    double limitBeforeFall = 0;
    double slowdownBeforeFall = 0;
    std::uint64_t currentEpoch = 0;
    std::uint64_t roundSuccesses = 0;
    std::uint64_t errorsInRow = 0;
    std::uint32_t stepsInRow = 0;
    bool warming = true;
};

} // namespace goldcrestwood
