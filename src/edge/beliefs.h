#pragma once

/// @file
/// Folds records of the operator and of the registry into what the daemon believes.

#include <vector>

#include "edge/edge_state.h"

namespace goldcrestwood {

/// @param source Where the records come from, for the log: the store or a peer.
void believeOperator(EdgeState& state, const std::vector<KeyedRecord>& news, const char* source);
void believeRegistry(EdgeState& state, const std::vector<KeyedRecord>& news, const char* source);

} // namespace goldcrestwood
