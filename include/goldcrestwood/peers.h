#pragma once

/// @file
/// Membership and gossip wired together: the one object that a daemon drives for its peers.

#include <optional>
#include <vector>

#include "goldcrestwood/gossip.h"
#include "goldcrestwood/membership.h"

namespace goldcrestwood {

struct PeersSettings {
    MembershipSettings membership;
    GossipSettings gossip;
    /// Every so many rounds one dead or unheard peer is tried as well.
    std::uint32_t retryEveryRounds = 3;
};

/// What there is to do after a poll or a message.
struct PeersOutput {
    /// Messages to send.
    std::vector<OutgoingGossip> messages;
    /// To be sent to the sender of the message taken, on the same connection; an answer may have a reply as well.
    std::optional<GossipMessage> reply;
    /// Members that changed.
    std::vector<Member> members;
    /// Dead members that are no longer remembered.
    std::vector<InstanceId> forgotten;
    /// Cells of peers that changed, those of membership included.
    std::vector<ChangedCell> cells;
    std::vector<GossipLatch> latches;
    std::vector<GossipNote> notes;
};

/// Feeds gossip's messages to the failure detector and publishes its findings.
class Peers {
public:
    Peers(PeersSettings settings, InstanceId self, std::uint64_t incarnation, const MemberInfo& info, TimePoint now);

    /// Takes the platform's instance list together with the seeds of the settings.
    void onInstances(const std::vector<ListedInstance>& instances, TimePoint now);
    /// Changes what this daemon says of itself; peers hear of it at the next poll.
    void setPhase(MemberPhase phase);
    /// Moves time on; call every 100 to 250 ms, and at once after a latch or a phase was set.
    PeersOutput poll(TimePoint now, Random& random);
    /// Takes a message of a peer.
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

    void takeCell(const ChangedCell& changed, TimePoint now);
    void applyMembership(PeersOutput& out, TimePoint now);
    void refreshPeers();
    void retryDead(TimePoint now, Random& random);
};

} // namespace goldcrestwood
