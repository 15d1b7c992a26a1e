#include "goldcrestwood/load/domain_overflow.h"

#include <cmath>

namespace goldcrestwood {

namespace {

    /// By then a request that one daemon sent is in the others' view: a report and a digest of up to 250 ms each.
    constexpr Duration viewDelay = std::chrono::milliseconds(500);
    /// Length of one period of the moving minimum; a link that turns slow is known after two.
    constexpr Duration delayPeriod = std::chrono::seconds(5);

} // namespace

const char* toString(LeaveReason reason)
{
    switch (reason) {
    case LeaveReason::None:
        return "";
    case LeaveReason::NoneUsable:
        return "none_usable";
    case LeaveReason::Cached:
        return "cached";
    case LeaveReason::Shortage:
        return "shortage";
    }
    return "unknown";
}

LeaveReason leaveReason(const DomainWaits& waits)
{
    if (!waits.elsewhereMs)
        return LeaveReason::None;
    if (!waits.hasUsableLocal)
        return LeaveReason::NoneUsable;
    if (waits.localMs && *waits.localMs <= *waits.elsewhereMs + waits.crossingMs)
        return LeaveReason::None;
    return waits.savedReadMs > waits.crossingMs ? LeaveReason::Cached : LeaveReason::Shortage;
}

double roomAt(double limitMs, double waitMs, double requestMs, double freeRequests)
{
    return std::clamp((limitMs - waitMs) / std::max(requestMs, 1.0), 0.0, std::max(freeRequests, 0.0));
}

bool OverflowShare::mayLeave(double share, Random& random, TimePoint now)
{
    if (!this->updated || now - *this->updated > viewDelay)
        // A new shortage, seen by many daemons at once: the random part makes their first sends add up to the sum of their shares.
        this->credit = share + uniform(random);
    else
        this->credit += share * toSeconds(now - *this->updated) / toSeconds(viewDelay);
    this->credit = std::min(this->credit, share + 1);
    this->updated = now;
    return this->credit >= 1;
}

void LinkDelay::onConnected(Duration time, TimePoint now)
{
    if (now - this->current.began > delayPeriod) {
        this->before = this->current;
        this->current = { now, std::nullopt };
    }
    this->current.shortest = std::min(this->current.shortest.value_or(time), time);
}

std::optional<double> LinkDelay::ms(TimePoint now) const
{
    std::optional<Duration> shortest;
    for (const auto& period : { this->current, this->before })
        if (period.shortest && now - period.began <= 2 * delayPeriod)
            shortest = std::min(shortest.value_or(*period.shortest), *period.shortest);
    return shortest ? std::optional(toMs(*shortest)) : std::nullopt;
}

} // namespace goldcrestwood
