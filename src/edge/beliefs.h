#pragma once

/// @file
/// Applies operator, registry and duty records and upstream notices to the daemon's state.

#include <vector>

#include "edge/edge_state.h"
#include "platform/headers.h"

namespace goldcrestwood {

/// Live upstreams register again within about two seconds of the store's return, and writers write again what it has lost.
inline constexpr Duration reregistrationGrace = std::chrono::milliseconds(2400);

/// @param source Origin of the records, for the log: the store or a peer.
void applyOperatorRecords(EdgeState& state, const std::vector<KeyedRecord>& records, const char* source);
void applyRegistryRecords(EdgeState& state, const std::vector<KeyedRecord>& records, const char* source);

/// Removes the upstreams whose entries expired during an outage and that have not registered again in time.
void removeExpiredUpstreams(EdgeState& state, TimePoint now);

/// Applies the drain or back-off notice of an upstream's answer.
/// @param born Start of the incarnation that was called.
/// @param source What was answered, for the log: a request's id or the name of a call.
void applyUpstreamNotice(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const platform::DecodedNotice& decoded, const std::string& source);

/// Applies the duty holder's record of the upstreams that are loading new weights and of those that have loaded them.
/// @param readAt When this daemon, or the one that forwarded the record, read it from its topic.
void applyDutyRecord(EdgeState& state, const DutyRecord& record, TimePoint readAt);

} // namespace goldcrestwood
