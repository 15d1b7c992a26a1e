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
    const Pending pending { from, claim.key, claim.id, claim.bodyHash, Asked::Claim };
    if (auto known = this->claims.reply(claim.key, claim.id, claim.bodyHash); known && !journal.needsState())
        return { { from, std::move(*known) } };
    const bool isRefused = journal.needsState() || journal.isOutage(now) || this->claims.isFull();
    if (isRefused && !this->recordByAsked.contains({ claim.id, Asked::Claim }))
        return this->refuse(pending, journal, now);
    claim.at = wallTime;
    return this->submit(pending, claim, journal, now);
}

std::vector<AddressedReply> ClaimOwner::onRequest(
    const InstanceId& from, ClaimWithdrawal withdrawal, Journal& journal, TimePoint now, Duration wallTime)
{
    const Pending pending { from, withdrawal.key, withdrawal.id, 0, Asked::Withdrawal };
    auto known = this->claims.reply(withdrawal.key, withdrawal.id, 0);
    if (known && known->verdict == ClaimVerdict::Withdrawn)
        return { { from, std::move(*known) } };
    const auto claim = this->recordByAsked.find({ withdrawal.id, Asked::Claim });
    if (claim != this->recordByAsked.end() && journal.cancel(claim->second)) {
        this->pendingByRecord.erase(claim->second);
        this->recordByAsked.erase(claim);
        return this->refuse(pending, journal, now);
    }
    withdrawal.at = wallTime;
    return this->submit(pending, withdrawal, journal, now);
}

std::vector<AddressedReply> ClaimOwner::onRequest(
    const InstanceId& from, ClaimOutcome outcome, Journal& journal, TimePoint now, Duration wallTime)
{
    const Pending pending { from, outcome.key, outcome.id, 0, Asked::Outcome };
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
    const std::pair submission { pending.id, pending.asked };
    if (const auto known = this->recordByAsked.find(submission); known != this->recordByAsked.end()) {
        this->pendingByRecord[known->second].from = pending.from;
        return {};
    }
    const bool hasCapacity = this->pendingByRecord.size() < this->settings.pending;
    const auto id = hasCapacity ? journal.submit(kindOf<Record>, encode(record), now)
                                : tl::unexpected(SubmitError::QueueFull);
    if (!id)
        return pending.asked == Asked::Claim ? this->refuse(pending, journal, now) : std::vector<AddressedReply>();
    this->recordByAsked[submission] = *id;
    this->pendingByRecord.emplace(*id, std::move(pending));
    return {};
}

std::vector<AddressedReply> ClaimOwner::refuse(const Pending& pending, const Journal& journal, TimePoint now) const
{
    // A daemon that lags behind the log cannot tell whether the call has run; the claimant retries at the standby.
    if (!journal.isCurrent(now))
        return {};
    return { this->refusal(pending, journal.retryAfter(now)) };
}

AddressedReply ClaimOwner::refusal(const Pending& pending, Duration retryAfter) const
{
    return { pending.from, { pending.key, pending.id, ClaimVerdict::NotAppended, {}, {}, retryAfter } };
}

std::optional<ClaimOwner::Pending> ClaimOwner::take(const RecordId& record)
{
    const auto found = this->pendingByRecord.find(record);
    if (found == this->pendingByRecord.end())
        return std::nullopt;
    auto pending = std::move(found->second);
    this->pendingByRecord.erase(found);
    this->recordByAsked.erase({ pending.id, pending.asked });
    return pending;
}

std::vector<AddressedReply> ClaimOwner::onApplied(const AppliedRecord& record)
{
    applyIfKind<ClaimRecord>(this->claims, record);
    applyIfKind<ClaimWithdrawal>(this->claims, record);
    applyIfKind<ClaimOutcome>(this->claims, record);
    const auto pending = this->take(record.id);
    if (!pending)
        return {};
    auto reply = this->claims.reply(pending->key, pending->id, pending->bodyHash);
    if (reply)
        return { { pending->from, std::move(*reply) } };
    // The key has expired, or the shard is full.
    if (pending->asked == Asked::Claim)
        return { this->refusal(*pending, this->settings.fullRetryAfter) };
    return { { pending->from, { pending->key, pending->id, ClaimVerdict::Withdrawn, {}, {}, {} } } };
}

std::vector<AddressedReply> ClaimOwner::onCompletion(const Completion& completion, Duration retryAfter)
{
    if (completion.fate != RecordFate::NotAppended)
        return {};
    const auto pending = this->take(completion.id);
    if (!pending || pending->asked != Asked::Claim)
        return {};
    if (auto known = this->claims.reply(pending->key, pending->id, pending->bodyHash))
        return { { pending->from, std::move(*known) } };
    return { this->refusal(*pending, retryAfter) };
}

void ClaimOwner::adopt(const ClaimTableState& state)
{
    // Claimants resend their requests; records appended by then are in the table.
    this->claims = ClaimTable(this->tableSettings, state);
    this->pendingByRecord.clear();
    this->recordByAsked.clear();
}

} // namespace goldcrestwood
