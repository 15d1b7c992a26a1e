#pragma once

/// @file
/// Works out from when on requests must begin on weights that were named, given the outages of the store since.

#include <algorithm>

#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/store_outage.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Old weights may be used until the store has been available for `weightSwitchTime` without a break, or for `weightSwitchTotal`
/// in all, since newer ones were named. After an outage it counts as available from the contact time on.
class WeightBound {
public:
    /// @param margin How long before the bound the weights are already required.
    WeightBound(const SiteBounds& siteBounds, const StoreOutage& storeOutage, Duration margin)
        : bounds(siteBounds)
        , outage(storeOutage)
        , lead(margin)
    {
    }

    /// @return From when on weights that were named at @p named are required, if no further outage follows.
    TimePoint operator()(TimePoint named) const
    {
        const auto settleTime = std::max(this->bounds.contactTime - viewDelay, Duration(0));
        auto availableSince = named;
        auto left = this->bounds.weightSwitchTotal;
        for (const auto& period : this->outage.periods()) {
            if (period.ended <= named)
                continue;
            left -= std::max(period.began - availableSince, Duration(0));
            availableSince = std::max(availableSince, period.ended + settleTime);
        }
        const auto unbroken = std::max(named, this->outage.endedAt()) + this->bounds.weightSwitchTime;
        return std::min(unbroken, availableSince + left) - this->lead;
    }

private:
    /// Longest time from an outage's end until a daemon notices it: a pause between two reads, an answer and a heartbeat.
    static constexpr Duration viewDelay = std::chrono::milliseconds(1500);

    const SiteBounds& bounds;
    const StoreOutage& outage;
    Duration lead;
};

} // namespace goldcrestwood
