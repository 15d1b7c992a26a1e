#pragma once

/// @file
/// Records of the platform's log that several daemons fold, and the messages between claimants and owners of claim streams.
/// Generated from schema/journal_messages.toml by support/generate.py; edit the schema instead.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "goldcrestwood/codec.h"
#include "goldcrestwood/configuration.h"
#include "goldcrestwood/log_record.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A table of the configuration.
enum class EntryTable : std::uint8_t {
    Account, ///< Client accounts.
    Service, ///< Services.
    Version, ///< Weight versions; the key is service/version.
    Upstream, ///< Back ends.
    Store, ///< Store instances.
    Domain, ///< Failure domains.
};

/// @return The name of @p value as in the schema.
const char* toString(EntryTable value);

/// Target of a drain order.
enum class DrainTarget : std::uint8_t {
    Domain, ///< A failure domain.
    Upstream, ///< One upstream.
};

/// @return The name of @p value as in the schema.
const char* toString(DrainTarget value);

/// State of a claim, as known to the owner of the claim stream.
enum class ClaimVerdict : std::uint8_t {
    Unknown, ///< The record may still be appended.
    Won, ///< The claim is the first active one for its key.
    Held, ///< Another claim with the same body holds the key.
    Mismatch, ///< The key is held for another body.
    Recorded, ///< The key has an outcome.
    Withdrawn, ///< The claim was withdrawn.
    NotAppended, ///< The record is not in the log and can no longer be appended.
};

/// @return The name of @p value as in the schema.
const char* toString(ClaimVerdict value);

/// How a dispatched call ended.
enum class OutcomeKind : std::uint8_t {
    Answered, ///< The upstream answered.
    Unknown, ///< The call was sent; its answer was lost.
};

/// @return The name of @p value as in the schema.
const char* toString(OutcomeKind value);

/// Invalidates all earlier ids of its writer that do not precede it in the log.
struct FenceRecord {
    /// Lowest sequence whose outcome the writer does not know.
    std::uint64_t unknownFrom = 0;

    bool operator==(const FenceRecord&) const = default;
};

/// The highest record id that a fold has seen from a writer; lower ones are dropped.
struct WriterMark {
    /// The highest id.
    RecordId id;
    /// Its offset.
    std::uint64_t offset = 0;

    bool operator==(const WriterMark&) const = default;
};

/// The state of one fold of a stream.
struct FoldPart {
    /// Message type of the state.
    std::string name;
    /// Encoded message.
    std::string state;

    bool operator==(const FoldPart&) const = default;
};

/// The state of all folds after a prefix of the stream.
struct FoldState {
    /// Name of the stream.
    std::string stream;
    /// Offset of the first record that is not folded in.
    std::uint64_t next = 0;
    /// Marks of the writers, sorted by id.
    std::vector<WriterMark> writers;
    /// States of the folds.
    std::vector<FoldPart> parts;

    bool operator==(const FoldState&) const = default;
};

/// One piece of an encoded FoldState, appended to the stream that it covers.
struct SnapshotChunk {
    /// Next offset of the state.
    std::uint64_t next = 0;
    /// Distinguishes this snapshot from others of the same offset.
    RecordId writer;
    /// Index of this piece, from 0.
    std::uint32_t index = 0;
    /// Number of pieces.
    std::uint32_t count = 0;
    /// Hash of the whole encoded state.
    std::uint64_t checksum = 0;
    /// The piece.
    std::string bytes;

    bool operator==(const SnapshotChunk&) const = default;
};

/// Identifies an entry of the configuration.
struct EntryRef {
    /// Its table.
    EntryTable table = EntryTable::Account;
    /// Its unique name in the table.
    std::string key;

    bool operator==(const EntryRef&) const = default;
    auto operator<=>(const EntryRef&) const = default;
};

/// A change of the configuration: added, changed and removed entries.
struct ConfigurationEdit {
    /// Revision that the edit is based on.
    std::uint64_t base = 0;
    /// New and changed entries.
    Configuration changed;
    /// Removed entries.
    std::vector<EntryRef> removed;
    /// Who made the edit.
    std::string author;

    bool operator==(const ConfigurationEdit&) const = default;
};

/// When an entry was last changed or removed.
struct EntryRevision {
    /// The entry.
    EntryRef entry;
    /// Revision of the change.
    std::uint64_t revision = 0;

    bool operator==(const EntryRevision&) const = default;
};

/// An operator's order to drain a failure domain or an upstream, or to return it to service.
struct DrainOrder {
    /// Id assigned by the daemon that received the order; repeats with the same id are ignored.
    RecordId origin;
    /// Kind of the target.
    DrainTarget target = DrainTarget::Domain;
    /// The failure domain or upstream.
    std::string name;
    /// Out to drain, In to return to service.
    DomainState state = DomainState::In;

    bool operator==(const DrainOrder&) const = default;
};

