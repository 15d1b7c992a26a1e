#pragma once

/// @file
/// Counts the runs that upstreams start for each client account, by windows of the wall clock, over all daemons.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct UsageSettings {
    /// Length of a window.
    Duration window = std::chrono::seconds(5);
    /// Time after the end of a window at which it is closed: a report of the last runs takes up to a second, and one may be lost.
    Duration closeDelay = std::chrono::milliseconds(1500);
    /// Time after the end of a window at which its report is due.
    Duration lateness = std::chrono::seconds(10);
    /// A report is sent again until this long after it was due.
    Duration retryTime = std::chrono::seconds(12);
    /// Maximum difference between two wall clocks.
    Duration maxSkew = std::chrono::seconds(6);
    /// A window's counts are kept by process until this long after its end, then only their totals, so that a long outage of the
    /// store takes little memory.
    Duration foldDelay = std::chrono::seconds(20);
    /// Windows that wait for the store; an hour of windows of 5 s.
    std::size_t maxWindows = 720;
    /// How often a changed count is sent, as datagrams get lost.
    unsigned sendsPerChange = 3;
    /// Bytes of counts in one datagram; the rest of its 8,192 bytes is for names and framing.
    std::size_t maxDatagramBytes = 7000;
};

/// @return The window that contains the time @p wall since 1970.
inline std::uint64_t usageWindowAt(const UsageSettings& settings, Duration wall)
{
    return wall < Duration(0) ? 0 : static_cast<std::uint64_t>(wall / settings.window);
}

/// @return The time since 1970 at which @p window ends.
inline Duration usageWindowEnd(const UsageSettings& settings, std::uint64_t window)
{
    return settings.window * static_cast<std::int64_t>(window + 1);
}

/// One daemon's knowledge of the runs that all daemons counted. Counts of a process only grow, so that the largest one received is
/// right whatever datagrams are lost, repeated or reordered.
class UsageLedger {
public:
    /// @param incarnation Start of this process.
    UsageLedger(InstanceId instance, std::uint64_t incarnation, UsageSettings settings = {});

    /// Counts a run that this daemon forwarded.
    /// @param wall When it started, since 1970.
    /// @return Whether it counts; otherwise its window is no longer kept.
    bool onRun(const ClientAccount& account, Duration wall);

    /// Applies a peer's counts.
    /// @param wall When the notice was received, since 1970.
    void onNotice(const UsageNotice& notice, Duration wall);

    /// @return Own counts that have changed recently, in lists that fit into one datagram each.
    std::vector<std::vector<UsageWindow>> takeChanges();

    /// Marks all recent own counts as changed, as a daemon that did not receive them before needs them now.
    void markAllChanged();

    /// @return The runs of all daemons in @p window, sorted by account.
    UsageWindow totals(std::uint64_t window) const;

    /// @param wall The current time since 1970.
    /// @return When @p window is closed: later if the clock of a daemon that has been heard from recently is behind this one.
    Duration closesAt(std::uint64_t window, Duration wall) const;

    /// @return The oldest window that has counts.
    std::optional<std::uint64_t> oldest() const;
    /// @return Windows below this are no longer kept.
    std::uint64_t floor() const { return this->keptFrom; }

    /// Removes windows below @p window.
    void discardBelow(std::uint64_t window);

    /// Folds old windows and bounds their number.
    /// @param wall The current time since 1970.
    void sweep(Duration wall);

private:
    using Process = std::pair<InstanceId, std::uint64_t>;
    using Counts = std::map<ClientAccount, std::uint64_t>;
    struct Window {
        std::map<Process, Counts> processes;
        Counts folded; ///< Totals, once the counts are no longer kept by process.
        bool isFolded = false;
    };
    struct Clock {
        Duration ahead; ///< Of this daemon's clock; negative if behind. Too low by the time that datagrams take.
        Duration heard; ///< When it was last heard from, by this daemon's clock.
    };

    Window* openWindow(std::uint64_t window);

    Process self;
    UsageSettings settings;
    std::map<std::uint64_t, Window> windows;
    std::map<std::uint64_t, std::map<ClientAccount, unsigned>> unsent; ///< How often each own count is still to be sent.
    std::map<Process, Clock> clocks;
    std::uint64_t keptFrom = 0;
};

} // namespace goldcrestwood
