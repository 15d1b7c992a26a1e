#pragma once

/// @file
/// Heartbeats between daemons, and records read from a peer while the store does not answer.

#include <set>
#include <string>

#include "edge/edge_state.h"
#include "edge/fact_reader.h"
#include "edge/net.h"
#include "edge/service_queue.h"
#include "goldcrestwood/daemon_view.h"

namespace goldcrestwood {

/// Talks to the other daemons: datagrams for heartbeats, one TCP connection for each query.
class PeerLink {
public:
    PeerLink(EdgeState& state, const asio::any_io_executor& executor, ServiceQueues& queues, FactReader& operatorReader, FactReader& registryReader);

    /// Binds the peer address. Throws if it is taken.
    void start();

    Task<> sendHeartbeats();
    Task<> receiveHeartbeats();
    Task<> acceptQueries();
    /// Reads from a peer whatever the store should have told by now.
    Task<> catchUp();
    /// Tells all peers at once, as before a stop.
    void announce();

    const DaemonView& view() const { return this->daemons; }
    void addPeerAddress(const std::string& address);

private:
    Duration interval() const;
    EdgeHeartbeat heartbeat();
    void onHeartbeat(const EdgeHeartbeat& message);
    Task<> answerQuery(tcp::socket socket);
    Task<bool> query(const std::string& address);
    std::string pickAhead(TimePoint now) const;

    EdgeState& state;
    asio::any_io_executor executor;
    ServiceQueues& queues;
    FactReader& operatorReader;
    FactReader& registryReader;
    udp::socket datagrams;
    tcp::acceptor acceptor;
    DaemonView daemons;
    std::set<std::string> addresses; ///< Peer addresses that were ever heard of.
    std::uint64_t sequence = 0;
    TimePoint behindSince;
    bool isBehind = false;
};

} // namespace goldcrestwood
