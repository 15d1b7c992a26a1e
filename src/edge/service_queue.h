#pragma once

/// @file
/// Requests of one service that wait for an upstream.

#include <map>

#include "edge/edge_state.h"
#include "edge/exchange.h"
#include "goldcrestwood/admission.h"

namespace goldcrestwood {

/// Hands free upstreams to waiting requests in the order that the admission queue of their service decides.
class ServiceQueues {
public:
    explicit ServiceQueues(EdgeState& edgeState)
        : state(edgeState)
    {
    }

    /// Waits until an upstream is assigned, the patience of the request ends or nobody waits for it.
    /// @return The upstream, for which the board counts the request already; nothing if there is none, and then
    /// ClientExchange::comeBack is set.
    Task<std::optional<PlacementChoice>> place(ClientExchange& exchange, PlacementRefusal& refusal);

    /// Something became free: assigns upstreams to those that wait for @p service.
    void dispatch(const ServiceName& service);
    void dispatchAll();

    /// @return Requests that wait.
    std::size_t waiting() const;

private:
    struct Queue {
        AdmissionQueue admission;
        std::map<std::uint64_t, ClientExchange*> exchanges; ///< Those that wait, by the waiter's id.
    };

    /// A roll-out says which versions may take the request now.
    VersionDemand demandVersion(const ClientExchange& exchange, TimePoint now) const;
    std::optional<PlacementChoice> tryAssign(ClientExchange& exchange, PlacementRefusal& refusal);
    Waiter describe(const ClientExchange& exchange, TimePoint now);
    Task<std::optional<PlacementChoice>> wait(ClientExchange& exchange, Queue& queue, const Waiter& waiter, PlacementRefusal& refusal);

    EdgeState& state;
    std::map<ServiceName, Queue> queues;
    std::uint64_t lastWaiter = 0;
};

} // namespace goldcrestwood
