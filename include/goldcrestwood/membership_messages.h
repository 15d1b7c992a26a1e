#pragma once

/// @file
/// Messages between daemons: gossip exchanges and the cells that they carry.
/// Generated from schema/membership_messages.toml by support/generate.py; edit the schema instead.

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

/// What a gossip cell, latch or note is about.
enum class Topic : std::uint8_t {
    Membership, ///< What a daemon says of itself: MemberInfo.
    Suspicion, ///< A peer that a daemon cannot reach: SuspicionInfo.
    ConfigRevision, ///< Configuration revision in force on a daemon.
    RegionSummary, ///< Sums of a region; crosses regions.
    RolloutEvidence, ///< Counts of outcomes that one daemon saw of a version.
    UpstreamLoad, ///< Sums of the load of the upstreams that a daemon owns.
    DaemonLoad, ///< How busy a daemon is.
    DomainOut, ///< Latch: a failure domain is taken out.
    VersionTakeBack, ///< Latch: a version is taken back.
    ProvisionalOrder, ///< Latch: an operator's order that is not recorded yet.
    PermitDemand, ///< Note to the owner of an upstream: permits wanted.
    PermitGrant, ///< Note from the owner of an upstream: permits granted.
};

/// @return The name of @p value as in the schema.
const char* toString(Topic value);

/// Cells of one lane share a sequence and a rank under the byte budget; lower ranks are sent first.
enum class Lane : std::uint8_t {
    Summary, ///< Cells that cross regions.
    Control, ///< Membership and revisions, within a region.
    Evidence, ///< Outcomes of versions, within a region.
    Bulk, ///< Load, within a region.
};

/// @return The name of @p value as in the schema.
const char* toString(Lane value);

/// Place of a message in an exchange.
enum class GossipStage : std::uint8_t {
    Probe, ///< Opens an exchange without a digest; answered.
    Exchange, ///< Opens an exchange with a digest; answered.
    Answer, ///< Answers a probe or an exchange.
    Final, ///< Sends what the answer asked for; not answered.
};

/// @return The name of @p value as in the schema.
const char* toString(GossipStage value);

/// What a daemon says of its own readiness.
enum class MemberPhase : std::uint8_t {
    Starting, ///< Holds no configuration yet.
    Ready, ///< Takes work.
    Isolated, ///< Cannot know of take-outs; takes no new work.
    Leaving, ///< Still accepts, but is to be named to no caller.
    Left, ///< Has ended by plan.
    Warming, ///< May own things, and has no permits yet; is named to no caller.
};

/// @return The name of @p value as in the schema.
const char* toString(MemberPhase value);

/// What a daemon says of itself.
struct MemberInfo {
    /// IP number and port for peers.
    std::string peerAddress;
    /// IP number and port for callers.
    std::string callerAddress;
    /// Failure domain it stands in.
    FailureDomain domain;
    /// Region of that domain.
    Region region;
    /// Its readiness.
    MemberPhase phase = MemberPhase::Starting;
    /// Raised to refute a suspicion.
    std::uint64_t counter = 0;

    bool operator==(const MemberInfo&) const = default;
};

/// A peer that does not answer; refuted by a higher incarnation or counter.
struct SuspicionInfo {
    /// Incarnation that does not answer.
    std::uint64_t incarnation = 0;
    /// Highest counter known of it.
    std::uint64_t counter = 0;

    bool operator==(const SuspicionInfo&) const = default;
};

/// How busy a daemon is.
struct DaemonLoadInfo {
    /// Share of its capacity in use, 0 to 1.
    double utilisation = 0;

    bool operator==(const DaemonLoadInfo&) const = default;
};

/// An address that callers of other regions may fall back to.
struct RegionEndpoint {
    /// IP number and port for callers.
    std::string address;
    /// Failure domain it stands in.
    FailureDomain domain;
    /// Share of its capacity in use, 0 to 1.
    double utilisation = 0;

    bool operator==(const RegionEndpoint&) const = default;
};

/// A few instances of a region that take work; payload of a RegionSummary cell.
struct RegionEndpoints {
    /// The region.
    Region region;
    /// The instances.
    std::vector<RegionEndpoint> endpoints;

    bool operator==(const RegionEndpoints&) const = default;
};

/// A value that only its owner writes.
struct GossipCell {
    /// What it is about.
    Topic topic = Topic::Membership;
    /// Distinguishes cells of one owner and topic.
    std::string key;
    /// Position among the owner's writes in the lane.
    std::uint64_t sequence = 0;
    /// Whether the owner removed it.
    bool removed = false;
    /// Encoded message.
    std::string payload;

    bool operator==(const GossipCell&) const = default;
};

