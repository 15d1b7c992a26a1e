#pragma once

/// @file
/// Messages between daemons about cached prefixes and shares of store links.
/// Generated from schema/prefix_messages.toml by support/generate.py; edit the schema instead.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "goldcrestwood/codec.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Where a cache block is held.
enum class Tier : std::uint8_t {
    EngineMemory, ///< Accelerator memory of a model engine.
    StoreMemory, ///< Memory of a store instance.
    StoreDisk, ///< Disk of a store instance.
};

/// @return The name of @p value as in the schema.
const char* toString(Tier value);

/// Change of a block at a holder.
enum class HolderEventKind : std::uint8_t {
    Stored, ///< The holder has the block.
    Evicted, ///< The holder no longer has the block.
};

/// @return The name of @p value as in the schema.
const char* toString(HolderEventKind value);

/// How much of a chain a model engine holds.
struct EngineCoverage {
    /// The engine.
    UpstreamId upstream;
    /// Contiguous blocks held from the start of the chain.
    std::uint32_t blocks = 0;
    /// Probability that the blocks are still held.
    double confidence = 1.0;

    bool operator==(const EngineCoverage&) const = default;
};

/// A run of blocks of a chain in one tier of a store instance.
struct StoreCoverage {
    /// The store instance.
    UpstreamId store;
    /// Memory or disk.
    Tier tier = Tier::EngineMemory;
    /// Index of the run's first block in the chain.
    std::uint32_t firstBlock = 0;
    /// Length of the run.
    std::uint32_t blocks = 0;
    /// Probability that the blocks are still held.
    double confidence = 1.0;

    bool operator==(const StoreCoverage&) const = default;
};

/// Coverage of a chain by each holder, and how often its prompt was seen before.
struct ChainCoverage {
    /// Engines, sorted by coverage, longest first.
    std::vector<EngineCoverage> engines;
    /// Runs in stores, sorted by first block.
    std::vector<StoreCoverage> stores;
    /// For each block, how often it was seen before this query, as far as the history goes back.
    std::vector<std::uint16_t> touches;
    /// Probability that the prompt returns, from the account's history.
    double returnChance = 0.0;

    bool operator==(const ChainCoverage&) const = default;
};

/// Asks the owner of a chain for its holders.
struct PrefixQuery {
    /// The client account, for its return history.
    ClientAccount account;
    /// Block hashes of the chain in order.
    std::vector<std::uint64_t> hashes;

    bool operator==(const PrefixQuery&) const = default;
};

/// Answers a PrefixQuery.
struct PrefixAnswer {
    /// Whether the sender considers itself the owner of the chain.
    bool owned = true;
    /// The known coverage.
    ChainCoverage coverage;

    bool operator==(const PrefixAnswer&) const = default;
};

/// One change of a holder's blocks.
struct HolderEvent {
    /// Sequence number within the holder's epoch.
    std::uint64_t sequence = 0;
    /// Stored or evicted.
    HolderEventKind kind = HolderEventKind::Stored;
    /// Tier of the block.
    Tier tier = Tier::EngineMemory;
    /// The block.
    std::uint64_t hash = 0;

    bool operator==(const HolderEvent&) const = default;
};

/// A batch of a holder's changes, from the holder or forwarded to the owner of the chains.
struct HolderEvents {
    /// Engine or store instance.
    UpstreamId holder;
    /// Start number of the holder; increases with each start.
    std::uint64_t epoch = 0;
    /// The batch contains all events for the receiver with after < sequence <= last.
    std::uint64_t after = 0;
    /// Sequence up to which the batch is complete.
    std::uint64_t last = 0;
    /// Changes, sorted by sequence.
    std::vector<HolderEvent> events;
    /// Total blocks of the holder, to estimate the effect of missing events; 0 if unknown.
    std::uint64_t heldBlocks = 0;

    bool operator==(const HolderEvents&) const = default;
};

/// A block in one tier of a holder.
struct HeldBlock {
    /// Tier of the block.
    Tier tier = Tier::EngineMemory;
    /// The block.
    std::uint64_t hash = 0;

    bool operator==(const HeldBlock&) const = default;
};

