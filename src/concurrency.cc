#include "goldcrestwood/concurrency.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

namespace {

    /// Part of the limit when an upstream fails short of a burst.
    constexpr double errorDecrease = 0.8;

    /// Part of the limit that must be in use for the limit to grow.
    constexpr double usedPart = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencySettings bounds)
    : settings(bounds)
    , value(bounds.cold)
{
    this->settings.max = std::max(bounds.max, bounds.cold);
}

LimitChange ConcurrencyLimit::onEpoch(std::uint64_t reported)
{
    if (reported <= this->currentEpoch)
        return LimitChange::None;
    const bool first = this->currentEpoch == 0;
    this->currentEpoch = reported;
    return first ? LimitChange::None : this->turnCold();
}

LimitChange ConcurrencyLimit::onSuccesses(std::uint64_t count, std::uint32_t inFlight, double slowdown)
{
    if (count > 0)
        this->errorsInRow = 0;
    if (slowdown > 0) {
        const auto usual = std::max(this->smoothedSlowdown, 1.0);
        if (!this->warming && slowdown > this->settings.stepFactor * usual) {
            if (++this->stepsInRow >= this->settings.stepSamples)
                return this->turnCold();
            return LimitChange::None;
        }
        this->stepsInRow = 0;
        this->smoothedSlowdown = this->smoothedSlowdown > 0
            ? std::lerp(this->smoothedSlowdown, slowdown, this->settings.smoothing)
            : slowdown;
    }
    this->roundSuccesses += count;
    if (this->roundSuccesses < this->limit())
        return LimitChange::None;
    this->roundSuccesses = 0;
    const bool used = inFlight >= usedPart * this->value;
    this->warming ? this->ramp(used) : this->followGradient(used);
    return LimitChange::None;
}

LimitChange ConcurrencyLimit::onErrors(std::uint64_t count)
{
    if (count == 0)
        return LimitChange::None;
    this->errorsInRow += count;
    if (this->errorsInRow >= this->settings.burstErrors)
        return this->turnCold();
    this->value = std::max<double>(this->settings.cold, errorDecrease * this->value);
    return LimitChange::None;
}

LimitChange ConcurrencyLimit::turnCold()
{
    this->value = this->settings.cold;
    this->smoothedSlowdown = 0;
    this->roundSuccesses = 0;
    this->errorsInRow = 0;
    this->stepsInRow = 0;
    this->warming = true;
    return LimitChange::TurnedCold;
}

void ConcurrencyLimit::restore(std::uint64_t reported, double reached)
{
    this->currentEpoch = std::max(this->currentEpoch, reported);
    this->value = std::clamp<double>(reached, this->value, this->settings.max);
}

void ConcurrencyLimit::ramp(bool used)
{
    const bool slowed = this->smoothedSlowdown > this->settings.tolerance;
    if (!slowed && used)
        this->value = std::min<double>(this->settings.max, std::ceil(this->settings.rampFactor * this->value));
    // The ramp ends where the upstream begins to queue; from there the gradient leads.
    if (slowed || this->value >= this->settings.max)
        this->warming = false;
}

void ConcurrencyLimit::followGradient(bool used)
{
    if (this->smoothedSlowdown <= 0)
        return;
    const auto gradient = std::clamp(this->settings.tolerance / this->smoothedSlowdown, this->settings.lowestGradient, 1.0);
    const auto target = this->value * gradient + std::sqrt(this->value);
    if (target > this->value && !used)
        return;
    const auto next = std::lerp(this->value, target, this->settings.smoothing);
    this->value = std::clamp<double>(next, this->settings.cold, this->settings.max);
}

} // namespace goldcrestwood
