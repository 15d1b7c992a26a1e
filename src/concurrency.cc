#include "goldcrestwood/concurrency.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

namespace {

    /// Factor applied to the limit on errors that are not a burst.
    constexpr double errorDecrease = 0.8;

    /// Weight of a round without load in the unloaded slowdown.
    constexpr double unloadedWeight = 0.05;

    /// Weight of a faster round under load in it; small, or random variation would lower it step by step.
    constexpr double loadedWeight = 0.02;

    /// Share to which the limit must have fallen before the slowdowns are compared.
    constexpr double fallenPart = 0.5;

    /// Factor above the tolerance that random variation does not explain.
    constexpr double clearlySlowed = 1.1;

    /// Share of the slowdown that may remain after the fall if our requests caused it.
    constexpr double improvedPart = 0.9;

    /// Requests by which a limit in use probes beyond its present value.
    constexpr double growth = 1;

    /// Share of the limit that must be in use for the limit to grow.
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
    return first ? LimitChange::None : this->resetToCold();
}

LimitChange ConcurrencyLimit::onSuccesses(std::uint64_t count, std::uint32_t inFlight, double slowdown)
{
    if (count > 0)
        this->errorsInRow = 0;
    if (slowdown > 0) {
        const auto usual = std::max(this->smoothedSlowdown, 1.0);
        if (!this->warming && slowdown > this->settings.stepFactor * usual) {
            if (++this->stepsInRow >= this->settings.stepSamples)
                return this->resetToCold();
            return LimitChange::None;
        }
        this->stepsInRow = 0;
        this->addSample(slowdown, std::max<std::uint64_t>(count, 1));
    }
    this->roundSuccesses += count;
    if (this->roundSuccesses < this->limit())
        return LimitChange::None;
    this->roundSuccesses = 0;
    const bool used = inFlight >= usedPart * this->value;
    this->updateUnloaded(used);
    this->warming ? this->ramp(used) : this->followGradient(used);
    return LimitChange::None;
}

LimitChange ConcurrencyLimit::onErrors(std::uint64_t count)
{
    if (count == 0)
        return LimitChange::None;
    this->errorsInRow += count;
    if (this->errorsInRow >= this->settings.burstErrors)
        return this->resetToCold();
    this->value = std::max<double>(this->settings.cold, errorDecrease * this->value);
    return LimitChange::None;
}

LimitChange ConcurrencyLimit::resetToCold()
{
    this->value = this->settings.cold;
    this->smoothedSlowdown = 0;
    this->unloadedSlowdown = 0;
    this->samples = 0;
    this->limitBeforeFall = 0;
    this->roundSuccesses = 0;
    this->errorsInRow = 0;
    this->stepsInRow = 0;
    this->warming = true;
    return LimitChange::ResetToCold;
}

void ConcurrencyLimit::restore(std::uint64_t reported, double reached)
{
    this->currentEpoch = std::max(this->currentEpoch, reported);
    this->value = std::clamp<double>(reached, this->value, this->settings.max);
}

void ConcurrencyLimit::addSample(double slowdown, std::uint64_t count)
{
    this->samples += count;
    const auto kept = std::pow(1 - this->settings.sampleWeight, static_cast<double>(count));
    // The first samples are weighted equally until there are enough of them for the moving average.
    const auto weight = std::max(1 - kept, static_cast<double>(count) / static_cast<double>(this->samples));
    this->smoothedSlowdown = std::lerp(this->smoothedSlowdown, slowdown, weight);
}

void ConcurrencyLimit::updateUnloaded(bool used)
{
    // The expected time is an estimate; the slowdown of the unloaded upstream corrects it.
    if (this->warming && static_cast<double>(this->samples) * this->settings.sampleWeight <= 1)
        this->unloadedSlowdown = this->smoothedSlowdown;
    else if (!used)
        this->unloadedSlowdown = std::lerp(this->unloadedSlowdown, this->smoothedSlowdown, unloadedWeight);
    else if (this->smoothedSlowdown < this->unloadedSlowdown)
        this->unloadedSlowdown = std::lerp(this->unloadedSlowdown, this->smoothedSlowdown, loadedWeight);
    this->reviewUnloaded();
}

void ConcurrencyLimit::reviewUnloaded()
{
    const bool slowed = this->relativeSlowdown() > this->settings.tolerance;
    if (slowed && this->value > fallenPart * this->limitBeforeFall)
        return;
    // A slowdown that persists although the limit has halved is not caused by our requests.
    const bool clear = this->relativeSlowdown() > clearlySlowed * this->settings.tolerance;
    if (clear && this->smoothedSlowdown > improvedPart * this->slowdownBeforeFall)
        this->unloadedSlowdown = this->smoothedSlowdown;
    this->limitBeforeFall = this->value;
    this->slowdownBeforeFall = this->smoothedSlowdown;
}

double ConcurrencyLimit::relativeSlowdown() const
{
    return this->unloadedSlowdown > 0 ? this->smoothedSlowdown / this->unloadedSlowdown : 1;
}

void ConcurrencyLimit::ramp(bool used)
{
    const bool slowed = this->relativeSlowdown() > this->settings.tolerance;
    if (!slowed && used)
        this->value = std::min<double>(this->settings.max, std::ceil(this->settings.rampFactor * this->value));
    // The ramp ends when the upstream starts to queue; from then on the gradient sets the limit.
    if (slowed || this->value >= this->settings.max)
        this->warming = false;
}

void ConcurrencyLimit::followGradient(bool used)
{
    const auto gradient = std::clamp(this->settings.tolerance / this->relativeSlowdown(), this->settings.lowestGradient, 1.0);
    const auto target = this->value * gradient + growth;
    if (target > this->value && !used)
        return;
    const auto next = std::lerp(this->value, target, this->settings.smoothing);
    this->value = std::clamp<double>(next, this->settings.cold, this->settings.max);
}

} // namespace goldcrestwood
