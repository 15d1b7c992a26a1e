#include "edge/service_queue.h"

#include <algorithm>

#include "daemon/clock.h"

namespace goldcrestwood {

namespace {

    /// A request waits for a place up to this share of its objective; then it could hardly be answered in time.
    constexpr double patienceShare = 0.5;
    /// A service without any usable upstream is looked at again for so long: replicas are being replaced.
    constexpr Duration absencePatience = std::chrono::milliseconds(300);

} // namespace

std::optional<PlacementChoice> ServiceQueues::tryAssign(ClientExchange& exchange, PlacementRefusal& refusal)
{
    const auto now = monotonicNow();
    auto choice = this->state.board.choose(exchange.placement, exchange.tried, now, refusal);
    if (choice)
        this->state.board.begin(*choice, exchange.placement, now);
    return choice;
}

Task<std::optional<PlacementChoice>> ServiceQueues::place(ClientExchange& exchange, PlacementRefusal& refusal)
{
    auto& queue = this->queues[exchange.placement.service];
    const bool isFirst = queue.empty() || exchange.rank < queue.front()->rank;
    if (isFirst)
        if (auto choice = this->tryAssign(exchange, refusal))
            co_return choice;
    const auto objective = exchange.route->objective;
    const auto patience = std::max(std::chrono::duration_cast<Duration>(objective * patienceShare),
        refusal == PlacementRefusal::NoUpstream ? absencePatience : Duration(0));
    const auto giveUp = std::min(exchange.received + patience, exchange.deadline);
    const auto now = monotonicNow();
    // All that could serve the request have said when they want some again.
    const auto opensAt = this->state.board.obstaclesOf(exchange.placement, exchange.tried, now).opensAt;
    if (opensAt && *opensAt >= giveUp)
        exchange.comeBack = *opensAt - now;
    if (exchange.comeBack || now >= giveUp)
        co_return std::nullopt;
    const auto later = std::find_if(queue.begin(), queue.end(), [&](const auto* other) { return other->rank > exchange.rank; });
    const auto position = queue.insert(later, &exchange);
    exchange.turn.reset();
    exchange.queued.expires_at(giveUp);
    ErrorCode ignored;
    co_await exchange.queued.async_wait(into(ignored));
    if (!exchange.turn) {
        queue.erase(position);
        if (!exchange.isOver())
            co_return this->tryAssign(exchange, refusal);
        co_return std::nullopt;
    }
    co_return std::exchange(exchange.turn, std::nullopt);
}

void ServiceQueues::dispatch(const ServiceName& service)
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end())
        return;
    auto& queue = found->second;
    for (auto position = queue.begin(); position != queue.end();) {
        auto& exchange = **position;
        if (exchange.isOver()) {
            ++position;
            continue;
        }
        PlacementRefusal refusal {};
        exchange.turn = this->tryAssign(exchange, refusal);
        if (!exchange.turn && refusal == PlacementRefusal::Full)
            return; // Whoever comes later must not take what the first one waits for.
        if (!exchange.turn) {
            ++position;
            continue;
        }
        position = queue.erase(position);
        exchange.queued.cancel();
    }
}

void ServiceQueues::dispatchAll()
{
    for (const auto& [service, queue] : this->queues)
        if (!queue.empty())
            this->dispatch(service);
}

std::size_t ServiceQueues::waiting() const
{
    std::size_t sum = 0;
    for (const auto& [service, queue] : this->queues)
        sum += queue.size();
    return sum;
}

} // namespace goldcrestwood
