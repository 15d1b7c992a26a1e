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

/// Request to an engine for a run.
struct EngineRequest {
    std::string requestId;
    std::string runId;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint64_t seed = 0;
    int priority = 0;
    ClientAccount account;
    VersionName version;
    /// Index of the first token to send; the earlier tokens already continue the prompt.
    std::uint64_t startToken = 0;
};

/// One chunk of an engine's stream.
struct EngineChunk {
    std::string requestId;
    std::string runId;
    std::uint64_t index = 0;
    std::string token;
    /// Whether this is the last chunk of the stream.
    bool finished = false;
    std::uint64_t tokenCount = 0;
    std::uint64_t cachedTokens = 0;

    bool operator==(const EngineChunk&) const = default;
};

/// Receives a chunk; returns whether to continue.
using EngineChunkHandler = std::function<bool(const EngineChunk&)>;

/// Starts a run and streams its chunks.
/// @param timeout Limit for each wait for data.
StreamEnd startRun(const std::string& address, const EngineRequest& request, Duration timeout, const EngineChunkHandler& onChunk);
/// Streams the chunks of an earlier run, starting with token @p from, over a new connection.
StreamEnd resumeRun(const std::string& address, const std::string& runId, std::uint64_t from, Duration timeout, const EngineChunkHandler& onChunk);
void cancelRun(const std::string& address, const std::string& runId, Duration timeout);

/// A block that was added to or removed from a cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false;
    std::uint64_t hash = 0;
    /// Whether the block is in a store's disk tier.
    bool onDisk = false;

    bool operator==(const CacheEvent&) const = default;
};

struct CacheEvents {
    std::uint64_t epoch = 0;
    std::uint64_t last = 0;
    std::vector<CacheEvent> events;

    bool operator==(const CacheEvents&) const = default;
};

/// @return The cache events after @p sequence that the holder still retains.
tl::expected<CacheEvents, HttpFailure> readCacheEvents(const std::string& address, std::uint64_t sequence, Duration timeout);

/// Load report of an engine; lags behind the actual load.
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
    StaleFence,
    Failed,
    Unknown,
};

/// Sends an order with a fencing token.
OrderResult sendOrder(const std::string& address, OrderKind kind, const std::string& value, std::uint64_t fence, Duration timeout);

/// Asks an engine to push blocks to a store or to pull blocks from it.
/// @return The hashes of the blocks that were transferred.
tl::expected<std::vector<std::uint64_t>, HttpFailure> exportBlocks(
    const std::string& address, const std::vector<std::uint64_t>& hashes, const std::string& store, Duration timeout);
tl::expected<std::vector<std::uint64_t>, HttpFailure> importBlocks(
    const std::string& address, const std::vector<std::uint64_t>& hashes, const std::string& store, Duration timeout);

} // namespace goldcrestwood
