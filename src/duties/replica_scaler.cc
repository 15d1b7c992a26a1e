#include "goldcrestwood/duties/replica_scaler.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace goldcrestwood {

namespace {

    /// Weight of a view in the average of the capacity that a request uses; views come four times a second.
    constexpr double useWeight = 0.05;

    /// A quotient of sums of shares that is meant to be whole may come out slightly larger.
    constexpr double roundingSlack = 1e-9;

} // namespace

const char* toString(ScaleReason reason)
{
    switch (reason) {
    case ScaleReason::Increase:
        return "increase";
    case ScaleReason::Retry:
        return "retry";
    case ScaleReason::Repeat:
        return "repeat";
    case ScaleReason::Decrease:
        return "decrease";
    }
    return "unknown";
}

ReplicaScaler::ReplicaScaler(Autoscale initialBounds, ReplicaScalerSettings scalerSettings)
    : bounds(initialBounds)
    , settings(scalerSettings)
{
}

std::vector<ScaleOrder> ReplicaScaler::decide(const std::optional<ServiceDemand>& view, TimePoint now)
{
    this->expireCalls(now);
    if (this->viewSince && now - this->lastView > this->settings.maxViewGap) {
        this->viewSince.reset();
        this->total.clear();
        for (auto& [name, domain] : this->domains)
            domain.history.clear();
    }
    if (!view)
        return {};
    this->observe(view->domains, now);
    // A domain that was lost, or is new, shows its whole demand only after a period.
    if (!view->isWhole || std::any_of(this->domains.begin(), this->domains.end(), [](const auto& entry) { return isLost(entry.second); }))
        this->lastPartialView = now;
    // The first samples are too short for an average.
    if (this->isFenced || now - *this->viewSince < 2 * this->settings.sampleTime)
        return {};
    const auto required = this->needed(1, now);
    const auto sufficient = this->needed(this->settings.removalMargin, now);
    const bool mayRemoveNow = this->mayRemove(now);
    std::vector<ScaleOrder> orders;
    for (auto& [name, domain] : this->domains) {
        if (domain.callSince)
            continue;
        this->decideNumber(domain, required.at(name), sufficient.at(name), mayRemoveNow, now);
        const auto reason = this->reasonToCall(domain, now);
        if (!reason)
            continue;
        orders.push_back({ name, this->withinBounds(*domain.ordered), *reason });
        domain.ordered = orders.back().desired;
        domain.isAccepted = false;
        domain.change = reason == ScaleReason::Retry ? std::nullopt : reason;
        domain.callSince = domain.lastCall = now;
    }
    const auto urgency = [&](const ScaleOrder& order) {
        return std::pair(order.reason, static_cast<double>(this->domains.at(order.domain).demand.ready) / order.desired);
    };
    std::stable_sort(orders.begin(), orders.end(), [&](const auto& left, const auto& right) { return urgency(left) < urgency(right); });
    return orders;
}

void ReplicaScaler::observe(const std::vector<DomainDemand>& view, TimePoint now)
{
    if (!this->viewSince)
        this->viewSince = now;
    this->lastView = now;
    // A domain that is missing from the view has no replica left.
    for (auto& [name, domain] : this->domains)
        domain.demand = { name };
    double used = 0;
    double requests = 0;
    for (const auto& demand : view) {
        // A domain without replicas of its own only has waiting requests, which others serve.
        if (demand.ready + demand.leaving > 0 || this->domains.contains(demand.domain)) {
            const auto [position, isNew] = this->domains.try_emplace(demand.domain);
            position->second.demand = demand;
            if (isNew)
                position->second.since = this->lastPartialView.emplace(now);
        }
        used += demand.used;
        requests += demand.requests;
    }
    if (requests > 0) {
        const auto use = used / requests;
        this->usePerRequest = this->usePerRequest == 0 ? use : this->usePerRequest * (1 - useWeight) + use * useWeight;
    }
    // A domain without replicas or an order is none of the service's any more.
    std::erase_if(this->domains, [&](const auto& entry) {
        return isLost(entry.second) && entry.second.demand.leaving == 0 && this->presentNumber(entry.second) == 0;
    });
    const auto waitingUse = this->waitingDemand(view, now);
    double sum = 0;
    std::uint32_t ready = 0;
    for (auto& [name, domain] : this->domains) {
        const auto demand = domain.demand.used + waitingUse.at(name);
        this->addSample(domain.history, demand, domain.demand.ready, now);
        sum += demand;
        ready += domain.demand.ready;
    }
    this->addSample(this->total, sum, ready, now);
}

