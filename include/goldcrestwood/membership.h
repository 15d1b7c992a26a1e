#pragma once

/// @file
/// Which daemons are alive, from direct contact, refutable suspicion and the platform's instance list.

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
    /// Missed probes in a row that make a peer suspect.
    std::uint32_t missesToSuspect = 3;
    /// A suspicion that stands for this long makes the peer dead.
    Duration suspicionTimeout = std::chrono::seconds(5);
    /// A longer gap between two polls counts as a pause of this process.
    Duration pauseLimit = std::chrono::seconds(2);
    /// While most probes are missed the fault is likely near; verdicts wait at most this long.
    Duration massLossHold = std::chrono::seconds(15);
    /// Time between two looks at the timers.
    Duration timerStep = std::chrono::milliseconds(100);
    /// Probes within this time count for contact().
    Duration contactWindow = std::chrono::seconds(4);
    /// A dead member is remembered for this long, so that old news does not revive it.
    Duration forgetAfter = std::chrono::minutes(10);
};

/// An entry of the platform's instance list, or a seed of the settings (with an empty id). The list lags.
struct ListedInstance {
    InstanceId id;
    std::string address; ///< For peers.
    FailureDomain domain;
    Region region;
    bool leaving = false;

    bool operator==(const ListedInstance&) const = default;
};

enum class MemberState : std::uint8_t {
    Listed, ///< On the instance list only; never heard of by a daemon.
    Alive,
    Suspect, ///< Does not answer someone; still counts as live.
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

    /// @return Whether the member can be given work or ownership.
    bool isUsable() const;
    bool operator==(const Member&) const = default;
};

/// Publish what this daemon says of itself.
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

/// Withdraw an own suspicion.
struct WithdrawSuspicion {
    InstanceId peer;
    bool operator==(const WithdrawSuspicion&) const = default;
};

/// A member changed in state, incarnation or info.
struct MemberChanged {
    Member member;
    bool operator==(const MemberChanged&) const = default;
};

/// A dead member is no longer remembered.
struct MemberForgotten {
    InstanceId id;
    bool operator==(const MemberForgotten&) const = default;
};

/// Try a silent peer again.
struct ProbePeer {
    InstanceId peer;
    bool operator==(const ProbePeer&) const = default;
};

using MembershipAction = std::variant<AnnounceSelf, PublishSuspicion, WithdrawSuspicion, MemberChanged, MemberForgotten, ProbePeer>;

/// How many of the own region's daemons this one hears, from a sample of recent probes.
struct PeerContact {
    std::size_t known = 0; ///< Peers that were heard once and have not left by plan, dead ones included.
    std::size_t reachable = 0;
    /// Whether the lowest id is on this side of a split; decides when just half is reachable.
    bool holdsTieBreak = true;

    bool operator==(const PeerContact&) const = default;
};

/// Failure detector. Peers are probed by the gossip messages; a missed answer leads to a suspicion that
/// the peer itself can refute, and only a suspicion that stands leads to death.
class Membership {
public:
    /// @param incarnation Higher at each start of the daemon of this id, for example the wall clock in ms.
    Membership(MembershipSettings settings, InstanceId self, std::uint64_t incarnation, MemberInfo info, TimePoint now);

    /// Takes the platform's instance list; it adds peers to probe and never makes one dead.
    void onInstances(const std::vector<ListedInstance>& instances, TimePoint now);

    /// A message that wants an answer was sent to @p peer.
    void onProbeSent(const InstanceId& peer, TimePoint now);

    /// A message came directly from @p peer.
    void onHeard(const InstanceId& peer, std::uint64_t incarnation, TimePoint now);

    /// Gossip brought what @p peer says of itself.
    void onInfo(const InstanceId& peer, std::uint64_t incarnation, const MemberInfo& info, TimePoint now);

    /// Gossip brought the suspicion of another daemon.
    void onSuspicion(
        const InstanceId& accuser, const InstanceId& accused, const SuspicionInfo& suspicion, TimePoint now);

    /// The accuser has heard the accused after all.
    void onSuspicionWithdrawn(const InstanceId& accuser, const InstanceId& accused);

    /// Changes what this daemon says of itself.
    void setPhase(MemberPhase phase);

    /// Moves timers; call a few times a second.
    /// @return What to publish, and what changed since the last poll.
    std::vector<MembershipAction> poll(TimePoint now);

    /// @return This daemon as its peers should see it.
    const Member& self() const { return this->selfMember; }
    /// @return All peers that are remembered, without this daemon, by id.
    const std::map<InstanceId, Member>& peers() const { return this->peerMembers; }
    /// @return The member of that id, this daemon included, or null.
    const Member* find(const InstanceId& id) const;
    /// @return Answers among the peers of the own region that were probed lately.
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
    void note(const Member& member);
    void revive(Member& member);
    void withdraw(const InstanceId& id, Contact& contact);
    void kill(Member& member, TimePoint now);
    void replaceSameAddress(const Member& newer, TimePoint now);
    void forgivePause(TimePoint now);
    void countMisses(TimePoint now);
    void suspect(Member& member, Contact& contact, TimePoint now);
    bool mayJudge(TimePoint now);
    void judge(TimePoint now);
    void forgetOld(TimePoint now);
    void forgetUnlisted(const std::vector<ListedInstance>& instances);
};

} // namespace goldcrestwood
