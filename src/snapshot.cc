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
    if (count > settings.chunks)
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
    const bool isValid = chunk.count > 0 && chunk.count <= this->settings.chunks && chunk.index < chunk.count
        && chunk.bytes.size() <= this->settings.chunkBytes;
    if (!isValid)
        return std::nullopt;
    const Key key { chunk.next, chunk.writer };
    auto& snapshot = this->parts.try_emplace(key, Parts { chunk.count, chunk.checksum, {} }).first->second;
    if (snapshot.count != chunk.count || snapshot.checksum != chunk.checksum)
        return std::nullopt;
    snapshot.pieces.try_emplace(chunk.index, chunk.bytes);
    if (snapshot.pieces.size() < snapshot.count) {
        if (this->parts.size() > this->settings.assembling)
            this->parts.erase(this->parts.begin());
        return std::nullopt;
    }
    std::string bytes;
    for (const auto& [index, piece] : snapshot.pieces)
        bytes += piece;
    this->parts.erase(key);
    auto state = decode<FoldState>(bytes);
    const bool isIntact = stableHash(bytes) == chunk.checksum && state && state->next == chunk.next;
    if (!isIntact) {
        ++this->damagedSnapshots;
        return std::nullopt;
    }
    return std::move(*state);
}

bool StateGate::mayAdopt(std::uint64_t candidate, std::uint64_t current, bool needsState)
{
    const bool isStale = candidate == 0 || candidate < this->highest || candidate < current;
    if (isStale || (!needsState && candidate == current))
        return false;
    this->highest = candidate;
    this->based = true;
    return true;
}

void StateGate::onFolded(std::uint64_t next)
{
    this->highest = std::max(this->highest, next);
    this->based = true;
}

void StateGate::onCaughtUp()
{
    this->ready = this->ready || this->based;
}

SnapshotSchedule::SnapshotSchedule(const SnapshotSettings& bounds)
    : settings(bounds)
{
}

bool SnapshotSchedule::isDue(bool holdsLease, TimePoint now)
{
    if (!holdsLease)
        return false;
    const auto age = fromSeconds(toSeconds(this->settings.retention) * this->settings.renewAt);
    if (this->lastWhole && now - *this->lastWhole < age)
        return false;
    if (this->lastBegun && now - *this->lastBegun < this->settings.retryAfter)
        return false;
    this->lastBegun = now;
    return true;
}

void SnapshotSchedule::onWhole(TimePoint now)
{
    this->lastWhole = now;
    this->lastBegun.reset();
}

} // namespace goldcrestwood
