#pragma once

/// @file
/// Callers' connections: reads the requests of each connection in sequence and passes them to the pipeline.

#include <array>
#include <memory>
#include <set>

#include "edge/caller_socket.h"
#include "edge/edge_state.h"
#include "edge/net.h"
#include "edge/pipeline.h"
#include "edge/request_receiver.h"

namespace goldcrestwood {

/// Serves the callers' connections.
class ClientSessions {
public:
    ClientSessions(EdgeState& edgeState, Pipeline& requestPipeline)
        : state(edgeState)
        , pipeline(requestPipeline)
    {
    }

    /// Serves @p socket until it closes.
    /// @param place Its place among the callers' connections.
    Task<> serve(tcp::socket socket, std::unique_ptr<ConnectionLimit::Entry> place);

    /// Closes the connections without a request in progress.
    void closeIdle();

    /// Gives the requests in progress their final answers.
    void endActive();

    /// @return Number of requests in progress.
    std::size_t active() const { return this->exchanges.size(); }

private:
    Task<bool> readRequest(beast::tcp_stream& stream, RequestReceiver& receiver, SocketDeadline& deadline, ConnectionLimit::Entry& place);
    /// Answers a request that cannot be read; its connection cannot serve another one.
    Task<> answerUnreadable(beast::tcp_stream& stream, ReceiveRefusal refusal);
    /// Refuses a request for lack of memory before it is complete, so that it has not run.
    Task<> answerExhausted(beast::tcp_stream& stream, std::size_t bodyBytes);
    ClientLimits limits() const;

    EdgeState& state;
    Pipeline& pipeline;
    std::array<char, 32768> readBuffer; ///< Of all connections in turn; what is not parsed at once is copied.
    std::set<beast::tcp_stream*> idle; ///< Connections that wait for a request.
    std::set<ClientExchange*> exchanges; ///< Requests in progress.
};

} // namespace goldcrestwood
