#pragma once

/// @file
/// Whether the platform's store is away for the site, rather than for one daemon alone.

#include <cstddef>
#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// While the store is away nobody can give orders to upstreams, and bounds that count from an order stand still. One daemon
/// whose own reads fail must not conclude that: its peers go on, and so do their orders.
class StoreOutage {
public:
    /// @param readers Readers that the store answers.
    /// @param daemons All readers heard lately.
    void onView(std::size_t readers, std::size_t daemons, TimePoint now)
    {
        // Whoever hears no reader learns nothing of the store.
        if (daemons == 0)
            return;
        if (!this->firstView)
            this->firstView = now;
        const bool wasAway = this->away;
        // A process that has just started has not read yet, and that is no outage.
        this->away = readers * 2 <= daemons && now - *this->firstView >= startGrace;
        if (wasAway && !this->away)
            this->ended = now;
    }

    bool isAway() const { return this->away; }

    /// @return When the last outage ended; the beginning of time if there was none.
    TimePoint endedAt() const { return this->ended; }

private:
    /// The first read is answered in milliseconds, after slow starts of many processes in a few hundred.
    static constexpr Duration startGrace = std::chrono::seconds(1);

    std::optional<TimePoint> firstView;
    bool away = false;
    TimePoint ended;
};

} // namespace goldcrestwood
