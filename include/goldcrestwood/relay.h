#pragma once

/// @file
/// Relays the token stream of one request; the caller gets the complete answer or an explicit error.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Identifies a caller's request, uniquely within the site.
using RequestId = Name<struct RequestTag>;
/// Identifies one run of a request at an upstream.
using RunId = Name<struct RunTag>;

/// Limits of one stream.
struct RelaySettings {
    /// Maximum wait for the next piece.
    Duration stallLimit = std::chrono::seconds(2);
    /// Maximum number of consecutive reconnects without a new token before the upstream counts as unreachable.
    std::uint32_t maxReconnects = 2;
    /// Maximum number of runs per request, including the first.
    std::uint32_t maxRuns = 3;
    /// How long a run continues after its caller disconnected.
    Duration resumeWindow = std::chrono::seconds(30);

    bool operator==(const RelaySettings&) const = default;
};

/// Recovery options that the upstream and the request allow.
struct StreamTraits {
    /// The upstream can resume a run from a given token.
    bool resumes = true;
    /// Another run can continue from the prompt and the tokens so far, or reproduces the same tokens.
    bool continuable = true;
    /// The call may be run again if no token was sent.
    bool repeatable = true;

    bool operator==(const StreamTraits&) const = default;
};

/// One token received from the upstream.
struct StreamPiece {
    RequestId request;
    RunId run;
    std::uint64_t index = 0;
    std::string token;

    bool operator==(const StreamPiece&) const = default;
};

/// The end of a run, received from the upstream.
struct StreamFinish {
    RequestId request;
    RunId run;
    /// Number of tokens in the complete answer.
    std::uint64_t tokens = 0;

    bool operator==(const StreamFinish&) const = default;
};

/// Why a stream ends before its answer is complete.
enum class StreamError : std::uint8_t {
    UpstreamGone, ///< No run can continue after the tokens that were sent.
    AttemptsUsed, ///< The limits of runs and reconnects are exhausted.
    RetryRefused, ///< The daemon has no upstream or no retry budget for another attempt.
};

const char* toString(StreamError error);

/// Forward the token to the caller.
struct ForwardToken {
    std::uint64_t index = 0;
    std::string token;

    bool operator==(const ForwardToken&) const = default;
};

/// Drop the connection, open a new one and resume the same run.
struct Reconnect {
    RunId run;
    std::uint64_t fromToken = 0;
    /// Number of the new connection, to be passed back with its events.
    std::uint64_t connection = 0;

    bool operator==(const Reconnect&) const = default;
};

/// Start a new run at another upstream of the same version, from the prompt and the tokens so far.
struct RunElsewhere {
    RunId run;
    /// First token that the new run sends; 0 to run from the prompt alone, in which case known tokens are dropped as
    /// duplicates.
    std::uint64_t startToken = 0;
    std::vector<std::string> tokens;
    std::uint64_t connection = 0;

    bool operator==(const RunElsewhere&) const = default;
};

/// Start a new run from the beginning; no token was sent yet.
struct Restart {
    RunId run;
    std::uint64_t connection = 0;

    bool operator==(const Restart&) const = default;
};

/// Tell the upstream to cancel a run that is no longer needed.
struct CancelRun {
    RunId run;

    bool operator==(const CancelRun&) const = default;
};

/// Send the end of the answer; all tokens were forwarded.
struct FinishStream {
    std::uint64_t tokens = 0;

    bool operator==(const FinishStream&) const = default;
};

/// Send an explicit error event and end the stream.
struct FailStream {
    StreamError error = StreamError::UpstreamGone;
    std::uint64_t tokensSent = 0;

    bool operator==(const FailStream&) const = default;
};

using RelayAction = std::variant<ForwardToken, Reconnect, RunElsewhere, Restart, CancelRun, FinishStream, FailStream>;
using RelayActions = std::vector<RelayAction>;

/// Counts of pieces that were not forwarded, and of recoveries.
struct RelayCounts {
    std::uint64_t misrouted = 0; ///< Belong to another request.
    std::uint64_t stale = 0; ///< From an earlier run or connection, or after the end of the stream.
    std::uint64_t duplicates = 0; ///< Already forwarded.
    std::uint64_t gaps = 0; ///< Arrived while an earlier token was missing.
    std::uint64_t reconnects = 0;
    std::uint64_t reruns = 0;

    bool operator==(const RelayCounts&) const = default;
};

/// The stream of one request. Events of an upstream connection carry the number of that connection; events of
/// dropped connections are ignored.
class Relay {
public:
    /// @param start The first run, which the user of this class starts on connection 1.
    /// @param nextToken First token that the caller lacks; above 0 for a stream resumed with a ticket.
    Relay(RequestId id, RunId start, StreamTraits allowed, RelaySettings bounds, std::uint64_t nextToken, TimePoint now);

    /// A token arrived on the connection @p from.
    RelayActions onPiece(std::uint64_t from, const StreamPiece& piece, TimePoint now);

    /// The upstream ended the run; if tokens are missing, the stream recovers instead of ending.
    RelayActions onFinish(std::uint64_t from, const StreamFinish& finish, TimePoint now);

    /// The connection closed or failed before the end of the run.
    RelayActions onConnectionLost(std::uint64_t lostConnection, TimePoint now);

    /// The upstream does not know the run, is unreachable or refused the run.
    RelayActions onUpstreamGone(std::uint64_t lostConnection, TimePoint now);

    /// The daemon has no upstream or no retry budget for the last requested action.
    RelayActions onRetryRefused();

    /// The caller disconnected before the end of the answer.
    void onCallerDisconnected(TimePoint now);

    /// The caller reconnected to this daemon.
    /// @param nextToken First token that it lacks.
    RelayActions onCallerResumed(std::uint64_t nextToken);

    /// Checks the stall limit and the resume window; call it at `wakeAt`.
    RelayActions onTimer(TimePoint now);

    /// @return When to call `onTimer`; empty once the stream has ended.
    std::optional<TimePoint> wakeAt() const;

    std::uint64_t nextToken() const { return this->next; }
    std::uint64_t connection() const { return this->currentConnection; }
    const RunId& run() const { return this->currentRun; }
    const RelayCounts& counts() const { return this->counters; }
    bool ended() const { return this->done; }

private:
    RelayActions recover(bool upstreamGone, TimePoint now);
    RelayActions rerun();
    RelayAction replay();
    RelayActions fail(StreamError error);

    RequestId request;
    RunId firstRun;
    RunId currentRun;
    StreamTraits traits;
    RelaySettings settings;
    std::uint64_t firstToken;
    std::uint64_t next;
    /// Next token that counts as progress; below `next` while a run repeats known tokens.
    std::uint64_t progressToken;
    std::uint64_t currentConnection = 1;
    std::uint32_t reconnectsWithoutProgress = 0;
    std::uint32_t runs = 1;
    std::vector<std::string> tokens;
    TimePoint progressAt;
    std::optional<TimePoint> callerDisconnectedAt;
    RelayCounts counters;
    bool done = false;
    bool complete = false;
};

} // namespace goldcrestwood
