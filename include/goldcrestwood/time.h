#pragma once

/// @file
/// Time types. Callers pass the time in; the core library reads no clock.

#include <chrono>
#include <cstdint>

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

/// @return Whole milliseconds from @p at to @p now; 0 if @p at is later.
constexpr std::uint64_t ageMs(TimePoint at, TimePoint now)
{
    return at >= now ? 0 : static_cast<std::uint64_t>((now - at) / std::chrono::milliseconds(1));
}

/// @return An age from a peer's message, bounded so that it can be subtracted from a time.
constexpr Duration fromAgeMs(std::uint64_t milliseconds)
{
    constexpr std::uint64_t maxMs = 7ULL * 24 * 3600 * 1000;
    return std::chrono::milliseconds(milliseconds < maxMs ? milliseconds : maxMs);
}

/// @return @p seconds as a duration, rounded towards zero.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace goldcrestwood
