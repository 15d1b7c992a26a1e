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

bool RequestLimit::onAnswer(const LimitSighting& sighting)
{
    if (sighting.perSecond == this->latest.perSecond) {
        this->own = true;
        this->latest.sent = std::max(this->latest.sent, sighting.sent);
        this->latest.read = std::max(this->latest.read, sighting.read);
        return false;
    }
    if (!this->isNewer(sighting))
        return false;
    this->latest = sighting;
    this->own = true;
    return true;
}

bool RequestLimit::onReport(const LimitSighting& sighting)
{
    auto earliest = sighting;
    earliest.sent -= reportTransit;
    if (earliest.perSecond == this->latest.perSecond) {
        // Reports that pass between daemons again and again must not look newer each time.
        this->latest.read = std::max(this->latest.read, earliest.read - reportTransit);
        return false;
    }
    if (!this->isNewer(earliest))
        return false;
    this->latest = earliest;
    this->own = false;
    return true;
}

void RequestLimit::begin(double initialTurns, TimePoint first, TimePoint now)
{
    this->left = initialTurns;
    this->firstTurn = first;
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
