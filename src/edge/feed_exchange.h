#pragma once

/// @file
/// Exchanges what daemons have read from the store: records, cache contents, daemons and weight orders.

#include <memory>
#include <string>

#include "edge/edge_state.h"
#include "edge/fact_reader.h"
#include "edge/http_call.h"
#include "edge/net.h"
#include "edge/peer_link.h"
#include "edge/service_queue.h"
#include "goldcrestwood/feed_lag.h"

namespace goldcrestwood {

/// Uses one TCP connection per queried daemon. Queries carry the last known positions, so that answers contain only changes.
class FeedExchange {
public:
    FeedExchange(EdgeState& state, const asio::any_io_executor& executor, ServiceQueues& queues, PeerLink& peers, TopicReader& operatorReader, TopicReader& registryReader);

    /// Binds the peer address. Throws if it is in use.
    void start();

    Task<> acceptQueries();
    /// Queries a peer for records that the store should have delivered by now.
    Task<> catchUp();
    /// Polls one of the feed readers for changes.
    Task<> queryReaders();
    /// Learns from peers which upstreams had left before this daemon started, and forgets old removals.
    Task<> keepRemovals();

    /// @return The connections of the peers that query this daemon.
    const ConnectionLimit& connections() const { return this->peerConnections; }

private:
    Task<> answerQueries(tcp::socket socket, std::unique_ptr<ConnectionLimit::Entry> place);
    FeedAnswer answerTo(const FeedQuery& query) const;
    /// A reusable connection to a peer.
    struct QueryLink {
        std::string address;
        std::unique_ptr<beast::tcp_stream> stream;
    };

    /// @return The peer's answer, which has not been applied; nothing if there is none.
    Task<std::optional<FeedAnswer>> ask(QueryLink& link, std::string address, FeedQuery query);
    /// Queries a peer for what is new, and applies its answer.
    /// @return Whether the answer came from an authoritative feed reader.
    Task<bool> query(QueryLink& link, std::string address, bool wantsCache);
    Task<tl::expected<std::string, CallFailure>> exchange(QueryLink& link, const std::string& request);
    /// @return Whether an answer can replace reading the store.
    bool isAuthoritative(const FeedAnswer& answer) const;
    /// @param asked When the answer was requested.
    void applyAnswer(const FeedAnswer& answer, TimePoint asked);
    void applyReaderState(const FeedAnswer& answer, TimePoint now);
    /// Asks the peer that is likely to remember most.
    Task<> askForRemovals(QueryLink& link);
    /// A daemon that has read further in a topic than this one.
    struct AheadPeer {
        std::string address; ///< Empty if there is none.
        std::uint64_t end = 0; ///< Highest offset that any daemon reports.
    };
    AheadPeer pickAheadPeer(std::uint64_t EdgeHeartbeat::*reportedEnd, std::uint64_t knownEnd, TimePoint now);

    EdgeState& state;
    asio::any_io_executor executor;
    ServiceQueues& queues;
    PeerLink& peers;
    TopicReader& operatorReader;
    TopicReader& registryReader;
    ConnectionLimit peerConnections;
    tcp::acceptor acceptor;
    /// Whether a peer has answered. The first query asks for all of the operator's records: the store may have lost some of them.
    bool hasPeerRecords = false;
    FeedLag operatorLag;
    FeedLag registryLag;
    std::uint64_t cacheSource = 0; ///< Incarnation of the reader to which cacheFrom refers.
    std::uint64_t cacheFrom = 0;
    std::uint64_t daemonsSource = 0;
    std::uint64_t daemonsFrom = 0;
};

} // namespace goldcrestwood
