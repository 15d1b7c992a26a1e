#include "goldcrestwood/claimant.h"

#include <algorithm>
#include <iterator>

namespace goldcrestwood {

namespace {

    /// One in this many messages goes to the standby.
    constexpr std::uint32_t standbyInterval = 3;
    /// Maximum number of times that the resend delay doubles.
    constexpr std::uint32_t maxDoublings = 4;

    ClaimAnswer answerOf(const ClaimOutcome& outcome, bool isRepeated, Duration retryAfter)
    {
        if (outcome.kind == OutcomeKind::Unknown)
            return AnswerUnknown { retryAfter };
        return AnswerOutcome { outcome, isRepeated };
    }

} // namespace

Claimant::Claimant(const ClaimantSettings& bounds, InstanceId instance, std::uint64_t ownIncarnation)
    : settings(bounds)
    , self(std::move(instance))
    , incarnation(ownIncarnation)
{
}

ClaimId Claimant::idOf(std::uint64_t number) const
{
    return { this->self, this->incarnation, number };
}

ClaimMessage Claimant::messageOf(std::uint64_t number, const Call& call) const
{
    if (call.stage == Stage::Withdrawing)
        return ClaimWithdrawal { call.key, this->idOf(number), {} };
    if (call.outcome)
        return *call.outcome;
    return ClaimRecord { call.key, this->idOf(number), call.bodyHash, {} };
}

void Claimant::send(std::uint64_t number, Call& call, TimePoint now, Random& random, ClaimantActions& actions)
{
    ++call.messagesSent;
    const std::uint32_t rank = call.messagesSent % standbyInterval == 0 ? 1 : 0;
    const auto doublings = std::min(call.messagesSent - 1, maxDoublings);
    const auto wait = toSeconds(this->settings.retryInterval) * (1U << doublings) * (0.75 + 0.5 * uniform(random));
    call.nextSendAt = now + fromSeconds(wait);
    actions.emplace_back(SendToOwner { rank, this->messageOf(number, call) });
}

void Claimant::answerOnce(Call& call, ClaimAnswer content, ClaimantActions& actions)
{
    if (!std::exchange(call.answered, true))
        actions.emplace_back(AnswerCaller { call.request, std::move(content) });
}

void Claimant::enterStage(std::uint64_t number, Call& call, Stage stage, TimePoint now, Random& random, ClaimantActions& actions)
{
    call.stage = stage;
    call.messagesSent = 0;
    call.giveUpAt = now + this->settings.recordTimeout;
    this->send(number, call, now, random, actions);
}

ClaimantActions Claimant::begin(std::uint64_t request, const ClaimKey& key, std::uint64_t bodyHash,
    TimePoint deadline, TimePoint now, Random& random)
{
    ClaimantActions actions;
    if (this->calls.size() >= this->settings.maxCalls) {
        actions.emplace_back(AnswerCaller { request, AnswerNotRun { NotRunScope::Request, this->settings.retryAfter } });
        return actions;
    }
    const auto number = this->nextNumber++;
    auto& call = this->calls[number];
    call.request = request;
    call.key = key;
    call.bodyHash = bodyHash;
    call.deadline = deadline;
    this->send(number, call, now, random, actions);
    return actions;
}

ClaimantActions Claimant::onReply(const ClaimReply& reply, TimePoint now, Random& random)
{
    ClaimantActions actions;
    const auto found = this->calls.find(reply.id.number);
    if (found == this->calls.end() || reply.id != this->idOf(reply.id.number))
        return actions;
    auto& [number, call] = *found;
    switch (call.stage) {
    case Stage::Claiming:
        this->onClaimingReply(number, call, reply, now, random, actions);
        break;
    case Stage::Withdrawing:
        this->onWithdrawingReply(call, reply, actions);
        break;
    case Stage::Recording:
        if (reply.verdict == ClaimVerdict::Recorded || reply.verdict == ClaimVerdict::Withdrawn)
            call.stage = Stage::Ended;
        break;
    case Stage::Dispatched:
    case Stage::Ended:
        break;
    }
    if (call.stage == Stage::Ended)
        this->calls.erase(found);
    return actions;
}

void Claimant::onClaimingReply(std::uint64_t number, Call& call, const ClaimReply& reply, TimePoint now, Random& random,
    ClaimantActions& actions)
{
    switch (reply.verdict) {
    case ClaimVerdict::Unknown:
        return;
    case ClaimVerdict::Won:
        if (now >= call.deadline) {
            this->answerOnce(call, AnswerNotRun { NotRunScope::Key, this->settings.retryAfter }, actions);
            this->enterStage(number, call, Stage::Withdrawing, now, random, actions);
            return;
        }
        call.stage = Stage::Dispatched;
        actions.emplace_back(Dispatch { this->idOf(number), call.deadline });
        return;
    case ClaimVerdict::Held:
        call.isHeldByOther = true;
        if (std::exchange(call.queriedHolder, reply.holder) != reply.holder)
            actions.emplace_back(QueryHolder { reply.holder.claimant, { call.key, reply.holder, this->idOf(number) } });
        return;
    case ClaimVerdict::Mismatch:
        this->answerOnce(call, AnswerMismatch(), actions);
        call.stage = Stage::Ended;
        return;
    case ClaimVerdict::Recorded:
        this->answerOnce(call, answerOf(reply.outcome.value_or(ClaimOutcome()), true, this->settings.retryAfter), actions);
        call.stage = Stage::Ended;
        return;
    case ClaimVerdict::Withdrawn:
    case ClaimVerdict::NotAppended:
        this->onRefused(number, call, reply, now, random, actions);
        return;
    }
}

void Claimant::onRefused(std::uint64_t number, Call& call, const ClaimReply& reply, TimePoint now, Random& random,
    ClaimantActions& actions)
{
    const auto retryAfter = std::max(reply.retryAfter, this->settings.retryAfter);
    if (call.isHeldByOther)
        this->answerOnce(call, AnswerUnknown { retryAfter }, actions);
    else
        this->answerOnce(call, AnswerNotRun { NotRunScope::Request, retryAfter }, actions);
    // An earlier message may have led an owner to append the claim.
    if (call.messagesSent > 1)
        this->enterStage(number, call, Stage::Withdrawing, now, random, actions);
    else
        call.stage = Stage::Ended;
}

void Claimant::onWithdrawingReply(Call& call, const ClaimReply& reply, ClaimantActions& actions)
{
    const auto retryAfter = std::max(reply.retryAfter, this->settings.retryAfter);
    switch (reply.verdict) {
    case ClaimVerdict::Unknown:
    case ClaimVerdict::Won:
        return;
    case ClaimVerdict::Withdrawn:
        if (reply.holder == ClaimId())
            this->answerOnce(call, AnswerNotRun { NotRunScope::Key, retryAfter }, actions);
        break;
    case ClaimVerdict::NotAppended:
        if (!call.isHeldByOther)
            this->answerOnce(call, AnswerNotRun { NotRunScope::Request, retryAfter }, actions);
        break;
    case ClaimVerdict::Mismatch:
        this->answerOnce(call, AnswerMismatch(), actions);
        break;
    case ClaimVerdict::Recorded:
        this->answerOnce(call, answerOf(reply.outcome.value_or(ClaimOutcome()), true, retryAfter), actions);
        break;
    case ClaimVerdict::Held:
        break;
    }
    this->answerOnce(call, AnswerUnknown { retryAfter }, actions);
    call.stage = Stage::Ended;
}

ClaimantActions Claimant::onDispatchResult(
    const ClaimId& id, const DispatchResult& result, TimePoint now, Random& random)
{
    ClaimantActions actions;
    const auto found = this->calls.find(id.number);
    if (found == this->calls.end() || id != this->idOf(id.number) || found->second.stage != Stage::Dispatched)
        return actions;
    auto& [number, call] = *found;
    if (std::holds_alternative<DispatchNotSent>(result)) {
        this->answerOnce(call, AnswerNotRun { NotRunScope::Key, this->settings.retryAfter }, actions);
        this->enterStage(number, call, Stage::Withdrawing, now, random, actions);
        return actions;
    }
    const auto* answered = std::get_if<DispatchAnswered>(&result);
    call.outcome = answered ? answered->outcome : ClaimOutcome();
    call.outcome->key = call.key;
    call.outcome->id = id;
    call.outcome->kind = answered ? OutcomeKind::Answered : OutcomeKind::Unknown;
    this->answerOnce(call, answerOf(*call.outcome, false, this->settings.retryAfter), actions);
    this->enterStage(number, call, Stage::Recording, now, random, actions);
    return actions;
}

QueryAnswer Claimant::onQuery(const ClaimQuery& query)
{
    QueryAnswer result;
    if (query.id != this->idOf(query.id.number))
        return result;
    const auto found = this->calls.find(query.id.number);
    if (found == this->calls.end()) {
        // Dispatched calls stay in progress until their outcome is recorded, and a withdrawal does not undo a recorded outcome.
        const bool wasIssued = query.id.number < this->nextNumber;
        if (wasIssued && !this->gaveUpRecording)
            result.actions.emplace_back(SendToOwner { 0, ClaimWithdrawal { query.key, query.id, {} } });
        return result;
    }
    const auto& call = found->second;
    result.reply = ClaimReply { query.key, query.asker, ClaimVerdict::Held, query.id, call.outcome, {} };
    if (call.outcome)
        result.reply->verdict = ClaimVerdict::Recorded;
    return result;
}

ClaimantActions Claimant::onStatusFound(const ClaimId& holder, const ClaimOutcome& outcome)
{
    ClaimantActions actions;
    auto found = outcome;
    found.id = holder;
    found.kind = OutcomeKind::Answered;
    actions.emplace_back(SendToOwner { 0, found });
    for (auto position = this->calls.begin(); position != this->calls.end();) {
        auto& call = position->second;
        const bool isWaiting = call.key == outcome.key && call.stage == Stage::Claiming && call.isHeldByOther;
        if (isWaiting)
            this->answerOnce(call, AnswerOutcome { found, true }, actions);
        position = isWaiting ? this->calls.erase(position) : std::next(position);
    }
    return actions;
}

void Claimant::onTimer(std::uint64_t number, Call& call, TimePoint now, Random& random, ClaimantActions& actions)
{
    const bool isLate = now >= call.deadline;
    switch (call.stage) {
    case Stage::Claiming:
        // A claim that lost needs no withdrawal: it has no effect unless the key became free, and then a query withdraws it.
        if (call.isHeldByOther && isLate) {
            this->answerOnce(call, AnswerUnknown { this->settings.retryAfter }, actions);
            call.stage = Stage::Ended;
        } else if (!call.isHeldByOther && now >= call.deadline - this->settings.withdrawalLeadTime) {
            this->enterStage(number, call, Stage::Withdrawing, now, random, actions);
        } else if (now >= call.nextSendAt) {
            this->send(number, call, now, random, actions);
        }
        return;
    case Stage::Dispatched:
        if (isLate)
            this->answerOnce(call, AnswerUnknown { this->settings.retryAfter }, actions);
        return;
    case Stage::Withdrawing:
    case Stage::Recording:
        if (isLate)
            this->answerOnce(call, AnswerUnknown { this->settings.retryAfter }, actions);
        if (now >= call.giveUpAt) {
            this->gaveUpRecording = this->gaveUpRecording || call.stage == Stage::Recording;
            call.stage = Stage::Ended;
        } else if (now >= call.nextSendAt) {
            this->send(number, call, now, random, actions);
        }
        return;
    case Stage::Ended:
        return;
    }
}

ClaimantActions Claimant::poll(TimePoint now, Random& random)
{
    ClaimantActions actions;
    for (auto& [number, call] : this->calls) {
        if (now >= this->nextActionTime(call))
            this->onTimer(number, call, now, random, actions);
    }
    std::erase_if(this->calls, [](const auto& item) { return item.second.stage == Stage::Ended; });
    return actions;
}

std::optional<std::uint64_t> Claimant::requestOf(const ClaimId& id) const
{
    const auto found = this->calls.find(id.number);
    if (found == this->calls.end() || id != this->idOf(id.number))
        return std::nullopt;
    return found->second.request;
}

TimePoint Claimant::nextActionTime(const Call& call) const
{
    const auto answerDeadline = call.answered ? TimePoint::max() : call.deadline;
    switch (call.stage) {
    case Stage::Claiming:
        return std::min(call.nextSendAt, call.isHeldByOther ? call.deadline : call.deadline - this->settings.withdrawalLeadTime);
    case Stage::Dispatched:
        return answerDeadline;
    case Stage::Withdrawing:
    case Stage::Recording:
        return std::min({ answerDeadline, call.nextSendAt, call.giveUpAt });
    case Stage::Ended:
        break;
    }
    return TimePoint::min();
}

TimePoint Claimant::nextWake() const
{
    auto wake = TimePoint::max();
    for (const auto& [number, call] : this->calls)
        wake = std::min(wake, this->nextActionTime(call));
    return wake;
}

} // namespace goldcrestwood
