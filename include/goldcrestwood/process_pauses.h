#pragma once

/// @file
/// Detects that the process stood still: what it reads afterwards may have waited for as long.

#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Remembers the last pause of a process, seen from the times at which a regular check runs.
class ProcessPauses {
public:
    /// A shorter delay is within the margins of what depends on a time of reading.
    static constexpr Duration minPause = std::chrono::milliseconds(250);

    /// Called several times in `minPause`.
    void onCheck(TimePoint now)
    {
        if (this->isPause(now))
            this->last = Pause { *this->lastCheck, now };
        this->lastCheck = now;
    }

    /// @param now The check that follows a pause may not have run yet.
    /// @return When the last pause began that ended after @p since, if there is one.
    std::optional<TimePoint> lastBegan(TimePoint now, TimePoint since) const
    {
        if (this->isPause(now))
            return this->lastCheck;
        if (this->last && this->last->ended > since)
            return this->last->began;
        return std::nullopt;
    }

private:
    struct Pause {
        TimePoint began;
        TimePoint ended;
    };

    bool isPause(TimePoint now) const { return this->lastCheck && now - *this->lastCheck >= minPause; }

    std::optional<TimePoint> lastCheck;
    std::optional<Pause> last;
};

} // namespace goldcrestwood
