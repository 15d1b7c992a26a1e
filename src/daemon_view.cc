#include "goldcrestwood/daemon_view.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    /// Link that a core can fill, megabits a second. Set, not measured: half of the 650 requests/s that a core serves at
    /// 1.5 ms each, 25 KB in and out for one (a large prompt of the users' table), and a reserve.
    constexpr double linkMegabitsPerCore = 80;

    double weightOf(const EdgeHeartbeat& daemon)
    {
        return std::max(daemon.capacity, leastCapacity);
    }

} // namespace

double capacityOf(const EdgeSettings& settings)
{
    if (settings.linkMegabits <= 0)
        return settings.processorShare;
    return std::min(settings.processorShare, settings.linkMegabits / linkMegabitsPerCore);
}

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

double DaemonView::farWeight(const std::vector<const EdgeHeartbeat*>& ready, const FailureDomain& domain) const
{
    std::map<FailureDomain, double> capacities;
    double sum = 0;
    for (const auto* daemon : ready) {
        capacities[daemon->domain] += weightOf(*daemon);
        sum += weightOf(*daemon);
    }
    if (capacities.empty())
        return 1;
    const auto mean = sum / static_cast<double>(capacities.size());
    return std::max(this->settings.farWeight, 1 - capacities[domain] / (mean * this->settings.enoughNear));
}

std::vector<std::string> DaemonView::frontsFor(
    std::string_view caller, const FailureDomain& domain, const EdgeHeartbeat& self, TimePoint now) const
{
    std::vector<const EdgeHeartbeat*> ready;
    for (const auto* report : this->live(now))
        if (report->heartbeat.isReady)
            ready.push_back(&report->heartbeat);
    if (self.isReady)
        ready.push_back(&self);
    const auto far = this->farWeight(ready, domain);
    const auto key = stableHash(caller);
    std::vector<std::pair<double, std::string>> ranking;
    for (const auto* daemon : ready) {
        const auto weight = std::pow(weightOf(*daemon), this->settings.capacityPower) * (daemon->domain == domain ? 1 : far);
        ranking.emplace_back(weightedScore(key, daemon->instance.value, weight), daemon->frontAddress);
    }
    const auto count = ranking.size() <= this->settings.smallSite ? ranking.size() : this->settings.mostAddresses;
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
