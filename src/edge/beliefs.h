#pragma once

/// @file
/// Applies operator, registry and duty records and upstream notices to the daemon's state.

#include <cstdint>
#include <vector>

#include "edge/edge_state.h"
#include "edge/http_call.h"
#include "platform/headers.h"

namespace goldcrestwood {

/// Live upstreams register again within about two seconds of the store's return, and writers write again what it has lost.
inline constexpr Duration reregistrationGrace = std::chrono::milliseconds(2400);

/// Where records come from.
enum class RecordSource : std::uint8_t {
    Log, ///< The store's log: every record since the last one.
    Listing, ///< The store's listing: the newest record of each key.
    Peer, ///< Another daemon, which keeps the newest record of each key.
    PeerMemory, ///< Another daemon, which remembers removals from before this one started.
};

void applyOperatorRecords(EdgeState& state, const std::vector<KeyedRecord>& records, RecordSource source);
void applyRegistryRecords(EdgeState& state, const std::vector<KeyedRecord>& records, RecordSource source);

/// Applies a peer's report of when target weights were set.
void applyWeightsAge(EdgeState& state, const InstanceId& peer, const NamedWeightsAge& report, TimePoint now);

/// Removes the upstreams whose entries expired during an outage and that have not registered again in time.
void removeExpiredUpstreams(EdgeState& state, TimePoint now);

/// Applies the drain or back-off notice of an upstream's answer.
/// @param born Start of the incarnation that was called.
/// @param source What was answered, for the log: a request's id or the name of a call.
void applyUpstreamNotice(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const platform::DecodedNotice& decoded, const std::string& source);

/// Applies what the head of an answer to one of the daemon's own calls says about its upstream. Such an answer has no id that shows
/// whose it is, so only a body of the kind that was asked for makes its drain notice and load credible. A backoff applies at once, as
/// refusals have no such body.
/// @param born Start of the incarnation that was called.
/// @param isExpected Whether the answer has a body of the kind that the call asks for.
/// @param call Its name, for the log.
void applyCallAnswer(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const HttpAnswer& answer, bool isExpected, const std::string& call);

/// Applies what an answer says about the request limit of its upstream.
/// @param born Start of the incarnation that answered.
/// @param limit As decoded from the answer.
/// @param sent When the answered request was sent.
/// @param request Its id, for the log.
void applyRequestLimit(EdgeState& state, const UpstreamId& upstream, std::int64_t born,
    const tl::expected<std::optional<double>, Finding>& limit, TimePoint sent, const std::string& request);

/// Applies the load that an upstream reports in an answer; one that cannot be read is logged once for each incarnation.
/// @param born Start of the incarnation that answered.
/// @param load As decoded from the answer.
void applyServerLoad(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const tl::expected<std::optional<ServerLoad>, Finding>& load);

/// Applies a peer's report of request limits.
void applyPeerLimits(EdgeState& state, const LimitNotice& notice);

/// Applies a peer's counts of runs and its state of the usage reports.
void applyUsageNotice(EdgeState& state, const UsageNotice& notice);

/// Applies the duty holder's record of the upstreams that are loading new weights and of those that have loaded them.
/// @param readAt When this daemon, or the one that forwarded the record, read it from its topic.
void applyDutyRecord(EdgeState& state, const DutyRecord& record, TimePoint readAt);

} // namespace goldcrestwood
