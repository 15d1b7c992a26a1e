/// @file
/// UpstreamBoard: the pace that upstreams report, and its exchange with the other daemons.

#include <algorithm>
#include <utility>

#include "goldcrestwood/upstream_board.h"

namespace goldcrestwood {

void UpstreamBoard::onServerLoad(const UpstreamId& id, std::int64_t born, const ServerLoad& load, TimePoint now)
{
    const auto found = this->upstreams.find(id);
    if (load.pacePercent && found != this->upstreams.end() && found->second.entry.born == born)
        found->second.pace.onReport(*load.pacePercent, now, true);
}

bool UpstreamBoard::isFirstInvalidLoad(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    return found != this->upstreams.end() && !std::exchange(found->second.hadInvalidLoad, true);
}

void UpstreamBoard::onPeerPaces(const std::vector<PaceReport>& paces, TimePoint now)
{
    for (const auto& report : paces)
        if (const auto found = this->upstreams.find(report.upstream); found != this->upstreams.end() && found->second.entry.born == report.born)
            found->second.pace.onReport(report.percent, now - fromAgeMs(report.ageMs), false);
}

std::vector<PaceReport> UpstreamBoard::recentPaces(const std::function<bool(const UpstreamId&)>& isIncluded, bool withPeers, TimePoint now) const
{
    std::vector<PaceReport> result;
    for (const auto& [id, upstream] : this->upstreams)
        if (upstream.pace.isKnown() && isIncluded(id))
            if (auto report = upstream.pace.report(id, upstream.entry.born, withPeers, now))
                result.push_back(std::move(*report));
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) { return left.ageMs < right.ageMs; });
    if (result.size() > this->settings.maxReportedPaces)
        result.resize(this->settings.maxReportedPaces);
    return result;
}

double UpstreamBoard::slownessAt(const Upstream& upstream, TimePoint now)
{
    return upstream.slowness * upstream.pace.factor(now);
}

double UpstreamBoard::paceDuring(const Upstream& upstream, const PlacementChoice& choice, TimePoint now)
{
    // The answer itself has just reported the pace, so the value at the end is fresh.
    return upstream.pace.isKnown() && upstream.entry.born == choice.born ? (choice.pace.value_or(1) + upstream.pace.factor(now)) / 2 : 1;
}

} // namespace goldcrestwood