/// The catalog in a snapshot.
struct CatalogState {
    /// Revision of the last accepted edit.
    std::uint64_t revision = 0;
    /// All entries.
    Configuration configuration;
    /// When each entry was changed.
    std::vector<EntryRevision> revisions;
    /// When entries were removed, oldest first.
    std::vector<EntryRevision> removals;
    /// Edits on a base below this revision are refused.
    std::uint64_t forgottenRemovals = 0;
    /// Active orders.
    std::vector<DrainOrder> drained;
    /// Origins of recent orders, oldest first.
    std::vector<RecordId> seenOrders;

    bool operator==(const CatalogState&) const = default;
};

/// Claims a lease; the first claim that refers to the current state of the lease wins.
struct LeaseClaim {
    /// Name of the lease.
    std::string name;
    /// Fencing number of the lease that it replaces; 0 if there is none.
    std::uint64_t replaces = 0;
    /// Attempt of the last renewal that the claimant has read.
    std::uint64_t lastRenewal = 0;
    /// How long the lease lasts after a renewal.
    Duration term = Duration(0);
    /// Number by which the claimant looks up the send time.
    std::uint64_t attempt = 0;

    bool operator==(const LeaseClaim&) const = default;
};

/// Extends a lease by its term.
struct LeaseRenewal {
    /// Name of the lease.
    std::string name;
    /// Fencing number of the lease.
    std::uint64_t fence = 0;
    /// Number by which the holder looks up the send time.
    std::uint64_t attempt = 0;

    bool operator==(const LeaseRenewal&) const = default;
};

/// Releases a lease; the holder gives no more orders.
struct LeaseRelease {
    /// Name of the lease.
    std::string name;
    /// Fencing number of the lease.
    std::uint64_t fence = 0;

    bool operator==(const LeaseRelease&) const = default;
};

/// State of a lease according to the log.
struct LeaseState {
    /// Name of the lease.
    std::string name;
    /// The daemon that holds it; empty after a release.
    InstanceId holder;
    /// The holder's incarnation.
    std::uint64_t incarnation = 0;
    /// Fencing number: one past the offset of the claim; grows with each holder.
    std::uint64_t fence = 0;
    /// How long the lease lasts after a renewal.
    Duration term = Duration(0);
    /// Attempt of the last claim or renewal.
    std::uint64_t renewal = 0;
    /// Offset of the last valid record.
    std::uint64_t changed = 0;

    bool operator==(const LeaseState&) const = default;
};

/// All leases in a snapshot.
struct LeaseTableState {
    /// The leases, sorted by name.
    std::vector<LeaseState> leases;

    bool operator==(const LeaseTableState&) const = default;
};

/// Digest of account, service and idempotency key.
struct ClaimKey {
    /// First half; it determines the shard.
    std::uint64_t high = 0;
    /// Second half.
    std::uint64_t low = 0;

    bool operator==(const ClaimKey&) const = default;
    auto operator<=>(const ClaimKey&) const = default;
};

/// Identifies one request's claim, whichever daemon appends it.
struct ClaimId {
    /// The daemon that may dispatch the call.
    InstanceId claimant;
    /// Its incarnation.
    std::uint64_t incarnation = 0;
    /// Sequence number within the incarnation.
    std::uint64_t number = 0;

    bool operator==(const ClaimId&) const = default;
    auto operator<=>(const ClaimId&) const = default;
};

/// Claims the exclusive right to execute a call.
struct ClaimRecord {
    /// The claimed key.
    ClaimKey key;
    /// The claim.
    ClaimId id;
    /// Hash of the request body.
    std::uint64_t bodyHash = 0;
    /// Wall time since 1970 at the writer.
    Duration at = Duration(0);

    bool operator==(const ClaimRecord&) const = default;
};

/// Withdraws a claim whose call was not and will not be dispatched.
struct ClaimWithdrawal {
    /// The claimed key.
    ClaimKey key;
    /// The claim.
    ClaimId id;
    /// Wall time since 1970 at the writer.
    Duration at = Duration(0);

    bool operator==(const ClaimWithdrawal&) const = default;
};

/// How a claimed call ended.
struct ClaimOutcome {
    /// The claimed key.
    ClaimKey key;
    /// The claim.
    ClaimId id;
    /// Whether there is an answer.
    OutcomeKind kind = OutcomeKind::Answered;
    /// HTTP status of the answer.
    std::uint32_t status = 0;
    /// Content type of the answer.
    std::string contentType;
    /// The answer, if it does not exceed the bound.
    std::string body;
    /// Size of the whole answer.
    std::uint64_t bodyBytes = 0;
    /// SHA-256 of the whole answer, hexadecimal, if the body is not kept.
    std::string bodyDigest;
    /// Wall time since 1970 at the writer.
    Duration at = Duration(0);

    bool operator==(const ClaimOutcome&) const = default;
};

/// Reply of the owner of a claim stream to a claimant.
struct ClaimReply {
    /// The claimed key.
    ClaimKey key;
    /// The claim that was queried.
    ClaimId id;
    /// State of the claim.
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    /// The claim that holds the key.
    ClaimId holder;
    /// The recorded outcome.
    std::optional<ClaimOutcome> outcome;
    /// Delay before the next query.
    Duration retryAfter = Duration(0);

