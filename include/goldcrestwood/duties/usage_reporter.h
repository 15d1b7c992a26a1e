#pragma once

/// @file
/// Decides which windows of usage are appended to the duty topic and which reports are sent. A report is sent only with counts
/// that the topic contains, so that no two reports of a window differ whoever sends them.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "goldcrestwood/duties/duty_outcome.h"
#include "goldcrestwood/duties/usage_ledger.h"
#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// What the next record of the duty topic contains of the usage reports.
struct UsagePlan {
    std::uint64_t settledEnd = 0;
    std::uint64_t acknowledgedEnd = 0;
    std::vector<UsageWindow> usage;
    std::vector<std::uint64_t> missed; ///< Windows that are given up: their counts are unknown, or others may have been sent.
    std::uint64_t missedBefore = 0; ///< Number of windows before those that are given up because this daemon knows nothing of them.
};

/// One daemon's view of the usage reports. Times "wall" are since 1970; the other ones are monotonic.
class UsageReporter {
public:
    /// @param isFirstStart Whether no process of the site has run before.
    /// @param wall Start of this process.
    /// @param callInterval Minimum time between two calls.
    UsageReporter(UsageSettings settings, bool isFirstStart, Duration wall, Duration callInterval);

    /// Applies a record of the duty topic, read from it or appended by this process.
    void onRecord(const DutyRecord& record, Duration wall);
    /// Handles the return of the store from an older copy: its topic is read again from the start.
    void onStoreReturned();
    /// Applies a peer's notice.
    void onNotice(const UsageNotice& notice, Duration wall, TimePoint now);

    /// @param era How often the store has returned from an older copy.
    /// @param coveredFrom First window for which this daemon heard all notices of holders.
    /// @return What the next record contains; nothing changes until that record is applied.
    UsagePlan plan(const UsageLedger& ledger, std::uint64_t era, std::uint64_t coveredFrom, Duration wall) const;

    /// @return Whether the holder should append a record.
    bool isRecordDue(const UsageLedger& ledger, Duration wall) const;
    /// @return Whether a daemon that is not the holder should try to become it.
    bool isTakeoverDue(const UsageLedger& ledger, Duration wall, TimePoint now) const;

    /// @return The oldest report to send now; nothing if there is none or calls have to pause.
    std::optional<UsageWindow> nextCall(TimePoint now) const;
    /// Handles the begin of a call, whose outcome is known at @p answeredBy at the latest; there is no other call until then.
    void onSent(std::uint64_t window, TimePoint answeredBy);
    void onOutcome(std::uint64_t window, DutyOutcome outcome, TimePoint now);
    /// @return Windows whose reports were not accepted in time and are given up now.
    std::vector<std::uint64_t> takeExpired(Duration wall);

    /// @return Whether the report of @p window was sent before, by this process.
    bool wasSent(std::uint64_t window) const;
    std::uint64_t settledEnd() const { return this->settled; }
    std::uint64_t acknowledgedEnd() const;
    /// @return Number of windows for which different counts were found; their reports are not sent again.
    std::uint64_t conflicts() const { return this->conflictCount; }

private:
    struct Logged {
        std::vector<AccountRuns> counts;
        bool isInTopic = false; ///< Whether the topic is known to contain them, after the store's last return.
        bool isDone = false; ///< Accepted or given up.
        bool isSent = false;
        Duration since; ///< When this process learned of the counts, since 1970.
    };

    void learn(const UsageWindow& usage, bool isInTopic, Duration wall);
    void acknowledgeBelow(std::uint64_t end);
    std::uint64_t firstKnown(const UsageLedger& ledger) const;

    UsageSettings settings;
    bool isFirstStart;
    std::uint64_t startWindow;
    Duration callInterval;
    std::map<std::uint64_t, Logged> logged;
    std::uint64_t settled = 0; ///< Windows below this are or were in the topic or have been given up; 0 if unknown.
    std::uint64_t settledInTopic = 0; ///< The same, but only for the topic since the store's last return.
    std::uint64_t acknowledged = 0;
    std::optional<std::uint64_t> lastEra; ///< Era in which the last record with usage in the topic was written.
    std::optional<TimePoint> holderHeard;
    TimePoint nextCallAt;
    std::uint64_t conflictCount = 0;
};

} // namespace goldcrestwood
