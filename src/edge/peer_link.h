#pragma once

/// @file
/// Datagrams between daemons: heartbeats, load reports and load digests.

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

/// Tracks the other daemons. At a small site every daemon sends to all others; at a larger one it sends to the feed readers
/// and learns of the other daemons through them (FeedExchange).
class PeerLink {
public:
    PeerLink(EdgeState& state, const asio::any_io_executor& executor, ServiceQueues& queues);

    /// Binds the peer address. Throws if it is in use.
    void start();

    Task<> sendDatagrams();
    Task<> receiveDatagrams();
    /// Sends one datagram to @p instance, if its address is known and it is not this daemon.
    void sendTo(const InstanceId& instance, const PeerDatagram& datagram);
    /// Sends heartbeats at once, for example before a stop.
    void announce();

    /// Applies a peer's report on other daemons.
    /// @param isFromReader Whether the peer hears all daemons.
    void onNews(const DaemonNews& news, bool isFromReader);

    const DaemonView& view() const { return this->daemons; }
    /// @return Number of daemons of the site, including this one.
    std::size_t siteSize() const { return this->daemons.known() + 1; }
    /// @return Changes to the daemons that this one hears, including itself.
    DaemonNews newsFor(std::uint64_t source, std::uint64_t from) const;
    /// @return Address of the daemon to query for the store's records: a feed reader, the next one after each failure, or a seed.
    /// @param failures Consecutive failed queries.
    std::string readerAddress(std::size_t failures);
    /// @return Front addresses that the directory returns to a caller.
    std::vector<std::string> frontsFor(const std::string& caller, const FailureDomain& domain);

private:
    bool isMesh() const;
    Duration heartbeatInterval() const;
    EdgeHeartbeat describeSelf() const;
    EdgeHeartbeat makeHeartbeat(bool wantsReply);
    std::vector<std::string> heartbeatTargets();
    std::map<std::string, PeerDatagram> makeDatagrams(bool withHeartbeat);
    void addReports(std::map<std::string, PeerDatagram>& datagrams);
    /// Sends own crash reports in datagrams of their own, as they may be long.
    void sendCrashNotice();
    /// @param isNew Whether a limit has just changed.
    void sendLimitNotice(bool isNew);
    void send(const PeerDatagram& datagram, const udp::endpoint& target);
    void sendHeartbeat(const udp::endpoint& target);
    void onDatagram(const PeerDatagram& datagram, const udp::endpoint& sender);
    void onHeartbeat(const EdgeHeartbeat& message, const udp::endpoint& sender);
    void onReport(const LoadReport& report, const udp::endpoint& sender);
    void onDigest(const LoadDigest& digest);
    void learnAddress(const std::string& address, TimePoint now);
    void refreshView(TimePoint now);
    void chooseReaders(TimePoint now);
    void updateStoreOutage(TimePoint now);
    void updateRequestRate(TimePoint now);
    /// @return The peer address of a daemon; empty if the daemon is unknown.
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
    bool hadLoad = false; ///< Whether the last report contained work.
    double requestRate = 0; ///< Moving average, per second.
    TimePoint rateMeasured;
    std::uint64_t requestsMeasured = 0;
};

} // namespace goldcrestwood
