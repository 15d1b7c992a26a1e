#pragma once

/// @file
/// Detects that the platform's store is unavailable to the whole site, rather than to one daemon.

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// During an outage no daemon can give orders to upstreams, so time limits that count from an order are suspended. A daemon must
/// not infer an outage from its own failed reads alone: its peers may still read the store and give orders.
class StoreOutage {
public:
    /// An outage that has ended.
    struct Period {
        TimePoint began;
        TimePoint ended;

        auto operator<=>(const Period&) const = default;
    };

    /// @param answeredReaders Readers that get answers from the store.
    /// @param recentReaders All readers heard from recently.
    void onView(std::size_t answeredReaders, std::size_t recentReaders, TimePoint now)
    {
        // Without reports of readers the state of the store is unknown.
        if (recentReaders == 0)
            return;
        if (!this->firstView)
            this->firstView = now;
        const bool wasActive = this->active;
        // A process that has just started has not completed a read yet; this is not an outage.
        this->active = answeredReaders * 2 <= recentReaders && now - *this->firstView >= startGrace;
        if (!wasActive && this->active)
            this->began = now;
        if (wasActive && !this->active) {
            this->ended.push_back({ this->began, now });
            if (this->ended.size() > maxPeriods)
                this->ended.erase(this->ended.begin());
        }
    }

    bool isActive() const { return this->active; }

    /// @return When the last outage ended; the epoch of the clock if there was none.
    TimePoint endedAt() const { return this->ended.empty() ? TimePoint() : this->ended.back().ended; }

    /// @return The last outages that have ended, the oldest first.
    const std::vector<Period>& periods() const { return this->ended; }

private:
    static constexpr std::size_t maxPeriods = 16;
    /// The first read is answered within milliseconds, or a few hundred if many processes start slowly.
    static constexpr Duration startGrace = std::chrono::seconds(1);

    std::optional<TimePoint> firstView;
    bool active = false;
    TimePoint began; ///< Of the last outage.
    std::vector<Period> ended;
};

} // namespace goldcrestwood
