#pragma once

/// @file
/// Rate of requests that an upstream in need accepts from all daemons together, and one daemon's turns within it.

#include <algorithm>
#include <deque>
#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// What one answer said about its upstream's limit.
struct LimitSighting {
    std::optional<double> perSecond; ///< Requests per second; nothing if the upstream has no limit.
    TimePoint sent; ///< When the answered request was sent: the upstream stated this later.
    TimePoint read; ///< When the answer was read: the upstream stated this earlier.

    bool operator==(const LimitSighting&) const = default;
};

/// One daemon's share of an upstream's limit.
struct TurnShare {
    double perSecond = 0;
    double burst = 1; ///< Turns that may accumulate.
    Duration window = std::chrono::seconds(4); ///< Requests count against the limit for this long, also those from before it.

    /// @return The most requests that the daemon sends within the window.
    double perWindow() const { return this->perSecond * toSeconds(this->window) + this->burst; }
    bool operator==(const TurnShare&) const = default;
};

/// The limit of one upstream as one daemon knows it, and the daemon's turns.
///
/// Turns come at the daemon's share of the limit and accumulate only up to its burst. So daemons whose shares add up to the limit
/// send at most limit * time + the sum of their bursts in any span of time, without a message between them.
class RequestLimit {
public:
    /// Takes what an answer to this daemon said. Answers may overtake each other, so a limit that is lifted or raised must come
    /// from an answer to a request that was sent after the stricter one was read.
    /// @return Whether the limit changed.
    bool onAnswer(const LimitSighting& sighting);

    /// Takes what a peer reported, with times on this daemon's clock that are late by the transit time.
    /// @return Whether the limit changed.
    bool onReport(const LimitSighting& sighting);

    /// @return Requests per second; nothing if there is no limit.
    std::optional<double> perSecond() const { return this->latest.perSecond; }

    /// @return The latest sighting that changed or confirmed the limit.
    const LimitSighting& sighting() const { return this->latest; }

    /// @return Whether the limit is known from this daemon's own answers.
    bool isOwn() const { return this->own; }

    /// Starts the turns of a new limit.
    /// @param initialTurns Turns that are left.
    void begin(double initialTurns, TimePoint now);

    /// Postpones the first turn.
    void hold(TimePoint until) { this->firstTurn = std::max(this->firstTurn, until); }

    /// @return Turns that are left.
    double turns(const TurnShare& share, TimePoint now) const;
    /// @return When the requests of the last window no longer exceed the share, nor those from before the limit the limit.
    TimePoint heldUntil(const TurnShare& share, TimePoint now) const;
    bool hasTurn(const TurnShare& share, TimePoint now) const;
    /// Records a request; uses a turn if there is a limit.
    void onSent(const TurnShare& share, TimePoint now);

    /// @return The requests of the window that ends at @p now.
    std::size_t countRecent(const TurnShare& share, TimePoint now) const;

private:
    /// @return Whether @p sighting was stated after the one in force.
    bool isNewer(const LimitSighting& sighting) const;
    /// Replaces the sighting in force by a newer one with another limit.
    /// @return Whether the limit changed.
    bool change(const LimitSighting& sighting, bool isOwnAnswer);

    LimitSighting latest;
    bool own = false;
    double left = 0;
    TimePoint refilled;
    TimePoint firstTurn;
    std::deque<TimePoint> sends; ///< Within the last window.
};

} // namespace goldcrestwood
