/// @file
/// UpstreamBoard: rates of requests that hold for all daemons together: of cold upstreams, and limits that upstreams name.

#include <algorithm>
#include <cmath>

#include "goldcrestwood/hash.h"
#include "goldcrestwood/upstream_board.h"

namespace goldcrestwood {

namespace {

    /// Allowance for daemons that have started but are not known here, and send to the same cold upstream.
    constexpr std::size_t unknownDaemons = 2;
    /// Requests per second that a daemon should get at a cold upstream. At a large site only some daemons send there, so
    /// that no share drops below one whole request.
    constexpr std::size_t minColdShare = 2;

    /// Requests per second that all daemons together send to an upstream with a lower limit. Only an answer tells that a limit was
    /// lifted.
    constexpr double minRequestRate = 0.25;
    /// Turns of daemons that are not known here yet.
    constexpr double unknownTurns = 1;
    /// Turns of this time accumulate at a daemon, as its waiting requests are placed only a few times a second.
    constexpr Duration burstTime = std::chrono::milliseconds(250);

    /// By then all daemons have heard of a limit.
    constexpr Duration noticeTime = std::chrono::milliseconds(250);
    /// A limit that falls to this share of the one before leaves the requests from before within its slack.
    constexpr double smallDrop = 0.8;
    /// Added to a small count of events for the upper bound of its expectation at a confidence of 95%.
    constexpr double countMargin = 3;

} // namespace

std::size_t UpstreamBoard::coldShare(const Upstream& upstream, double bound) const
{
    if (!this->isWholeSiteKnown)
        return 0;
    const auto siteBound = static_cast<std::size_t>(bound);
    const auto all = std::max<std::size_t>(this->daemons.size(), 1);
    const auto senders = std::max(siteBound / minColdShare, unknownDaemons + 1) - unknownDaemons;
    if (all <= senders)
        return siteBound / (all + unknownDaemons);
    // Each cold upstream gets its own subset of daemons, weighted by capacity: large daemons receive most callers.
    const auto own = std::find_if(this->daemons.begin(), this->daemons.end(), [&](const auto& daemon) { return daemon.instance == this->self; });
    if (own == this->daemons.end())
        return 0;
    const auto& id = upstream.entry.id;
    const auto ownScore = senderScore(id, *own);
    const auto ahead = std::count_if(this->daemons.begin(), this->daemons.end(), [&](const auto& daemon) { return senderScore(id, daemon) > ownScore; });
    return static_cast<std::size_t>(ahead) < senders ? siteBound / (senders + unknownDaemons) : 0;
}

double UpstreamBoard::senderScore(const UpstreamId& id, const DaemonCapacity& daemon)
{
    return weightedScore(stableHash(id.value), daemon.instance.value, std::max(daemon.capacity, minCapacity));
}

bool UpstreamBoard::hasColdCapacity(const Upstream& upstream, TimePoint now) const
{
    const auto* service = this->serviceOf(upstream.entry.service);
    if (now >= upstream.coldUntil || service == nullptr || service->coldPerSecond <= 0)
        return true;
    // Each daemon stays within its own share, so the site total stays within the bound without coordination.
    const auto bound = service->coldPerSecond * this->bounds.coldRateFactor + this->bounds.coldRateSlack;
    const auto share = this->coldShare(upstream, bound);
    const auto recent = std::count_if(upstream.coldSends.begin(), upstream.coldSends.end(),
        [&](TimePoint sent) { return now - sent < std::chrono::milliseconds(1100); });
    return static_cast<std::size_t>(recent) < share;
}

double UpstreamBoard::senderShare(const UpstreamId& id, std::size_t senders) const
{
    if (this->daemons.empty())
        return 1;
    std::vector<std::pair<double, const DaemonCapacity*>> ranking;
    ranking.reserve(this->daemons.size());
    for (const auto& daemon : this->daemons)
        ranking.emplace_back(senderScore(id, daemon), &daemon);
    if (ranking.size() > senders) {
        const auto end = ranking.begin() + static_cast<std::ptrdiff_t>(senders);
        std::nth_element(ranking.begin(), end, ranking.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
        ranking.erase(end, ranking.end());
    }
    double own = 0;
    double all = 0;
    for (const auto& [score, daemon] : ranking) {
        const auto capacity = std::max(daemon->capacity, minCapacity);
        all += capacity;
        own += daemon->instance == this->self ? capacity : 0;
    }
    return own / all;
}

double UpstreamBoard::windowBound(double limit) const
{
    return this->bounds.limitFactor * limit * toSeconds(this->bounds.limitWindow) + this->bounds.limitSlack;
}

TurnShare UpstreamBoard::turnShare(const Upstream& upstream) const
{
    const auto limit = upstream.limit.perSecond();
    if (!limit || !this->isWholeSiteKnown)
        return { 0, 1, this->bounds.limitWindow };
    const auto rate = std::max(*limit, minRequestRate);
    const auto window = toSeconds(this->bounds.limitWindow);
    // Each sender can be a whole turn ahead of its rate, so that their number is bounded too.
    const auto senders = std::max(1.0, std::floor(this->windowBound(*limit) - rate * (window + toSeconds(burstTime)) - unknownTurns));
    const auto count = static_cast<std::size_t>(std::min(senders, static_cast<double>(this->daemons.size() + 1)));
    const auto ownRate = rate * this->senderShare(upstream.entry.id, count);
    return { ownRate, std::max(1.0, ownRate * toSeconds(burstTime)), this->bounds.limitWindow };
}

bool UpstreamBoard::hasTurn(const Upstream& upstream, TimePoint now) const
{
    return !upstream.limit.perSecond() || upstream.limit.hasTurn(this->turnShare(upstream), now);
}

void UpstreamBoard::onLimitChange(Upstream& upstream, std::optional<double> before, TimePoint now)
{
    this->hasLimitNews = true;
    upstream.limitChanged = now;
    const auto limit = upstream.limit.perSecond();
    if (!limit || (before && *limit >= *before * smallDrop))
        return;
    upstream.limitBegan = now;
    // Spreads the first turns of all daemons over time.
    upstream.limit.begin(uniform(this->random), now);
    // Most daemons send at about the same rate for their capacity.
    const auto own = static_cast<double>(upstream.limit.countRecent(this->turnShare(upstream), now));
    this->holdTurns(upstream, (own + countMargin) / this->senderShare(upstream.entry.id, this->daemons.size()));
}

void UpstreamBoard::holdTurns(Upstream& upstream, double recent)
{
    // A window that holds requests from before the limit and turns has at most as many as one of either kind, and the bursts.
    const auto limit = upstream.limit.perSecond().value_or(0);
    const auto bursts = static_cast<double>(this->daemons.size()) + limit * toSeconds(burstTime);
    if (recent > this->windowBound(limit) - bursts)
        upstream.limit.hold(upstream.limitBegan + this->bounds.limitWindow + noticeTime);
}

bool UpstreamBoard::onRequestLimit(const UpstreamId& id, std::int64_t born, const LimitSighting& sighting)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || found->second.entry.born != born)
        return false;
    auto& upstream = found->second;
    const auto before = upstream.limit.perSecond();
    if (!upstream.limit.onAnswer(sighting))
        return false;
    this->onLimitChange(upstream, before, sighting.read);
    return true;
}

