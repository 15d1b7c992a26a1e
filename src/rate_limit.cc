#include "goldcrestwood/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

namespace {

    /// Time constant of the arrival rate.
    constexpr Duration arrivalWindow = std::chrono::seconds(1);

    /// An unanswered demand is repeated after this time.
    constexpr Duration answerTimeout = std::chrono::milliseconds(300);

    /// Change of the demand that is reported early.
    constexpr double changeFactor = 1.5;

    /// Factor by which a share exceeds the reported demand, to allow for growth.
    constexpr double headroom = 1.1;

} // namespace

AccountBucket::AccountBucket(SiteRate rate, std::size_t daemonCount, RateSettings bounds, TimePoint now)
    : site(rate)
    , daemons(std::max<std::size_t>(daemonCount, 1))
    , settings(bounds)
    , refilledAt(now)
    , arrivalAt(now)
    , sentAt(now - bounds.reportInterval)
    , shareTerm(bounds.term)
    , shareExpiry(now)
{
    this->tokens = this->burst(now);
}

void AccountBucket::configure(SiteRate rate, std::size_t daemonCount, TimePoint now)
{
    this->refill(now);
    this->site = rate;
    this->daemons = std::max<std::size_t>(daemonCount, 1);
    this->tokens = std::min(this->tokens, this->burst(now));
}

std::optional<Duration> AccountBucket::take(TimePoint now)
{
    this->refill(now);
    this->arrivalRate = this->arrivals(now) + 1 / toSeconds(arrivalWindow);
    this->arrivalAt = now;
    if (this->tokens < 1)
        return fromSeconds((1 - this->tokens) / this->rate(now));
    this->tokens -= 1;
    return std::nullopt;
}

std::optional<RateDemand> AccountBucket::poll(const ClientAccount& account, const InstanceId& self, TimePoint now)
{
    if (!this->demanding(now) || !this->isReportDue(now))
        return std::nullopt;
    this->sentAt = now;
    this->sentRate = this->arrivals(now);
    return RateDemand { account, self, ++this->sequence, this->sentRate };
}

bool AccountBucket::isReportDue(TimePoint now) const
{
    const auto age = now - this->sentAt;
    if (this->shareSequence < this->sequence && age >= answerTimeout)
        return true;
    if (age >= std::min(this->settings.reportInterval, this->shareTerm / 3))
        return true;
    const auto rate = this->arrivals(now);
    const bool changed = rate > changeFactor * this->sentRate || this->sentRate > changeFactor * rate;
    return changed && age >= this->settings.minReportInterval;
}

bool AccountBucket::demanding(TimePoint now) const
{
    return now < this->shareExpiry || this->arrivals(now) > this->silentRate() || this->tokens < 1;
}

void AccountBucket::onShare(const RateShare& share, TimePoint now)
{
    const auto expiry = this->sentAt + share.term;
    if (share.sequence != this->sequence || expiry <= now)
        return;
    this->refill(now);
    this->shareSequence = share.sequence;
    this->shareTerm = share.term;
    this->shareRate = share.requestsPerSecond;
    this->shareBurst = share.burst;
    this->shareExpiry = expiry;
}

double AccountBucket::rate(TimePoint now) const
{
    return now < this->shareExpiry ? std::max(this->shareRate, this->silentRate()) : this->silentRate();
}

void AccountBucket::refill(TimePoint now)
{
    const auto gained = this->rate(now) * toSeconds(std::max(now - this->refilledAt, Duration(0)));
    this->tokens = std::min(this->burst(now), this->tokens + gained);
    this->refilledAt = now;
}

double AccountBucket::arrivals(TimePoint now) const
{
    const auto age = toSeconds(std::max(now - this->arrivalAt, Duration(0)));
    return this->arrivalRate * std::exp(-age / toSeconds(arrivalWindow));
}

double AccountBucket::silentRate() const
{
    const auto count = static_cast<double>(this->daemons);
    return this->daemons == 1 ? this->site.requestsPerSecond : this->settings.silentShare * this->site.requestsPerSecond / count;
}

double AccountBucket::burst(TimePoint now) const
{
    const auto even = std::max(1.0, this->site.burst / static_cast<double>(this->daemons));
    return now < this->shareExpiry ? std::max(this->shareBurst, 1.0) : even;
}

RateIssuer::RateIssuer(SiteRate rate, RateSettings bounds)
    : site(rate)
    , settings(bounds)
{
}

std::optional<RateShare> RateIssuer::onDemand(const RateDemand& demand, TimePoint now)
{
    auto isMatch = [&](const Sharer& sharer) { return sharer.id == demand.holder; };
    auto found = std::find_if(this->sharers.begin(), this->sharers.end(), isMatch);
    if (found != this->sharers.end() && demand.sequence <= found->sequence && now < found->expires)
        return std::nullopt;
    std::erase_if(this->sharers, [&](const Sharer& sharer) { return now >= sharer.expires && !isMatch(sharer); });
    found = std::find_if(this->sharers.begin(), this->sharers.end(), isMatch);
    if (found == this->sharers.end())
        found = this->sharers.insert(this->sharers.end(), Sharer { demand.holder, 0, 0, 0, now });
    found->sequence = demand.sequence;
    found->demand = headroom * demand.requestsPerSecond;
    // Other daemons keep their shares until their next demand, so only the rest is granted and the sum never exceeds the rate.
    auto left = this->site.requestsPerSecond;
    for (const auto& sharer : this->sharers)
        left -= &sharer == &*found ? 0 : sharer.granted;
    const auto fair = this->fairShare(*found);
    found->granted = std::clamp(fair, 0.0, std::max(left, 0.0));
    const auto term = found->granted < 0.9 * fair ? this->settings.shortTerm : this->settings.term;
    found->expires = now + term;
    const auto part = found->granted / this->site.requestsPerSecond;
    return RateShare { demand.account, demand.sequence, found->granted, part * this->site.burst, term };
}

double RateIssuer::fairShare(const Sharer& asking) const
{
    std::vector<double> demands;
    for (const auto& sharer : this->sharers)
        demands.push_back(sharer.demand);
    std::sort(demands.begin(), demands.end());
    auto left = this->site.requestsPerSecond;
    auto count = static_cast<double>(demands.size());
    auto level = left / count;
    for (const auto demand : demands) {
        level = left / count;
        if (demand >= level)
            break;
        left -= demand;
        count -= 1;
    }
    // Unclaimed rate is divided evenly, to allow for growth.
    const auto spare = count < 1 ? left / static_cast<double>(demands.size()) : 0;
    return (count < 1 ? asking.demand : std::min(asking.demand, level)) + spare;
}

} // namespace goldcrestwood
