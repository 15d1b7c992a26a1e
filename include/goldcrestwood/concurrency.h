#pragma once

/// @file
/// Adaptive concurrency limit of one upstream: cold bound, ramp by successes, then a gradient of first-token time.

#include <cstdint>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// How an upstream's limit moves.
struct ConcurrencySettings {
    /// Limit of a cold upstream, in requests.
    std::uint32_t cold = 2;
    /// Highest limit, in requests.
    std::uint32_t max = 32;
    /// Growth of the limit for each round of as many successes as the limit, while cold.
    double rampFactor = 1.5;
    /// Slowdown of the first token, relative to that of the unloaded upstream, that counts as free of queueing.
    double tolerance = 1.05;
    /// Slowdown that counts as a step when it lasts for `stepSamples`.
    double stepFactor = 4;
    /// Samples in a row above the step.
    std::uint32_t stepSamples = 4;
    /// Errors in a row that count as a burst.
    std::uint32_t burstErrors = 3;
    /// Part that one first-token time has in the mean; small, for their expectation is an estimate.
    double sampleWeight = 0.03;
    /// Part that a new gradient has in the limit.
    double smoothing = 0.5;
    /// Slowest relative decrease for a round; a lower gradient is cut off here.
    double lowestGradient = 0.5;

    bool operator==(const ConcurrencySettings&) const = default;
};

/// What a limit has just learnt.
enum class LimitChange : std::uint8_t {
    None, ///< Nothing that others need to hear.
    TurnedCold, ///< Back at the cold bound; unused permits end now.
};

/// Limit of one upstream. Slowdown is the ratio of observed to expected first-token time, the expectation being for an
/// idle, warm upstream and the same prompt, so that long prompts do not look like load.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(ConcurrencySettings bounds = {});

    /// @return Requests that the upstream bears at once, between the cold bound and the maximum.
    std::uint32_t limit() const { return static_cast<std::uint32_t>(this->value); }

    /// Newest epoch that the upstream reported, 0 before the first report.
    std::uint64_t epoch() const { return this->currentEpoch; }

    /// @return Whether the limit still ramps from the cold bound.
    bool ramping() const { return this->warming; }

    /// A higher epoch means a fresh process with cold caches; a lower one is late and ignored.
    LimitChange onEpoch(std::uint64_t reported);

    /// @param count Requests that ended well.
    /// @param inFlight Requests at the upstream when they ended; a limit that is not used does not grow.
    /// @param slowdown Their mean slowdown, or 0 if unknown.
    LimitChange onSuccesses(std::uint64_t count, std::uint32_t inFlight, double slowdown);

    /// @param count Requests that failed at the upstream.
    LimitChange onErrors(std::uint64_t count);

    /// Back to the cold bound at once.
    LimitChange turnCold();

    /// Takes over what a former owner had reached; the limit never falls by this.
    void restore(std::uint64_t reported, double reached);

private:
    void addSample(double slowdown, std::uint64_t count);
    void learnUnloaded(bool used);
    void questionUnloaded();
    double relativeSlowdown() const;
    void ramp(bool used);
    void followGradient(bool used);

    ConcurrencySettings settings;
    double value;
    double smoothedSlowdown = 0;
    double unloadedSlowdown = 0;
    std::uint64_t samples = 0;
    double fallFrom = 0;
    double slowdownBeforeFall = 0;
    std::uint64_t currentEpoch = 0;
    std::uint64_t roundSuccesses = 0;
    std::uint64_t errorsInRow = 0;
    std::uint32_t stepsInRow = 0;
    bool warming = true;
};

} // namespace goldcrestwood
