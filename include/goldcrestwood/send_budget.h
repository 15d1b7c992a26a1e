#pragma once

/// @file
/// How many requests may be sent to a second upstream, so that all daemons together stay within one budget.

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A budget at one moment: the inputs of a decision on a further send.
struct SendBudgetAccount {
    double earned = 0; ///< Further sends that requests of callers have earned and that have not lapsed.
    double slack = 0; ///< This daemon's share of the slack that is left; negative if more left than was earned.
    std::size_t reserved = 0; ///< Further sends that wait for a place.
    std::size_t sharers = 0; ///< Daemons that share the slack.
    double left = 0; ///< Further sends that are left.

    bool operator==(const SendBudgetAccount&) const = default;
};

/// Budget of one daemon for one service, over a sliding window. Load pattern: many answers fail at the same time,
/// and each further send adds to the load that makes them fail.
///
/// Each request of a caller earns a part of a further send, which lapses soon. So the sum over all daemons follows the
/// requests of little more than a window, whichever daemons they came to and whether those restarted since.
/// Only the slack needs the memory of a whole window.
class SendBudget {
public:
    /// @param started Start of the process; nothing if no process ran before it, which may have used the slack of its window.
    SendBudget(SiteBounds bounds, std::optional<TimePoint> started);

    /// @param daemons Daemons that are known now, this one included. The most that ever were share the slack.
    void setDaemons(std::size_t daemons);
    /// A caller's request for the service arrived.
    void onRequest(TimePoint now);
    /// Sets one further send aside if the budget has it; onSent() or release() must follow. A request may wait for long in between.
    bool reserve(TimePoint now);
    /// A reserved send leaves: it takes what lapses first.
    void onSent(TimePoint now);
    /// A reserved send does not leave.
    void release();
    /// @return Further sends that are left now.
    double left(TimePoint now);
    SendBudgetAccount account(TimePoint now);

private:
    /// A part of a further send, and when it was earned or taken.
    struct Part {
        TimePoint at;
        double size;
    };

    void expire(TimePoint now);

    /// @return This daemon's share of the slack that is left.
    double slackLeft(TimePoint now) const;

    SiteBounds bounds;
    std::optional<TimePoint> started;
    std::size_t sharers = 1;
    std::deque<Part> earned; ///< By requests; not taken yet.
    std::deque<Part> slackTaken; ///< By sends in the window.
    std::size_t reserved = 0;
};

/// Budgets of one daemon by service; one that is made later knows what the others know.
class SendBudgets {
public:
    SendBudgets(SiteBounds bounds, std::optional<TimePoint> started);

    /// @param daemons Daemons that are known now, this one included.
    void setDaemons(std::size_t daemons);
    /// @return The budget of @p service, made at its first use.
    SendBudget& of(const ServiceName& service);

private:
    SiteBounds bounds;
    std::optional<TimePoint> started;
    std::size_t sharers = 1;
    std::map<ServiceName, SendBudget> byService;
};

} // namespace goldcrestwood
