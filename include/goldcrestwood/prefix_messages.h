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

/// What happened to a block at a holder.
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
    /// Blocks held from the start of the chain without a hole.
    std::uint32_t blocks = 0;
    /// Probability that they are still there.
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
    /// Probability that they are still there.
    double confidence = 1.0;

    bool operator==(const StoreCoverage&) const = default;
};

/// Who holds how much of a chain, and how often its prompt came before.
struct ChainCoverage {
    /// Engines, the longest coverage first.
    std::vector<EngineCoverage> engines;
    /// Runs in stores, in order of the first block.
    std::vector<StoreCoverage> stores;
    /// For each block how often it was seen before this query, as far as remembered.
    std::vector<std::uint16_t> touches;
    /// Probability that the prompt returns, from the account's history.
    double returnChance = 0.0;

    bool operator==(const ChainCoverage&) const = default;
};

/// Asks the owner of a chain who holds it.
struct PrefixQuery {
    /// The client account, for its return history.
    ClientAccount account;
    /// Block hashes of the chain in order.
    std::vector<std::uint64_t> hashes;

    bool operator==(const PrefixQuery&) const = default;
};

/// Answers a PrefixQuery.
struct PrefixAnswer {
    /// Whether the answerer believes that it owns the chain.
    bool owned = true;
    /// What it knows.
    ChainCoverage coverage;

    bool operator==(const PrefixAnswer&) const = default;
};

/// One change of a holder's blocks.
struct HolderEvent {
    /// Count within the holder's epoch.
    std::uint64_t sequence = 0;
    /// Stored or evicted.
    HolderEventKind kind = HolderEventKind::Stored;
    /// Where.
    Tier tier = Tier::EngineMemory;
    /// The block.
    std::uint64_t hash = 0;

    bool operator==(const HolderEvent&) const = default;
};

/// A batch of a holder's changes, from the holder or forwarded to the owner of the chains.
struct HolderEvents {
    /// Engine or store instance.
    UpstreamId holder;
    /// Start number of the holder; grows.
    std::uint64_t epoch = 0;
    /// The batch holds all that concerns the receiver with a later sequence, up to last.
    std::uint64_t after = 0;
    /// Sequence up to which the batch is complete.
    std::uint64_t last = 0;
    /// Changes in order of sequence.
    std::vector<HolderEvent> events;
    /// Blocks that the holder has in all, to weigh a hole; 0 where unknown.
    std::uint64_t heldBlocks = 0;

    bool operator==(const HolderEvents&) const = default;
};

/// A block in one tier of a holder.
struct HeldBlock {
    /// Where.
    Tier tier = Tier::EngineMemory;
    /// The block.
    std::uint64_t hash = 0;

    bool operator==(const HeldBlock&) const = default;
};

/// All blocks of a holder that concern the receiver; ends its doubt.
struct HolderSnapshot {
    /// Engine or store instance.
    UpstreamId holder;
    /// Start number of the holder.
    std::uint64_t epoch = 0;
    /// The last change that the snapshot contains.
    std::uint64_t sequence = 0;
    /// The blocks.
    std::vector<HeldBlock> blocks;

    bool operator==(const HolderSnapshot&) const = default;
};

/// Tells the owners of a chain and of an upstream that the upstream computes or imports the chain.
struct ChainPlaced {
    /// The engine that got the prompt.
    UpstreamId upstream;
    /// Block hashes of the chain in order.
    std::vector<std::uint64_t> hashes;

    bool operator==(const ChainPlaced&) const = default;
};

/// Tells the owner of a chain that an engine answered its prompt and so holds all of its blocks.
struct ChainUsed {
    /// The engine that answered.
    UpstreamId upstream;
    /// Block hashes of the chain in order.
    std::vector<std::uint64_t> hashes;

    bool operator==(const ChainUsed&) const = default;
};

/// Tells the owner of a chain what an import or export showed about a store, besides the store's own events.
struct BlocksSeen {
    /// The store instance.
    UpstreamId store;
    /// Where the held blocks are now.
    Tier tier = Tier::EngineMemory;
    /// Blocks that it holds.
    std::vector<std::uint64_t> held;
    /// Blocks that it turned out not to have.
    std::vector<std::uint64_t> absent;

    bool operator==(const BlocksSeen&) const = default;
};

/// Tells the owner of a store's link how much of it a daemon wants.
struct LinkDemand {
    /// The store instance.
    UpstreamId store;
    /// Bytes a second for requests that wait.
    std::uint64_t firstToken = 0;
    /// Bytes a second for prompts that are due.
    std::uint64_t prefetches = 0;
    /// Bytes a second for keeping blocks.
    std::uint64_t exports = 0;

    bool operator==(const LinkDemand&) const = default;
};

/// Grants a daemon a share of a store's link for a while.
struct LinkShare {
    /// The store instance.
    UpstreamId store;
    /// What the daemon may move on average.
    std::uint64_t bytesPerSecond = 0;
    /// Bytes a second that one transfer is likely to get, with what others leave free.
    std::uint64_t speed = 0;
    /// How long it holds from receipt.
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