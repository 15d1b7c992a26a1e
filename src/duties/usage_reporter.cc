#include "goldcrestwood/duties/usage_reporter.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    /// Holders send a notice each second; two may be lost.
    constexpr Duration holderLifetime = std::chrono::milliseconds(2600);
    /// A holder that is heard from but appends nothing for this long after a window is closed cannot reach the store.
    constexpr Duration holderPatience = std::chrono::seconds(4);
    /// A refused or unanswered call is repeated after this time; an unanswered one may still be executed meanwhile.
    constexpr Duration retryDelay = std::chrono::seconds(1);
    constexpr Duration unansweredDelay = std::chrono::seconds(2);
    /// Bounds the size of a record after an outage of the store.
    constexpr std::size_t maxWindowsPerRecord = 8;
    /// Exact counts are kept for this many windows (10 minutes), in case the store returns from an older copy.
    constexpr std::uint64_t keptWindows = 120;

} // namespace

UsageReporter::UsageReporter(UsageSettings usageSettings, bool isSiteNew, Duration wall, Duration interval)
    : settings(usageSettings)
    , isFirstStart(isSiteNew)
    , startWindow(usageWindowAt(usageSettings, wall))
    , callInterval(interval)
{
}

void UsageReporter::learn(const UsageWindow& usage, bool isInTopic, Duration wall)
{
    auto [entry, isNew] = this->logged.try_emplace(usage.window, Logged { usage.counts, isInTopic, false, false, wall });
    if (isNew)
        return;
    auto& known = entry->second;
    if (known.counts != usage.counts) {
        // Either may have been sent, so that neither may be sent again.
        ++this->conflictCount;
        known.isDone = true;
    }
    known.isInTopic = known.isInTopic || isInTopic;
}

void UsageReporter::acknowledgeBelow(std::uint64_t end)
{
    this->acknowledged = std::max(this->acknowledged, end);
    for (auto entry = this->logged.begin(); entry != this->logged.end() && entry->first < end; ++entry)
        entry->second.isDone = true;
}

void UsageReporter::onRecord(const DutyRecord& record, Duration wall)
{
    if (record.settledEnd == 0)
        return;
    this->lastEra = record.era;
    for (const auto& usage : record.usage)
        this->learn(usage, true, wall);
    this->settled = std::max(this->settled, record.settledEnd);
    this->settledInTopic = std::max(this->settledInTopic, record.settledEnd);
    this->acknowledgeBelow(record.acknowledgedEnd);
    std::erase_if(this->logged, [&](const auto& entry) { return entry.second.isDone && entry.first + keptWindows < this->settled; });
}

void UsageReporter::onStoreReturned()
{
    this->lastEra.reset();
    this->settledInTopic = 0;
    for (auto& [window, entry] : this->logged)
        entry.isInTopic = false;
}

void UsageReporter::onNotice(const UsageNotice& notice, Duration wall, TimePoint now)
{
    if (!notice.isHolder)
        return;
    this->holderHeard = now;
    for (const auto& usage : notice.logged)
        this->learn(usage, false, wall);
    this->settled = std::max(this->settled, notice.settledEnd);
    this->acknowledgeBelow(notice.acknowledgedEnd);
}

std::uint64_t UsageReporter::firstKnown(const UsageLedger& ledger) const
{
    return std::max(ledger.floor(), std::min(this->startWindow, ledger.oldest().value_or(this->startWindow)));
}

UsagePlan UsageReporter::plan(const UsageLedger& ledger, std::uint64_t era, std::uint64_t coveredFrom, Duration wall) const
{
    UsagePlan result;
    result.acknowledgedEnd = this->acknowledgedEnd();
    for (const auto& [window, entry] : this->logged)
        if (!entry.isInTopic && !entry.isDone && result.usage.size() < maxWindowsPerRecord)
            result.usage.push_back({ window, entry.counts });
    const auto known = this->firstKnown(ledger);
    // Records that the store has lost may have contained windows of which this daemon did not hear.
    const bool mayHaveLostRecords = this->lastEra ? *this->lastEra != era : !this->isFirstStart && era > 0;
    // The store has lost these, and the notice with their counts did not arrive here.
    for (auto lost = std::max(this->acknowledgedEnd(), this->settledInTopic); this->settledInTopic > 0 && lost < this->settled; ++lost)
        if (!this->logged.contains(lost))
            result.missed.push_back(lost);
    auto window = this->settled;
    if (window < known) {
        result.missedBefore = window == 0 ? 0 : known - window;
        window = known;
    }
    for (; ledger.closesAt(window, wall) <= wall && result.usage.size() < maxWindowsPerRecord; ++window)
        if (mayHaveLostRecords && window < coveredFrom)
            result.missed.push_back(window);
        else
            result.usage.push_back(ledger.totals(window));
    result.settledEnd = window;
    return result;
}

bool UsageReporter::isRecordDue(const UsageLedger& ledger, Duration wall) const
{
    if (std::any_of(this->logged.begin(), this->logged.end(), [](const auto& entry) { return !entry.second.isInTopic && !entry.second.isDone; }))
        return true;
    return ledger.closesAt(std::max(this->settled, this->firstKnown(ledger)), wall) <= wall;
}

bool UsageReporter::isTakeoverDue(const UsageLedger& ledger, Duration wall, TimePoint now) const
{
    if (this->holderHeard && now - *this->holderHeard < holderLifetime)
        return ledger.closesAt(std::max(this->settled, this->firstKnown(ledger)), wall) + holderPatience <= wall;
    return this->isRecordDue(ledger, wall) || this->acknowledgedEnd() < this->settled;
}

std::optional<UsageWindow> UsageReporter::nextCall(TimePoint now) const
{
    if (now < this->nextCallAt)
        return std::nullopt;
    for (const auto& [window, entry] : this->logged)
        if (entry.isInTopic && !entry.isDone)
            return UsageWindow { window, entry.counts };
    return std::nullopt;
}

void UsageReporter::onOutcome(std::uint64_t window, DutyOutcome outcome, TimePoint now)
{
    switch (outcome) {
    case DutyOutcome::Accepted:
        this->nextCallAt = now + this->callInterval;
        break;
    case DutyOutcome::Fenced:
    case DutyOutcome::TooManyCalls:
        this->nextCallAt = now + std::max(retryDelay, this->callInterval);
        break;
    case DutyOutcome::Unknown:
        this->nextCallAt = now + std::max(unansweredDelay, this->callInterval);
        break;
    }
    if (const auto found = this->logged.find(window); found != this->logged.end()) {
        found->second.isSent = true;
        found->second.isDone = found->second.isDone || outcome == DutyOutcome::Accepted;
    }
}

std::vector<std::uint64_t> UsageReporter::takeExpired(Duration wall)
{
    std::vector<std::uint64_t> result;
    for (auto& [window, entry] : this->logged) {
        // Windows that waited for the store are sent when it is back, however late.
        const auto due = std::max(usageWindowEnd(this->settings, window) + this->settings.lateness, entry.since);
        if (entry.isDone || wall < due + this->settings.retryTime)
            continue;
        entry.isDone = true;
        result.push_back(window);
    }
    return result;
}

bool UsageReporter::wasSent(std::uint64_t window) const
{
    const auto found = this->logged.find(window);
    return found != this->logged.end() && found->second.isSent;
}

std::uint64_t UsageReporter::acknowledgedEnd() const
{
    for (const auto& [window, entry] : this->logged)
        if (!entry.isDone)
            return window;
    return std::max(this->acknowledged, this->settled);
}

} // namespace goldcrestwood
