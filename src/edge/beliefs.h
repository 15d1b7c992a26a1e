#pragma once

/// @file
/// Folds records of the operator and of the registry into what the daemon believes.

#include <vector>

#include "edge/edge_state.h"
#include "platform/headers.h"

namespace goldcrestwood {

/// @param source Where the records come from, for the log: the store or a peer.
void believeOperator(EdgeState& state, const std::vector<KeyedRecord>& news, const char* source);
void believeRegistry(EdgeState& state, const std::vector<KeyedRecord>& news, const char* source);

/// Gives up the upstreams that lapsed in an outage and did not come back.
void dropLapsed(EdgeState& state, TimePoint now);

/// An upstream's answer may say that it leaves or wants to rest.
/// @param born Start of the incarnation that was called.
/// @param source What the answer was to, for the log: a request's id, or the name of a call.
void believeNotice(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const platform::DecodedNotice& decoded, const std::string& source);

/// The holder of the duty tells which upstreams take new weights, and which have them.
/// @param readAt When the record was read from its topic, by this daemon or by the one that tells it.
void believeDuty(EdgeState& state, const DutyRecord& record, TimePoint readAt);

} // namespace goldcrestwood
