#pragma once

/// @file
/// The daemon that receives a caller's request: claims the call, dispatches it at most once and answers the caller.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "goldcrestwood/claims.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Timeouts and bounds of a Claimant.
struct ClaimantSettings {
    /// Initial delay before an unanswered message is resent, with jitter. Every third message goes to the owner's standby.
    Duration retryInterval = std::chrono::milliseconds(300);
    /// How long before the caller's deadline an undecided claim is withdrawn, so that the withdrawal can be confirmed in time.
    Duration withdrawalLeadTime = std::chrono::milliseconds(200);
    /// How long a withdrawal or an outcome is resent before it is abandoned.
    Duration recordTimeout = std::chrono::minutes(10);
    /// Maximum number of calls in progress; further ones are refused.
    std::size_t maxCalls = 4096;
    /// Retry delay given to callers if no better estimate is known.
    Duration retryAfter = std::chrono::seconds(1);
};

/// Which requests a 'not run' answer covers.
enum class NotRunScope : std::uint8_t {
    Request, ///< This request did not and will not run; the fate of earlier requests with the key is unknown.
    Key, ///< As for Request, and no request with this key had run when this one was abandoned.
};

/// The request was refused and not run.
struct AnswerNotRun {
    NotRunScope scope = NotRunScope::Request;
    Duration retryAfter = Duration(0);

    bool operator==(const AnswerNotRun&) const = default;
};

/// It is not known yet whether the call ran; a repeated request with the same key returns the outcome once it is known.
struct AnswerUnknown {
    Duration retryAfter = Duration(0);

    bool operator==(const AnswerUnknown&) const = default;
};

/// The call ran, for this request or an earlier one with the same key.
struct AnswerOutcome {
    ClaimOutcome outcome;
    bool repeated = false; ///< Whether the outcome comes from the log.

    bool operator==(const AnswerOutcome&) const = default;
};

/// The key was already used with another body; this request was not run.
struct AnswerMismatch {
    bool operator==(const AnswerMismatch&) const = default;
};

using ClaimAnswer = std::variant<AnswerNotRun, AnswerUnknown, AnswerOutcome, AnswerMismatch>;

using ClaimMessage = std::variant<ClaimRecord, ClaimWithdrawal, ClaimOutcome>;

/// Send a message to the owner of the key's claim stream; pass its replies to onReply().
struct SendToOwner {
    std::uint32_t rank = 0; ///< 0 for the owner, 1 for its standby.
    ClaimMessage message;
};

/// Send the call to the service once, on a new connection and without retries; then call onDispatchResult().
struct Dispatch {
    ClaimId id;
    TimePoint deadline; ///< Deadline of the caller.
};

/// Answer the caller of a request.
struct AnswerCaller {
    std::uint64_t request = 0; ///< The number passed to begin().
    ClaimAnswer answer;
};

/// Query the daemon whose claim holds the key; that daemon calls onQuery().
struct QueryHolder {
    InstanceId holder;
    ClaimQuery query;
};

using ClaimantAction = std::variant<SendToOwner, Dispatch, AnswerCaller, QueryHolder>;
using ClaimantActions = std::vector<ClaimantAction>;

/// Result of a query from another daemon.
struct QueryAnswer {
    std::optional<ClaimReply> reply;
    ClaimantActions actions;
};

/// The upstream responded; makeOutcome() can build the outcome.
struct DispatchAnswered {
    ClaimOutcome outcome;
};

/// No byte of the call reached the upstream.
struct DispatchNotSent { };

/// The call was sent at least in part, but no complete response arrived.
struct DispatchUnknown { };

using DispatchResult = std::variant<DispatchAnswered, DispatchNotSent, DispatchUnknown>;

/// Handles all calls of one daemon that must run at most once.
class Claimant {
public:
    Claimant(const ClaimantSettings& settings, InstanceId self, std::uint64_t incarnation);

    /// Starts a call. Each call yields exactly one AnswerCaller, by its deadline at the latest.
    /// @param request The embedding program's number for the request.
    /// @param deadline When the caller must have its answer.
    ClaimantActions begin(std::uint64_t request, const ClaimKey& key, std::uint64_t bodyHash, TimePoint deadline, TimePoint now, Random& random);

    /// Handles a reply from the owner of a claim stream or its standby; late and duplicate replies are harmless.
    ClaimantActions onReply(const ClaimReply& reply, TimePoint now, Random& random);

    /// @param id The claim given in Dispatch.
    ClaimantActions onDispatchResult(const ClaimId& id, const DispatchResult& result, TimePoint now, Random& random);

    /// Handles a query from another daemon about a claim of this one. A claim that is no longer in progress is withdrawn.
    /// @return The reply, which the querying daemon passes to onReply(), and the messages to owners.
    QueryAnswer onQuery(const ClaimQuery& query);

    /// The status query of the service, if it declares one, has shown that the call ran.
    /// @param holder The claim that holds the key.
    ClaimantActions onStatusFound(const ClaimId& holder, const ClaimOutcome& outcome);

    /// Call at nextWake() at the latest.
    ClaimantActions poll(TimePoint now, Random& random);

    /// @return Latest time for the next poll(); the far future if none is needed.
    TimePoint nextWake() const;

    /// @return The request of the claim @p id, while its call is in progress.
    std::optional<std::uint64_t> requestOf(const ClaimId& id) const;

    /// @return Number of calls in progress, including those whose outcome is not yet recorded.
    std::size_t size() const { return this->calls.size(); }

private:
    enum class Stage : std::uint8_t {
        Claiming, ///< Waiting for a verdict or for the outcome of the claim that holds the key.
        Dispatched, ///< Sent to the service.
        Withdrawing, ///< Will not be dispatched; the claim is being withdrawn.
        Recording, ///< Dispatch has ended; the outcome is being written to the log.
        Ended, ///< To be removed.
    };

    struct Call {
        std::uint64_t request = 0;
        bool answered = false;
        ClaimKey key;
        std::uint64_t bodyHash = 0;
        TimePoint deadline;
        Stage stage = Stage::Claiming;
        std::uint32_t messagesSent = 0;
        TimePoint nextSendAt;
        TimePoint giveUpAt;
        bool isHeldByOther = false;
        std::optional<ClaimId> queriedHolder;
        std::optional<ClaimOutcome> outcome;
    };

    ClaimId idOf(std::uint64_t number) const;
    ClaimMessage messageOf(std::uint64_t number, const Call& call) const;
    void send(std::uint64_t number, Call& call, TimePoint now, Random& random, ClaimantActions& actions);
    void answerOnce(Call& call, ClaimAnswer content, ClaimantActions& actions);
    void enterStage(std::uint64_t number, Call& call, Stage stage, TimePoint now, Random& random, ClaimantActions& actions);
    void onClaimingReply(std::uint64_t number, Call& call, const ClaimReply& reply, TimePoint now, Random& random, ClaimantActions& actions);
    void onRefused(std::uint64_t number, Call& call, const ClaimReply& reply, TimePoint now, Random& random, ClaimantActions& actions);
    void onWithdrawingReply(Call& call, const ClaimReply& reply, ClaimantActions& actions);
    void onTimer(std::uint64_t number, Call& call, TimePoint now, Random& random, ClaimantActions& actions);
    TimePoint nextActionTime(const Call& call) const;

    ClaimantSettings settings;
    InstanceId self;
    std::uint64_t incarnation;
    std::uint64_t nextNumber = 1;
    bool gaveUpRecording = false;
    std::map<std::uint64_t, Call> calls;
};

} // namespace goldcrestwood