std::map<FailureDomain, double> ReplicaScaler::waitingDemand(const std::vector<DomainDemand>& view, TimePoint now)
{
    this->waiting = std::accumulate(view.begin(), view.end(), std::uint64_t(0), [](auto sum, const auto& demand) { return sum + demand.waiting; });
    auto counted = this->waiting;
    if (this->increasedAt && now < *this->increasedAt + this->settings.onsetTime)
        this->waitingAtIncrease = std::max(this->waitingAtIncrease, this->waiting);
    if (this->increasedAt && now < *this->increasedAt + this->bounds.bootTime + this->settings.coldTime)
        counted = std::min(counted, this->waitingAtIncrease);
    double ready = 0;
    std::map<FailureDomain, double> result;
    for (const auto& [name, domain] : this->domains) {
        ready += domain.demand.ready;
        result[name] = 0;
    }
    if (this->waiting == 0 || ready == 0)
        return result;
    const auto use = std::min(static_cast<double>(counted) * this->usePerRequest, ready * this->settings.maxWaitingShare);
    double elsewhere = 0; // What waits in domains without ready replicas is served by all others.
    for (const auto& demand : view) {
        const auto share = use * demand.waiting / static_cast<double>(this->waiting);
        if (demand.ready > 0)
            result[demand.domain] += share;
        else
            elsewhere += share;
    }
    for (const auto& [name, domain] : this->domains)
        result[name] += elsewhere * domain.demand.ready / ready;
    return result;
}

void ReplicaScaler::addSample(History& history, double value, std::uint32_t ready, TimePoint now) const
{
    if (history.empty() || now - history.back().at >= this->settings.sampleTime)
        history.push_back({ now });
    auto& sample = history.back();
    sample.sum += value;
    ++sample.count;
    sample.ready = std::max(sample.ready, ready);
    while (now - history.front().at > this->settings.demandPeriod + this->settings.trendTime + this->settings.sampleTime)
        history.pop_front();
}

double ReplicaScaler::predict(const History& history, TimePoint now) const
{
    double peak = 0;
    double peakBefore = 0; // Of the period that ended a trend time ago.
    double latest = 0;
    std::optional<double> former; // Demand a trend time ago.
    for (const auto& sample : history) {
        const auto age = now - sample.at;
        // The mean of a sample that has just begun varies too much.
        if (age < this->settings.sampleTime / 2 && history.size() > 1)
            continue;
        latest = sample.mean();
        if (age <= this->settings.demandPeriod + this->settings.sampleTime)
            peak = std::max(peak, latest);
        if (age >= this->settings.trendTime) {
            peakBefore = std::max(peakBefore, latest);
            former = latest;
        }
    }
    const bool isPeriodKnown = !history.empty() && now - history.front().at >= this->settings.demandPeriod + this->settings.trendTime;
    // Within the swing of the period the peak is the better prediction: the rise of a swing ends before the boot time has passed.
    if (!isPeriodKnown || !former || latest <= peakBefore * this->settings.newPeakFactor)
        return peak;
    const auto growth = (latest - *former) / toSeconds(this->settings.trendTime) * toSeconds(this->bounds.bootTime);
    return peak + std::clamp(growth, 0.0, peak * this->settings.maxTrendShare);
}

std::uint32_t ReplicaScaler::presentNumber(const Domain& domain) const
{
    if (domain.ordered)
        return *domain.ordered;
    std::uint32_t most = 0;
    for (const auto& sample : domain.history)
        most = std::max(most, sample.ready);
    return most;
}

