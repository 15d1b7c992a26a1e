#pragma once

/// @file
/// An entry daemon on the platform: its listeners, background tasks and shutdown.

#include <memory>

#include "edge/cache_watch.h"
#include "edge/client_session.h"
#include "edge/duty_runner.h"
#include "edge/edge_state.h"
#include "edge/fact_reader.h"
#include "edge/feed_exchange.h"
#include "edge/net.h"
#include "edge/peer_link.h"
#include "edge/pipeline.h"
#include "edge/rollout_runner.h"

namespace goldcrestwood {

class EdgeServer {
public:
    EdgeServer(asio::io_context& loop, EdgeSettings settings, std::uint64_t seed);

    /// Opens the listeners and starts all tasks. Throws boost::system::system_error if an address is in use.
    void start();

private:
    Task<> acceptClients();
    Task<> acceptControl(tcp::acceptor& acceptor, ConnectionLimit& limit);
    Task<> serveControl(tcp::socket socket, std::unique_ptr<ConnectionLimit::Entry> place);
    void showConnections(const char* listener, const ConnectionLimit& limit);
    http::response<http::string_body> answerControl(const http::request<http::string_body>& request, bool keepsAlive, const std::string& caller);
    std::string directoryAnswer(const std::string& target, const std::string& caller);
    std::string stateDump() const;
    Task<> watchSignals();
    Task<> stop();
    Task<> sweep();
    tcp::acceptor listen(const std::string& address);

    asio::io_context& loop;
    EdgeState state;
    UpstreamPool pool;
    ServiceQueues queues;
    CrashWatch crashes;
    Pipeline pipeline;
    ClientSessions sessions;
    TopicReader operatorReader;
    TopicReader registryReader;
    PeerLink peers;
    FeedExchange feeds;
    DutyRunner duty;
    RolloutRunner rollouts;
    CacheWatch cacheWatch;
    ConnectionLimit clientConnections;
    ConnectionLimit readyConnections;
    ConnectionLimit directoryConnections;
    ConnectionLimit metricsConnections;
    tcp::acceptor front;
    tcp::acceptor ready;
    tcp::acceptor directory;
    tcp::acceptor metrics;
    asio::signal_set signals;
};

} // namespace goldcrestwood
