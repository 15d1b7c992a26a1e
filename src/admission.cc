#include "goldcrestwood/admission.h"

#include <algorithm>
#include <cmath>
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

bool AdmissionQueue::Position::operator<(const Position& other) const
{
    return std::tie(this->rank, this->queueClass, this->turn, this->arrived, this->id) < std::tie(other.rank, other.queueClass, other.turn, other.arrived, other.id);
}

std::vector<AdmissionQueue::Position> AdmissionQueue::positions(const Waiter* candidate, TimePoint now) const
{
    std::vector<Position> result;
    result.reserve(this->waiters.size() + 1);
    const auto append = [&](const Waiter& waiter) { result.push_back({ waiter.rank, this->queueClassOf(waiter, now), 0, waiter.arrived, waiter.id, &waiter.account }); };
    for (const auto& [id, waiter] : this->waiters)
        append(waiter);
    if (candidate != nullptr && !this->waiters.contains(candidate->id))
        append(*candidate);
    std::sort(result.begin(), result.end());
    for (auto from = result.begin(); from != result.end();) {
        const auto to = std::find_if(from, result.end(), [&](const auto& position) { return position.rank != from->rank || position.queueClass != from->queueClass; });
        this->assignTurns({ from, to }, now);
        from = to;
    }
    std::sort(result.begin(), result.end());
    return result;
}

void AdmissionQueue::assignTurns(std::span<Position> group, TimePoint now) const
{
    const auto isSameAccount = [&](const auto& position) { return *position.account == *group.front().account; };
    if (std::all_of(group.begin(), group.end(), isSameAccount))
        return;
    std::map<ClientAccount, double> tags;
    for (const auto& position : group)
        if (!tags.contains(*position.account))
            tags[*position.account] = this->service.of(*position.account, now);
    const auto least = std::min_element(tags.begin(), tags.end(), [](const auto& left, const auto& right) { return left.second < right.second; })->second;
    const auto unit = this->service.tolerance(least);
    for (auto& position : group) {
        auto& tag = tags.at(*position.account);
        position.turn = static_cast<std::size_t>((tag - least) / unit);
        ++tag;
    }
}

bool AdmissionQueue::isNext(const Waiter& waiter, TimePoint now) const
{
    return this->waiters.empty() || this->countAhead(waiter, now) == 0;
}

std::size_t AdmissionQueue::countAhead(const Waiter& waiter, TimePoint now) const
{
    const auto all = this->positions(&waiter, now);
    return static_cast<std::size_t>(std::find_if(all.begin(), all.end(), [&](const auto& position) { return position.id == waiter.id; }) - all.begin());
}

bool AdmissionQueue::isInfeasible(const Waiter& waiter, TimePoint now) const
{
    const auto known = this->rate(now);
    if (!known)
        return false;
    return this->isOvertaken(waiter, now)
        || now + fromSeconds(static_cast<double>(this->countAhead(waiter, now) + 1) / (*known * this->settings.rateMargin)) > waiter.expiresAt;
}

bool AdmissionQueue::isOvertaken(const Waiter& waiter, TimePoint now) const
{
    // A caller that returned when told to has no attempt left, so it gains nothing from an earlier refusal.
    if (this->queueClassOf(waiter, now) != QueueClass::Late || this->measuredTime(now) < this->settings.minRateWindow)
        return false;
    const auto arrivedWithin = [&](Duration window) {
        return static_cast<double>(std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](const auto& arrival) { return arrival.rank <= waiter.rank && now - arrival.at <= window; }));
    };
    // After a pause of the upstreams the counts of the whole window still show it, while the backlog is already being placed.
    const auto recent = this->settings.minRateWindow;
    if (arrivedWithin(recent) <= static_cast<double>(this->countPlacements(recent, now)))
        return false;
    const auto arrived = arrivedWithin(this->settings.rateWindow);
    const auto placed = static_cast<double>(this->countPlacements(this->settings.rateWindow, now));
    // If nothing is placed, upstreams are paused or being replaced, and all capacity may return at once.
    return placed > 0 && arrived - placed > this->settings.overloadStandardErrors * std::sqrt(arrived + placed);
}

void AdmissionQueue::add(const Waiter& waiter, TimePoint now)
{
    if (this->waiters.empty()) {
        this->waitingSince = now;
        this->placements.clear();
        this->arrivals.clear();
    }
    this->forgetOld(now);
    if (const auto queueClass = this->queueClassOf(waiter, now); queueClass == QueueClass::OnTime || queueClass == QueueClass::Returned)
        this->arrivals.push_back({ now, waiter.rank });
    this->waiters.emplace(waiter.id, waiter);
}

void AdmissionQueue::forgetOld(TimePoint now)
{
    while (!this->placements.empty() && now - this->placements.front() > this->settings.rateWindow)
        this->placements.pop_front();
    while (!this->arrivals.empty() && now - this->arrivals.front().at > this->settings.rateWindow)
        this->arrivals.pop_front();
}

void AdmissionQueue::remove(std::uint64_t id, bool isPlaced, TimePoint now)
{
    const auto found = this->waiters.find(id);
    if (isPlaced) {
        this->placements.push_back(now);
        if (found != this->waiters.end())
            this->service.add(found->second.account, now);
    }
    if (found != this->waiters.end())
        this->waiters.erase(found);
    this->forgetOld(now);
}

std::vector<std::uint64_t> AdmissionQueue::order(TimePoint now) const
{
    std::vector<std::uint64_t> result;
    result.reserve(this->waiters.size());
    for (const auto& position : this->positions(nullptr, now))
        result.push_back(position.id);
    return result;
}

std::size_t AdmissionQueue::countPlacements(Duration window, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(this->placements.begin(), this->placements.end(), [&](TimePoint at) { return now - at <= window; }));
}

std::optional<double> AdmissionQueue::rate(TimePoint now) const
{
    const auto window = this->measuredTime(now);
    if (this->waiters.empty() || window < this->settings.minRateWindow)
        return std::nullopt;
    // Counts one more than observed: the next placement may be imminent.
    return static_cast<double>(this->countPlacements(window, now) + 1) / toSeconds(window);
}

Duration AdmissionQueue::refuse(const Waiter& waiter, TimePoint now, Random& random)
{
    this->expireReturns(now);
    auto wait = this->settings.defaultRetryAfter;
    if (const auto known = this->rate(now)) {
        // The present waiters go first, then the callers refused earlier.
        auto drained = now + fromSeconds(static_cast<double>(this->waiters.size()) / *known);
        // While arrivals outnumber placements nothing is left for callers that return; an overload usually lasts longer than one window.
        if (this->isOvertaken(waiter, now))
            drained += this->settings.rateWindow;
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
