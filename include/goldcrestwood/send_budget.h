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
    std::size_t requests = 0; ///< Of callers, in the window.
    std::size_t taken = 0; ///< Further sends in the window.
    std::size_t reserved = 0; ///< Further sends that wait for a place.
    std::size_t sharers = 0; ///< Daemons that share the slack.
    double left = 0; ///< Further sends that are left.

    bool operator==(const SendBudgetAccount&) const = default;
};

/// Budget of one daemon for one service, over a sliding window. Load pattern: many answers fail at the same time,
/// and each further send adds to the load that makes them fail.
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
    /// A reserved send leaves: it counts in the window from now on.
    void onSent(TimePoint now);
    /// A reserved send does not leave.
    void release();
    /// @return Further sends that are left in the window now.
    double left(TimePoint now);
    SendBudgetAccount account(TimePoint now);

private:
    void expire(TimePoint now);

    double slack(TimePoint now) const;

    SiteBounds bounds;
    std::optional<TimePoint> started;
    std::size_t sharers = 1;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> taken;
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
