#pragma once

/// @file
/// The daemon that serves a claim stream: appends claims for other daemons and reports verdicts to them.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestwood/claims.h"
#include "goldcrestwood/journal.h"

namespace goldcrestwood {

/// Bounds of a ClaimOwner.
struct ClaimOwnerSettings {
    /// Maximum number of requests that wait for a verdict; further ones are refused.
    std::size_t maxPending = 4096;
    /// Retry delay given to claimants when the shard is full.
    Duration fullRetryAfter = std::chrono::minutes(1);
};

/// A reply and its recipient.
struct AddressedReply {
    InstanceId to;
    ClaimReply reply;

    bool operator==(const AddressedReply&) const = default;
};

/// Serves one claim stream. Ownership is only an optimization: all verdicts come from the log, so it is safe if two daemons
/// serve the same stream or if one of them lags behind.
class ClaimOwner {
public:
    ClaimOwner(const ClaimTableSettings& tableSettings, const ClaimOwnerSettings& settings);

    /// Appends a claim unless the claim table already decides it. Repeated requests with the same id are harmless.
    /// @param from The requesting daemon, which may be this one.
    /// @param journal Journal of this stream; poll it afterwards.
    std::vector<AddressedReply> onRequest(const InstanceId& from, ClaimRecord claim, Journal& journal, TimePoint now, Duration wallTime);

    /// Appends a withdrawal, or cancels the claim if it has not been sent to the log yet.
    std::vector<AddressedReply> onRequest(const InstanceId& from, ClaimWithdrawal withdrawal, Journal& journal, TimePoint now, Duration wallTime);

    /// Appends an outcome.
    std::vector<AddressedReply> onRequest(const InstanceId& from, ClaimOutcome outcome, Journal& journal, TimePoint now, Duration wallTime);

    /// Applies a record of the stream; records of other kinds are ignored.
    /// @return Verdicts for the requests that wait for this record.
    std::vector<AddressedReply> onApplied(const AppliedRecord& record);

    /// The journal has reported the result of a submission; pass the records of the same update to onApplied() first.
    std::vector<AddressedReply> onCompletion(const Completion& completion, Duration retryAfter);

    /// Replaces the state by that of a snapshot or of a peer that is ahead.
    void restore(const ClaimTableState& state);

    /// @return The claim table of this stream.
    const ClaimTable& table() const { return this->claims; }

    /// @return The kinds of records in a claim stream, for its Journal.
    static std::set<std::string> recordKinds();

private:
    enum class SubmissionKind : std::uint8_t {
        Claim,
        Withdrawal,
        Outcome,
    };

    /// A request that waits for its record to be applied.
    struct Pending {
        InstanceId from;
        ClaimKey key;
        ClaimId id;
        std::uint64_t bodyHash = 0;
        SubmissionKind kind = SubmissionKind::Claim;
    };

    template <typename Record>
    std::vector<AddressedReply> submit(Pending pending, const Record& record, Journal& journal, TimePoint now);
    std::vector<AddressedReply> refuse(const Pending& pending, const Journal& journal, TimePoint now) const;
    AddressedReply makeRefusal(const Pending& pending, Duration retryAfter) const;
    std::optional<Pending> takePending(const RecordId& record);

    ClaimTableSettings tableSettings;
    ClaimOwnerSettings settings;
    ClaimTable claims;
    std::map<RecordId, Pending> pendingByRecord;
    std::map<std::pair<ClaimId, SubmissionKind>, RecordId> recordBySubmission;
};

} // namespace goldcrestwood
