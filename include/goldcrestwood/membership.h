#pragma once

/// @file
/// Tracks which daemons are alive, from direct contact, refutable suspicions and the platform's instance list.

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "goldcrestwood/membership_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct MembershipSettings {
    /// A probe without an answer for this long counts as missed.
    Duration probeTimeout = std::chrono::milliseconds(700);
    /// Consecutive missed probes after which a peer is suspected.
    std::uint32_t missesToSuspect = 3;
    /// A peer whose suspicion is not refuted for this long is declared dead.
    Duration suspicionTimeout = std::chrono::seconds(5);
    /// A longer gap between two polls counts as a pause of this process.
    Duration pauseLimit = std::chrono::seconds(2);
    /// While most probes are missed the fault is probably local; declaring peers dead is delayed by at most this long.
    Duration massLossHold = std::chrono::seconds(15);
    /// Interval between timer checks.
    Duration timerInterval = std::chrono::milliseconds(100);
    /// contact() counts probes within this time.
    Duration contactWindow = std::chrono::seconds(4);
    /// A dead member is remembered for this long, so that stale messages do not revive it.
    Duration forgetAfter = std::chrono::minutes(10);
};

/// An entry of the platform's instance list, which may be stale, or a seed from the settings, which has an empty id.
struct ListedInstance {
    InstanceId id;
    std::string address; ///< Peer address.
    FailureDomain domain;
    Region region;
    bool leaving = false;

    bool operator==(const ListedInstance&) const = default;
};

enum class MemberState : std::uint8_t {
    Listed, ///< Only on the instance list; no daemon has reported it.
    Alive,
    Suspect, ///< Did not answer at least one daemon; still counts as live.
    Dead,
};

/// @return The name of @p state.
const char* toString(MemberState state);

struct Member {
    InstanceId id;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Listed;
    MemberInfo info;
    bool listedLeaving = false;

    /// @return Whether the member may receive work or ownership.
    bool isUsable() const;
    bool operator==(const Member&) const = default;
};

/// Publish this daemon's own info.
struct AnnounceSelf {
    MemberInfo info;
    bool operator==(const AnnounceSelf&) const = default;
};

/// Publish that a peer does not answer.
struct PublishSuspicion {
    InstanceId peer;
    SuspicionInfo info;
    bool operator==(const PublishSuspicion&) const = default;
};

/// Withdraw a suspicion published by this daemon.
struct WithdrawSuspicion {
    InstanceId peer;
    bool operator==(const WithdrawSuspicion&) const = default;
};

/// A member's state, incarnation or info changed.
struct MemberChanged {
    Member member;
    bool operator==(const MemberChanged&) const = default;
};

/// A member was forgotten.
struct MemberForgotten {
    InstanceId id;
    bool operator==(const MemberForgotten&) const = default;
};

/// Probe a silent peer again.
struct ProbePeer {
    InstanceId peer;
    bool operator==(const ProbePeer&) const = default;
};

using MembershipAction = std::variant<AnnounceSelf, PublishSuspicion, WithdrawSuspicion, MemberChanged, MemberForgotten, ProbePeer>;

/// Estimate, from recent probes, of how many daemons of its region this daemon can reach.
struct PeerContact {
    std::size_t known = 0; ///< Peers heard at least once, including dead ones, except those that left as planned.
    std::size_t reachable = 0;
    /// Whether the lowest id is on this side of a partition; decides when exactly half is reachable.
    bool holdsTieBreak = true;

    bool operator==(const PeerContact&) const = default;
};

/// Failure detector. Gossip messages serve as probes. Missed answers raise a suspicion, which the peer itself can refute; a
/// peer is declared dead only if the suspicion is not refuted in time.
class Membership {
public:
    /// @param incarnation Increases with each start of the daemon with this id, for example the wall clock in ms.
    Membership(MembershipSettings settings, InstanceId self, std::uint64_t incarnation, MemberInfo info, TimePoint now);

    /// Applies the platform's instance list, which adds peers to probe but never declares one dead.
    void onInstances(const std::vector<ListedInstance>& instances, TimePoint now);

    /// A message that expects an answer was sent to @p peer.
    void onProbeSent(const InstanceId& peer, TimePoint now);

    /// A message arrived directly from @p peer.
    void onHeard(const InstanceId& peer, std::uint64_t incarnation, TimePoint now);

    /// Gossip delivered the info that @p peer published about itself.
    void onInfo(const InstanceId& peer, std::uint64_t incarnation, const MemberInfo& info, TimePoint now);

    /// Gossip delivered another daemon's suspicion.
    void onSuspicion(
        const InstanceId& accuser, const InstanceId& accused, const SuspicionInfo& suspicion, TimePoint now);

    /// The accuser has heard from the accused and withdrew its suspicion.
    void onSuspicionWithdrawn(const InstanceId& accuser, const InstanceId& accused);

    /// Changes the phase that this daemon publishes.
    void setPhase(MemberPhase phase);

    /// Runs the timers; call a few times a second.
    /// @return What to publish, and the changes since the last poll.
    std::vector<MembershipAction> poll(TimePoint now);

    /// @return This daemon's own entry, as published to peers.
    const Member& self() const { return this->selfMember; }
    /// @return All known peers by id, without this daemon.
    const std::map<InstanceId, Member>& peers() const { return this->peerMembers; }
    /// @return The member with that id, which may be this daemon, or null.
    const Member* find(const InstanceId& id) const;
    /// @return Reachability of the region's peers, estimated from those probed recently.
    PeerContact contact(TimePoint now) const;

private:
    struct Contact {
        std::optional<TimePoint> unansweredSince;
        std::optional<TimePoint> lastProbe;
        std::optional<TimePoint> lastHeard;
        std::optional<TimePoint> lastSuspicion;
        std::optional<TimePoint> suspectSince;
        std::optional<TimePoint> deadSince;
        std::uint32_t misses = 0;
        bool published = false;
        bool probedOnSuspicion = false;
        std::set<InstanceId> accusers;
    };

    MembershipSettings settings;
    Member selfMember;
    std::map<InstanceId, Member> peerMembers;
    std::map<InstanceId, Contact> contacts;
    std::vector<MembershipAction> pending;
    TimePoint lastPoll;
    TimePoint nextTimers;
    std::optional<TimePoint> massLossSince;

    Member* admit(const InstanceId& id, std::uint64_t incarnation);
    bool isLocal(const Member& member) const;
    void announce();
    void reportChange(const Member& member);
    void markAlive(Member& member);
    void withdrawSuspicion(const InstanceId& id, Contact& contact);
    void markDead(Member& member, TimePoint now);
    void replaceSameAddress(const Member& newer, TimePoint now);
    void resetAfterPause(TimePoint now);
    void countMisses(TimePoint now);
    void suspect(Member& member, Contact& contact, TimePoint now);
    bool mayDeclareDead(TimePoint now);
    void expireSuspicions(TimePoint now);
    void forgetDead(TimePoint now);
    void forgetUnlisted(const std::vector<ListedInstance>& instances);
};

} // namespace goldcrestwood
