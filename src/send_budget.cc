#include "goldcrestwood/send_budget.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    /// Windows slide and are counted where requests arrive, so a part of the budget stays unused.
    constexpr double usableShare = 0.8;
    /// Daemons that may come up unseen and take their share of the slack.
    constexpr std::size_t unseenDaemons = 2;

} // namespace

SendBudget::SendBudget(SiteBounds siteBounds, std::optional<TimePoint> processStart)
    : bounds(siteBounds)
    , started(processStart)
{
}

void SendBudget::onRequest(TimePoint now)
{
    this->requests.push_back(now);
    this->expire(now);
}

void SendBudget::setDaemons(std::size_t daemons)
{
    // Those that are not heard any more may only be cut off, and go on sending.
    this->sharers = std::max(this->sharers, daemons);
}

bool SendBudget::reserve(TimePoint now)
{
    if (this->left(now) < 1)
        return false;
    ++this->reserved;
    return true;
}

void SendBudget::onSent(TimePoint now)
{
    this->release();
    this->taken.push_back(now);
}

void SendBudget::release()
{
    this->reserved -= std::min<std::size_t>(this->reserved, 1);
}

double SendBudget::left(TimePoint now)
{
    this->expire(now);
    const auto bound = usableShare * (this->bounds.retryRatio * static_cast<double>(this->requests.size()) + this->slack(now));
    return bound - static_cast<double>(this->taken.size() + this->reserved);
}

double SendBudget::slack(TimePoint now) const
{
    if (this->started && now - *this->started < this->bounds.retryWindow)
        return 0;
    return this->bounds.retrySlack / static_cast<double>(this->sharers + unseenDaemons);
}

SendBudgetAccount SendBudget::account(TimePoint now)
{
    const auto remaining = this->left(now);
    return { this->requests.size(), this->taken.size(), this->reserved, this->sharers, remaining };
}

void SendBudget::expire(TimePoint now)
{
    while (!this->requests.empty() && now - this->requests.front() > this->bounds.retryWindow)
        this->requests.pop_front();
    while (!this->taken.empty() && now - this->taken.front() > this->bounds.retryWindow)
        this->taken.pop_front();
}

SendBudgets::SendBudgets(SiteBounds siteBounds, std::optional<TimePoint> processStart)
    : bounds(siteBounds)
    , started(processStart)
{
}

void SendBudgets::setDaemons(std::size_t daemons)
{
    this->sharers = std::max(this->sharers, daemons);
    for (auto& [service, budget] : this->byService)
        budget.setDaemons(daemons);
}

SendBudget& SendBudgets::of(const ServiceName& service)
{
    const auto [position, isNew] = this->byService.try_emplace(service, this->bounds, this->started);
    if (isNew)
        position->second.setDaemons(this->sharers);
    return position->second;
}

} // namespace goldcrestwood
