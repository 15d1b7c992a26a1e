#include "goldcrestwood/daemon_view.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    /// Link bandwidth that one core can saturate: half of the 650 requests/s that a core serves at 1.5 ms each,
    /// with 25 KB in and out per request (a large prompt), plus headroom.
    constexpr double linkMegabitsPerCore = 80;

    double weightOf(const EdgeHeartbeat& daemon)
    {
        return std::max(daemon.capacity, minCapacity);
    }

    double sumOfWeights(const std::vector<const EdgeHeartbeat*>& daemons)
    {
        return std::accumulate(daemons.begin(), daemons.end(), 0.0, [](double sum, const auto* daemon) { return sum + weightOf(*daemon); });
    }

    /// Fields whose change is reported to peers; the others change with every heartbeat.
    auto descriptionOf(const EdgeHeartbeat& daemon)
    {
        // A request rate counts as changed when it doubles or halves.
        return std::make_tuple(daemon.incarnation, daemon.isReady, daemon.readsStore, daemon.capacity, daemon.frontAddress, daemon.peerAddress,
            std::ilogb(daemon.requestRate + 1));
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
    const auto [position, isNew] = this->daemons.try_emplace(heartbeat.instance);
    auto& report = position->second;
    if (std::tie(heartbeat.incarnation, heartbeat.sequence) <= std::tie(report.heartbeat.incarnation, report.heartbeat.sequence))
        return false;
    if (isNew)
        this->arrival = now;
    if (report.change == 0 || !report.wasLive || descriptionOf(heartbeat) != descriptionOf(report.heartbeat))
        report.change = ++this->changes;
    report.heartbeat = heartbeat;
    report.lastHeard = now;
    report.wasLive = true;
    return true;
}

void DaemonView::onNews(const DaemonNews& news, bool isFromReader, TimePoint now)
{
    this->lastReport = now;
    if (news.isWhole && isFromReader)
        for (auto& [id, report] : this->daemons)
            report.isReportedLive = false;
    for (const auto& notice : news.daemons) {
        if (!isFromReader && !notice.isLive)
            continue;
        const auto [position, isNew] = this->daemons.try_emplace(notice.heartbeat.instance);
        auto& report = position->second;
        if (isNew)
            this->arrival = now;
        if (std::tie(notice.heartbeat.incarnation, notice.heartbeat.sequence) >= std::tie(report.heartbeat.incarnation, report.heartbeat.sequence))
            report.heartbeat = notice.heartbeat;
        report.isReportedLive = notice.isLive;
        report.isReportedByReader = isFromReader;
        report.lastReported = now;
    }
}

DaemonNews DaemonView::newsSince(std::uint64_t source, std::uint64_t from) const
{
    DaemonNews news { source, this->changes + 1, from == 0, {} };
    for (const auto& [id, report] : this->daemons)
        if (report.change > 0 && report.change >= from && (report.wasLive || from > 0)) {
            news.daemons.push_back({ report.heartbeat, report.wasLive });
            news.daemons.back().heartbeat.weights.clear();
            news.daemons.back().heartbeat.peers.clear();
            news.daemons.back().heartbeat.rollouts.clear();
        }
    return news;
}

bool DaemonView::isHeard(const DaemonReport& report, TimePoint now) const
{
    return report.change > 0
        && now - report.lastHeard <= std::max<Duration>(this->settings.silenceTimeout, std::chrono::milliseconds(report.heartbeat.intervalMs) * this->settings.missedHeartbeats);
}

std::vector<const DaemonReport*> DaemonView::live(TimePoint now) const
{
    const bool hasNews = now - this->lastReport <= this->settings.reportLifetime;
    std::vector<const DaemonReport*> result;
    for (const auto& [id, report] : this->daemons)
        if (this->isHeard(report, now) || (hasNews && report.isReportedLive))
            result.push_back(&report);
    return result;
}

double DaemonView::remoteDomainWeight(const std::vector<const EdgeHeartbeat*>& ready, const FailureDomain& domain) const
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
    return std::max(this->settings.remoteDomainWeight, 1 - capacities[domain] / (mean * this->settings.localCapacityThreshold));
}

std::vector<const EdgeHeartbeat*> DaemonView::workingSet(std::vector<const EdgeHeartbeat*> ready) const
{
    double used = 0;
    for (const auto* daemon : ready)
        used += daemon->requestRate * this->settings.requestCoreSeconds;
    // Ties are broken by name, so that all daemons compute the same set.
    std::sort(ready.begin(), ready.end(), [](const auto* left, const auto* right) {
        return std::make_tuple(-weightOf(*left), stableHash(left->instance.value)) < std::make_tuple(-weightOf(*right), stableHash(right->instance.value));
    });
    const auto wanted = std::max(sumOfWeights(ready) * this->settings.minCapacityShare, used / this->settings.targetUtilization);
    double sum = 0;
    std::size_t count = 0;
    while (count < ready.size() && (sum < wanted || count < this->settings.maxAddresses))
        sum += weightOf(*ready[count++]);
    ready.resize(count);
    return ready;
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
    const bool isSmall = ready.size() <= this->settings.smallSiteSize;
    const auto far = this->remoteDomainWeight(ready, domain);
    std::map<FailureDomain, std::vector<const EdgeHeartbeat*>> byDomain;
    for (const auto* daemon : ready)
        byDomain[daemon->domain].push_back(daemon);
    const auto key = stableHash(caller);
    std::vector<std::pair<double, std::string>> ranking;
    for (const auto& [memberDomain, all] : byDomain) {
        const auto set = isSmall ? all : this->workingSet(all);
        // The working set gets the weight of its whole domain.
        const auto scale = (memberDomain == domain ? 1 : far) * sumOfWeights(all) / sumOfWeights(set);
        for (const auto* daemon : set)
            ranking.emplace_back(weightedScore(key, daemon->instance.value, weightOf(*daemon) * scale), daemon->frontAddress);
    }
    const auto count = isSmall ? ranking.size() : std::min(ranking.size(), this->settings.maxAddresses);
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), ranking.end(), std::greater<>());
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back(std::move(ranking[index].second));
    return result;
}

std::vector<const DaemonReport*> DaemonView::all() const
{
    std::vector<const DaemonReport*> result;
    result.reserve(this->daemons.size());
    for (const auto& [id, report] : this->daemons)
        result.push_back(&report);
    return result;
}

std::vector<DaemonCapacity> DaemonView::instances() const
{
    std::vector<DaemonCapacity> result;
    result.reserve(this->daemons.size());
    for (const auto& [id, report] : this->daemons)
        result.push_back({ id, report.heartbeat.capacity, report.heartbeat.domain });
    return result;
}

void DaemonView::sweep(TimePoint now)
{
    for (auto& [id, report] : this->daemons)
        if (report.wasLive && !this->isHeard(report, now)) {
            report.wasLive = false;
            report.change = ++this->changes;
        }
    std::erase_if(this->daemons, [&](const auto& entry) {
        const auto& report = entry.second;
        const bool isReportedLive = report.isReportedLive && now - this->lastReport <= this->settings.forgetAfter;
        return !isReportedLive && now - std::max(report.lastHeard, report.lastReported) > this->settings.forgetAfter;
    });
}

} // namespace goldcrestwood
