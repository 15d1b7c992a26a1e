#pragma once

/// @file
/// Measures how late the event loop runs.

#include "edge/edge_state.h"
#include "edge/net.h"

namespace goldcrestwood {

/// A caller's request or close lies unread for as long as the loop is late, whatever the reason: the processor, a long computation
/// or a paused process. Runs until the process ends.
Task<> watchLoop(EdgeState& state, asio::any_io_executor executor);

} // namespace goldcrestwood
