#pragma once

/// @file
/// State of one caller's request in the pipeline.

#include <memory>
#include <optional>
#include <set>

#include "edge/net.h"
#include "edge/upstream_pool.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/upstream_board.h"
#include "platform/headers.h"

namespace goldcrestwood {

/// State of one request from its last byte read to the last byte of its answer.
struct ClientExchange {
    explicit ClientExchange(beast::tcp_stream& stream)
        : client(stream)
        , limit(stream.get_executor())
        , queued(stream.get_executor())
    {
    }

    /// Cancels all pending waits of the request.
    void interrupt()
    {
        if (this->active != nullptr)
            this->active->abort();
        this->queued.cancel();
    }

    /// @return Whether the caller disconnected or the deadline passed.
    bool isOver() const { return this->clientGone || this->timedOut; }

    beast::tcp_stream& client;
    http::request<http::string_body> request;
    platform::RequestInfo info;
    TimePoint received;
    TimePoint deadline; ///< The earlier of the caller's and the route's limit.
    std::shared_ptr<const RouteTable> table;
    const TrafficRoute* route = nullptr;
    const TrafficAccount* account = nullptr; ///< Null on public routes.
    std::uint32_t rank = 0;
    PlacementRequest placement;
    std::set<UpstreamId> tried;
    std::uint32_t runs = 0; ///< Upstreams that may have run the request.
    std::uint32_t sends = 0;
    bool hasReservedSend = false; ///< A further send is reserved in the service's budget.
    bool mayHaveRun = false;
    bool clientGone = false;
    bool timedOut = false;
    bool headSent = false; ///< The answer's head was sent to the caller.
    bool keepClient = true; ///< The caller's connection can serve another request.
    asio::steady_timer limit; ///< Fires at the deadline.
    asio::steady_timer queued; ///< Cancelled when an upstream is assigned.
    std::optional<PlacementChoice> turn; ///< Upstream that the queue has assigned.
    std::optional<Duration> comeBack; ///< Retry-After of a refused request, if known.
    UpstreamConnection* active = nullptr;
};

} // namespace goldcrestwood
