#include "goldcrestwood/request_limit.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    /// Longest usual transit time of a report between daemons.
    constexpr Duration reportTransit = std::chrono::milliseconds(250);

} // namespace

bool RequestLimit::isNewer(const LimitSighting& sighting) const
{
    const bool isStricter = sighting.perSecond && (!this->latest.perSecond || *sighting.perSecond < *this->latest.perSecond);
    return isStricter ? sighting.read > this->latest.sent : sighting.sent > this->latest.read;
}

bool RequestLimit::change(const LimitSighting& sighting, bool isOwnAnswer)
{
    if (!this->isNewer(sighting))
        return false;
    this->latest = sighting;
    this->own = isOwnAnswer;
    return true;
}

bool RequestLimit::onAnswer(const LimitSighting& sighting)
{
    if (sighting.perSecond != this->latest.perSecond)
        return this->change(sighting, true);
    this->own = true;
    this->latest.sent = std::max(this->latest.sent, sighting.sent);
    this->latest.read = std::max(this->latest.read, sighting.read);
    return false;
}

bool RequestLimit::onReport(const LimitSighting& sighting)
{
    if (sighting.perSecond != this->latest.perSecond)
        return this->change({ sighting.perSecond, sighting.sent - reportTransit, sighting.read }, false);
    // Reports that pass between daemons again and again must not look newer each time.
    this->latest.read = std::max(this->latest.read, sighting.read - reportTransit);
    return false;
}

void RequestLimit::begin(double initialTurns, TimePoint now)
{
    this->left = initialTurns;
    this->firstTurn = now;
    this->refilled = now;
}

double RequestLimit::turns(const TurnShare& share, TimePoint now) const
{
    return std::min(share.burst, this->left + share.perSecond * toSeconds(std::max(now - this->refilled, Duration(0))));
}

std::size_t RequestLimit::countRecent(const TurnShare& share, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(this->sends.begin(), this->sends.end(), [&](TimePoint sent) { return now - sent < share.window; }));
}

TimePoint RequestLimit::heldUntil(const TurnShare& share, TimePoint now) const
{
    const auto recent = this->countRecent(share, now);
    const auto allowed = static_cast<std::size_t>(std::max(1.0, share.perWindow()));
    // As many requests as allowed, less the next one, may still be in the window.
    const auto end = recent < allowed ? now : this->sends[this->sends.size() - allowed] + share.window;
    return std::max(end, this->firstTurn);
}

bool RequestLimit::hasTurn(const TurnShare& share, TimePoint now) const
{
    return !this->latest.perSecond || (this->turns(share, now) >= 1 && this->heldUntil(share, now) <= now);
}

void RequestLimit::onSent(const TurnShare& share, TimePoint now)
{
    while (!this->sends.empty() && now - this->sends.front() >= share.window)
        this->sends.pop_front();
    this->sends.push_back(now);
    if (!this->latest.perSecond)
        return;
    this->left = this->turns(share, now) - 1;
    this->refilled = std::max(this->refilled, now);
}

} // namespace goldcrestwood
