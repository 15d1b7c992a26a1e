#include "goldcrestwood/daemon_view.h"

#include <algorithm>
#include <tuple>

#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/hash.h"

namespace goldcrestwood {

bool DaemonView::onHeartbeat(const EdgeHeartbeat& heartbeat, TimePoint now)
{
    auto& report = this->daemons[heartbeat.instance];
    if (std::tie(heartbeat.incarnation, heartbeat.sequence) <= std::tie(report.heartbeat.incarnation, report.heartbeat.sequence))
        return false;
    report = { heartbeat, now };
    return true;
}

std::vector<const DaemonReport*> DaemonView::live(TimePoint now) const
{
    std::vector<const DaemonReport*> result;
    for (const auto& [id, report] : this->daemons)
        if (now - report.heard <= std::max<Duration>(this->settings.silence, std::chrono::milliseconds(report.heartbeat.intervalMs) * this->settings.missedHeartbeats))
            result.push_back(&report);
    return result;
}

std::vector<std::string> DaemonView::frontsFor(
    std::string_view caller, const FailureDomain& domain, const EdgeHeartbeat& self, TimePoint now) const
{
    const auto key = stableHash(caller);
    std::vector<std::pair<double, std::string>> ranking;
    const auto consider = [&](const EdgeHeartbeat& daemon) {
        if (!daemon.isReady)
            return;
        const auto weight = std::max(daemon.capacity, leastCapacity) * (daemon.domain == domain ? 1 : this->settings.farWeight);
        ranking.emplace_back(weightedScore(key, daemon.instance.value, weight), daemon.frontAddress);
    };
    for (const auto* report : this->live(now))
        consider(report->heartbeat);
    consider(self);
    const auto count = std::min(this->settings.mostAddresses, ranking.size());
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), ranking.end(), std::greater<>());
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back(std::move(ranking[index].second));
    return result;
}

std::vector<InstanceId> DaemonView::instances() const
{
    std::vector<InstanceId> result;
    result.reserve(this->daemons.size());
    for (const auto& [id, report] : this->daemons)
        result.push_back(id);
    return result;
}

void DaemonView::sweep(TimePoint now)
{
    std::erase_if(this->daemons, [&](const auto& entry) { return now - entry.second.heard > this->settings.forget; });
}

} // namespace goldcrestwood
