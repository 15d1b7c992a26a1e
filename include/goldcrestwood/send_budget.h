#pragma once

/// @file
/// Limits how many requests are sent to a further upstream, so that all daemons together stay within one budget.

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Snapshot of a budget: the inputs of a decision on a further send.
struct SendBudgetSnapshot {
    double earned = 0; ///< Further sends earned by requests of callers and not expired.
    double slack = 0; ///< What remains of this daemon's share of the slack; negative if sends exceeded the share.
    std::size_t reserved = 0; ///< Further sends that wait for placement.
    std::size_t sharers = 0; ///< Daemons that share the slack.
    double left = 0; ///< Remaining further sends.

    bool operator==(const SendBudgetSnapshot&) const = default;
};

/// One daemon's budget for one service over a sliding window. Load pattern: many answers fail at the same time, and each
/// further send adds to the overload that makes them fail.
///
/// Each request of a caller earns a fraction of a further send, which expires soon. The sum over all daemons therefore
/// depends only on the requests of little more than one window, regardless of which daemons got them and of restarts. Only
/// the slack needs a record of the whole window.
class SendBudget {
public:
    /// @param processStart Start of this process if an earlier process may have used the slack of the window, else nothing.
    SendBudget(SiteBounds siteBounds, std::optional<TimePoint> processStart);

    /// @param daemons Number of daemons known now, this one included. The slack is divided by the maximum ever known.
    void setDaemons(std::size_t daemons);
    /// A caller's request for the service arrived.
    void onRequest(TimePoint now);
    /// Reserves one further send if the budget allows it; onSent() or release() must follow, possibly after a long wait.
    bool reserve(TimePoint now);
    /// A reserved send has been sent; it uses the fractions that expire first.
    void onSent(TimePoint now);
    /// A reserved send is cancelled.
    void release();
    /// @return Remaining further sends.
    double left(TimePoint now);
    SendBudgetSnapshot snapshot(TimePoint now);

private:
    /// A fraction of a further send, and when it was earned or used.
    struct Part {
        TimePoint at;
        double size;
    };

    void expire(TimePoint now);

    /// @return What remains of this daemon's share of the slack.
    double slackLeft(TimePoint now) const;

    SiteBounds bounds;
    std::optional<TimePoint> started;
    std::size_t sharers = 1;
    std::deque<Part> earned; ///< By requests and not used yet.
    std::deque<Part> slackUsed; ///< Used by sends within the window.
    std::size_t reserved = 0;
};

/// One daemon's budgets by service; a budget created later starts with the known number of daemons.
class SendBudgets {
public:
    SendBudgets(SiteBounds siteBounds, std::optional<TimePoint> processStart);

    /// @param daemons Number of daemons known now, this one included.
    void setDaemons(std::size_t daemons);
    /// @return The budget of @p service, created on first use.
    SendBudget& of(const ServiceName& service);

private:
    SiteBounds bounds;
    std::optional<TimePoint> started;
    std::size_t sharers = 1;
    std::map<ServiceName, SendBudget> byService;
};

} // namespace goldcrestwood
