#pragma once

/// @file
/// Datagrams between daemons: heartbeats, and the load of upstreams to those who keep it.

#include <memory>
#include <optional>
#include <string>

#include "edge/edge_state.h"
#include "edge/net.h"
#include "edge/service_queue.h"
#include "goldcrestwood/daemon_view.h"
#include "goldcrestwood/heartbeat_pace.h"
#include "goldcrestwood/peer_addresses.h"
#include "goldcrestwood/reader_choice.h"

namespace goldcrestwood {

/// Knows the other daemons. At a small site all tell all; at a larger one each tells the feed's readers, and hears of the
/// others through them (FeedExchange).
class PeerLink {
public:
    PeerLink(EdgeState& state, const asio::any_io_executor& executor, ServiceQueues& queues);

    /// Binds the peer address. Throws if it is taken.
    void start();

    Task<> sendDatagrams();
    Task<> receiveDatagrams();
    /// Tells at once, as before a stop.
    void announce();

    /// Takes over what a peer told of other daemons.
    /// @param isFromReader Whether it hears all of them.
    void onNews(const DaemonNews& news, bool isFromReader);

    const DaemonView& view() const { return this->daemons; }
    /// @return Daemons of the site, this one included.
    std::size_t siteSize() const { return this->daemons.known() + 1; }
    /// @return Which daemons this one hears, itself included.
    DaemonNews newsFor(std::uint64_t source, std::uint64_t from) const;
    /// @return Whom to ask for what the store says: a reader, another one after each failure, or a seed.
    /// @param failures Questions in a row that failed.
    std::string readerAddress(std::size_t failures);
    /// @return Front addresses for a caller, as the directory names them.
    std::vector<std::string> frontsFor(const std::string& caller, const FailureDomain& domain);

private:
    bool isMesh() const;
    Duration heartbeatInterval() const;
    EdgeHeartbeat describe() const;
    EdgeHeartbeat heartbeat(bool wantsReply);
    std::vector<std::string> heartbeatTargets();
    std::map<std::string, PeerDatagram> collect(bool withHeartbeat);
    void addReports(std::map<std::string, PeerDatagram>& datagrams);
    void send(const PeerDatagram& datagram, const udp::endpoint& target);
    void onDatagram(const PeerDatagram& datagram, const udp::endpoint& sender);
    void onHeartbeat(const EdgeHeartbeat& message, const udp::endpoint& sender);
    void onReport(const LoadReport& report, const udp::endpoint& sender);
    void onDigest(const LoadDigest& digest);
    void hearOf(const std::string& address, TimePoint now);
    void refreshView(TimePoint now);
    void chooseReaders(TimePoint now);
    void judgeStore(TimePoint now);
    void measureRate(TimePoint now);
    /// @return The peer address of a daemon that is known; empty if it is not.
    std::string addressOf(const InstanceId& instance) const;

    EdgeState& state;
    asio::any_io_executor executor;
    ServiceQueues& queues;
    udp::socket datagrams;
    DaemonView daemons;
    ReaderChoice readerChoice;
    PeerAddresses addresses;
    TimePoint started;
    std::uint64_t sequence = 0;
    bool hadWork = false; ///< Whether the last report told of work.
    double requestRate = 0; ///< Moving average, a second.
    TimePoint rateMeasured;
    std::uint64_t requestsMeasured = 0;
};

} // namespace goldcrestwood
