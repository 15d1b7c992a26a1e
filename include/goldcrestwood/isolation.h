#pragma once

/// @file
/// Tells a daemon that is cut off, and so cannot know of take-outs, to take no new work.

#include <optional>

#include "goldcrestwood/membership.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct IsolationSettings {
    /// Without a successful read of the log for this long the log counts as unreadable.
    Duration logLimit = std::chrono::seconds(3);
    /// Without contact to most peers for this long the daemon counts as cut off from them.
    Duration peerLimit = std::chrono::seconds(3);
    /// While isolated, a read or contact older than this does not count.
    Duration returnFreshness = std::chrono::seconds(1);
    /// Contact must last this long before new work is taken again.
    Duration returnAfter = std::chrono::seconds(2);
    /// A longer gap between two polls counts as a pause, after which nothing known is fresh.
    Duration pauseLimit = std::chrono::seconds(3);
    /// Share of daemons, this one included, that has to be in contact; 0 switches isolation off.
    double minimumShare = 0.5;
};

/// Weighs both ways in which a take-out can arrive. One of them is enough to go on.
class Isolation {
public:
    Isolation(IsolationSettings settings, TimePoint now);

    /// The log was read up to its end.
    void onLogRead(TimePoint now);
    /// Takes the present contact to peers and moves timers; call a few times a second.
    /// @return Whether the daemon is isolated.
    bool poll(const PeerContact& contact, TimePoint now);
    /// @return Whether the daemon is isolated: it takes no new work and names other addresses.
    bool isIsolated() const { return this->isolated; }

private:
    IsolationSettings settings;
    TimePoint lastPoll;
    TimePoint lastLogRead;
    TimePoint lastMostPeers;
    std::optional<TimePoint> connectedSince;
    bool isolated = false;

    bool reachesMost(const PeerContact& contact) const;
};

} // namespace goldcrestwood
