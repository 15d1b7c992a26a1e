#pragma once

/// @file
/// One request of a caller on its way through the pipeline.

#include <memory>
#include <optional>
#include <set>

#include "edge/net.h"
#include "edge/upstream_pool.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/upstream_board.h"
#include "platform/headers.h"

namespace goldcrestwood {

/// State of one request from its last byte read to its last byte answered.
struct ClientExchange {
    explicit ClientExchange(beast::tcp_stream& stream)
        : client(stream)
        , limit(stream.get_executor())
        , queued(stream.get_executor())
    {
    }

    /// Ends whatever the request waits for.
    void interrupt()
    {
        if (this->active != nullptr)
            this->active->abort();
        this->queued.cancel();
    }

    /// @return Whether nobody waits for an answer any more.
    bool isOver() const { return this->clientGone || this->timedOut; }

    beast::tcp_stream& client;
    http::request<http::string_body> request;
    platform::RequestInfo info;
    TimePoint received;
    TimePoint deadline; ///< The caller's limit and the route's, whichever is sooner.
    std::shared_ptr<const RouteTable> table;
    const TrafficRoute* route = nullptr;
    const TrafficAccount* account = nullptr; ///< Null on public routes.
    std::uint32_t rank = 0;
    PlacementRequest placement;
    std::set<UpstreamId> tried;
    std::uint32_t runs = 0; ///< Upstreams that may have run the request.
    std::uint32_t sends = 0;
    bool hasReservedSend = false; ///< A further send is set aside in the service's budget.
    bool mayHaveRun = false;
    bool clientGone = false;
    bool timedOut = false;
    bool headSent = false; ///< The head of an answer went to the caller.
    bool keepClient = true; ///< The caller's connection can serve another request.
    asio::steady_timer limit; ///< Fires at the deadline.
    asio::steady_timer queued; ///< Cancelled when the request's turn comes.
    std::optional<PlacementChoice> turn; ///< The upstream that the queue assigned.
    std::optional<Duration> comeBack; ///< If the request is refused: when to try again, as far as known.
    UpstreamConnection* active = nullptr;
};

} // namespace goldcrestwood
