#pragma once

/// @file
/// Snapshots of fold states in the log, and the choice of the state that a daemon starts from.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestwood/journal_messages.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Bounds and delays of snapshots.
struct SnapshotSettings {
    /// Bytes of state in one chunk.
    std::size_t chunkBytes = std::size_t(64) * 1024;
    /// Chunks of a snapshot at most; larger states are not written.
    std::uint32_t chunks = 1024;
    /// Snapshots that may be read in pieces at once; the one with the oldest state is dropped first.
    std::size_t assembling = 2;
    /// The log keeps records at least this long.
    Duration retention = std::chrono::hours(1);
    /// A snapshot is written when the last one is this part of the retention old.
    double renewAt = 0.25;
    /// An unfinished snapshot is begun again after this time.
    Duration retryAfter = std::chrono::seconds(30);
};

/// Cuts a state into chunks.
/// @param state State of all folds of the stream.
/// @param writer An id that no other snapshot of the same offset has.
/// @return The chunks in order; none if the state is over the bound.
std::vector<SnapshotChunk> makeChunks(const FoldState& state, const RecordId& writer, const SnapshotSettings& settings);

/// Puts snapshots together; incomplete and damaged ones come to nothing.
class SnapshotAssembler {
public:
    explicit SnapshotAssembler(const SnapshotSettings& settings);

    /// @return The state if @p chunk was the last missing piece and the checksum is right.
    std::optional<FoldState> add(const SnapshotChunk& chunk);

    /// @return Snapshots that turned out damaged.
    std::uint64_t damaged() const { return this->damagedSnapshots; }

private:
    struct Key {
        std::uint64_t next = 0;
        RecordId writer;

        auto operator<=>(const Key&) const = default;
    };

    struct Parts {
        std::uint32_t count = 0;
        std::uint64_t checksum = 0;
        std::map<std::uint32_t, std::string> pieces;
    };

    SnapshotSettings settings;
    std::map<Key, Parts> parts;
    std::uint64_t damagedSnapshots = 0;
};

/// Decides which states a daemon takes and whether it may serve.
class StateGate {
public:
    /// Considers a state from the log or a peer.
    /// @param candidate Its next offset.
    /// @param current Journal::next().
    /// @param needsState Whether the own folds lack a base (Journal::needsState()).
    /// @return Whether to take it: never one that is not ahead of what this daemon has held, nor one of nothing.
    bool mayAdopt(std::uint64_t candidate, std::uint64_t current, bool needsState);

    /// Tells that the folds stand at @p next with a base.
    void onFolded(std::uint64_t next);

    /// Tells that the folds have reached the end of the log, or that a peer which is ahead gave its state while the log was down.
    void onCaughtUp();

    /// @return Whether this daemon holds a state it may serve from; stays true through later outages.
    bool isReady() const { return this->ready; }

private:
    std::uint64_t highest = 0;
    bool based = false;
    bool ready = false;
};

/// Tells the lease holder when to write a snapshot.
class SnapshotSchedule {
public:
    explicit SnapshotSchedule(const SnapshotSettings& settings);

    /// @param holdsLease Whether this daemon is the one to write.
    /// @return Whether to write a snapshot now; false again until it has been read back or retryAfter has passed.
    bool isDue(bool holdsLease, TimePoint now);

    /// A whole snapshot was read from the log.
    void onWhole(TimePoint now);

private:
    SnapshotSettings settings;
    std::optional<TimePoint> lastWhole;
    std::optional<TimePoint> lastBegun;
};

} // namespace goldcrestwood
