#pragma once

/// @file
/// Membership, gossip and ownership of one daemon, run by one thread.

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "daemon/metrics.h"
#include "daemon/peer_transport.h"
#include "goldcrestwood/gossip.h"
#include "goldcrestwood/isolation.h"
#include "goldcrestwood/membership.h"
#include "goldcrestwood/ownership.h"
#include "goldcrestwood/resolver.h"
#include "goldcrestwood/settings.h"
#include "goldcrestwood/view_quorum.h"

namespace goldcrestwood {

/// Mesh state shown in the state dump.
struct MeshStatus {
    Member self;
    std::vector<Member> peers;
    GossipCounters gossip;
    bool isolated = false;
    std::size_t memoryBytes = 0;
};

/// Callbacks for changes; called without the mesh's lock held.
struct MeshListener {
    std::function<void(const ChangedCell&)> onCell;
    std::function<void(const GossipLatch&)> onLatch;
    std::function<void(const std::vector<OwnershipChange>&)> onOwnership;
};

class PeerMesh {
public:
    /// @param metrics Must outlive the mesh.
    PeerMesh(const Settings& settings, std::uint64_t incarnation, Metrics& metrics);
    ~PeerMesh();

    /// @param transport Must outlive the mesh's thread.
    void start(PeerTransport& transport, MeshListener listener);
    void stop();

    /// Handles a frame of kind GossipMessage or ViewReport.
    void onMessage(const PeerMessage& message, const PeerReply& reply);
    /// Records that the log was read up to its end at @p when.
    void onLogRead(TimePoint when);

    void setPhase(MemberPhase phase);
    void setCell(Topic topic, const std::string& key, const std::string& payload);
    void removeCell(Topic topic, const std::string& key);
    void retireLatch(Topic topic, const std::string& key);
    std::vector<ChangedCell> cells(Topic topic);
    std::vector<GossipLatch> latches(Topic topic);

    std::vector<OwnershipChange> setResources(const std::vector<OwnedResource>& resources);
    Owners ownersOf(std::uint64_t key);
    Owners rank(const OwnedResource& resource);
    /// @return The peer address of a daemon, or nothing if it is unknown.
    std::optional<std::string> addressOf(const InstanceId& id);

    bool isIsolated();
    /// @return The live daemons of this region, including this one.
    std::vector<InstanceId> regionMembers();
    /// @return The time until which a majority of the region supports this daemon's view.
    TimePoint supportedUntil();
    /// @return Whether all listed daemons of the region support this daemon's view.
    bool isUnanimous();
    /// @param isDomainOut Returns whether a failure domain is drained (takes no new work).
    ResolverAnswer resolve(const ResolverSettings& settings, const std::function<bool(const FailureDomain&)>& isDomainOut,
        const std::optional<FailureDomain>& hint);
    MeshStatus status();

    const InstanceId& self() const { return this->selfId; }
    std::uint64_t incarnation() const { return this->incarnationNumber; }

private:
    /// Changes to report to the listener after the lock is released.
    struct Notifications {
        std::vector<ChangedCell> cells;
        std::vector<GossipLatch> latches;
        std::vector<OwnershipChange> ownership;
    };

    void run();
    void step();
    void refreshInstances();
    void applyActions(const std::vector<MembershipAction>& actions, TimePoint now, Notifications& notifications);
    void applyMember(const Member& member, TimePoint now, Notifications& notifications);
    void applyCells(const std::vector<ChangedCell>& cells, TimePoint now);
    void updatePeers();
    void send(const OutgoingGossip& outgoing);
    void sendViewReports(TimePoint now);
    std::optional<GossipMessage> handleGossip(const GossipMessage& message);
    void notifyListener(const Notifications& notifications);

    Settings settings;
    InstanceId selfId;
    std::uint64_t incarnationNumber;
    Metrics& metrics;
    PeerTransport* transport = nullptr;
    MeshListener listener;

    std::mutex mutex;
    std::condition_variable wake;
    Membership membership;
    Gossip gossip;
    Isolation isolation;
    Ownership ownership;
    ViewQuorum quorum;
    Random random;
    std::size_t listedInRegion = 0;
    TimePoint nextInstances;
    TimePoint nextViewReport;
    bool urgent = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace goldcrestwood
