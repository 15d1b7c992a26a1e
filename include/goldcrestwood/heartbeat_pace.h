#pragma once

/// @file
/// Interval of the heartbeats that a daemon sends to the others.

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: all machines lose power and restart within a second, while callers' requests are already waiting. Until a
/// daemon hears the others it places requests as if it were alone, and all together exceed the upstreams' capacity several times.
struct HeartbeatPace {
    /// Interval of a process that does not know the site yet.
    Duration start = std::chrono::milliseconds(100);
    /// Duration of the `start` interval: daemons that started at the same time are up by then.
    Duration startPeriod = std::chrono::milliseconds(800);
    /// Interval at a small site, a full mesh.
    Duration mesh = std::chrono::milliseconds(400);
    /// Interval at a large site, where only the readers hear all daemons.
    Duration large = std::chrono::milliseconds(1000);

    /// @param age Time since the start of the process.
    /// @return Time between two heartbeats.
    Duration interval(bool isMesh, Duration age) const
    {
        if (!isMesh)
            return this->large;
        return age < this->startPeriod ? this->start : this->mesh;
    }
};

} // namespace goldcrestwood
