#pragma once

/// @file
/// Detects that reading a topic has stalled while a peer has newer records.

#include <cstdint>
#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Used per topic: an update of one topic must not interrupt the long poll of another.
class FeedLag {
public:
    /// @param known Offset up to which the topic has been read here.
    /// @param reported Highest offset reported by a peer.
    /// @param limit Time allowed for the store to deliver the records first.
    /// @return Whether to query a peer.
    bool isOverdue(std::uint64_t known, std::uint64_t reported, TimePoint now, Duration limit)
    {
        if (reported <= known) {
            this->stalledSince.reset();
            return false;
        }
        // A topic that advances is being read, even if peers are always slightly ahead.
        if (!this->stalledSince || known != this->knownWhenStalled) {
            this->stalledSince = now;
            this->knownWhenStalled = known;
        }
        return now - *this->stalledSince >= limit;
    }

private:
    std::optional<TimePoint> stalledSince;
    std::uint64_t knownWhenStalled = 0;
};

} // namespace goldcrestwood
