#include "edge/usage_runner.h"

#include <numeric>

#include "daemon/clock.h"
#include "edge/log.h"
#include "platform/duty_calls.h"

namespace goldcrestwood {

namespace {

    using edge::LogClass;

    /// Interval of reports to the daemons that may hold the duty; traffic between failure domains is billed.
    constexpr Duration exchangeInterval = std::chrono::seconds(1);
    constexpr Duration callInterval = std::chrono::milliseconds(50);
    /// An unanswered call is repeated; an exact repeat is harmless.
    constexpr Duration callTimeout = std::chrono::seconds(3);
    /// Time in which all daemons send their recent counts to a new feed reader: two heartbeats at a large site, and an exchange or two.
    constexpr Duration coverTime = std::chrono::seconds(4);
    /// The same at the first start of the site, when all daemons send from the start; a longer one delays the first reports.
    constexpr Duration newSiteCoverTime = std::chrono::seconds(2);
    /// Longest time from the start of a new site until a daemon of it has found the others and received their counts.
    constexpr Duration newSiteTime = std::chrono::seconds(10);
    /// Daemons that are feed readers no more still get notices for this long, as the choice changes for a while when the store is
    /// down; they need every notice to know which windows may have been reported.
    constexpr Duration receiverLifetime = std::chrono::seconds(60);
    /// Time for which a new feed reader is told the counts of processes that are silent, less than coverTime.
    constexpr Duration forwardTime = std::chrono::milliseconds(3500);
    /// Number of feed readers, the first ones in rank, that do so.
    constexpr std::size_t forwardingReaders = 3;
    /// A shorter time, so that other daemons still send while this one counts on it.
    constexpr Duration coverLifetime = std::chrono::seconds(50);
    /// The platform's answers are short.
    constexpr std::uint64_t maxAnswerBytes = 64U << 10U;
    /// A window that does not fit is known to other daemons only from the topic.
    constexpr std::size_t maxLoggedBytes = 7000;

