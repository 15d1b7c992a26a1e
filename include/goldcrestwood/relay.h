#pragma once

/// @file
/// Relays the token stream of one request so that its caller gets the whole answer or an explicit error.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A request of a caller, unique in the site.
using RequestId = Name<struct RequestTag>;
/// One run of a request at an upstream.
using RunId = Name<struct RunTag>;

/// Bounds of one stream.
struct RelaySettings {
    /// Longest wait for the next piece.
    Duration stallLimit = std::chrono::seconds(2);
    /// Connections in a row without a new token before the upstream counts as gone.
    std::uint32_t reconnects = 2;
    /// Runs of one request, the first included.
    std::uint32_t runs = 3;
    /// Time for which the run of a disconnected caller is kept.
    Duration resumeWindow = std::chrono::seconds(30);

    bool operator==(const RelaySettings&) const = default;
};

/// What the upstream and the request allow.
struct StreamTraits {
    /// The upstream resumes a run from a token.
    bool resumes = true;
    /// Another run may go on from prompt and tokens so far, or gives the same tokens again.
    bool continuable = true;
    /// The call may run again if nothing was sent.
    bool repeatable = true;

    bool operator==(const StreamTraits&) const = default;
};

/// One token as the upstream sent it.
struct StreamPiece {
    RequestId request;
    RunId run;
    std::uint64_t index = 0;
    std::string token;

    bool operator==(const StreamPiece&) const = default;
};

/// The end of a run as the upstream sent it.
struct StreamFinish {
    RequestId request;
    RunId run;
    /// Tokens of the whole answer.
    std::uint64_t tokens = 0;

    bool operator==(const StreamFinish&) const = default;
};

/// Why a stream ends without its whole answer.
enum class StreamError : std::uint8_t {
    UpstreamGone, ///< No run can go on from the tokens sent.
    AttemptsUsed, ///< All runs and connections that the bounds allow were tried.
    RetryRefused, ///< The daemon's retry budget is used up.
};

const char* toString(StreamError error);

/// Pass the token on to the caller.
struct ForwardToken {
    std::uint64_t index = 0;
    std::string token;

    bool operator==(const ForwardToken&) const = default;
};

/// Drop the connection, open a new one and resume the same run.
struct Reconnect {
    RunId run;
    std::uint64_t fromToken = 0;
    /// Number that events of the new connection carry.
    std::uint64_t connection = 0;

    bool operator==(const Reconnect&) const = default;
};

/// Start a new run at another upstream, of the same version, from prompt and tokens so far.
struct RunElsewhere {
    RunId run;
    /// First token that the new run sends; 0 to run from the prompt alone, where known tokens are dropped as doubled.
    std::uint64_t startToken = 0;
    std::vector<std::string> tokens;
    std::uint64_t connection = 0;

    bool operator==(const RunElsewhere&) const = default;
};

/// Start a new run from the beginning; nothing was sent.
struct Restart {
    RunId run;
    std::uint64_t connection = 0;

    bool operator==(const Restart&) const = default;
};

/// Tell the upstream to cancel a run that nobody needs.
struct CancelRun {
    RunId run;

    bool operator==(const CancelRun&) const = default;
};

/// Send the end of the answer; the caller has all tokens.
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

/// Pieces that were not passed on.
struct RelayCounts {
    std::uint64_t crossed = 0; ///< Of another request.
    std::uint64_t late = 0; ///< Of a former run or connection, or after the end.
    std::uint64_t doubled = 0; ///< Already passed on.
    std::uint64_t gaps = 0; ///< After a token that is missing.
    std::uint64_t reconnects = 0;
    std::uint64_t reruns = 0;

    bool operator==(const RelayCounts&) const = default;
};

/// The stream of one request. Events of an upstream connection carry the number of that connection; those of
/// connections that were dropped change nothing.
class Relay {
public:
    /// @param start The first run, which the caller starts on connection 1.
    /// @param nextToken First token that the caller lacks; not 0 for a stream resumed with a ticket.
    Relay(RequestId id, RunId start, StreamTraits allowed, RelaySettings bounds, std::uint64_t nextToken, TimePoint now);

    RelayActions onPiece(std::uint64_t from, const StreamPiece& piece, TimePoint now);

    /// The upstream ended the run; with tokens missing the stream resumes instead of ending.
    RelayActions onFinish(std::uint64_t from, const StreamFinish& finish, TimePoint now);

    /// The connection ended or failed before the run's end.
    RelayActions onConnectionLost(std::uint64_t lost, TimePoint now);

    /// The upstream does not know the run, is not reachable, or refused it.
    RelayActions onUpstreamGone(std::uint64_t lost, TimePoint now);

    /// The daemon has no upstream or no retry budget for the action asked for last.
    RelayActions onRetryRefused();

    /// The caller's connection ended before its answer did.
    void onCallerGone(TimePoint now);

    /// The caller is back at this daemon.
    /// @param nextToken First token it lacks.
    RelayActions onCallerBack(std::uint64_t nextToken);

    /// Checks the stall limit and the resume window; call at `wakeAt`.
    RelayActions onTime(TimePoint now);

    /// @return When to call `onTime`; nothing once the stream has ended.
    std::optional<TimePoint> wakeAt() const;

    std::uint64_t nextToken() const { return this->next; }
    std::uint64_t connection() const { return this->currentConnection; }
    const RunId& run() const { return this->currentRun; }
    const RelayCounts& counts() const { return this->tally; }
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
    /// First token that counts as progress; below `next` while a run passes through known tokens again.
    std::uint64_t progress;
    std::uint64_t currentConnection = 1;
    std::uint32_t fruitless = 0;
    std::uint32_t runs = 1;
    std::vector<std::string> tokens;
    TimePoint progressAt;
    std::optional<TimePoint> callerGoneAt;
    RelayCounts tally;
    bool done = false;
    bool complete = false;
};

} // namespace goldcrestwood
