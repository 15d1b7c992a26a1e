#pragma once

/// @file
/// How often a daemon tells the others of itself.

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: all machines lose their power and start again within a second, before callers whose requests have waited.
/// Until a daemon hears the others it places as if it were alone, and all together send several times what the upstreams bear.
struct HeartbeatPace {
    /// Of a process that does not know the site yet.
    Duration start = std::chrono::milliseconds(100);
    /// For so long: whoever starts together with it is up by then.
    Duration startPeriod = std::chrono::milliseconds(800);
    /// At a small site, where all hear all.
    Duration mesh = std::chrono::milliseconds(400);
    /// At a large one, where the readers hear all daemons.
    Duration large = std::chrono::milliseconds(1000);

    /// @param age Since the start of the process.
    /// @return Time between two heartbeats.
    Duration interval(bool isMesh, Duration age) const
    {
        if (!isMesh)
            return this->large;
        return age < this->startPeriod ? this->start : this->mesh;
    }
};

} // namespace goldcrestwood
