#include "edge/service_queue.h"

#include <algorithm>
#include <utility>

#include "daemon/clock.h"
#include "goldcrestwood/hash.h"
#include "goldcrestwood/weight_bound.h"

namespace goldcrestwood {

namespace {

    /// How long a request waits for a service without usable upstreams: its replicas may be in replacement.
    constexpr Duration noUpstreamWait = std::chrono::milliseconds(300);

    /// Usual longest wait at an upstream before a request begins; requests sent within this time before the deadline need the
    /// new weights.
    constexpr Duration weightSwitchMargin = std::chrono::milliseconds(1800);
    /// A repeatable request can be withdrawn if it has not begun, so it may be sent closer to the deadline.
    constexpr Duration repeatableSwitchMargin = std::chrono::milliseconds(700);
    /// Age of a new version from which answers on old weights are worth less to callers.
    constexpr Duration newWeightsPreferredAfter = std::chrono::milliseconds(1300);

    /// @return A hash that identifies a request across retries with different ids; 0 if nothing distinguishes the request, as
    /// for a read of a shared resource.
    std::uint64_t callerKey(const ClientExchange& exchange)
    {
        if (exchange.info.parts.empty() && exchange.request.body().empty())
            return 0;
        std::string text = exchange.account == nullptr ? std::string() : exchange.account->name.value;
        text += '\n' + std::string(exchange.request.target()) + '\n';
        if (!exchange.info.parts.empty())
            text += exchange.info.parts.back().id;
        return stableHash(text + '\n' + exchange.request.body());
    }

    /// @return Latest placement time that still allows an answer on time.
    TimePoint onTimeUntil(const ClientExchange& exchange)
    {
        return placementDeadline(exchange.received, exchange.received + exchange.route->objective);
    }

