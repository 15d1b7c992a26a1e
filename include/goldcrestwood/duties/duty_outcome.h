#pragma once

/// @file
/// Outcome of a call to the platform that the holder of the duty makes for the whole site.

#include <cstdint>

namespace goldcrestwood {

/// What became of a call that the holder of the duty made.
enum class DutyOutcome : std::uint8_t {
    Accepted,
    Fenced, ///< A higher fencing token was seen.
    TooManyCalls,
    Unknown, ///< No answer, or another one; the call may still be executed.
};

} // namespace goldcrestwood
