#pragma once

/// @file
/// Holds this daemon's permits at upstreams and issues the permits of the upstreams that it owns.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

#include "daemon/peer_directory.h"
#include "daemon/peer_mesh.h"
#include "goldcrestwood/catalog.h"
#include "goldcrestwood/daemon_messages.h"
#include "goldcrestwood/permits.h"

namespace goldcrestwood {

/// Capacity of a service available to this daemon.
struct ServiceCapacity {
    ServiceName service;
    /// Requests in flight plus free permits.
    std::uint32_t requests = 0;
};

/// Status of one upstream in the state dump.
struct PermitStatus {
    UpstreamId upstream;
    std::uint32_t inFlight = 0;
    std::uint32_t free = 0;
    bool isFloorOnly = false;
    bool owned = false;
    std::uint32_t ownedLimit = 0;
    std::uint32_t ownedCharge = 0;
};

class PermitService {
public:
    /// @param mesh, directory Must outlive the service.
    PermitService(PeerMesh& mesh, PeerDirectory& directory);
    ~PermitService();

    void start();
    void stop();

    /// Applies the upstreams and concurrency limits of a configuration.
    void configure(std::shared_ptr<const CatalogView> view);
    void onOwnership(const std::vector<OwnershipChange>& changes);

    /// Waits for a permit at an upstream for at most @p timeout.
    /// @return The permit, or nothing on timeout or if the upstream is unknown.
    std::optional<Permit> acquire(const UpstreamId& upstream, Duration timeout);
    void release(const UpstreamId& upstream, const Permit& permit, PermitEnd end);
    void onFirstToken(const UpstreamId& upstream, double slowdown);
    /// @return Number of requests that could start at the upstream now.
    std::uint32_t free(const UpstreamId& upstream);

    /// Until this returns true, the daemon requests a permit at each model engine that it prepares.
    /// @return Whether the daemon has held a permit of every model service since its start.
    bool isWarm();
    /// Sets the number of requests waiting for a service.
    void setWaiting(const ServiceName& service, std::uint32_t requests);
    std::vector<ServiceCapacity> capacities();
    /// Applies the load that the owner read from an upstream.
    /// @param present Requests running or waiting at the upstream.
    void onLoad(const UpstreamId& upstream, std::uint64_t epoch, std::uint32_t present);
    /// @return Daemons that have requested permits of an owned upstream.
    std::vector<InstanceId> requestersOf(const UpstreamId& upstream);
    /// Hands all owned upstreams over to their next owners and stops granting permits.
    void handOver();
    std::vector<PermitStatus> status();

private:
    struct Entry {
        UpstreamId id;
        ServiceName service;
        ConcurrencySettings limits;
        std::uint64_t key = 0;
        bool reportsLoad = false;
        std::optional<PermitHolder> holder;
        std::optional<PermitIssuer> issuer;
        InstanceId owner;
        std::uint32_t queued = 0;
        std::vector<InstanceId> requesters;
        TimePoint nextContention;
    };

    struct Outbox {
        std::vector<std::pair<InstanceId, PermitRequest>> requests;
        std::vector<PermitMessage> messages;
        std::vector<std::pair<InstanceId, PermitContention>> contentionNotices;
    };

    void run();
    void tick();
    void refreshFloors();
    void pollEntry(Entry& entry, TimePoint now, Outbox& outbox);
    void onRequest(const PermitRequest& request);
    void reportContention(Entry& entry, const PermitRequest& request, Outbox& outbox);
    void deliver(const Outbox& outbox);
    Entry* find(const UpstreamId& upstream);
    static std::uint32_t free(const Entry* entry);
    PermitHolder& findOrCreateHolder(Entry& entry, TimePoint now);

    PeerMesh& mesh;
    PeerDirectory& directory;
    PermitSettings settings;
    std::mutex mutex;
    std::condition_variable granted;
    std::condition_variable wake;
    std::map<UpstreamId, Entry> entries;
    std::map<ServiceName, std::uint32_t> waiting;
    std::vector<InstanceId> floorMembers;
    /// Services of which this daemon has held a permit.
    std::set<ServiceName> warmServices;
    bool warm = false;
    /// Wakes the tick early because a holder must return permits now.
    bool tickRequested = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace goldcrestwood
