#include "edge/rollout_runner.h"

#include "daemon/clock.h"
#include "edge/log.h"
#include "goldcrestwood/log_position.h"
#include "platform/names.h"
#include "platform/store_calls.h"

namespace goldcrestwood {

namespace {

    using edge::LogClass;

    /// Peers report evidence once a second; the time left before a deadline is a few hundred milliseconds.
    constexpr Duration evaluationInterval = std::chrono::milliseconds(100);
    constexpr Duration answerTimeout = std::chrono::milliseconds(900);

    void logVerdict(const Rollout& rollout, std::size_t targets, std::size_t others, TimePoint now)
    {
        const auto notice = rollout.notice(now);
        for (const auto& sum : rollout.evidence())
            edge::log(LogClass::Decision, "rollout_evidence",
                { { "service", rollout.order().service.value }, { "route", sum.route }, { "new_version", sum.isTarget }, { "answers", static_cast<std::int64_t>(sum.answers) },
                    { "failures", static_cast<std::int64_t>(sum.failures) }, { "timed", static_cast<std::int64_t>(sum.timed) },
                    { "mean_log_time_ratio", sum.timed == 0 ? 0.0 : sum.sum / sum.timed } });
        edge::log(LogClass::Decision, "rollout_verdict",
            { { "service", rollout.order().service.value }, { "target", rollout.order().target }, { "reverted", rollout.isReverted() }, { "approved", rollout.isApproved() },
                { "age_ms", static_cast<std::int64_t>(notice.ageMs) }, { "new_upstreams", static_cast<std::int64_t>(targets) }, { "old_upstreams", static_cast<std::int64_t>(others) } });
    }

} // namespace

RolloutRunner::RolloutRunner(EdgeState& edgeState, const asio::any_io_executor& loop)
    : state(edgeState)
    , executor(loop)
    , store(loop, edgeState.transferMemory, edgeState.settings.storeAddress)
{
}

void RolloutRunner::evaluate(Rollout& rollout)
{
    const auto now = monotonicNow();
    const auto& order = rollout.order();
    const auto targets = this->state.board.readyCount(order.service, order.target, true);
    const auto others = this->state.board.readyCount(order.service, order.target, false);
    if (rollout.evaluate(targets, others, now))
        logVerdict(rollout, targets, others, now);
}

void RolloutRunner::expireUntimed(Rollout& rollout, const Report& report)
{
    const auto now = monotonicNow();
    if (rollout.isReverted() || rollout.isOrderTimeKnown() || now < report.firstSeen + rollout.order().duration)
        return;
    rollout.revert();
    edge::log(LogClass::Decision, "rollout_given_up", { { "service", rollout.order().service.value }, { "target", rollout.order().target } });
}

Task<bool> RolloutRunner::writeStatus(ServiceName service, RolloutState status)
{
    const auto call = platform::listingCall(platform::statusTopic, {});
    const auto listed = co_await this->store.call(call, answerTimeout);
    if (!listed || (listed->status != 200 && listed->status != 404))
        co_return false;
    std::uint64_t end = 0;
    std::optional<platform::RolloutStatus> written;
    if (listed->status == 200) {
        const auto page = platform::decodeListing(listed->body);
        if (!page)
            co_return false;
        end = page->endOffset;
        for (const auto& record : page->records)
            if (record.key == platform::rolloutPrefix + service.value && record.value)
                if (const auto decoded = platform::decodeRolloutStatus(*record.value))
                    written = *decoded;
    }
    auto* rollout = this->state.rolloutOf(service);
    if (rollout == nullptr)
        co_return false;
    const auto target = rollout->order().target;
    if (written && written->target == target && (written->state == status || (written->state != RolloutState::Active && status != RolloutState::Active))) {
        // Another daemon has reported the final status, or this one has and the store's answer was lost.
        if (written->state == RolloutState::Reverted)
            rollout->revert();
        co_return true;
    }
    const std::vector<std::string> records(1, platform::encodeRolloutStatus(service, { target, status }));
    const auto append = platform::appendCall(platform::statusTopic, records, end);
    const auto answer = co_await this->store.call(append, answerTimeout);
    const bool isDone = answer && platform::decodeAppend(*answer).isAcknowledged;
    edge::log(LogClass::Decision, "rollout_status",
        { { "service", service.value }, { "target", target }, { "state", toString(status) }, { "written", isDone }, { "status", static_cast<std::int64_t>(answer ? answer->status : 0) } });
    co_return isDone;
}

Task<> RolloutRunner::reportStatus(ServiceName service)
{
    const auto* rollout = this->state.rolloutOf(service);
    const auto order = rollout->offset();
    const bool isFinal = rollout->isReverted() || rollout->isComplete(monotonicNow());
    const auto status = rollout->isReverted() ? RolloutState::Reverted : isFinal ? RolloutState::Complete
                                                                                 : RolloutState::Active;
    const auto& report = this->reports.at(service);
    // An order whose start time is unknown may have ended long ago.
    if (!isFinal && !rollout->isOrderTimeKnown())
        co_return;
    if (isFinal ? report.isFinalReported : report.isActiveReported)
        co_return;
    const bool isWritten = co_await this->writeStatus(service, status);
    auto& current = this->reports.at(service);
    if (!isWritten || current.order != order)
        co_return;
    current.isActiveReported = true;
    current.isFinalReported = isFinal;
}

Task<> RolloutRunner::run()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        timer.expires_after(evaluationInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto rank = this->state.readerRank();
        if (!rank || !this->state.isSiteKnown || this->state.isStopping)
            continue;
        std::vector<ServiceName> services;
        for (auto& [service, rollout] : this->state.rollouts) {
            const auto [position, isNew] = this->reports.try_emplace(service);
            auto& report = position->second;
            const auto era = logEra(this->state.operatorFeed.end());
            if (isNew || report.order != rollout.offset())
                report = { rollout.offset(), monotonicNow(), false, false, era };
            if (report.storeEra != era) {
                report.storeEra = era;
                report.isActiveReported = report.isFinalReported = false;
            }
            this->evaluate(rollout);
            this->expireUntimed(rollout, report);
            services.push_back(service);
        }
        if (*rank != 0)
            continue;
        for (const auto& service : services)
            co_await this->reportStatus(service);
    }
}

} // namespace goldcrestwood
