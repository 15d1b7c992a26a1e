#include "goldcrestwood/rollout.h"

#include <algorithm>
#include <cmath>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    void add(RolloutOutcomes& sum, const RolloutOutcomes& part)
    {
        sum.answers += part.answers;
        sum.failures += part.failures;
        sum.timed += part.timed;
        sum.sum += part.sum;
        sum.squares += part.squares;
    }

    double meanOf(const RolloutOutcomes& outcomes)
    {
        return outcomes.timed == 0 ? 0 : outcomes.sum / outcomes.timed;
    }

    /// @return The pooled variance of single answers around the mean of their own version.
    double commonVariance(const RolloutOutcomes& left, const RolloutOutcomes& right)
    {
        const auto squaredDeviations = [](const RolloutOutcomes& outcomes) { return std::max(0.0, outcomes.squares - outcomes.sum * meanOf(outcomes)); };
        return (squaredDeviations(left) + squaredDeviations(right)) / (left.timed + right.timed);
    }

    double failureShare(const RolloutOutcomes& outcomes)
    {
        return outcomes.answers == 0 ? 0 : static_cast<double>(outcomes.failures) / outcomes.answers;
    }

    /// How much worse the new version is, and the uncertainty of that.
    struct Difference {
        double mean = 0;
        double error = 0; ///< One standard error.
    };

    /// @return The difference of the mean logarithms of the times; both versions must have timed answers.
    Difference differenceOfTimes(const RolloutOutcomes& target, const RolloutOutcomes& others)
    {
        return { meanOf(target) - meanOf(others), std::sqrt(commonVariance(target, others) * (1.0 / target.timed + 1.0 / others.timed)) };
    }

    /// @return The difference of the failure shares; both versions must have answers.
    Difference differenceOfFailures(const RolloutOutcomes& target, const RolloutOutcomes& others)
    {
        const auto all = static_cast<double>(target.failures + others.failures) / (target.answers + others.answers);
        return { failureShare(target) - failureShare(others), std::sqrt(all * (1 - all) * (1.0 / target.answers + 1.0 / others.answers)) };
    }

} // namespace

const char* toString(RolloutState state)
{
    switch (state) {
    case RolloutState::Active:
        return "active";
    case RolloutState::Complete:
        return "complete";
    case RolloutState::Reverted:
        return "reverted";
    }
    return "unknown";
}

Rollout::Rollout(RolloutOrder order, std::uint64_t offset, std::optional<TimePoint> orderedAt, SiteBounds siteBounds, RolloutSettings rolloutSettings)
    : ordered(std::move(order))
    , orderOffset(offset)
    , since(orderedAt)
    , bounds(siteBounds)
    , settings(rolloutSettings)
{
}

TimePoint Rollout::takeoverTime() const
{
    // If the version turns out bad later, the trial's share before the takeover plus all requests after it stay within the bound.
    const auto takeoverShare = this->bounds.exposureShare * (1 - this->settings.trialShare);
    return *this->since + std::chrono::duration_cast<Duration>(this->ordered.duration * (1 - takeoverShare));
}

bool Rollout::hasTakenOver(TimePoint now) const
{
    return this->approved && !this->reverted && this->since && now >= this->takeoverTime();
}

bool Rollout::isExpired(TimePoint now) const
{
    return this->hasTakenOver(now) && now >= *this->since + this->ordered.duration + this->settings.retention;
}

bool Rollout::isComplete(TimePoint now) const
{
    return this->hasTakenOver(now) && now >= this->takeoverTime() + std::chrono::duration_cast<Duration>(this->ordered.duration * this->settings.drainShare);
}

VersionDemand Rollout::demandFor(const std::string& requestId, bool isFirstAttempt, std::size_t readyTargets, std::size_t readyOthers, TimePoint now) const
{
    const auto& target = this->ordered.target;
    if (this->isExpired(now))
        return {};
    if (this->hasTakenOver(now))
        return readyTargets > 0 ? VersionDemand { target, {}, false } : VersionDemand {};
    if (isFirstAttempt && this->isInTrial(requestId, now))
        return { target, {}, true };
    return readyOthers > 0 ? VersionDemand { {}, target, false } : VersionDemand {};
}

bool Rollout::isInTrial(const std::string& requestId, TimePoint now) const
{
    if (this->reverted || !this->since)
        return false;
    constexpr std::uint64_t steps = 10000;
    const auto trial = this->bounds.exposureShare * this->settings.trialShare;
    return now < *this->since + this->ordered.duration
        && static_cast<double>(stableHash(requestId + '\n' + this->ordered.target) % steps) < trial * static_cast<double>(steps);
}