    bool operator==(const ClaimReply&) const = default;
};

/// Queries a claimant for the state of its claim.
struct ClaimQuery {
    /// The claimed key.
    ClaimKey key;
    /// The claim that holds the key.
    ClaimId id;
    /// The claim that waits; the reply names it.
    ClaimId asker;

    bool operator==(const ClaimQuery&) const = default;
};

/// A key in a claim fold.
struct ClaimEntry {
    /// The key.
    ClaimKey key;
    /// The claim that holds it.
    ClaimId holder;
    /// Hash of the request body.
    std::uint64_t bodyHash = 0;
    /// Fold time of the claim.
    Duration since = Duration(0);
    /// The outcome, once recorded.
    std::optional<ClaimOutcome> outcome;

    bool operator==(const ClaimEntry&) const = default;
};

/// A withdrawn claim; it stays withdrawn if its record is appended late.
struct ClaimMark {
    /// The claim.
    ClaimId id;
    /// Fold time of the withdrawal.
    Duration since = Duration(0);

    bool operator==(const ClaimMark&) const = default;
};

/// A claim fold in a snapshot.
struct ClaimTableState {
    /// Time of the fold.
    Duration time = Duration(0);
    /// Keys, oldest first.
    std::vector<ClaimEntry> entries;
    /// Withdrawn claims, oldest first.
    std::vector<ClaimMark> withdrawn;

    bool operator==(const ClaimTableState&) const = default;
};

template <>
std::string encode(const FenceRecord& message);
template <>
tl::expected<FenceRecord, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const FenceRecord& message);
template <>
std::string encode(const WriterMark& message);
template <>
tl::expected<WriterMark, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const WriterMark& message);
template <>
std::string encode(const FoldPart& message);
template <>
tl::expected<FoldPart, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const FoldPart& message);
template <>
std::string encode(const FoldState& message);
template <>
tl::expected<FoldState, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const FoldState& message);
template <>
std::string encode(const SnapshotChunk& message);
template <>
tl::expected<SnapshotChunk, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const SnapshotChunk& message);
template <>
std::string encode(const EntryRef& message);
template <>
tl::expected<EntryRef, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const EntryRef& message);
template <>
std::string encode(const ConfigurationEdit& message);
template <>
tl::expected<ConfigurationEdit, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ConfigurationEdit& message);
template <>
std::string encode(const EntryRevision& message);
template <>
tl::expected<EntryRevision, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const EntryRevision& message);
template <>
std::string encode(const DrainOrder& message);
template <>
tl::expected<DrainOrder, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DrainOrder& message);
template <>
std::string encode(const CatalogState& message);
template <>
tl::expected<CatalogState, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const CatalogState& message);
template <>
std::string encode(const LeaseClaim& message);
template <>
tl::expected<LeaseClaim, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LeaseClaim& message);
template <>
std::string encode(const LeaseRenewal& message);
template <>
tl::expected<LeaseRenewal, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LeaseRenewal& message);
template <>
std::string encode(const LeaseRelease& message);
template <>
tl::expected<LeaseRelease, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LeaseRelease& message);
template <>
std::string encode(const LeaseState& message);
template <>
tl::expected<LeaseState, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LeaseState& message);
template <>
std::string encode(const LeaseTableState& message);
template <>
tl::expected<LeaseTableState, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LeaseTableState& message);
template <>
std::string encode(const ClaimKey& message);
template <>
tl::expected<ClaimKey, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimKey& message);
template <>
std::string encode(const ClaimId& message);
template <>
tl::expected<ClaimId, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimId& message);
template <>
std::string encode(const ClaimRecord& message);
template <>
tl::expected<ClaimRecord, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimRecord& message);
template <>
std::string encode(const ClaimWithdrawal& message);
template <>
tl::expected<ClaimWithdrawal, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimWithdrawal& message);
template <>
std::string encode(const ClaimOutcome& message);
template <>
tl::expected<ClaimOutcome, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimOutcome& message);
template <>
std::string encode(const ClaimReply& message);
template <>
tl::expected<ClaimReply, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimReply& message);
template <>
std::string encode(const ClaimQuery& message);
template <>
tl::expected<ClaimQuery, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimQuery& message);
template <>
std::string encode(const ClaimEntry& message);
template <>
tl::expected<ClaimEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimEntry& message);
template <>
std::string encode(const ClaimMark& message);
template <>
tl::expected<ClaimMark, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimMark& message);
template <>
std::string encode(const ClaimTableState& message);
template <>
tl::expected<ClaimTableState, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ClaimTableState& message);
void to_json(nlohmann::json& out, EntryTable value);
void to_json(nlohmann::json& out, DrainTarget value);
void to_json(nlohmann::json& out, ClaimVerdict value);
void to_json(nlohmann::json& out, OutcomeKind value);

} // namespace goldcrestwood