std::uint32_t ReplicaScaler::withinBounds(double replicas) const
{
    // A domain without replicas would show no demand, so that none would ever be requested.
    const auto lowest = std::max(1U, this->bounds.min);
    return static_cast<std::uint32_t>(std::clamp<double>(std::ceil(replicas - roundingSlack), lowest, std::max(lowest, this->bounds.max)));
}

ReplicaScaler::Numbers ReplicaScaler::needed(double margin, TimePoint now) const
{
    Numbers numbers;
    for (const auto& [name, domain] : this->domains) {
        // What a lost domain served arrives elsewhere; its own number stays.
        const auto own = this->predict(domain.history, now) / (this->settings.targetUseInDomain * margin);
        numbers[name] = this->withinBounds(isLost(domain) ? this->presentNumber(domain) : own);
    }
    const auto all = this->predict(this->total, now) / margin;
    this->coverTotal(numbers, all / this->settings.targetUse);
    this->coverLoss(numbers, all / this->settings.targetUseAfterLoss);
    return numbers;
}

void ReplicaScaler::coverTotal(Numbers& numbers, double required) const
{
    double sum = 0;
    for (const auto& [name, number] : numbers)
        sum += isLost(this->domains.at(name)) ? 0 : number;
    if (sum == 0 || sum >= required)
        return;
    for (auto& [name, number] : numbers)
        if (!isLost(this->domains.at(name)))
            number = this->withinBounds(number * required / sum);
}

void ReplicaScaler::coverLoss(Numbers& numbers, double required) const
{
    const bool isAnyLost = std::any_of(this->domains.begin(), this->domains.end(), [](const auto& entry) { return isLost(entry.second); });
    // Domains with the fewest replicas are raised first: this needs the fewest replicas.
    const auto raised = [&](std::uint32_t level) {
        auto result = numbers;
        for (auto& [name, number] : result)
            if (!isLost(this->domains.at(name)))
                number = std::max(number, this->withinBounds(level));
        return result;
    };
    const auto isCovered = [&](const Numbers& candidate) {
        double sum = 0;
        std::uint32_t largest = 0;
        for (const auto& [name, number] : candidate) {
            if (isLost(this->domains.at(name)))
                continue;
            sum += number;
            largest = std::max(largest, number);
        }
        // With a domain lost, what is left is the reserve; there is none for another loss.
        return sum - (isAnyLost ? 0 : largest) >= required - roundingSlack;
    };
    // With a single domain there is nothing to cover its loss.
    if (this->domains.size() < 2)
        return;
    auto low = this->withinBounds(0);
    auto high = this->withinBounds(this->bounds.max);
    while (low < high) {
        const auto middle = low + (high - low) / 2;
        if (isCovered(raised(middle)))
            high = middle;
        else
            low = middle + 1;
    }
    numbers = raised(low);
}

bool ReplicaScaler::isSettled() const
{
    return std::all_of(this->domains.begin(), this->domains.end(), [&](const auto& entry) {
        const auto& demand = entry.second.demand;
        const auto number = static_cast<double>(this->presentNumber(entry.second));
        const auto tolerated = number * this->settings.toleratedShare;
        return std::abs(number - demand.ready) <= tolerated && demand.impaired + demand.leaving <= tolerated && !isLost(entry.second);
    });
}

bool ReplicaScaler::mayRemove(TimePoint now) const
{
    const bool isPeriodSeen = now - *this->viewSince >= this->settings.demandPeriod;
    const bool isIncreasing = this->lastIncrease && now < *this->lastIncrease + this->bounds.bootTime + this->settings.demandPeriod;
    // By then no sample from before counts.
    const bool isPartial = this->lastPartialView && now - *this->lastPartialView < this->settings.demandPeriod + 2 * this->settings.sampleTime;
    return isPeriodSeen && !isIncreasing && !isPartial && this->isSettled();
}

