#pragma once

/// @file
/// The daemon that reads a claim stream: appends claims for the others and tells them how they stand.

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

/// Bounds of an owner.
struct ClaimOwnerSettings {
    /// Requests that wait for a verdict at most; further ones are refused.
    std::size_t pending = 4096;
    /// What claimants are told when the shard has no room for further keys.
    Duration fullRetryAfter = std::chrono::minutes(1);
};

/// A reply and the daemon that it goes to.
struct AddressedReply {
    InstanceId to;
    ClaimReply reply;

    bool operator==(const AddressedReply&) const = default;
};

/// Serves one claim stream. Ownership is for speed only: all verdicts come from the log, so two daemons that
/// both serve a stream, or one that is behind, do no harm.
class ClaimOwner {
public:
    ClaimOwner(const ClaimTableSettings& tableSettings, const ClaimOwnerSettings& settings);

    /// A claim to append, unless the fold decides it already. Asking again with the same id is harmless.
    /// @param from The daemon that asks; this daemon's own claims come in the same way.
    /// @param journal Journal of this stream; poll it afterwards.
    std::vector<AddressedReply> onRequest(const InstanceId& from, ClaimRecord claim, Journal& journal, TimePoint now, Duration wallTime);

    /// A withdrawal to append.
    std::vector<AddressedReply> onRequest(const InstanceId& from, ClaimWithdrawal withdrawal, Journal& journal, TimePoint now, Duration wallTime);

    /// An outcome to append.
    std::vector<AddressedReply> onRequest(const InstanceId& from, ClaimOutcome outcome, Journal& journal, TimePoint now, Duration wallTime);

    /// Folds a record of the stream; records of other kinds are ignored.
    /// @return Verdicts for those who wait for them.
    std::vector<AddressedReply> onApplied(const AppliedRecord& record);

    /// What the journal says of a record; pass the records of the same update to onApplied() first.
    std::vector<AddressedReply> onCompletion(const Completion& completion, Duration retryAfter);

    /// Takes the fold of a snapshot or of a peer that is ahead.
    void adopt(const ClaimTableState& state);

    /// @return The fold.
    const ClaimTable& table() const { return this->claims; }

    /// @return The kinds of records that a claim stream carries, for its Journal.
    static std::set<std::string> recordKinds();

private:
    enum class Asked : std::uint8_t {
        Claim,
        Withdrawal,
        Outcome,
    };

    /// A request that waits for its record.
    struct Pending {
        InstanceId from;
        ClaimKey key;
        ClaimId id;
        std::uint64_t bodyHash = 0;
        Asked asked = Asked::Claim;
    };

    template <typename Record>
    std::vector<AddressedReply> submit(Pending pending, const Record& record, Journal& journal, TimePoint now);
    std::vector<AddressedReply> refuse(const Pending& pending, const Journal& journal, TimePoint now) const;
    AddressedReply refusal(const Pending& pending, Duration retryAfter) const;
    std::optional<Pending> take(const RecordId& record);

    ClaimTableSettings tableSettings;
    ClaimOwnerSettings settings;
    ClaimTable claims;
    std::map<RecordId, Pending> pendingByRecord;
    std::map<std::pair<ClaimId, Asked>, RecordId> recordByAsked;
};

} // namespace goldcrestwood
