#pragma once

/// @file
/// One daemon: creates its components and runs them.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include <tl/expected.hpp>

#include "daemon/claim_service.h"
#include "daemon/completion_handler.h"
#include "daemon/operator_api.h"
#include "daemon/plain_handler.h"
#include "daemon/serving.h"
#include "daemon/upstream_monitor.h"
#include "goldcrestwood/lease.h"
#include "goldcrestwood/shutdown.h"

namespace goldcrestwood {

class Node {
public:
    explicit Node(const Settings& settings);
    ~Node();

    /// @return Why the daemon cannot start, or nothing.
    std::optional<std::string> start();

    /// Handles SIGTERM or SIGINT.
    /// @return The exit code if the process must exit now.
    std::optional<int> onSignal();
    /// Advances a graceful shutdown; must be called a few times a second.
    /// @return The exit code if the process must exit now.
    std::optional<int> poll();
    /// Stops and joins all threads.
    void stop();

private:
    void serveCaller(HttpExchange& exchange);
    void serveOperator(HttpExchange& exchange);
    void route(HttpExchange& exchange);
    void respondEndpoints(HttpExchange& exchange);
    std::optional<Problem> refuseNewWork();

    void runControl();
    void controlStep();
    void configure(const std::shared_ptr<const CatalogView>& view);
    void onLatch(const GossipLatch& latch);
    void onCell(const ChangedCell& cell);
    void settleProvisionalOrders();
    void updatePhase();
    void updateLease();
    void askPeersForState();
    void publishLoad();
    std::optional<int> runActions(const std::vector<ShutdownAction>& actions);
    void registerPeerHandlers();

    Settings settings;
    std::uint64_t incarnation;
    Metrics metrics;
    TicketSigner tickets;
    std::atomic<std::shared_ptr<const CatalogView>> view;
    std::atomic<bool> cutStreams = false;

    PeerMesh mesh;
    PeerDirectory directory;
    ControlJournal control;
    PermitService permits;
    PrefixService prefixes;
    TransferService transfers;
    RouteService routes;
    AdmissionGate admission;
    ClaimService claims;
    RunReaper reaper;
    UpstreamMonitor monitor;
    Serving serving;
    CompletionHandler completions;
    PlainHandler plainCalls;
    OperatorApi operators;

    std::optional<PeerTransport> transport;
    std::optional<HttpServer> callerServer;
    std::optional<HttpServer> operatorServer;

    std::mutex shutdownMutex;
    Shutdown shutdown;
    bool handingOver = false;
    std::atomic<std::size_t> openRequests = 0;
    std::atomic<std::int64_t> lastRequestStart = 0;
    std::atomic<bool> accepting = true;
    std::atomic<bool> ready = false;
    std::atomic<bool> isolated = false;
    std::atomic<bool> leaving = false;

    std::mutex controlMutex;
    std::condition_variable controlWake;
    bool viewChanged = false;
    bool stopping = false;
    std::shared_ptr<const CatalogView> configured;
    LeaseHolder lease;
    Random random;
    /// When this daemon first had a configuration.
    std::optional<TimePoint> warmingSince;
    std::map<std::string, TimePoint> orderSubmitAt;
    TimePoint nextStateRequest;
    TimePoint nextLoad;
    std::thread controlThread;
};

} // namespace goldcrestwood
