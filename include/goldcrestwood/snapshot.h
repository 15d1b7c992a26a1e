#pragma once

/// @file
/// Snapshots of fold states in the log, and the selection of the state that a daemon starts from.

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
    /// Maximum bytes of state in one chunk.
    std::size_t chunkBytes = std::size_t(64) * 1024;
    /// Maximum number of chunks of a snapshot; larger states are not written.
    std::uint32_t maxChunks = 1024;
    /// Maximum number of incomplete snapshots; the one with the oldest state is dropped first.
    std::size_t maxIncomplete = 2;
    /// Minimum time that the log keeps records.
    Duration retention = std::chrono::hours(1);
    /// Age of the last snapshot, as a share of the retention, at which a new one is written.
    double renewalAgeShare = 0.25;
    /// An incomplete snapshot is restarted after this time.
    Duration retryAfter = std::chrono::seconds(30);
};

/// Splits a state into chunks.
/// @param state State of all folds of the stream.
/// @param writer Id that is unique among snapshots of the same offset.
/// @return The chunks in order; empty if the state exceeds the bound.
std::vector<SnapshotChunk> makeChunks(const FoldState& state, const RecordId& writer, const SnapshotSettings& settings);

/// Reassembles snapshots from chunks; incomplete and corrupt snapshots are discarded.
class SnapshotAssembler {
public:
    explicit SnapshotAssembler(const SnapshotSettings& settings);

    /// @return The state if @p chunk completes a snapshot whose checksum matches.
    std::optional<FoldState> add(const SnapshotChunk& chunk);

    /// @return Number of corrupt snapshots.
    std::uint64_t corruptCount() const { return this->corruptSnapshots; }

private:
    struct Key {
        std::uint64_t next = 0;
        RecordId writer;

        auto operator<=>(const Key&) const = default;
    };

    struct PartialSnapshot {
        std::uint32_t count = 0;
        std::uint64_t checksum = 0;
        std::map<std::uint32_t, std::string> pieces;
    };

    SnapshotSettings settings;
    std::map<Key, PartialSnapshot> partialSnapshots;
    std::uint64_t corruptSnapshots = 0;
};

/// Decides which states a daemon adopts and whether it may serve.
class StateGate {
public:
    /// Checks a state from the log or a peer, and records it if it is to be adopted.
    /// @param candidate Next offset of the state.
    /// @param current Journal::next().
    /// @param needsState Whether the folds of this daemon lack a base state (Journal::needsState()).
    /// @return Whether to adopt it: never an empty state, nor one behind a state that this daemon has held. A state at
    /// @p current is adopted only if @p needsState.
    bool mayAdopt(std::uint64_t candidate, std::uint64_t current, bool needsState);

    /// Records that the folds have a base state and have reached @p next.
    void onFolded(std::uint64_t next);

    /// Records that the folds have reached the end of the log, or that a peer ahead of this daemon gave its state while the log was down.
    void onCaughtUp();

    /// @return Whether this daemon has a state to serve from; stays true through later outages.
    bool isReady() const { return this->ready; }

private:
    std::uint64_t highestOffset = 0;
    bool hasBase = false;
    bool ready = false;
};

/// Decides when the lease holder writes a snapshot.
class SnapshotSchedule {
public:
    explicit SnapshotSchedule(const SnapshotSettings& settings);

    /// @param holdsLease Whether this daemon writes the snapshots.
    /// @return Whether to write a snapshot now; then false until it has been read back or retryAfter has passed.
    bool isDue(bool holdsLease, TimePoint now);

    /// Records that a complete snapshot was read from the log.
    void onSnapshotRead(TimePoint now);

private:
    SnapshotSettings settings;
    std::optional<TimePoint> lastCompletedAt;
    std::optional<TimePoint> lastStartedAt;
};

} // namespace goldcrestwood