void Rollout::onOutcome(const RolloutOutcome& outcome)
{
    auto& sum = this->own[{ outcome.route, outcome.isTarget }];
    sum.route = outcome.route;
    sum.isTarget = outcome.isTarget;
    RolloutOutcomes one;
    one.answers = 1;
    one.failures = outcome.isFailure ? 1 : 0;
    if (outcome.timeRatio && *outcome.timeRatio > 0) {
        one.timed = 1;
        one.sum = std::log(*outcome.timeRatio);
        one.squares = one.sum * one.sum;
    }
    add(sum, one);
}

void Rollout::onNotice(const InstanceId& peer, std::uint64_t incarnation, const RolloutNotice& notice, TimePoint now)
{
    if (notice.service != this->ordered.service || notice.order != this->orderOffset)
        return;
    this->reverted = this->reverted || notice.isReverted;
    this->approved = this->approved || notice.isApproved;
    if (notice.isWitnessed) {
        const auto orderedAt = now - fromAgeMs(notice.ageMs);
        this->since = this->since ? std::min(*this->since, orderedAt) : orderedAt;
    }
    this->peerOutcomes[{ peer, incarnation }] = notice.outcomes;
}

RolloutNotice Rollout::notice(TimePoint now) const
{
    RolloutNotice result;
    result.service = this->ordered.service;
    result.order = this->orderOffset;
    result.isWitnessed = this->since.has_value();
    result.ageMs = this->since ? static_cast<std::uint64_t>((now - *this->since) / std::chrono::milliseconds(1)) : 0;
    result.isReverted = this->reverted;
    result.isApproved = this->approved;
    // No daemon evaluates the outcomes any more.
    if (this->reverted || !this->since || now >= *this->since + this->ordered.duration)
        return result;
    for (const auto& [key, outcomes] : this->own)
        result.outcomes.push_back(outcomes);
    return result;
}

std::vector<RolloutOutcomes> Rollout::evidence() const
{
    auto sums = this->own;
    for (const auto& [process, outcomes] : this->peerOutcomes)
        for (const auto& part : outcomes) {
            auto& sum = sums[{ part.route, part.isTarget }];
            sum.route = part.route;
            sum.isTarget = part.isTarget;
            add(sum, part);
        }
    std::vector<RolloutOutcomes> result;
    result.reserve(sums.size());
    for (auto& [key, sum] : sums)
        result.push_back(std::move(sum));
    return result;
}

bool Rollout::isWorse(const RolloutOutcomes& target, const RolloutOutcomes& others) const
{
    const auto isSignificant = [this](const Difference& difference, double bound) {
        return difference.mean > bound && difference.mean > this->settings.significance * difference.error;
    };
    if (target.failures >= this->settings.minFailures && others.answers > 0 && isSignificant(differenceOfFailures(target, others), this->settings.worseFailureExcess))
        return true;
    return target.timed >= this->settings.minTimedAnswers && others.timed >= this->settings.minTimedAnswers
        && isSignificant(differenceOfTimes(target, others), std::log(this->settings.worseTimeRatio));
}

bool Rollout::isNonInferior(const RolloutOutcomes& target, const RolloutOutcomes& others) const
{
    if (target.answers < this->settings.minAnswers || others.answers < this->settings.minAnswers || target.timed == 0 || others.timed == 0)
        return false;
    const auto times = differenceOfTimes(target, others);
    const auto failures = differenceOfFailures(target, others);
    return times.mean + times.error < std::log(this->settings.worseTimeRatio) && failures.mean + failures.error < this->settings.tolerableFailureExcess;
}

bool Rollout::evaluate(std::size_t readyTargets, std::size_t readyOthers, TimePoint now)
{
    if (this->reverted || !this->since || now >= *this->since + this->ordered.duration)
        return false;
    RolloutOutcomes target;
    RolloutOutcomes others;
    const auto sums = this->evidence();
    for (const auto& sum : sums) {
        if (!sum.isTarget)
            continue;
        add(target, sum);
        const auto other = std::find_if(sums.begin(), sums.end(), [&](const auto& one) { return !one.isTarget && one.route == sum.route; });
        if (other == sums.end())
            continue;
        add(others, *other);
        this->reverted = this->reverted || this->isWorse(sum, *other);
    }
    this->reverted = this->reverted || this->isWorse(target, others);
    if (this->reverted)
        return true;
    if (!this->approved && now >= this->takeoverTime()) {
        // A version that is not approved by now cannot take over in time.
        this->reverted = true;
        return true;
    }
    const bool mayApprove = !this->approved && now >= this->takeoverTime() - std::chrono::duration_cast<Duration>(this->ordered.duration * this->bounds.exposureShare)
        && this->isNonInferior(target, others) && 2 * readyTargets >= readyOthers;
    this->approved = this->approved || mayApprove;
    return mayApprove;
}

} // namespace goldcrestwood
