#pragma once

/// @file
/// State of one caller's request in the pipeline.

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemon/framing.h"
#include "edge/net.h"
#include "edge/upstream_pool.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/upstream_board.h"
#include "platform/headers.h"

namespace goldcrestwood {

/// State of one request from its last byte received to the last byte of its answer.
struct ClientExchange {
    explicit ClientExchange(beast::tcp_stream& stream)
        : client(stream)
        , deadlineTimer(stream.get_executor())
        , queueTimer(stream.get_executor())
    {
    }

    /// Cancels all pending waits of the request.
    void interrupt()
    {
        if (this->activeConnection != nullptr)
            this->activeConnection->abort();
        this->queueTimer.cancel();
    }

    /// @return Whether the caller disconnected or the deadline passed.
    bool isOver() const { return this->hasClientLeft() || this->timedOut; }

    /// @return Whether the answer has no body, whatever its head says of one.
    bool asksForHead() const { return this->request.method() == http::verb::head; }

    /// @return Whether an answer with @p status has a body, which may be empty.
    bool expectsContent(unsigned status) const { return !this->asksForHead() && hasContent(status); }

    /// An answer that comes too late on a used connection cannot be told from the own one if the request has no id, and its end cannot
    /// be found if only one of the two has a body.
    bool needsOwnConnection() const { return this->info.id.empty() || this->asksForHead(); }

    bool hasClientLeft() const { return this->clientLeftAt.has_value(); }

    beast::tcp_stream& client;
    http::request<http::string_body> request;
    platform::RequestInfo info;
    TimePoint received; ///< When the request's last bytes arrived; the caller's time counts from then, however late they were read.
    Duration unread {}; ///< How long the request's last bytes waited to be read.
    TimePoint deadline; ///< The earlier of the caller's and the route's limit.
    std::shared_ptr<const RouteTable> table;
    const TrafficRoute* route = nullptr;
    const TrafficAccount* account = nullptr; ///< Null on public routes.
    std::uint32_t rank = 0;
    PlacementRequest placement;
    std::set<UpstreamId> tried;
    std::set<std::string> sentTo; ///< Addresses to which it was sent; each further send there uses a new connection.
    std::uint32_t runs = 0; ///< Upstreams that may have run the request.
    std::uint32_t sends = 0;
    bool hasReservedSend = false; ///< A further send is reserved in the service's budget.
    bool mayHaveRun = false;
    std::optional<TimePoint> clientLeftAt; ///< When this daemon saw that the caller had disconnected.
    bool timedOut = false;
    bool headSent = false; ///< The answer's head was sent to the caller.
    bool clientKeepAlive = true; ///< The caller's connection can serve another request.
    asio::steady_timer deadlineTimer; ///< Fires at the deadline.
    asio::steady_timer queueTimer; ///< Cancelled when an upstream is assigned.
    std::optional<PlacementChoice> assigned; ///< Upstream that the queue has assigned.
    std::optional<Duration> retryAfter; ///< Retry-After of a refused request, if known.
    UpstreamConnection* activeConnection = nullptr;
};

} // namespace goldcrestwood