    std::int64_t runsIn(const UsageWindow& usage)
    {
        return std::accumulate(usage.counts.begin(), usage.counts.end(), std::int64_t { 0 },
            [](std::int64_t sum, const AccountRuns& entry) { return sum + static_cast<std::int64_t>(entry.runs); });
    }

} // namespace

UsageRunner::UsageRunner(EdgeState& edgeState, const asio::any_io_executor& loop, PeerLink& peerLink, DutyLease& dutyLease)
    : state(edgeState)
    , executor(loop)
    , peers(peerLink)
    , lease(dutyLease)
    , platformCaller(loop, edgeState.transferMemory, edgeState.settings.duties.address, maxAnswerBytes)
{
}

bool UsageRunner::isCovered() const
{
    return this->receivesSince && monotonicNow() - *this->receivesSince >= (this->state.settings.isFirstStart ? newSiteCoverTime : coverTime);
}

std::uint64_t UsageRunner::coveredFrom() const
{
    const auto since = this->receivesSince.value_or(monotonicNow()) + coverTime;
    // Nobody appends before the daemons of a new site have found each other.
    if (this->state.settings.isFirstStart && since - this->state.started < newSiteTime)
        return 0;
    UsageSettings settings;
    settings.window = this->state.settings.bounds.usageWindow;
    return usageWindowAt(settings, wallClock() - (monotonicNow() - since)) + 1;
}

bool UsageRunner::isWorkDue() const
{
    if (!this->state.usage)
        return false;
    const auto& [ledger, reporter] = *this->state.usage;
    const auto now = monotonicNow();
    if (!this->lease.isLastHolder())
        return this->isCovered() && reporter.isTakeoverDue(ledger, wallClock(), now);
    // Calls need a lease that runs.
    const bool lacksLease = reporter.nextCall(now) && !this->lease.mayOrder(suspensionAwareNow());
    return lacksLease || (this->isCovered() && reporter.isRecordDue(ledger, wallClock()));
}

void UsageRunner::addTo(DutyRecord& record)
{
    this->planned = {};
    if (!this->state.usage || !this->isCovered())
        return;
    const auto& [ledger, reporter] = *this->state.usage;
    this->planned = reporter.plan(ledger, record.era, this->coveredFrom(), wallClock());
    record.settledEnd = this->planned.settledEnd;
    record.acknowledgedEnd = this->planned.acknowledgedEnd;
    record.usage = this->planned.usage;
}

void UsageRunner::onAppended(const DutyRecord& record)
{
    if (!this->state.usage)
        return;
    this->onRecord(record);
    if (this->planned.missedBefore > 0)
        edge::log(LogClass::Lifecycle, "usage_missed_range",
            { { "windows", static_cast<std::int64_t>(this->planned.missedBefore) }, { "reason", "no daemon that runs has counts of them" } });
    if (this->planned.missedBefore > 0)
        this->state.metrics.count("goldcrest_usage_reports_total", "result=\"missed\"", this->planned.missedBefore);
    for (const auto window : this->planned.missed)
        this->giveUp(window, "the store has lost records, and other counts may have been sent");
    this->planned = {};
    for (const auto& usage : record.usage)
        edge::log(LogClass::Lifecycle, "usage_window_closed",
            { { "window", static_cast<std::int64_t>(usage.window) }, { "accounts", static_cast<std::int64_t>(usage.counts.size()) }, { "runs", runsIn(usage) }, { "fence", static_cast<std::int64_t>(this->lease.fence()) } });
}

void UsageRunner::onRecord(const DutyRecord& record)
{
    if (this->state.usage)
        this->state.usage->reporter.onRecord(record, wallClock());
}

void UsageRunner::onStoreReturned()
{
    if (this->state.usage)
        this->state.usage->reporter.onStoreReturned();
}

void UsageRunner::holdCalls(TimePoint until)
{
    this->callsFrom = until;
}

void UsageRunner::giveUp(std::uint64_t window, const char* reason)
{
    edge::log(LogClass::Lifecycle, "usage_missed", { { "window", static_cast<std::int64_t>(window) }, { "reason", reason } });
    this->state.metrics.count("goldcrest_usage_reports_total", "result=\"missed\"");
}

UsageNotice UsageRunner::makeNotice() const
{
    UsageNotice notice;
    notice.instance = this->state.settings.instance;
    notice.incarnation = this->state.incarnation;
    notice.clockMs = static_cast<std::uint64_t>(wallClock() / std::chrono::milliseconds(1));
    // Without all counts, or when it stops, another daemon has to continue.
    notice.isHolder = this->lease.isLastHolder() && this->isCovered() && !this->state.isStopping;
    if (notice.isHolder) {
        notice.settledEnd = this->state.usage->reporter.settledEnd();
        notice.acknowledgedEnd = this->state.usage->reporter.acknowledgedEnd();
    }
    return notice;
}

void UsageRunner::send(UsageNotice notice)
{
    PeerDatagram datagram;
    datagram.usage = std::move(notice);
    for (const auto& [instance, receiver] : this->receivers)
        this->peers.sendTo(instance, datagram);
}

void UsageRunner::updateReceivers(TimePoint now)
{
    auto& ledger = this->state.usage->ledger;
    for (const auto& reader : this->state.feedReaders) {
        const auto [receiver, isNew] = this->receivers.try_emplace(reader, Receiver { now, now });
        receiver->second.lastReader = now;
        if (isNew)
            ledger.markAllChanged();
    }
    std::erase_if(this->receivers, [&](const auto& entry) { return now - entry.second.lastReader > receiverLifetime; });
    // A few daemons are enough to tell a new reader what processes that have ended had reported.
    for (const auto& [instance, receiver] : this->receivers)
        if (now - receiver.since < forwardTime && this->state.readerRank().value_or(forwardingReaders) < forwardingReaders)
            for (const auto& notice : ledger.countsOfSilent(wallClock())) {
                PeerDatagram datagram;
                datagram.usage = notice;
                this->peers.sendTo(instance, datagram);
            }
    if (this->state.isSiteKnown && this->state.readerRank()) {
        this->lastReader = now;
        this->receivesSince = this->receivesSince.value_or(now);
    } else if (now - this->lastReader > coverLifetime) {
        this->receivesSince.reset();
    }
}

Task<> UsageRunner::exchangeCounts()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        timer.expires_after(exchangeInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        auto& [ledger, reporter] = *this->state.usage;
        ledger.sweep(wallClock());
        ledger.discardBelow(reporter.settledEnd());
        this->updateReceivers(monotonicNow());
        if (reporter.conflicts() != this->conflictsSeen)
            edge::log(LogClass::Lifecycle, "usage_conflict", { { "windows", static_cast<std::int64_t>(reporter.conflicts()) } });
        this->conflictsSeen = reporter.conflicts();
        const auto changes = ledger.takeChanges();
        auto notice = this->makeNotice();
        if (changes.empty() && notice.isHolder)
            this->send(notice);
        for (const auto& counted : changes) {
            notice.counted = counted;
            this->send(notice);
        }
    }
}

