#pragma once

/// @file
/// The way of a request: authenticate, route, place, send, relay, finish.

#include "edge/edge_state.h"
#include "edge/exchange.h"
#include "edge/service_queue.h"

namespace goldcrestwood {

/// Serves requests of callers from the upstreams that the board knows.
class Pipeline {
public:
    Pipeline(EdgeState& state, UpstreamPool& pool, ServiceQueues& queues);

    /// Answers the request of @p exchange. On return the caller's connection is usable if keepClient is set.
    Task<> serve(Exchange& exchange);

private:
    struct Attempt;

    Task<> reject(Exchange& exchange, unsigned status, const char* reason, std::optional<Duration> retryAfter = std::nullopt);
    bool admit(Exchange& exchange, unsigned& status, const char*& reason);
    Task<> run(Exchange& exchange);
    Task<> attempt(Exchange& exchange, Attempt& attempt);
    Task<ConnectionPtr> openConnection(Exchange& exchange, const std::string& address);
    Task<bool> readHead(Exchange& exchange, Attempt& attempt);
    Task<> relayWhole(Exchange& exchange, Attempt& attempt);
    Task<> relayStream(Exchange& exchange, Attempt& attempt);
    Task<bool> writeStreamPiece(Exchange& exchange, Attempt& attempt, const char* data, std::size_t size, bool more);
    Task<> forwardHeldAnswer(Exchange& exchange, Attempt& attempt);
    bool maySendAgain(Exchange& exchange, const Attempt& attempt);
    Task<> giveUp(Exchange& exchange, const Attempt& attempt);
    http::request<http::string_body> upstreamRequest(const Exchange& exchange, const PlacementChoice& choice, const std::string& lastEvent) const;

    EdgeState& state;
    UpstreamPool& pool;
    ServiceQueues& queues;
};

} // namespace goldcrestwood
