#pragma once

/// @file
/// Asks other daemons what they read of the store, and answers them: records, cache stores, daemons, orders.

#include <memory>
#include <optional>
#include <string>

#include "edge/edge_state.h"
#include "edge/fact_reader.h"
#include "edge/net.h"
#include "edge/peer_link.h"
#include "edge/service_queue.h"
#include "goldcrestwood/feed_lag.h"

namespace goldcrestwood {

/// One TCP connection for each daemon that is asked; numbers of what was heard last keep the answers small.
class FeedExchange {
public:
    FeedExchange(EdgeState& state, const asio::any_io_executor& executor, ServiceQueues& queues, PeerLink& peers, FactReader& operatorReader, FactReader& registryReader);

    /// Binds the peer address. Throws if it is taken.
    void start();

    Task<> acceptQueries();
    /// Reads from a peer whatever the store should have told by now.
    Task<> catchUp();
    /// Asks one of the feed's readers for its news again and again.
    Task<> askReaders();

private:
    Task<> answerQueries(tcp::socket socket);
    FeedAnswer answerTo(const FeedQuery& query) const;
    /// A connection to a peer, kept for further queries.
    struct QueryLink {
        std::string address;
        std::unique_ptr<beast::tcp_stream> stream;
    };

    /// @return Whether a daemon answered that reads the store for all.
    Task<bool> query(QueryLink& link, std::string address, bool wantsCache);
    Task<std::optional<std::string>> exchange(QueryLink& link, const std::string& request);
    /// @return Whether an answer stands for what the store says.
    bool isFeed(const FeedAnswer& answer) const;
    void believe(const FeedAnswer& answer);
    void believeReader(const FeedAnswer& answer, TimePoint now);
    /// A daemon that knows more of a topic than this one.
    struct Ahead {
        std::string address; ///< Empty if there is none.
        std::uint64_t end = 0; ///< The highest offset that any daemon tells.
    };
    Ahead pickAhead(std::uint64_t EdgeHeartbeat::*told, std::uint64_t known, TimePoint now);

    EdgeState& state;
    asio::any_io_executor executor;
    ServiceQueues& queues;
    PeerLink& peers;
    FactReader& operatorReader;
    FactReader& registryReader;
    tcp::acceptor acceptor;
    FeedLag operatorLag;
    FeedLag registryLag;
    std::uint64_t cacheSource = 0; ///< Incarnation of the reader whose numbers these are.
    std::uint64_t cacheFrom = 0;
    std::uint64_t daemonsSource = 0;
    std::uint64_t daemonsFrom = 0;
};

} // namespace goldcrestwood
