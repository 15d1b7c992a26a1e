#pragma once

/// @file
/// Since when a topic has stood still here while a peer knows more of it.

#include <cstdint>
#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// One for each topic: news of one must not cut short the held read of another.
class FeedLag {
public:
    /// @param known Offset up to which the topic is known here.
    /// @param told Highest offset that a peer tells.
    /// @param limit Time that the store has to tell it first.
    /// @return Whether a peer should be asked.
    bool isOverdue(std::uint64_t known, std::uint64_t told, TimePoint now, Duration limit)
    {
        if (told <= known) {
            this->since.reset();
            return false;
        }
        // A topic that moves on is read, though peers may always be a little ahead.
        if (!this->since || known != this->knownThen) {
            this->since = now;
            this->knownThen = known;
        }
        return now - *this->since >= limit;
    }

private:
    std::optional<TimePoint> since;
    std::uint64_t knownThen = 0;
};

} // namespace goldcrestwood
