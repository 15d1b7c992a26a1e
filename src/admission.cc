#include "goldcrestwood/admission.h"

#include <algorithm>
#include <tuple>

namespace goldcrestwood {

AdmissionQueue::QueueClass AdmissionQueue::queueClassOf(const Waiter& waiter, TimePoint now) const
{
    if (const auto found = this->expected.find(waiter.caller); found != this->expected.end()) {
        const auto& [refusedAt, due] = found->second;
        const auto tolerance = std::chrono::duration_cast<Duration>((due - refusedAt) * this->settings.earlyTolerance);
        return waiter.arrived >= due - tolerance ? QueueClass::Returned : QueueClass::Early;
    }
    return now < waiter.onTimeUntil ? QueueClass::OnTime : QueueClass::Late;
}

bool AdmissionQueue::precedes(const Waiter& left, const Waiter& right, TimePoint now) const
{
    return std::tuple(left.rank, this->queueClassOf(left, now), left.arrived, left.id) < std::tuple(right.rank, this->queueClassOf(right, now), right.arrived, right.id);
}

bool AdmissionQueue::isNext(const Waiter& waiter, TimePoint now) const
{
    return std::none_of(this->waiters.begin(), this->waiters.end(), [&](const auto& entry) { return this->precedes(entry.second, waiter, now); });
}

std::size_t AdmissionQueue::countAhead(const Waiter& waiter, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(this->waiters.begin(), this->waiters.end(), [&](const auto& entry) { return this->precedes(entry.second, waiter, now); }));
}

bool AdmissionQueue::isInfeasible(const Waiter& waiter, TimePoint now) const
{
    const auto known = this->rate(now);
    if (!known)
        return false;
    return now + fromSeconds(static_cast<double>(this->countAhead(waiter, now) + 1) / (*known * this->settings.rateMargin)) > waiter.expiresAt;
}

void AdmissionQueue::add(const Waiter& waiter, TimePoint now)
{
    if (this->waiters.empty()) {
        this->waitingSince = now;
        this->placements.clear();
    }
    this->waiters.emplace(waiter.id, waiter);
}

void AdmissionQueue::remove(std::uint64_t id, bool isPlaced, TimePoint now)
{
    this->waiters.erase(id);
    if (isPlaced)
        this->placements.push_back(now);
    while (!this->placements.empty() && now - this->placements.front() > this->settings.rateWindow)
        this->placements.pop_front();
}

std::vector<std::uint64_t> AdmissionQueue::order(TimePoint now) const
{
    std::vector<const Waiter*> sorted;
    sorted.reserve(this->waiters.size());
    for (const auto& [id, waiter] : this->waiters)
        sorted.push_back(&waiter);
    std::sort(sorted.begin(), sorted.end(), [&](const auto* left, const auto* right) { return this->precedes(*left, *right, now); });
    std::vector<std::uint64_t> result;
    result.reserve(sorted.size());
    for (const auto* waiter : sorted)
        result.push_back(waiter->id);
    return result;
}

std::optional<double> AdmissionQueue::rate(TimePoint now) const
{
    const auto window = std::min(this->settings.rateWindow, now - this->waitingSince);
    if (this->waiters.empty() || window < this->settings.minRateWindow)
        return std::nullopt;
    const auto placed = std::count_if(this->placements.begin(), this->placements.end(), [&](TimePoint at) { return now - at <= window; });
    // Counts one more than observed: the next placement may be imminent.
    return static_cast<double>(placed + 1) / toSeconds(window);
}

Duration AdmissionQueue::refuse(const Waiter& waiter, TimePoint now, Random& random)
{
    this->expireReturns(now);
    auto wait = this->settings.defaultRetryAfter;
    if (const auto known = this->rate(now)) {
        // The present waiters go first, then the callers refused earlier.
        const auto drained = now + fromSeconds(static_cast<double>(this->waiters.size()) / *known);
        this->lastReturn = std::max(drained, this->lastReturn) + fromSeconds(1 / *known);
        wait = std::clamp<Duration>(this->lastReturn - now, this->settings.defaultRetryAfter, this->settings.maxRetryAfter);
        this->lastReturn = std::min(this->lastReturn, now + this->settings.maxRetryAfter);
    }
    wait = std::chrono::duration_cast<Duration>(wait * (1 + this->settings.retryAfterJitter * (uniform(random) - 0.5)));
    if (waiter.caller != 0 && this->expected.size() < this->settings.maxExpectedReturns) {
        this->expected[waiter.caller] = { now, now + wait };
        this->expectedOrder.emplace_back(now + wait, waiter.caller);
    }
    return wait;
}

void AdmissionQueue::expireReturns(TimePoint now)
{
    while (!this->expectedOrder.empty() && now - this->expectedOrder.front().first > this->settings.expectedReturnLifetime) {
        const auto [due, caller] = this->expectedOrder.front();
        if (const auto found = this->expected.find(caller); found != this->expected.end() && found->second.due == due)
            this->expected.erase(found);
        this->expectedOrder.pop_front();
    }
}

} // namespace goldcrestwood
