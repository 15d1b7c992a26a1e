#include "goldcrestwood/weight_plan.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

std::vector<UpstreamId> WeightPlan::start(const std::vector<WeightCandidate>& candidates, TimePoint now)
{
    const auto share = static_cast<std::size_t>(std::ceil(static_cast<double>(candidates.size()) * this->settings.updateShare));
    const auto maxRunning = std::max(this->settings.minUpdates, share);
    this->replicas = candidates.size();
    std::vector<WeightCandidate> outdated;
    for (const auto& candidate : candidates) {
        const auto skipped = this->skippedSince.find(candidate.upstream);
        const bool isSilent = skipped != this->skippedSince.end() && now - skipped->second < this->settings.reportTimeout;
        if (candidate.version < this->target.version && !this->running.contains(candidate.upstream) && !isSilent && !candidate.isResting)
            outdated.push_back(candidate);
    }
    std::sort(outdated.begin(), outdated.end(), [](const auto& left, const auto& right) { return left.requests < right.requests; });
    std::vector<UpstreamId> started;
    for (const auto& candidate : outdated) {
        if (this->running.size() >= maxRunning)
            break;
        this->running[candidate.upstream] = { now, std::nullopt, {}, now };
        started.push_back(candidate.upstream);
    }
    return started;
}

bool WeightPlan::isOrderDue(const UpstreamId& upstream, std::uint32_t requests, TimePoint now) const
{
    const auto found = this->running.find(upstream);
    if (found == this->running.end())
        return false;
    const auto& progress = found->second;
    if (progress.orderSent)
        return now - *progress.orderSent >= this->settings.repeatInterval;
    const auto maxLoads = std::max(this->settings.minLoads, static_cast<std::size_t>(static_cast<double>(this->replicas) * this->settings.loadShare));
    if (this->loadCount(now) >= maxLoads)
        return false;
    return requests <= this->settings.maxRemainingRequests || now - progress.started >= this->settings.drainTimeout;
}

bool WeightPlan::isLoading(const UpstreamId& upstream) const
{
    const auto found = this->running.find(upstream);
    return found != this->running.end() && found->second.orderSent.has_value();
}

std::size_t WeightPlan::loadCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(this->running.begin(), this->running.end(),
        [&](const auto& entry) { return entry.second.orderSent && now - entry.second.lastEffect < this->settings.repeatInterval; }));
}

void WeightPlan::onOrderSent(const UpstreamId& upstream, TimePoint now)
{
    const auto found = this->running.find(upstream);
    if (found == this->running.end())
        return;
    if (!found->second.orderSent)
        found->second.lastEffect = now;
    found->second.orderSent = now;
}

void WeightPlan::onReport(const UpstreamId& upstream, std::uint64_t version, bool isBusy, TimePoint now)
{
    const auto found = this->running.find(upstream);
    if (found == this->running.end())
        return;
    found->second.lastReport = now;
    if (version >= this->target.version) {
        this->running.erase(found);
        this->finished.push_back({ upstream, this->target.model, version });
    } else if (isBusy) {
        found->second.orderSent = found->second.lastEffect = now; // The load is in progress; postpone the repeated order.
    }
}

void WeightPlan::expire(const std::set<UpstreamId>& present, TimePoint now)
{
    for (auto entry = this->running.begin(); entry != this->running.end();) {
        const bool isSilent = now - entry->second.lastReport >= this->settings.reportTimeout;
        if (isSilent)
            this->skippedSince[entry->first] = now;
        entry = isSilent || !present.contains(entry->first) ? this->running.erase(entry) : std::next(entry);
    }
}

std::vector<OrderedUpstream> WeightPlan::ordered() const
{
    std::vector<OrderedUpstream> result;
    for (const auto& [upstream, progress] : this->running)
        result.push_back({ upstream, this->target.model, this->target.version });
    return result;
}

} // namespace goldcrestwood