/// All blocks of a holder that concern the receiver; resolves any gap in its events.
struct HolderSnapshot {
    /// Engine or store instance.
    UpstreamId holder;
    /// Start number of the holder.
    std::uint64_t epoch = 0;
    /// Sequence of the last change that the snapshot contains.
    std::uint64_t sequence = 0;
    /// The blocks.
    std::vector<HeldBlock> blocks;

    bool operator==(const HolderSnapshot&) const = default;
};

/// Tells the owners of a chain and of an upstream that the upstream is computing or importing the chain.
struct ChainPlaced {
    /// The engine that received the prompt.
    UpstreamId upstream;
    /// Block hashes of the chain in order.
    std::vector<std::uint64_t> hashes;

    bool operator==(const ChainPlaced&) const = default;
};

/// Tells the owner of a chain that an engine answered its prompt and therefore holds all of its blocks.
struct ChainUsed {
    /// The engine that answered.
    UpstreamId upstream;
    /// Block hashes of the chain in order.
    std::vector<std::uint64_t> hashes;

    bool operator==(const ChainUsed&) const = default;
};

/// Tells the owner of a chain which blocks an import or export found in a store, in addition to the store's own events.
struct BlocksSeen {
    /// The store instance.
    UpstreamId store;
    /// Tier of the held blocks.
    Tier tier = Tier::EngineMemory;
    /// Blocks found in the store.
    std::vector<std::uint64_t> held;
    /// Blocks missing in the store.
    std::vector<std::uint64_t> absent;

    bool operator==(const BlocksSeen&) const = default;
};

/// A daemon's demand for a store's link, sent to the link's owner.
struct LinkDemand {
    /// The store instance.
    UpstreamId store;
    /// Bytes per second for waiting requests.
    std::uint64_t firstToken = 0;
    /// Bytes per second to prefetch for expected prompts.
    std::uint64_t prefetches = 0;
    /// Bytes per second to export blocks.
    std::uint64_t exports = 0;

    bool operator==(const LinkDemand&) const = default;
};

/// Grants a daemon a share of a store's link for a limited time.
struct LinkShare {
    /// The store instance.
    UpstreamId store;
    /// Average bytes per second that the daemon may transfer.
    std::uint64_t bytesPerSecond = 0;
    /// Expected bytes per second of one transfer, including capacity that other daemons leave unused.
    std::uint64_t speed = 0;
    /// Validity, counted from receipt.
    Duration lifetime = Duration(0);

    bool operator==(const LinkShare&) const = default;
};

template <>
std::string encode(const EngineCoverage& message);
template <>
tl::expected<EngineCoverage, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const EngineCoverage& message);
template <>
std::string encode(const StoreCoverage& message);
template <>
tl::expected<StoreCoverage, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const StoreCoverage& message);
template <>
std::string encode(const ChainCoverage& message);
template <>
tl::expected<ChainCoverage, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ChainCoverage& message);
template <>
std::string encode(const PrefixQuery& message);
template <>
tl::expected<PrefixQuery, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PrefixQuery& message);
template <>
std::string encode(const PrefixAnswer& message);
template <>
tl::expected<PrefixAnswer, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PrefixAnswer& message);
template <>
std::string encode(const HolderEvent& message);
template <>
tl::expected<HolderEvent, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const HolderEvent& message);
template <>
std::string encode(const HolderEvents& message);
template <>
tl::expected<HolderEvents, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const HolderEvents& message);
template <>
std::string encode(const HeldBlock& message);
template <>
tl::expected<HeldBlock, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const HeldBlock& message);
template <>
std::string encode(const HolderSnapshot& message);
template <>
tl::expected<HolderSnapshot, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const HolderSnapshot& message);
template <>
std::string encode(const ChainPlaced& message);
template <>
tl::expected<ChainPlaced, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ChainPlaced& message);
template <>
std::string encode(const ChainUsed& message);
template <>
tl::expected<ChainUsed, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ChainUsed& message);
template <>
std::string encode(const BlocksSeen& message);
template <>
tl::expected<BlocksSeen, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const BlocksSeen& message);
template <>
std::string encode(const LinkDemand& message);
template <>
tl::expected<LinkDemand, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LinkDemand& message);
template <>
std::string encode(const LinkShare& message);
template <>
tl::expected<LinkShare, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LinkShare& message);
void to_json(nlohmann::json& out, Tier value);
void to_json(nlohmann::json& out, HolderEventKind value);

} // namespace goldcrestwood