#pragma once

/// @file
/// Heartbeats between daemons, and records read from a peer while the store does not answer.

#include <memory>
#include <optional>
#include <string>

#include "edge/edge_state.h"
#include "edge/fact_reader.h"
#include "edge/net.h"
#include "edge/service_queue.h"
#include "goldcrestwood/daemon_view.h"
#include "goldcrestwood/feed_lag.h"
#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/peer_addresses.h"

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
    /// Asks one of the feed's readers for its news again and again, unless this daemon is one of them.
    Task<> askReaders();
    /// Tells all peers at once, as before a stop.
    void announce();

    const DaemonView& view() const { return this->daemons; }
    /// @return Front addresses for a caller, as the directory names them.
    std::vector<std::string> frontsFor(const std::string& caller, const FailureDomain& domain);

private:
    Duration interval() const;
    EdgeHeartbeat heartbeat();
    void onHeartbeat(const EdgeHeartbeat& message);
    Task<> answerQueries(tcp::socket socket);
    FeedAnswer answerTo(const FeedQuery& query) const;
    /// A connection to a peer, kept for further queries.
    struct QueryLink {
        std::string address;
        std::unique_ptr<beast::tcp_stream> stream;
    };

    Task<bool> query(QueryLink& link, std::string address, bool wantsCache);
    Task<std::optional<std::string>> exchange(QueryLink& link, const std::string& request);
    void believe(const FeedAnswer& answer);
    /// A daemon that knows more of a topic than this one.
    struct Ahead {
        std::string address; ///< Empty if there is none.
        std::uint64_t end = 0; ///< The highest offset that any daemon tells.
    };
    Ahead pickAhead(std::uint64_t EdgeHeartbeat::*told, std::uint64_t known, TimePoint now);
    void hearOf(const std::string& address, TimePoint now);
    EdgeHeartbeat describe() const;
    void chooseReaders(TimePoint now);
    void judgeStore(TimePoint now);
    std::string readerAddress(std::size_t failures) const;

    EdgeState& state;
    asio::any_io_executor executor;
    ServiceQueues& queues;
    FactReader& operatorReader;
    FactReader& registryReader;
    udp::socket datagrams;
    tcp::acceptor acceptor;
    DaemonView daemons;
    PeerAddresses addresses;
    std::uint64_t sequence = 0;
    FeedLag operatorLag;
    FeedLag registryLag;
    std::uint64_t cacheSource = 0; ///< Incarnation of the reader whose numbers these are.
    std::uint64_t cacheFrom = 0;
};

} // namespace goldcrestwood