void ReplicaScaler::decideNumber(Domain& domain, std::uint32_t required, std::uint32_t sufficient, bool mayRemoveNow, TimePoint now)
{
    // Of a domain without an order, replicas that are still booting when it is first seen are unknown, and a number that leaves them
    // out would end them.
    const bool isPresentKnown = domain.ordered || now - std::max(domain.since, *this->viewSince) >= this->bounds.bootTime + this->settings.coldTime;
    if (isLost(domain) || !isPresentKnown)
        return;
    const auto present = this->presentNumber(domain);
    if (required > present) {
        domain.ordered = required;
        domain.change = ScaleReason::Increase;
        this->lastIncrease = now;
        if (!this->increasedAt || now >= *this->increasedAt + this->bounds.bootTime + this->settings.coldTime) {
            this->increasedAt = now;
            this->waitingAtIncrease = this->waiting;
        }
    } else if (sufficient < present && mayRemoveNow && now - domain.removedAt >= this->settings.removalInterval) {
        const auto removed = std::min(present < this->settings.smallDomain ? 1U : this->settings.maxRemoved, present - sufficient);
        domain.ordered = present - removed;
        domain.change = ScaleReason::Decrease;
        domain.removedAt = now;
    }
}

std::optional<ScaleReason> ReplicaScaler::reasonToCall(const Domain& domain, TimePoint now) const
{
    if (domain.change || !domain.ordered)
        return domain.change && now >= domain.retryAt ? domain.change : std::nullopt;
    if (!domain.isAccepted)
        return now >= domain.retryAt ? std::optional(ScaleReason::Retry) : std::nullopt;
    const bool wasPending = domain.pendingUntil && now >= *domain.pendingUntil;
    const auto effective = std::max(this->settings.maxExecutionDelay, this->bounds.bootTime + this->settings.coldTime);
    const bool differs = domain.demand.ready != *domain.ordered && now - domain.lastCall >= effective;
    return wasPending || differs ? std::optional(ScaleReason::Repeat) : std::nullopt;
}

void ReplicaScaler::expireCalls(TimePoint now)
{
    for (auto& [name, domain] : this->domains)
        if (domain.callSince && now - *domain.callSince >= this->settings.answerTimeout)
            this->onOutcome({ name, *domain.ordered, ScaleReason::Retry }, DutyOutcome::Unknown, now);
}

void ReplicaScaler::onOutcome(const ScaleOrder& order, DutyOutcome outcome, TimePoint now)
{
    const auto found = this->domains.find(order.domain);
    if (found == this->domains.end())
        return;
    auto& domain = found->second;
    domain.callSince.reset();
    domain.change.reset();
    switch (outcome) {
    case DutyOutcome::Accepted:
        domain.isAccepted = order.desired == domain.ordered;
        if (domain.pendingUntil && now >= *domain.pendingUntil)
            domain.pendingUntil.reset();
        break;
    case DutyOutcome::TooManyCalls:
        domain.retryAt = now + this->settings.retryDelay;
        break;
    case DutyOutcome::Unknown:
        domain.retryAt = now + this->settings.retryDelay;
        domain.pendingUntil = now + this->settings.maxExecutionDelay;
        break;
    case DutyOutcome::Fenced:
        this->isFenced = true;
        break;
    }
}

void ReplicaScaler::onNotSent(const ScaleOrder& order)
{
    if (const auto found = this->domains.find(order.domain); found != this->domains.end())
        found->second.callSince.reset();
}

void ReplicaScaler::onRecorded(const FailureDomain& name, std::uint32_t desired, TimePoint now)
{
    auto& domain = this->domains[name];
    domain.demand.domain = name;
    domain.ordered = desired;
    domain.isAccepted = false;
    domain.change.reset();
    domain.pendingUntil = now + this->settings.maxExecutionDelay;
}

std::map<FailureDomain, std::uint32_t> ReplicaScaler::desired() const
{
    Numbers result;
    for (const auto& [name, domain] : this->domains)
        if (domain.ordered)
            result[name] = *domain.ordered;
    return result;
}

} // namespace goldcrestwood
