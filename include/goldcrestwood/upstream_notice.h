#pragma once

/// @file
/// Drain and backoff notices in upstream answers.

#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Notice in an answer from one incarnation of an upstream.
struct UpstreamNotice {
    bool isLeaving = false; ///< It is draining and wants no further requests.
    std::optional<Duration> backoff; ///< It refused a request, and wants none from this instance for this long.

    /// @return Whether the answer carried no notice.
    bool isEmpty() const { return !this->isLeaving && !this->backoff; }

    bool operator==(const UpstreamNotice&) const = default;
};

} // namespace goldcrestwood
