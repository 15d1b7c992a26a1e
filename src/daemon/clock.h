#pragma once

/// @file
/// The clocks of the process; only the shell around the parts reads them.

#include <chrono>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// @return The monotonic time now.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// @return The time since 1970 by the wall clock.
inline Duration wallClock()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace goldcrestwood
