#pragma once

/// @file
/// Handles one prompt: its runs at upstreams and the answer to the caller.

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "daemon/completion_call.h"
#include "daemon/serving.h"
#include "daemon/upstream_client.h"
#include "goldcrestwood/relay.h"
#include "goldcrestwood/retry_budget.h"

namespace goldcrestwood {

/// Decides whether a failed attempt may be retried, and waits for the backoff if so.
using RetryCheck = std::function<bool(const FailedAttempt&)>;

/// A caller's request with its account, service and position in the stream.
struct CompletionTask {
    CompletionCall call;
    ClientAccount account;
    ServiceEntry service;
    RequestId request;
    RunId run;
    /// First token that the caller has not received.
    std::uint64_t nextToken = 0;
    /// Upstream of the run that a ticket resumes; empty for a new request.
    UpstreamId resumeAt;
};

/// Runs a task to completion and answers on the exchange. Not thread-safe: each request runs on one thread.
class CompletionRun {
public:
    CompletionRun(const Serving& serving, CompletionTask task, RetryCheck mayRetry, HttpExchange& exchange);

    /// Places the prompt, relays the stream and sends the answer.
    void serve();

private:
    /// The request's attempt at an upstream. It was placed by the router unless it resumes a run.
    struct Attempt {
        UpstreamEntry upstream;
        Placement placement;
        Permit permit;
        TimePoint sentAt;
        bool placed = false;
        bool answered = false;
    };

    /// Next action: starts or resumes a run.
    struct Step {
        RunId run;
        std::uint64_t fromToken = 0;
        std::uint64_t connection = 1;
        bool resume = false;
        bool newUpstream = false;
    };

    void runSteps(Step step);
    bool beginAttempt();
    bool tryPlacement(TimePoint deadline);
    bool beginResume();
    void importBlocks(const Attempt& target);
    void endAttempt(PermitEnd end);
    StreamEnd runStep(const Step& step);
    bool onPiece(const EngineChunk& piece, const Step& step);
    void onFirstToken();
    void apply(const RelayActions& actions);
    void afterStream(const StreamEnd& end, const Step& step);
    void forward(const ForwardToken& token);
    void finish();
    void fail(StreamError error);
    void detachRun();
    void exportBlocks();
    Duration stallTimeout() const;
    VersionName version();

    Serving serving;
    CompletionTask task;
    RetryCheck mayRetry;
    HttpExchange& exchange;
    Relay relay;
    std::optional<Attempt> attempt;
    std::optional<Step> nextStep;
    std::set<UpstreamId> failedUpstreams;
    /// Upstreams that granted no permit in time.
    std::set<UpstreamId> fullUpstreams;
    VersionName pinnedVersion;
    std::string text;
    std::uint32_t attempts = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t tokensSent = 0;
    /// Whether any upstream may have received the request.
    bool sent = false;
    bool eventsBegun = false;
    bool callerDisconnected = false;
    TimePoint startedAt;
};

} // namespace goldcrestwood
