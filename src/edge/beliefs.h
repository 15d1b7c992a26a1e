#pragma once

/// @file
/// Folds records of the operator and of the registry into what the daemon believes.

#include <vector>

#include "edge/edge_state.h"

namespace goldcrestwood {

/// @param source Where the records come from, for the log: the store or a peer.
void believeOperator(EdgeState& state, const std::vector<KeyedRecord>& news, const char* source);
void believeRegistry(EdgeState& state, const std::vector<KeyedRecord>& news, const char* source);

/// Gives up the upstreams that lapsed in an outage and did not come back.
void dropLapsed(EdgeState& state, TimePoint now);

/// The holder of the duty tells which upstreams take new weights, and which have them.
/// @param readAt When the record was read from its topic, by this daemon or by the one that tells it.
void believeDuty(EdgeState& state, const DutyRecord& record, TimePoint readAt);

} // namespace goldcrestwood
