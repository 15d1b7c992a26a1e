#pragma once

/// @file
/// Spreads versioned cells, latches and notes among daemons within a byte budget.

#include <array>
#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestwood/membership_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct GossipSettings {
    /// Interval between two rounds.
    Duration roundInterval = std::chrono::seconds(1);
    /// Peers contacted per round; with at most fullMesh peers, each round contacts all.
    std::size_t fanOut = 3;
    /// Largest number of peers that are all contacted in each round.
    std::size_t fullMesh = 8;
    /// Maximum bytes of cells in one message.
    std::size_t exchangeBudget = 2048;
    /// Bytes a second of cells in all messages; unused budget accumulates for up to two seconds.
    std::size_t bytesPerSecond = 2560;
    /// Share of bytesPerSecond that evidence, and likewise load, may use if every owner writes as much as this one.
    double ownWriteShare = 0.35;
    /// Maximum bytes of relayed urgent cells in one message, counted within exchangeBudget.
    std::size_t relayBudget = 384;
    /// Maximum bytes of latches in one message.
    std::size_t latchBudget = 1024;
    /// Maximum owners in one digest; more owners are split into slices that are sent in turn.
    std::size_t digestOwners = 96;
    /// With more owners than this, the lanes are included in the digests in turn.
    std::size_t allLanesOwners = 16;
    /// Messages a second that all daemons of a region together send to other regions.
    double remoteRate = 2;
    /// Number of rounds for which a daemon relays a latch or an urgent cell that it received.
    std::uint32_t relayRounds = 2;
    /// Cells of a dead owner are kept for this long.
    Duration deadCellLifetime = std::chrono::seconds(30);
    /// Tombstones of removed cells are kept for this long.
    Duration removedLifetime = std::chrono::minutes(2);
    /// An unchanged summary is written again after this long.
    Duration summaryRefresh = std::chrono::seconds(20);
    /// Another daemon's summary is dropped if it is not written again for this long.
    Duration summaryLifetime = std::chrono::seconds(90);
    /// Latches older than this are dropped.
    Duration latchLifetime = std::chrono::hours(24);
    /// Maximum number of latches held.
    std::size_t maxLatches = 512;
    /// Maximum bytes of notes in one message; the rest waits for the next message.
    std::size_t noteBudget = 1024;
    /// Maximum number of notes waiting for one peer.
    std::size_t maxNotes = 256;
};

/// A peer that messages can be sent to. The id of a seed is empty until it is known.
struct GossipPeer {
    InstanceId id;
    std::string address;
    Region region;

    bool operator==(const GossipPeer&) const = default;
};

/// A message to send; the answer arrives on the same connection.
struct OutgoingGossip {
    InstanceId peer;
    std::string address;
    GossipMessage message;

    bool operator==(const OutgoingGossip&) const = default;
};

/// A changed cell of a peer.
struct ChangedCell {
    InstanceId owner;
    std::uint64_t incarnation = 0;
    GossipCell cell;

    bool operator==(const ChangedCell&) const = default;
};

/// The result of handling a message.
struct GossipResult {
    /// Reply to the sender.
    std::optional<GossipMessage> reply;
    std::vector<ChangedCell> changed;
    /// Latches that are new here, newly retired or have a new payload.
    std::vector<GossipLatch> latches;
    std::vector<GossipNote> notes;
};

/// @return Whether the topic's values are latches.
bool isLatch(Topic topic);
/// @return Whether the topic's values are notes to one peer.
bool isNote(Topic topic);
/// @return Whether changes of the topic are sent and relayed immediately.
bool isUrgent(Topic topic);
/// @return The lane that carries a cell topic.
Lane laneOf(Topic topic);

struct GossipCounters {
    std::uint64_t droppedCells = 0;
    std::uint64_t droppedLatches = 0;
    std::uint64_t droppedNotes = 0;
    std::uint64_t staleDeltas = 0;
    /// If not 0, peers know this later incarnation of the own id: this daemon must restart with a higher one.
    std::uint64_t newerOwnIncarnation = 0;

    bool operator==(const GossipCounters&) const = default;
};

/// Number of lanes.
constexpr std::size_t laneCount = 4;

/// Anti-entropy with one digest per lane: each owner numbers its writes, a peer requests the writes after the last one that
/// it has, and the next exchange makes up for a lost message.
class Gossip {
public:
    Gossip(GossipSettings settings, InstanceId self, std::uint64_t incarnation, Region region, TimePoint now);

    /// Sets the peers. Those of other regions receive only latches and summaries.
    /// @param silent Ids among @p peers that are contacted only by probeSoon() or to deliver notes.
    void setPeers(std::vector<GossipPeer> peers, const std::vector<InstanceId>& silent = {});

    /// Writes an own cell, or sets a latch. Writing an unchanged payload has no effect. Evidence and load are rate limited so
    /// that all owners together fit the budget; meanwhile only the latest value of each is kept.
    void set(Topic topic, const std::string& key, const std::string& payload, TimePoint now);
    /// Removes an own cell.
    void remove(Topic topic, const std::string& key, TimePoint now);
    /// Retires a latch once the log holds its state; overrides any copy that is still set.
    void retire(Topic topic, const std::string& key, TimePoint now);
    /// Queues a note for one peer; it replaces a waiting note with the same topic and key.
    void post(const InstanceId& peer, Topic topic, const std::string& key, const std::string& payload);

    /// Sends a probe to one peer soon, in addition to the regular ones.
    void probeSoon(const InstanceId& peer);

