#include "goldcrestwood/send_budget.h"

#include <algorithm>
#include <numeric>

namespace goldcrestwood {

namespace {

    /// Safety margin: requests and sends are counted slightly before or after the moments at which they start and end.
    constexpr double usableShare = 0.95;
    constexpr double usableSlack = 0.8;
    /// Fractions earned by requests expire after this share of the window: long enough for a daemon with few requests of a
    /// service to save up a whole send, short compared with the window.
    constexpr double earningLifetime = 0.2;
    /// The sends of a window are earned by the requests of that window and of one lifetime before it.
    constexpr double earningShare = usableShare / (1 + earningLifetime);
    /// Allowance for daemons that have started but are not known yet, and use their share of the slack.
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
    // Daemons that are no longer heard may be partitioned and still sending.
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
    // If the fractions behind a reservation expired during its wait, the send uses slack, even beyond this daemon's share.
    if (owed > 0)
        this->slackUsed.push_back({ now, owed });
}

void SendBudget::release()
{
    this->reserved -= std::min<std::size_t>(this->reserved, 1);
}

double SendBudget::left(TimePoint now)
{
    return this->snapshot(now).left;
}

double SendBudget::slackLeft(TimePoint now) const
{
    const bool isShared = !this->started || now - *this->started >= this->bounds.retryWindow;
    const auto share = isShared ? usableSlack * this->bounds.retrySlack / static_cast<double>(this->sharers + unseenDaemons) : 0;
    return share - sum(this->slackUsed);
}

SendBudgetSnapshot SendBudget::snapshot(TimePoint now)
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
    while (!this->slackUsed.empty() && now - this->slackUsed.front().at > this->bounds.retryWindow)
        this->slackUsed.pop_front();
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
