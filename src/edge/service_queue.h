#pragma once

/// @file
/// Queues of requests that wait for an upstream, one per service.

#include <map>

#include "edge/edge_state.h"
#include "edge/exchange.h"
#include "goldcrestwood/admission.h"

namespace goldcrestwood {

/// Assigns upstreams with free capacity to waiting requests in the order of the service's admission queue.
class ServiceQueues {
public:
    explicit ServiceQueues(EdgeState& edgeState)
        : state(edgeState)
    {
    }

    /// Waits until an upstream is assigned, the request's wait expires or the caller disconnects.
    /// @return The upstream, on which the board already counts the request. Otherwise nothing; ClientExchange::retryAfter is
    /// set unless the request is over.
    Task<std::optional<PlacementChoice>> place(ClientExchange& exchange, PlacementRefusal& refusal);

    /// Assigns upstreams to the requests that wait for @p service; called when capacity may have become free.
    void dispatch(const ServiceName& service);
    void dispatchAll();

    /// @return Number of waiting requests.
    std::size_t waitingCount() const;
    /// @return Number of requests that wait for @p service.
    std::size_t waitingCount(const ServiceName& service) const;

private:
    struct Queue {
        AdmissionQueue admission;
        std::map<std::uint64_t, ClientExchange*> exchanges; ///< Waiting requests by waiter id.
    };

    /// @return Which software versions may take the request now, according to the service's roll-out.
    VersionDemand demandVersion(const ClientExchange& exchange, TimePoint now) const;
    /// Sets the required and the preferred weight version of a request that is about to be placed.
    void setWeightConstraints(ClientExchange& exchange, TimePoint now) const;
    std::optional<PlacementChoice> tryAssign(ClientExchange& exchange, PlacementRefusal& refusal);
    Waiter makeWaiter(const ClientExchange& exchange, TimePoint now);
    /// @return Whether a waiting request would most likely not be placed before its wait expires.
    bool isOvertaken(const ClientExchange& exchange, const Queue& queue, const Waiter& waiter, TimePoint now) const;
    Task<std::optional<PlacementChoice>> wait(ClientExchange& exchange, Queue& queue, const Waiter& waiter, PlacementRefusal& refusal);

    EdgeState& state;
    std::map<ServiceName, Queue> queues;
    std::uint64_t lastWaiter = 0;
};

} // namespace goldcrestwood
