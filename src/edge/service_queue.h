#pragma once

/// @file
/// Requests of one service that wait for an upstream, and whose turn is next.

#include <list>
#include <map>

#include "edge/edge_state.h"
#include "edge/exchange.h"

namespace goldcrestwood {

/// Hands free upstreams to waiting requests in the order of their rank.
class ServiceQueues {
public:
    explicit ServiceQueues(EdgeState& edgeState)
        : state(edgeState)
    {
    }

    /// Waits until an upstream is assigned, the patience of the request ends or nobody waits for it.
    /// @return The upstream, for which the board counts the request already; nothing if there is none.
    Task<std::optional<PlacementChoice>> place(ClientExchange& exchange, PlacementRefusal& refusal);

    /// Something became free: assigns upstreams to those that wait for @p service.
    void dispatch(const ServiceName& service);
    void dispatchAll();

    /// @return Requests that wait.
    std::size_t waiting() const;

private:
    std::optional<PlacementChoice> tryAssign(ClientExchange& exchange, PlacementRefusal& refusal);

    EdgeState& state;
    std::map<ServiceName, std::list<ClientExchange*>> queues;
};

} // namespace goldcrestwood
