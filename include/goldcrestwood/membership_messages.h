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

/// Subject of a gossip cell, latch or note.
enum class Topic : std::uint8_t {
    Membership, ///< A daemon's own MemberInfo.
    Suspicion, ///< SuspicionInfo about a peer that a daemon cannot reach.
    ConfigRevision, ///< Active configuration revision of a daemon.
    RegionSummary, ///< Summary of a region; sent across regions.
    RolloutEvidence, ///< Outcome counts of a version, observed by one daemon.
    UpstreamLoad, ///< Total load of the upstreams that a daemon owns.
    DaemonLoad, ///< Load of a daemon.
    DomainOut, ///< Latch: a failure domain is drained.
    VersionTakeBack, ///< Latch: a version is reverted.
    ProvisionalOrder, ///< Latch: an operator's order that is not recorded yet.
    PermitDemand, ///< Note to the owner of an upstream: request for permits.
    PermitGrant, ///< Note from the owner of an upstream: permits granted.
};

/// @return The name of @p value as in the schema.
const char* toString(Topic value);

/// Cells of one lane share a sequence and a priority under the byte budget; lanes are sent in the order listed.
enum class Lane : std::uint8_t {
    Summary, ///< Cells sent across regions.
    Control, ///< Membership and revisions, within a region.
    Evidence, ///< Outcomes of versions, within a region.
    Bulk, ///< Load, within a region.
};

/// @return The name of @p value as in the schema.
const char* toString(Lane value);

/// Stage of a message in an exchange.
enum class GossipStage : std::uint8_t {
    Probe, ///< Opens an exchange without a digest; expects an answer.
    Exchange, ///< Opens an exchange with a digest; expects an answer.
    Answer, ///< Answers a probe or an exchange.
    Final, ///< Sends the data requested by the answer; not answered.
};

/// @return The name of @p value as in the schema.
const char* toString(GossipStage value);

/// Readiness of a daemon, as reported by itself.
enum class MemberPhase : std::uint8_t {
    Starting, ///< Holds no configuration yet.
    Ready, ///< Takes work.
    Isolated, ///< Cannot learn of drain orders; takes no new work.
    Leaving, ///< Still accepts work, but is not listed to callers.
    Left, ///< Shut down in an orderly way.
    Warming, ///< May own resources, but has no permits yet; is not listed to callers.
};

/// @return The name of @p value as in the schema.
const char* toString(MemberPhase value);

/// A daemon's information about itself.
struct MemberInfo {
    /// IP address and port for peers.
    std::string peerAddress;
    /// IP address and port for callers.
    std::string callerAddress;
    /// Its failure domain.
    FailureDomain domain;
    /// Region of that domain.
    Region region;
    /// Its readiness.
    MemberPhase phase = MemberPhase::Starting;
    /// Incremented to refute a suspicion.
    std::uint64_t counter = 0;

    bool operator==(const MemberInfo&) const = default;
};

/// A peer that does not answer; refuted by a higher incarnation or counter.
struct SuspicionInfo {
    /// Incarnation that does not answer.
    std::uint64_t incarnation = 0;
    /// Highest known counter of the peer.
    std::uint64_t counter = 0;

    bool operator==(const SuspicionInfo&) const = default;
};

/// Load of a daemon.
struct DaemonLoadInfo {
    /// Share of its capacity in use, 0 to 1.
    double utilisation = 0;

    bool operator==(const DaemonLoadInfo&) const = default;
};

/// A fallback address for callers of other regions.
struct RegionEndpoint {
    /// IP address and port for callers.
    std::string address;
    /// Its failure domain.
    FailureDomain domain;
    /// Share of its capacity in use, 0 to 1.
    double utilisation = 0;

    bool operator==(const RegionEndpoint&) const = default;
};

/// Some instances of a region that take work; payload of a RegionSummary cell.
struct RegionEndpoints {
    /// The region.
    Region region;
    /// The instances.
    std::vector<RegionEndpoint> endpoints;

    bool operator==(const RegionEndpoints&) const = default;
};

/// A value that only its owner writes.
struct GossipCell {
    /// Its subject.
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

/// All cells of an owner and lane with base < sequence <= upTo; an arbitrary subset if upTo is 0.
struct GossipDelta {
    /// The writer of the cells.
    InstanceId owner;
    /// Incarnation of the owner.
    std::uint64_t incarnation = 0;
    /// Lane of the cells.
    Lane lane = Lane::Summary;
    /// Sequence that the receiver must have reached to apply the delta.
    std::uint64_t base = 0;
    /// Sequence that the receiver has reached after applying it.
    std::uint64_t upTo = 0;
    /// Cells in ascending order of sequence.
    std::vector<GossipCell> cells;

    bool operator==(const GossipDelta&) const = default;
};

/// The sender's progress with one owner.
struct DigestEntry {
    /// Salted hash of the owner's id and incarnation.
    std::uint32_t owner = 0;
    /// Highest sequence without a gap.
    std::uint64_t sequence = 0;

    bool operator==(const DigestEntry&) const = default;
};

/// The sender's progress in one lane, for one slice of the owners.
struct LaneDigest {
    /// The lane.
    Lane lane = Lane::Summary;
    /// Index of the slice.
    std::uint32_t slice = 0;
    /// Number of slices that the owners are divided into.
    std::uint32_t slices = 1;
    /// The owners of the slice.
    std::vector<DigestEntry> entries;

    bool operator==(const LaneDigest&) const = default;
};

/// A value that any daemon can set, and that stays set until it is retired or expires.
struct GossipLatch {
    /// Its subject.
    Topic topic = Topic::Membership;
    /// Unique within the topic.
    std::string key;
    /// Encoded message.
    std::string payload;
    /// Whether the log has taken over; overrides a set value.
    bool retired = false;
    /// Time since it was set.
    Duration age = Duration(0);

    bool operator==(const GossipLatch&) const = default;
};

/// A value for the receiver only; the sender repeats it while it is relevant.
struct GossipNote {
    /// Its subject.
    Topic topic = Topic::Membership;
    /// A later note with the same key replaces it.
    std::string key;
    /// Encoded message.
    std::string payload;

    bool operator==(const GossipNote&) const = default;
};

/// Cells of a topic that did not fit into a message.
struct TopicDrop {
    /// The topic.
    Topic topic = Topic::Membership;
    /// Number of cells deferred.
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
    /// Stage in the exchange.
    GossipStage stage = GossipStage::Probe;
    /// Salt of the hashes in the digests of this exchange.
    std::uint32_t salt = 0;
    /// Hash of the sender's set of latches.
    std::uint64_t latchHash = 0;
    /// Latches that the receiver may lack.
    std::vector<GossipLatch> latches;
    /// In an exchange, the sender's progress; in an answer, what it requests.
    std::vector<LaneDigest> digests;
    /// Cells that the receiver may lack.
    std::vector<GossipDelta> deltas;
    /// Values for the receiver only.
    std::vector<GossipNote> notes;
    /// Cells that did not fit.
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