    /// @return Latest placement time that is still useful, given how long the caller waits for an answer.
    TimePoint placementExpiry(const ClientExchange& exchange, TimePoint now)
    {
        const auto& route = *exchange.route;
        auto end = exchange.deadline;
        if (route.kind == RequestKind::Stream)
            end = std::min(end, exchange.received + route.silenceLimit());
        return placementDeadline(now, end);
    }

} // namespace

void ServiceQueues::setWeightConstraints(ClientExchange& exchange, TimePoint now) const
{
    auto& placement = exchange.placement;
    const auto target = this->state.weightTargets.find(placement.model);
    if (target == this->state.weightTargets.end())
        return;
    const auto margin = exchange.route->isRepeatable() ? repeatableSwitchMargin : weightSwitchMargin;
    // Without the store no weight updates can be ordered; an answer on old weights is better than none.
    placement.minWeightVersion = this->state.storeOutage.isActive() ? 0 : target->second.newestDue(now, WeightBound(this->state.settings.bounds, this->state.storeOutage, margin));
    placement.preferredWeightVersion = target->second.newestNamedFor(newWeightsPreferredAfter, now);
}

std::optional<PlacementChoice> ServiceQueues::tryAssign(ClientExchange& exchange, PlacementRefusal& refusal)
{
    const auto now = monotonicNow();
    // Weights that were allowed when the request began to wait may have been superseded since.
    this->setWeightConstraints(exchange, now);
    exchange.placement.isLate = now >= onTimeUntil(exchange);
    const auto demand = this->demandVersion(exchange, now);
    exchange.placement.requiredVersion = demand.wanted;
    exchange.placement.excludedVersion = demand.avoided;
    auto choice = this->state.board.choose(exchange.placement, exchange.tried, now, refusal);
    if (!choice && demand.isTrial) {
        exchange.placement.excludedVersion = std::exchange(exchange.placement.requiredVersion, {});
        choice = this->state.board.choose(exchange.placement, exchange.tried, now, refusal);
    }
    if (choice)
        this->state.board.begin(*choice, exchange.placement, now);
    return choice;
}

VersionDemand ServiceQueues::demandVersion(const ClientExchange& exchange, TimePoint now) const
{
    const auto& service = exchange.placement.service;
    const auto* rollout = this->state.rolloutOf(service);
    if (rollout == nullptr)
        return {};
    const auto& target = rollout->order().target;
    const auto& board = this->state.board;
    return rollout->demandFor(exchange.info.id, exchange.tried.empty(), board.readyCount(service, target, true), board.readyCount(service, target, false), now);
}

Waiter ServiceQueues::makeWaiter(const ClientExchange& exchange, TimePoint now)
{
    return { ++this->lastWaiter, exchange.rank, callerKey(exchange), exchange.received, onTimeUntil(exchange), placementExpiry(exchange, now),
        exchange.account == nullptr ? ClientAccount() : exchange.account->name };
}

Task<std::optional<PlacementChoice>> ServiceQueues::place(ClientExchange& exchange, PlacementRefusal& refusal)
{
    auto& queue = this->queues[exchange.placement.service];
    const auto now = monotonicNow();
    this->setWeightConstraints(exchange, now);
    auto waiter = this->makeWaiter(exchange, now);
    refusal = PlacementRefusal::Full;
    if (queue.admission.isNext(waiter, now))
        if (auto choice = this->tryAssign(exchange, refusal)) {
            queue.admission.onPlaced(waiter.account, now);
            co_return choice;
        }
    if (refusal == PlacementRefusal::NoUpstream)
        waiter.expiresAt = std::min(waiter.expiresAt, std::max(waiter.onTimeUntil, exchange.received + noUpstreamWait));
    // Every upstream that could serve the request has said when it accepts requests again, or how many.
    const auto opensAt = this->state.board.nextAvailableAt(exchange.placement, exchange.tried, queue.admission.countAhead(waiter, now), now);
    if (opensAt && *opensAt >= waiter.expiresAt) {
        exchange.retryAfter = *opensAt - now;
        co_return std::nullopt;
    }
    std::optional<PlacementChoice> choice;
    if (now < waiter.expiresAt && !queue.admission.isInfeasible(waiter, now))
        choice = co_await this->wait(exchange, queue, waiter, refusal);
    if (!choice && !exchange.isOver())
        exchange.retryAfter = queue.admission.refuse(waiter, monotonicNow(), this->state.random);
    co_return choice;
}

Task<std::optional<PlacementChoice>> ServiceQueues::wait(ClientExchange& exchange, Queue& queue, const Waiter& waiter, PlacementRefusal& refusal)
{
    queue.admission.add(waiter, monotonicNow());
    queue.exchanges[waiter.id] = &exchange;
    exchange.assigned.reset();
    do {
        exchange.queueTimer.expires_at(nextCheck(waiter, monotonicNow()));
        ErrorCode ignored;
        co_await exchange.queueTimer.async_wait(into(ignored));
        if (exchange.assigned)
            co_return std::exchange(exchange.assigned, std::nullopt);
    } while (!exchange.isOver() && monotonicNow() < waiter.expiresAt && !this->isOvertaken(exchange, queue, waiter, monotonicNow()));
    queue.admission.remove(waiter.id, false, monotonicNow());
    queue.exchanges.erase(waiter.id);
    if (exchange.isOver())
        co_return std::nullopt;
    auto choice = this->tryAssign(exchange, refusal);
    if (choice)
        queue.admission.onPlaced(waiter.account, monotonicNow());
    co_return choice;
}

bool ServiceQueues::isOvertaken(const ClientExchange& exchange, const Queue& queue, const Waiter& waiter, TimePoint now) const
{
    // Upstreams that have said when they accept requests again do so at once for all, whatever the rate was before.
    const bool isOpening = this->state.board.nextAvailableAt(exchange.placement, exchange.tried, queue.admission.countAhead(waiter, now), now).has_value();
    return !isOpening && queue.admission.isOvertaken(waiter, now);
}

void ServiceQueues::dispatch(const ServiceName& service)
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end())
        return;
    auto& queue = found->second;
    const auto now = monotonicNow();
    for (const auto id : queue.admission.order(now)) {
        auto& exchange = *queue.exchanges.at(id);
        if (exchange.isOver())
            continue;
        PlacementRefusal refusal {};
        exchange.assigned = this->tryAssign(exchange, refusal);
        if (!exchange.assigned && refusal == PlacementRefusal::Full)
            return; // Later requests must not take the capacity that the first one waits for.
        if (!exchange.assigned)
            continue;
        queue.admission.remove(id, true, now);
        queue.exchanges.erase(id);
        exchange.queueTimer.cancel();
    }
}

void ServiceQueues::dispatchAll()
{
    for (const auto& [service, queue] : this->queues)
        if (queue.admission.size() > 0)
            this->dispatch(service);
}

std::size_t ServiceQueues::waitingCount() const
{
    std::size_t sum = 0;
    for (const auto& [service, queue] : this->queues)
        sum += queue.admission.size();
    return sum;
}

std::size_t ServiceQueues::waitingCount(const ServiceName& service) const
{
    const auto found = this->queues.find(service);
    return found == this->queues.end() ? 0 : found->second.admission.size();
}

} // namespace goldcrestwood
