#pragma once

/// @file
/// Adapter to model engines, stores and plain services.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/http_client.h"
#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// A run that an engine is asked for.
struct EngineRequest {
    std::string requestId;
    std::string runId;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint64_t seed = 0;
    int priority = 0;
    ClientAccount account;
    VersionName version;
    /// First token to send; the tokens before it are part of the prompt's continuation.
    std::uint64_t startToken = 0;
};

/// One piece of an engine's stream.
struct EnginePiece {
    std::string requestId;
    std::string runId;
    std::uint64_t index = 0;
    std::string token;
    /// Whether this ends the stream.
    bool finished = false;
    std::uint64_t tokenCount = 0;
    std::uint64_t cachedTokens = 0;

    bool operator==(const EnginePiece&) const = default;
};

/// Receives a piece; returns whether to go on.
using EnginePieceHandler = std::function<bool(const EnginePiece&)>;

/// Starts a run and streams its pieces.
/// @param timeout Bound on each wait for data.
StreamEnd startRun(const std::string& address, const EngineRequest& request, Duration timeout, const EnginePieceHandler& onPiece);
/// Streams the pieces of an earlier run from token @p from on, over a new connection.
StreamEnd resumeRun(const std::string& address, const std::string& runId, std::uint64_t from, Duration timeout, const EnginePieceHandler& onPiece);
void cancelRun(const std::string& address, const std::string& runId, Duration timeout);

/// A change of a cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false;
    std::uint64_t hash = 0;
    /// Whether a store keeps the block on disk.
    bool onDisk = false;

    bool operator==(const CacheEvent&) const = default;
};

struct CacheEvents {
    std::uint64_t epoch = 0;
    std::uint64_t last = 0;
    std::vector<CacheEvent> events;

    bool operator==(const CacheEvents&) const = default;
};

/// @return The cache events after @p sequence that the holder still has.
tl::expected<CacheEvents, HttpFailure> readCacheEvents(const std::string& address, std::uint64_t sequence, Duration timeout);

/// A lagging load report of an engine.
struct EngineLoad {
    std::uint64_t epoch = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    VersionName version;

    bool operator==(const EngineLoad&) const = default;
};

tl::expected<EngineLoad, HttpFailure> readLoad(const std::string& address, Duration timeout);

/// What an order changes.
enum class OrderKind {
    Load,
    Adapter,
    Role,
};

enum class OrderResult {
    Done,
    OldFence,
    Failed,
    Unknown,
};

/// Gives an order with a fencing number.
OrderResult giveOrder(const std::string& address, OrderKind kind, const std::string& value, std::uint64_t fence, Duration timeout);

/// Asks an engine to push or pull blocks to or from a store.
/// @return The hashes that were moved.
tl::expected<std::vector<std::uint64_t>, HttpFailure> exportBlocks(
    const std::string& address, const std::vector<std::uint64_t>& hashes, const std::string& store, Duration timeout);
tl::expected<std::vector<std::uint64_t>, HttpFailure> importBlocks(
    const std::string& address, const std::vector<std::uint64_t>& hashes, const std::string& store, Duration timeout);

} // namespace goldcrestwood
