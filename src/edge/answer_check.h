#pragma once

/// @file
/// Decides whose answer begins with a head that an upstream sent.

#include <cstdint>
#include <string>

#include "platform/headers.h"

namespace goldcrestwood {

/// What the head of an answer is to the request that awaits one.
enum class HeadVerdict : std::uint8_t {
    Own, ///< Begins the upstream's answer to the request.
    Stale, ///< Begins the answer to another request.
    Unidentified, ///< Names no request.
    Unsigned, ///< A success without the upstream's signature.
    Contradictory, ///< A success that states that the request has not run.
    Ambiguous, ///< Has several ids or signatures, so that readers may find different ones.
    Encoded, ///< Begins a body that is not the upstream's: upstreams encode none.
};

/// A faulty upstream sends bytes that look like an answer, on any connection. An answer names its request, and a success has the
/// upstream's signature.
/// @param status Of the answer.
/// @param requestId Of the request that awaits its answer; if it is empty, nothing else may have been sent on the connection.
HeadVerdict checkHead(const platform::AnswerInfo& answer, unsigned status, const std::string& requestId);

/// @return The verdict in words, for the log.
const char* toString(HeadVerdict verdict);

} // namespace goldcrestwood
