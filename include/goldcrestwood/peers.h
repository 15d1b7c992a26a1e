#pragma once

/// @file
/// Combines membership and gossip into the one object that a daemon drives for its peers.

#include <optional>
#include <vector>

#include "goldcrestwood/gossip.h"
#include "goldcrestwood/membership.h"

namespace goldcrestwood {

struct PeersSettings {
    MembershipSettings membership;
    GossipSettings gossip;
    /// Once in this many rounds, one dead or never heard peer is probed as well.
    std::uint32_t retryEveryRounds = 3;
};

/// Messages to send and changes to handle after a poll or a received message.
struct PeersOutput {
    /// Messages to send.
    std::vector<OutgoingGossip> messages;
    /// Reply to the sender of the received message, on the same connection; an answer may itself be replied to.
    std::optional<GossipMessage> reply;
    /// Members that changed.
    std::vector<Member> members;
    /// Members that were forgotten.
    std::vector<InstanceId> forgotten;
    /// Changed cells of peers, including those of membership.
    std::vector<ChangedCell> cells;
    std::vector<GossipLatch> latches;
    std::vector<GossipNote> notes;
};

/// Feeds gossip messages to the failure detector and publishes its results.
class Peers {
public:
    Peers(PeersSettings settings, InstanceId self, std::uint64_t incarnation, const MemberInfo& info, TimePoint now);

    /// Applies the platform's instance list, combined with the seeds from the settings.
    void onInstances(const std::vector<ListedInstance>& instances, TimePoint now);
    /// Changes the phase that this daemon publishes; it is sent to peers at the next poll.
    void setPhase(MemberPhase phase);
    /// Runs the timers; call every 100 to 250 ms, and immediately after setting a latch or a phase.
    PeersOutput poll(TimePoint now, Random& random);
    /// Handles a message from a peer.
    PeersOutput onMessage(const GossipMessage& message, TimePoint now);

    const Membership& membership() const { return this->members; }
    const Gossip& gossip() const { return this->cells; }
    /// For set(), remove(), retire() and post().
    Gossip& gossip() { return this->cells; }

private:
    PeersSettings settings;
    Membership members;
    Gossip cells;
    std::vector<GossipPeer> seeds;
    std::vector<InstanceId> silent;
    bool peersChanged = true;
    TimePoint nextRetry;

    void applyCell(const ChangedCell& changed, TimePoint now);
    void applyMembership(PeersOutput& out, TimePoint now);
    void refreshPeers();
    void probeSilentPeer(TimePoint now, Random& random);
};

} // namespace goldcrestwood
