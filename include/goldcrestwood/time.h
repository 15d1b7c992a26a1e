#pragma once

/// @file
/// Points in time and durations, passed in by the caller; no part reads a clock.

#include <chrono>

namespace goldcrestwood {

using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process; it has no meaning elsewhere.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @return @p duration in seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @return @p duration in milliseconds.
constexpr double toMs(Duration duration)
{
    return toSeconds(duration) * 1000;
}

/// @return @p seconds as a duration, rounded towards zero.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace goldcrestwood
