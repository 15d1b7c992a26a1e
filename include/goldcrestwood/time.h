#pragma once

/// @file
/// Time types. Callers pass the time in; the core library reads no clock.

#include <chrono>

namespace goldcrestwood {

using Duration = std::chrono::microseconds;

/// A time on the monotonic clock of one process; meaningless in other processes.
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