/// All cells of an owner and lane with base < sequence <= upTo; with upTo 0 just some cells.
struct GossipDelta {
    /// Who wrote the cells.
    InstanceId owner;
    /// Incarnation of the owner.
    std::uint64_t incarnation = 0;
    /// Lane of the cells.
    Lane lane = Lane::Summary;
    /// Sequence that the receiver must have reached.
    std::uint64_t base = 0;
    /// Sequence that the receiver then has.
    std::uint64_t upTo = 0;
    /// Cells by rising sequence.
    std::vector<GossipCell> cells;

    bool operator==(const GossipDelta&) const = default;
};

/// How far the sender has come with one owner.
struct DigestEntry {
    /// Salted hash of the owner's id and incarnation.
    std::uint32_t owner = 0;
    /// Highest sequence without a gap.
    std::uint64_t sequence = 0;

    bool operator==(const DigestEntry&) const = default;
};

/// How far the sender has come in one lane, for one slice of the owners.
struct LaneDigest {
    /// The lane.
    Lane lane = Lane::Summary;
    /// Which slice, below the number of slices.
    std::uint32_t slice = 0;
    /// How many slices the owners are cut into.
    std::uint32_t slices = 1;
    /// The owners of the slice.
    std::vector<DigestEntry> entries;

    bool operator==(const LaneDigest&) const = default;
};

/// A value that, once set by anyone, stays set until it is retired or too old.
struct GossipLatch {
    /// What it is about.
    Topic topic = Topic::Membership;
    /// Unique within the topic.
    std::string key;
    /// Encoded message.
    std::string payload;
    /// Whether the log has taken over; wins over set.
    bool retired = false;
    /// Time since it was set.
    Duration age = Duration(0);

    bool operator==(const GossipLatch&) const = default;
};

/// A value for the receiver alone; the sender repeats it while it matters.
struct GossipNote {
    /// What it is about.
    Topic topic = Topic::Membership;
    /// A later note with the same key replaces it.
    std::string key;
    /// Encoded message.
    std::string payload;

    bool operator==(const GossipNote&) const = default;
};

/// What did not fit into a message.
struct TopicDrop {
    /// The topic.
    Topic topic = Topic::Membership;
    /// How many cells were left for later.
    std::uint32_t cells = 0;

    bool operator==(const TopicDrop&) const = default;
};

/// One message of an exchange.
struct GossipMessage {
    /// The sender.
    InstanceId from;
    /// The sender's incarnation.
    std::uint64_t incarnation = 0;
    /// The sender's region.
    Region region;
    /// Place in the exchange.
    GossipStage stage = GossipStage::Probe;
    /// Salt of the hashes in the digests of this exchange.
    std::uint32_t salt = 0;
    /// Hash of the sender's set of latches.
    std::uint64_t latchHash = 0;
    /// Latches that the receiver may lack.
    std::vector<GossipLatch> latches;
    /// In an exchange what the sender has; in an answer what it wants.
    std::vector<LaneDigest> digests;
    /// Cells that the receiver may lack.
    std::vector<GossipDelta> deltas;
    /// Values for the receiver alone.
    std::vector<GossipNote> notes;
    /// What did not fit.
    std::vector<TopicDrop> dropped;

    bool operator==(const GossipMessage&) const = default;
};

template <>
std::string encode(const MemberInfo& message);
template <>
tl::expected<MemberInfo, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const MemberInfo& message);
template <>
std::string encode(const SuspicionInfo& message);
template <>
tl::expected<SuspicionInfo, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const SuspicionInfo& message);
template <>
std::string encode(const DaemonLoadInfo& message);
template <>
tl::expected<DaemonLoadInfo, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DaemonLoadInfo& message);
template <>
std::string encode(const RegionEndpoint& message);
template <>
tl::expected<RegionEndpoint, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RegionEndpoint& message);
template <>
std::string encode(const RegionEndpoints& message);
template <>
tl::expected<RegionEndpoints, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RegionEndpoints& message);
template <>
std::string encode(const GossipCell& message);
template <>
tl::expected<GossipCell, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const GossipCell& message);
template <>
std::string encode(const GossipDelta& message);
template <>
tl::expected<GossipDelta, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const GossipDelta& message);
template <>
std::string encode(const DigestEntry& message);
template <>
tl::expected<DigestEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DigestEntry& message);
template <>
std::string encode(const LaneDigest& message);
template <>
tl::expected<LaneDigest, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LaneDigest& message);
template <>
std::string encode(const GossipLatch& message);
template <>
tl::expected<GossipLatch, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const GossipLatch& message);
template <>
std::string encode(const GossipNote& message);
template <>
tl::expected<GossipNote, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const GossipNote& message);
template <>
std::string encode(const TopicDrop& message);
template <>
tl::expected<TopicDrop, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const TopicDrop& message);
template <>
std::string encode(const GossipMessage& message);
template <>
tl::expected<GossipMessage, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const GossipMessage& message);
void to_json(nlohmann::json& out, Topic value);
void to_json(nlohmann::json& out, Lane value);
void to_json(nlohmann::json& out, GossipStage value);
void to_json(nlohmann::json& out, MemberPhase value);

} // namespace goldcrestwood