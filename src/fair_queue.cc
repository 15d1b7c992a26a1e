#include "goldcrestwood/fair_queue.h"

#include <algorithm>

namespace goldcrestwood {

std::size_t serviceRank(Priority priority)
{
    switch (priority) {
    case Priority::Important:
        return 0;
    case Priority::Normal:
        return 1;
    case Priority::Batch:
        return 2;
    }
    return 1;
}

FairQueue::FairQueue(FairQueueSettings queueSettings)
    : settings(queueSettings)
{
}

void FairQueue::push(const QueuedRequest& request)
{
    const auto rank = serviceRank(request.priority);
    auto& queue = this->classes[rank];
    auto [entry, isNew] = queue.flows.try_emplace(request.account);
    auto& flow = entry->second;
    if (isNew) {
        flow.start = queue.virtualTime;
        if (const auto ahead = queue.ahead.find(request.account); ahead != queue.ahead.end()) {
            flow.start = std::max(flow.start, ahead->second);
            queue.aheadByTag.erase({ ahead->second, request.account });
            queue.ahead.erase(ahead);
        }
        flow.weight = request.weight;
        queue.activeWeight += flow.weight;
        queue.byStart.insert({ flow.start, request.account });
        queue.byBacklog.insert({ 0, request.account });
    }
    flow.requests.push_back(request);
    queue.changeBacklog(request.account, flow, request.cost);
    ++queue.count;
    this->requests[request.id] = { rank, request.account, std::prev(flow.requests.end()) };
    this->byDeadline.insert({ request.deadline, request.id });
}

std::optional<QueuedRequest> FairQueue::pop(const std::array<bool, priorityCount>& allowed)
{
    const auto rank = this->pickRank(allowed);
    if (!rank)
        return std::nullopt;
    auto& queue = this->classes[*rank];
    const auto [start, account] = *queue.byStart.begin();
    auto& flow = queue.flows.at(account);
    const auto cost = flow.requests.front().cost;
    queue.virtualTime = std::max(queue.virtualTime, start);
    queue.byStart.erase({ start, account });
    flow.start = start + cost / flow.weight;
    queue.byStart.insert({ flow.start, account });
    return this->take(flow.requests.front().id);
}

std::optional<QueuedRequest> FairQueue::remove(AdmissionId id)
{
    return this->requests.count(id) > 0 ? std::optional(this->take(id)) : std::nullopt;
}

const QueuedRequest* FairQueue::newestOfLargestBacklog(std::size_t rank) const
{
    const auto& queue = this->classes[rank];
    if (queue.byBacklog.empty())
        return nullptr;
    return &queue.flows.at(queue.byBacklog.rbegin()->second).requests.back();
}

std::optional<AdmissionId> FairQueue::overdue(TimePoint now) const
{
    if (this->byDeadline.empty() || this->byDeadline.begin()->first > now)
        return std::nullopt;
    return this->byDeadline.begin()->second;
}

std::optional<TimePoint> FairQueue::nextDeadline() const
{
    return this->byDeadline.empty() ? std::nullopt : std::optional(this->byDeadline.begin()->first);
}

double FairQueue::costAhead(const ClientAccount& account, std::size_t rank, double weight, double cost) const
{
    const auto& queue = this->classes[rank];
    const auto found = queue.flows.find(account);
    const auto own = found == queue.flows.end() ? 0.0 : found->second.cost;
    const auto ownWeight = found == queue.flows.end() ? 0.0 : found->second.weight;
    // While this account's requests are served, the other accounts are served in proportion to their weights.
    const auto others = (own + cost) / weight * (queue.activeWeight - ownWeight);
    return own + std::min(queue.cost - own, others);
}

double FairQueue::backlog(const ClientAccount& account, std::size_t rank) const
{
    const auto& flows = this->classes[rank].flows;
    const auto found = flows.find(account);
    return found == flows.end() ? 0 : found->second.cost / found->second.weight;
}

std::optional<std::size_t> FairQueue::pickRank(const std::array<bool, priorityCount>& allowed)
{
    auto canServe = [&](std::size_t rank) { return allowed[rank] && this->classes[rank].count > 0; };
    std::optional<std::size_t> picked;
    for (std::size_t rank = priorityCount; rank-- > 0;) {
        if (canServe(rank))
            picked = rank;
    }
    if (canServe(1) && this->sinceNormal + 1 >= this->settings.normalEvery)
        picked = 1;
    if (canServe(2) && this->sinceBatch + 1 >= this->settings.batchEvery)
        picked = 2;
    if (!picked)
        return picked;
    this->sinceNormal = *picked != 1 && canServe(1) ? this->sinceNormal + 1 : 0;
    this->sinceBatch = *picked != 2 && canServe(2) ? this->sinceBatch + 1 : 0;
    return picked;
}

QueuedRequest FairQueue::take(AdmissionId id)
{
    const auto place = this->requests.at(id);
    auto& queue = this->classes[place.rank];
    auto& flow = queue.flows.at(place.account);
    auto request = *place.position;
    queue.changeBacklog(place.account, flow, -request.cost);
    --queue.count;
    flow.requests.erase(place.position);
    if (flow.requests.empty())
        queue.closeFlow(place.account, flow);
    this->byDeadline.erase({ request.deadline, id });
    this->requests.erase(id);
    return request;
}

void FairQueue::Class::changeBacklog(const ClientAccount& account, Flow& flow, double change)
{
    this->byBacklog.erase({ flow.cost / flow.weight, account });
    flow.cost = flow.requests.size() > 1 || change > 0 ? flow.cost + change : 0;
    this->byBacklog.insert({ flow.cost / flow.weight, account });
    this->cost = this->count > 1 || change > 0 ? this->cost + change : 0;
}

void FairQueue::Class::closeFlow(const ClientAccount& account, Flow& flow)
{
    this->byBacklog.erase({ flow.cost / flow.weight, account });
    this->byStart.erase({ flow.start, account });
    this->activeWeight -= flow.weight;
    // An account whose queue ran empty just after its turn must not return ahead of the others.
    if (flow.start > this->virtualTime) {
        this->ahead[account] = flow.start;
        this->aheadByTag.insert({ flow.start, account });
    }
    this->flows.erase(account);
    if (this->flows.empty()) {
        this->activeWeight = 0;
        this->ahead.clear();
        this->aheadByTag.clear();
    }
    while (!this->aheadByTag.empty() && this->aheadByTag.begin()->first <= this->virtualTime) {
        this->ahead.erase(this->aheadByTag.begin()->second);
        this->aheadByTag.erase(this->aheadByTag.begin());
    }
}

} // namespace goldcrestwood