    /// @return Messages that are due; call a few times a second and after setting a latch.
    std::vector<OutgoingGossip> poll(TimePoint now, Random& random);
    /// Handles a message from a peer. Messages may be lost, delayed, duplicated or reordered.
    GossipResult onMessage(const GossipMessage& message, TimePoint now);

    /// Marks an owner as dead: its cells expire after deadCellLifetime; latches that it set stay.
    void onDead(const InstanceId& owner, TimePoint now);
    /// Marks an owner as alive again.
    void onAlive(const InstanceId& owner);
    /// Discards all cells of an owner and all notes for it.
    void forget(const InstanceId& owner);

    /// @return Cells of a topic, including own ones, without removed ones.
    std::vector<ChangedCell> cells(Topic topic) const;
    /// @return Latches of a topic that are not retired.
    std::vector<GossipLatch> latches(Topic topic, TimePoint now) const;
    const GossipCounters& counters() const { return this->counts; }
    /// @return Approximate size of the state.
    std::size_t memoryBytes() const;

private:
    struct CellId {
        Topic topic = Topic::Membership;
        std::string key;
        auto operator<=>(const CellId&) const = default;
    };
    struct HeldCell {
        GossipCell cell;
        TimePoint since;
    };
    struct LaneState {
        std::uint64_t reached = 0;
        std::map<CellId, HeldCell> cells;
        std::map<std::uint64_t, CellId> bySequence;
    };
    struct Owner {
        std::uint64_t incarnation = 0;
        std::uint64_t previousIncarnation = 0;
        std::optional<TimePoint> deadSince;
        bool expired = false;
        std::array<LaneState, laneCount> lanes;
    };
    struct HeldLatch {
        GossipLatch latch;
        TimePoint setAt;
        std::uint32_t relayRounds = 0;
    };
    struct Relay {
        InstanceId owner;
        Lane lane = Lane::Control;
        CellId id;
        std::uint32_t rounds = 0;
    };
    struct Budget {
        std::size_t limit = 0;
        std::size_t used = 0;
        std::map<Topic, std::uint32_t> dropped;
    };

    GossipSettings settings;
    InstanceId selfId;
    std::uint64_t incarnation;
    Region region;
    std::vector<GossipPeer> localPeers;
    std::vector<GossipPeer> remotePeers;
    std::vector<GossipPeer> silentPeers;
    std::size_t nextLocal = 0;
    bool shuffled = false;
    std::map<InstanceId, Owner> owners;
    std::map<CellId, HeldLatch> latchSet;
    std::map<CellId, std::string> deferredWrites;
    std::array<std::optional<TimePoint>, laneCount> lastWrite;
    std::map<InstanceId, std::map<CellId, std::string>> notesFor;
    std::set<InstanceId> probes;
    std::deque<Relay> relays;
    std::array<std::uint64_t, laneCount> pushed {};
    TimePoint nextRound;
    TimePoint nextUrgent;
    TimePoint lastRefill;
    double tokens;
    bool urgent = false;
    std::uint64_t roundCount = 0;
    GossipCounters counts;

    void write(const CellId& id, const std::string& payload, TimePoint now);
    void writeDeferred(TimePoint now);
    Duration writeInterval(Lane lane) const;
    GossipMessage header(GossipStage stage) const;
    const GossipPeer* findPeer(const InstanceId& id) const;
    std::vector<GossipPeer> pickLocal(Random& random);
    std::optional<GossipPeer> pickRemote(bool always, Random& random) const;
    std::vector<OutgoingGossip> runRound(bool regular, TimePoint now, Random& random);
    std::vector<OutgoingGossip> sendProbes(TimePoint now);
    GossipMessage makeProbe(const GossipPeer& peer, TimePoint now);
    void addPushes(GossipMessage& message, Budget& budget) const;
    void addRelays(GossipMessage& message, Budget& budget) const;
    void addDigests(GossipMessage& message, bool local) const;
    void addLatches(GossipMessage& message, bool all, TimePoint now) const;
    void addNotes(GossipMessage& message, const InstanceId& peer);
    void finishRound();
    void purge(TimePoint now);
    static void purgeRemoved(LaneState& lane, TimePoint before);
    static void purgeSummaries(LaneState& lane, TimePoint before);
    Budget startBudget(TimePoint now);
    void endBudget(GossipMessage& message, const Budget& budget);

    void applyDelta(const GossipDelta& delta, GossipResult& result, TimePoint now);
    void applyCell(Owner& owner, const GossipDelta& delta, const GossipCell& cell, GossipResult& result, TimePoint now);
    void applyLatch(const GossipLatch& latch, GossipResult& result, TimePoint now);
    void holdLatch(const CellId& id, HeldLatch held);
    void evictLatch();
    std::uint32_t saltedHash(const InstanceId& id, std::uint64_t ownerIncarnation, std::uint32_t salt) const;
    bool isInSlice(const InstanceId& id, const LaneDigest& digest) const;
    void answerDigest(const LaneDigest& digest, std::uint32_t salt, GossipMessage& reply, Budget& budget) const;
    void answerWants(const LaneDigest& digest, std::uint32_t salt, GossipMessage& reply, Budget& budget) const;
    void addDelta(GossipMessage& message, const InstanceId& id, const Owner& owner, Lane lane, std::uint64_t base,
        Budget& budget) const;
    std::uint64_t latchHash() const;
    std::uint32_t sliceCount() const;
    bool isLaneDue(Lane lane) const;
};

} // namespace goldcrestwood