std::vector<UpstreamId> UpstreamBoard::onPeerLimits(const LimitNotice& notice, TimePoint now)
{
    std::vector<UpstreamId> changed;
    for (const auto& report : notice.limits) {
        const auto found = this->upstreams.find(report.upstream);
        if (found == this->upstreams.end() || found->second.entry.born != report.born)
            continue;
        auto& upstream = found->second;
        const auto before = upstream.limit.perSecond();
        if (upstream.limit.onReport({ report.perSecond, now - fromAgeMs(report.sentAgeMs), now - fromAgeMs(report.readAgeMs) })) {
            this->onLimitChange(upstream, before, now);
            changed.push_back(report.upstream);
        }
        // Requests from before the limit, where the daemons' loads differ.
        if (upstream.limit.perSecond() && now - upstream.limitBegan < this->bounds.limitWindow)
            this->holdTurns(upstream, static_cast<double>(report.recent) + countMargin);
    }
    return changed;
}

std::optional<LimitNotice> UpstreamBoard::limitNotice(bool withPeers, TimePoint now) const
{
    std::vector<std::pair<TimePoint, UpstreamLimit>> reports;
    for (const auto& [id, upstream] : this->upstreams) {
        const auto& limit = upstream.limit;
        const bool isLifted = !limit.perSecond() && upstream.limitChanged > TimePoint() && now - upstream.limitChanged < this->settings.liftReportTime;
        if (!(limit.perSecond() || isLifted) || !(withPeers || limit.isOwn()))
            continue;
        const auto recent = static_cast<std::uint32_t>(limit.countRecent(this->turnShare(upstream), now));
        reports.emplace_back(upstream.limitChanged, UpstreamLimit { id, upstream.entry.born, limit.perSecond(), ageMs(limit.sighting().sent, now), ageMs(limit.sighting().read, now), recent });
    }
    if (reports.empty())
        return std::nullopt;
    std::sort(reports.begin(), reports.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    LimitNotice notice;
    for (auto& [changed, report] : reports)
        if (notice.limits.size() < this->settings.maxReportedLimits)
            notice.limits.push_back(std::move(report));
    return notice;
}

std::optional<double> UpstreamBoard::requestLimit(const UpstreamId& id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? std::nullopt : found->second.limit.perSecond();
}

} // namespace goldcrestwood
