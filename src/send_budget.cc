#include "goldcrestwood/send_budget.h"

#include <algorithm>
#include <numeric>

namespace goldcrestwood {

namespace {

    /// Requests and sends are counted where they are seen, a little apart from where they begin and end, so a part stays unused.
    constexpr double usableShare = 0.95;
    constexpr double usableSlack = 0.8;
    /// What a request earned lapses after this share of the window: long enough for daemons that see few requests of a
    /// service to save up a whole send, and short beside the window.
    constexpr double earningLifetime = 0.2;
    /// Sends of a window are earned by requests of that window and of one lifetime before it.
    constexpr double earningShare = usableShare / (1 + earningLifetime);
    /// Daemons that may come up unseen and take their share of the slack.
    constexpr std::size_t unseenDaemons = 2;

    double sum(const auto& parts)
    {
        return std::accumulate(parts.begin(), parts.end(), 0.0, [](double total, const auto& part) { return total + part.size; });
    }

} // namespace

SendBudget::SendBudget(SiteBounds siteBounds, std::optional<TimePoint> processStart)
    : bounds(siteBounds)
    , started(processStart)
{
}

void SendBudget::onRequest(TimePoint now)
{
    this->earned.push_back({ now, earningShare * this->bounds.retryRatio });
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
    this->expire(now);
    double owed = 1;
    while (owed > 0 && !this->earned.empty()) {
        auto& part = this->earned.front();
        const auto used = std::min(owed, part.size);
        owed -= used;
        part.size -= used;
        if (part.size <= 0)
            this->earned.pop_front();
    }
    // A send that waited until what it was granted for had lapsed takes slack, beyond the share if need be.
    if (owed > 0)
        this->slackTaken.push_back({ now, owed });
}

void SendBudget::release()
{
    this->reserved -= std::min<std::size_t>(this->reserved, 1);
}

double SendBudget::left(TimePoint now)
{
    return this->account(now).left;
}

double SendBudget::slackLeft(TimePoint now) const
{
    const bool isShared = !this->started || now - *this->started >= this->bounds.retryWindow;
    const auto share = isShared ? usableSlack * this->bounds.retrySlack / static_cast<double>(this->sharers + unseenDaemons) : 0;
    return share - sum(this->slackTaken);
}

SendBudgetAccount SendBudget::account(TimePoint now)
{
    this->expire(now);
    const auto fresh = sum(this->earned);
    const auto slack = this->slackLeft(now);
    return { fresh, slack, this->reserved, this->sharers, fresh + slack - static_cast<double>(this->reserved) };
}

void SendBudget::expire(TimePoint now)
{
    const auto lifetime = std::chrono::duration_cast<Duration>(this->bounds.retryWindow * earningLifetime);
    while (!this->earned.empty() && now - this->earned.front().at > lifetime)
        this->earned.pop_front();
    while (!this->slackTaken.empty() && now - this->slackTaken.front().at > this->bounds.retryWindow)
        this->slackTaken.pop_front();
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
