#pragma once

/// @file
/// What an upstream says in its answers about the requests that it still wants.

#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Part of an answer of one incarnation of an upstream.
struct UpstreamNotice {
    bool isLeaving = false; ///< It is about to end and wants no further request.
    std::optional<Duration> rest; ///< It turned a request away and wants none from this instance for so long.

    /// @return Whether the answer said anything.
    bool isEmpty() const { return !this->isLeaving && !this->rest; }

    bool operator==(const UpstreamNotice&) const = default;
};

} // namespace goldcrestwood
