#pragma once

/// @file
/// Clocks of the process; only code in daemon and edge reads them, the core gets the time as a parameter.

#include <chrono>
#include <ctime>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// @return The current monotonic time.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// @return The time of a clock that includes machine suspension, during which a lease continues to run.
inline TimePoint suspensionAwareNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// @return The time since 1970 by the wall clock.
inline Duration wallClock()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace goldcrestwood
