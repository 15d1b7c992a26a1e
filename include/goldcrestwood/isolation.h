#pragma once

/// @file
/// Makes a daemon that is partitioned, and so cannot learn of evacuated failure domains, accept no new work.

#include <optional>

#include "goldcrestwood/membership.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct IsolationSettings {
    /// The log counts as unreadable after this long without a successful read.
    Duration logTimeout = std::chrono::seconds(3);
    /// The daemon counts as cut off from its peers after this long without contact to most of them.
    Duration peerTimeout = std::chrono::seconds(3);
    /// Maximum age of a read or contact that counts while isolated.
    Duration returnFreshness = std::chrono::seconds(1);
    /// Contact must last this long before new work is accepted again.
    Duration returnAfter = std::chrono::seconds(2);
    /// A longer gap between two polls counts as a pause of the process, after which earlier contact does not count as fresh.
    Duration maxPollGap = std::chrono::seconds(3);
    /// Share of daemons, this one included, that must be in contact; 0 disables isolation.
    double minimumShare = 0.5;
};

/// Watches both channels by which an evacuation can become known, the log and the peers. One of them is enough to keep working.
class Isolation {
public:
    Isolation(IsolationSettings settings, TimePoint now);

    /// The log was read up to its end.
    void onLogRead(TimePoint now);
    /// Evaluates the present contact to peers and the timers; call a few times a second.
    /// @return Whether the daemon is isolated.
    bool poll(const PeerContact& contact, TimePoint now);
    /// @return Whether the daemon is isolated: it accepts no new work and names only other addresses to callers.
    bool isIsolated() const { return this->isolated; }

private:
    IsolationSettings settings;
    TimePoint lastPoll;
    TimePoint lastLogRead;
    TimePoint lastMajorityContact;
    std::optional<TimePoint> connectedSince;
    bool isolated = false;

    bool reachesMajority(const PeerContact& contact) const;
};

} // namespace goldcrestwood
