#include "goldcrestwood/snapshot.h"

#include <algorithm>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

std::vector<SnapshotChunk> makeChunks(
    const FoldState& state, const RecordId& writer, const SnapshotSettings& settings)
{
    const auto bytes = encode(state);
    const auto count = (bytes.size() + settings.chunkBytes - 1) / settings.chunkBytes;
    std::vector<SnapshotChunk> chunks;
    if (count > settings.maxChunks)
        return chunks;
    const auto checksum = stableHash(bytes);
    for (std::size_t index = 0; index < count; ++index) {
        chunks.push_back({ state.next, writer, static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(count),
            checksum, bytes.substr(index * settings.chunkBytes, settings.chunkBytes) });
    }
    return chunks;
}

SnapshotAssembler::SnapshotAssembler(const SnapshotSettings& bounds)
    : settings(bounds)
{
}

std::optional<FoldState> SnapshotAssembler::add(const SnapshotChunk& chunk)
{
    const bool isValid = chunk.count > 0 && chunk.count <= this->settings.maxChunks && chunk.index < chunk.count
        && chunk.bytes.size() <= this->settings.chunkBytes;
    if (!isValid)
        return std::nullopt;
    const Key key { chunk.next, chunk.writer };
    auto& snapshot = this->partialSnapshots.try_emplace(key, PartialSnapshot { chunk.count, chunk.checksum, {} }).first->second;
    if (snapshot.count != chunk.count || snapshot.checksum != chunk.checksum)
        return std::nullopt;
    snapshot.pieces.try_emplace(chunk.index, chunk.bytes);
    if (snapshot.pieces.size() < snapshot.count) {
        if (this->partialSnapshots.size() > this->settings.maxIncomplete)
            this->partialSnapshots.erase(this->partialSnapshots.begin());
        return std::nullopt;
    }
    std::string bytes;
    for (const auto& [index, piece] : snapshot.pieces)
        bytes += piece;
    this->partialSnapshots.erase(key);
    auto state = decode<FoldState>(bytes);
    const bool isIntact = stableHash(bytes) == chunk.checksum && state && state->next == chunk.next;
    if (!isIntact) {
        ++this->corruptSnapshots;
        return std::nullopt;
    }
    return std::move(*state);
}

bool StateGate::mayAdopt(std::uint64_t candidate, std::uint64_t current, bool needsState)
{
    const bool isStale = candidate == 0 || candidate < this->highestOffset || candidate < current;
    if (isStale || (!needsState && candidate == current))
        return false;
    this->highestOffset = candidate;
    this->hasBase = true;
    return true;
}

void StateGate::onFolded(std::uint64_t next)
{
    this->highestOffset = std::max(this->highestOffset, next);
    this->hasBase = true;
}

void StateGate::onCaughtUp()
{
    this->ready = this->ready || this->hasBase;
}

SnapshotSchedule::SnapshotSchedule(const SnapshotSettings& bounds)
    : settings(bounds)
{
}

bool SnapshotSchedule::isDue(bool holdsLease, TimePoint now)
{
    if (!holdsLease)
        return false;
    const auto age = fromSeconds(toSeconds(this->settings.retention) * this->settings.renewalAgeShare);
    if (this->lastCompletedAt && now - *this->lastCompletedAt < age)
        return false;
    if (this->lastStartedAt && now - *this->lastStartedAt < this->settings.retryAfter)
        return false;
    this->lastStartedAt = now;
    return true;
}

void SnapshotSchedule::onSnapshotRead(TimePoint now)
{
    this->lastCompletedAt = now;
    this->lastStartedAt.reset();
}

} // namespace goldcrestwood
