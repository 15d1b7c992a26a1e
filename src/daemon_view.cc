#include "goldcrestwood/daemon_view.h"

#include <algorithm>
#include <tuple>

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

std::vector<std::string> DaemonView::readyFronts(const FailureDomain& domain, TimePoint now) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto* report : this->live(now))
        if (report->heartbeat.isReady)
            (report->heartbeat.domain == domain ? near : far).push_back(report->heartbeat.frontAddress);
    near.insert(near.end(), far.begin(), far.end());
    near.resize(std::min(near.size(), this->settings.mostAddresses - 1));
    return near;
}

void DaemonView::sweep(TimePoint now)
{
    std::erase_if(this->daemons, [&](const auto& entry) { return now - entry.second.heard > this->settings.forget; });
}

} // namespace goldcrestwood
