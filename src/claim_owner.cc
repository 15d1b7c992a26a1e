#include "goldcrestwood/claim_owner.h"

#include <utility>

namespace goldcrestwood {

namespace {

    template <typename Record>
    constexpr const char* kindOf = "";
    template <>
    constexpr const char* kindOf<ClaimRecord> = "ClaimRecord";
    template <>
    constexpr const char* kindOf<ClaimWithdrawal> = "ClaimWithdrawal";
    template <>
    constexpr const char* kindOf<ClaimOutcome> = "ClaimOutcome";

    template <typename Record>
    void applyIfKind(ClaimTable& table, const AppliedRecord& record)
    {
        if (record.kind != kindOf<Record>)
            return;
        if (const auto message = decode<Record>(record.payload))
            table.apply(*message);
    }

} // namespace

std::set<std::string> ClaimOwner::recordKinds()
{
    return { kindOf<ClaimRecord>, kindOf<ClaimWithdrawal>, kindOf<ClaimOutcome> };
}

ClaimOwner::ClaimOwner(const ClaimTableSettings& tableBounds, const ClaimOwnerSettings& bounds)
    : tableSettings(tableBounds)
    , settings(bounds)
    , claims(tableBounds)
{
}

std::vector<AddressedReply> ClaimOwner::onRequest(
    const InstanceId& from, ClaimRecord claim, Journal& journal, TimePoint now, Duration wallTime)
{
    const Pending pending { from, claim.key, claim.id, claim.bodyHash, SubmissionKind::Claim };
    if (auto known = this->claims.reply(claim.key, claim.id, claim.bodyHash); known && !journal.needsState())
        return { { from, std::move(*known) } };
    const bool isRefused = journal.needsState() || journal.isOutage(now) || this->claims.isFull();
    if (isRefused && !this->recordBySubmission.contains({ claim.id, SubmissionKind::Claim }))
        return this->refuse(pending, journal, now);
    claim.at = wallTime;
    return this->submit(pending, claim, journal, now);
}

std::vector<AddressedReply> ClaimOwner::onRequest(
    const InstanceId& from, ClaimWithdrawal withdrawal, Journal& journal, TimePoint now, Duration wallTime)
{
    const Pending pending { from, withdrawal.key, withdrawal.id, 0, SubmissionKind::Withdrawal };
    auto known = this->claims.reply(withdrawal.key, withdrawal.id, 0);
    if (known && known->verdict == ClaimVerdict::Withdrawn)
        return { { from, std::move(*known) } };
    const auto claim = this->recordBySubmission.find({ withdrawal.id, SubmissionKind::Claim });
    if (claim != this->recordBySubmission.end() && journal.cancel(claim->second)) {
        this->pendingByRecord.erase(claim->second);
        this->recordBySubmission.erase(claim);
        return this->refuse(pending, journal, now);
    }
    withdrawal.at = wallTime;
    return this->submit(pending, withdrawal, journal, now);
}

std::vector<AddressedReply> ClaimOwner::onRequest(
    const InstanceId& from, ClaimOutcome outcome, Journal& journal, TimePoint now, Duration wallTime)
{
    const Pending pending { from, outcome.key, outcome.id, 0, SubmissionKind::Outcome };
    auto known = this->claims.reply(outcome.key, outcome.id, 0);
    const bool isRecorded = known && known->outcome
        && (known->outcome->kind == OutcomeKind::Answered || outcome.kind == OutcomeKind::Unknown);
    if (isRecorded)
        return { { from, std::move(*known) } };
    outcome.at = wallTime;
    return this->submit(pending, outcome, journal, now);
}

template <typename Record>
std::vector<AddressedReply> ClaimOwner::submit(
    Pending pending, const Record& record, Journal& journal, TimePoint now)
{
    const std::pair submission { pending.id, pending.kind };
    if (const auto known = this->recordBySubmission.find(submission); known != this->recordBySubmission.end()) {
        this->pendingByRecord[known->second].from = pending.from;
        return {};
    }
    const bool hasCapacity = this->pendingByRecord.size() < this->settings.maxPending;
    const auto id = hasCapacity ? journal.submit(kindOf<Record>, encode(record), now)
                                : tl::unexpected(SubmitError::QueueFull);
    if (!id)
        return pending.kind == SubmissionKind::Claim ? this->refuse(pending, journal, now) : std::vector<AddressedReply>();
    this->recordBySubmission[submission] = *id;
    this->pendingByRecord.emplace(*id, std::move(pending));
    return {};
}

std::vector<AddressedReply> ClaimOwner::refuse(const Pending& pending, const Journal& journal, TimePoint now) const
{
    // A daemon that lags behind the log cannot tell whether the call has run; the claimant retries at the standby.
    if (!journal.isCurrent(now))
        return {};
    return { this->makeRefusal(pending, journal.retryAfter(now)) };
}

AddressedReply ClaimOwner::makeRefusal(const Pending& pending, Duration retryAfter) const
{
    return { pending.from, { pending.key, pending.id, ClaimVerdict::NotAppended, {}, {}, retryAfter } };
}

std::optional<ClaimOwner::Pending> ClaimOwner::takePending(const RecordId& record)
{
    const auto found = this->pendingByRecord.find(record);
    if (found == this->pendingByRecord.end())
        return std::nullopt;
    auto pending = std::move(found->second);
    this->pendingByRecord.erase(found);
    this->recordBySubmission.erase({ pending.id, pending.kind });
    return pending;
}

std::vector<AddressedReply> ClaimOwner::onApplied(const AppliedRecord& record)
{
    applyIfKind<ClaimRecord>(this->claims, record);
    applyIfKind<ClaimWithdrawal>(this->claims, record);
    applyIfKind<ClaimOutcome>(this->claims, record);
    const auto pending = this->takePending(record.id);
    if (!pending)
        return {};
    auto reply = this->claims.reply(pending->key, pending->id, pending->bodyHash);
    if (reply)
        return { { pending->from, std::move(*reply) } };
    // The key has expired, or the shard is full.
    if (pending->kind == SubmissionKind::Claim)
        return { this->makeRefusal(*pending, this->settings.fullRetryAfter) };
    return { { pending->from, { pending->key, pending->id, ClaimVerdict::Withdrawn, {}, {}, {} } } };
}

std::vector<AddressedReply> ClaimOwner::onCompletion(const Completion& completion, Duration retryAfter)
{
    if (completion.outcome != RecordOutcome::NotAppended)
        return {};
    const auto pending = this->takePending(completion.id);
    if (!pending || pending->kind != SubmissionKind::Claim)
        return {};
    if (auto known = this->claims.reply(pending->key, pending->id, pending->bodyHash))
        return { { pending->from, std::move(*known) } };
    return { this->makeRefusal(*pending, retryAfter) };
}

void ClaimOwner::restore(const ClaimTableState& state)
{
    // Claimants resend their requests; records appended by then are in the table.
    this->claims = ClaimTable(this->tableSettings, state);
    this->pendingByRecord.clear();
    this->recordBySubmission.clear();
}

} // namespace goldcrestwood