Task<> UsageRunner::sendReports()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        timer.expires_after(callInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        auto& reporter = this->state.usage->reporter;
        if (!this->lease.isLastHolder())
            continue;
        for (const auto window : reporter.takeExpired(wallClock()))
            this->giveUp(window, "the platform did not accept its report in time");
        const auto usage = reporter.nextCall(monotonicNow());
        const auto now = suspensionAwareNow();
        if (usage && this->lease.mayOrder(now) && now >= this->callsFrom)
            co_await this->sendReport(*usage);
    }
}

Task<> UsageRunner::sendReport(const UsageWindow& usage)
{
    auto& reporter = this->state.usage->reporter;
    const platform::DutyHolder holder { this->state.settings.instance, this->lease.fence() };
    const bool isRepeat = reporter.wasSent(usage.window);
    // Sent before the report, also by a successor that has read the counts, so that other daemons know them if the store loses the record.
    auto notice = this->makeNotice();
    notice.logged.push_back(usage);
    if (!isRepeat && encode(notice).size() <= maxLoggedBytes)
        this->send(std::move(notice));
    const auto begin = monotonicNow();
    reporter.onSent(usage.window, begin + callTimeout);
    const auto call = platform::usageCall(holder, usage);
    const auto answer = co_await this->platformCaller.call(call, callTimeout);
    const auto outcome = platform::decodeDutyAnswer(answer);
    reporter.onOutcome(usage.window, outcome, monotonicNow());
    if (outcome == DutyOutcome::Fenced && this->lease.fence() == holder.fence)
        this->lease.onFenceRefused(suspensionAwareNow());
    edge::log(LogClass::Lifecycle, "usage_reported",
        { { "window", static_cast<std::int64_t>(usage.window) }, { "status", static_cast<std::int64_t>(answer ? answer->status : 0) }, { "reason", answer ? "" : answer.error().reason },
            { "accounts", static_cast<std::int64_t>(usage.counts.size()) }, { "runs", runsIn(usage) }, { "fence", static_cast<std::int64_t>(holder.fence) }, { "repeat", isRepeat }, { "after_ms", toMs(monotonicNow() - begin) } });
    if (isRepeat)
        this->state.metrics.count("goldcrest_usage_repeats_total");
    const char* result = "result=\"unanswered\"";
    if (outcome == DutyOutcome::Accepted)
        result = "result=\"accepted\"";
    else if (answer)
        result = "result=\"refused\"";
    this->state.metrics.count("goldcrest_usage_reports_total", result);
}

} // namespace goldcrestwood
