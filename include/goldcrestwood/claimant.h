#pragma once

/// @file
/// The daemon that a caller asked: claims a call, dispatches it at most once, and answers truthfully.

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

/// Delays and bounds of a Claimant.
struct ClaimantSettings {
    /// A message without a reply is sent again after this time, with jitter, to the owner and its standby in turn.
    Duration retryEvery = std::chrono::milliseconds(300);
    /// After the caller's deadline the withdrawal is given this long to be read back.
    Duration withdrawalGrace = std::chrono::milliseconds(200);
    /// How long a withdrawal or an outcome is sent again before it is given up.
    Duration recordLimit = std::chrono::minutes(10);
    /// Calls in hand at most; further ones are refused.
    std::size_t calls = 4096;
    /// What callers are told when nothing better is known.
    Duration retryAfter = std::chrono::seconds(1);
};

/// What 'not run' is certain of.
enum class NotRunScope : std::uint8_t {
    Request, ///< This request was not and will not be run; what became of earlier requests with the key is not known here.
    Key, ///< Besides, no request with this key had run when this one was given up.
};

/// The call was refused and not run.
struct AnswerNotRun {
    NotRunScope scope = NotRunScope::Request;
    Duration retryAfter = Duration(0);

    bool operator==(const AnswerNotRun&) const = default;
};

/// Nobody can tell yet whether the key's call ran; a repeat with the same key learns it once it is known.
struct AnswerUnknown {
    Duration retryAfter = Duration(0);

    bool operator==(const AnswerUnknown&) const = default;
};

/// The call ran, now or at an earlier request.
struct AnswerOutcome {
    ClaimOutcome outcome;
    bool repeated = false; ///< Whether it comes from the log.

    bool operator==(const AnswerOutcome&) const = default;
};

/// The key was used with another body; this request was not run.
struct AnswerMismatch {
    bool operator==(const AnswerMismatch&) const = default;
};

using ClaimAnswer = std::variant<AnswerNotRun, AnswerUnknown, AnswerOutcome, AnswerMismatch>;

using ClaimMessage = std::variant<ClaimRecord, ClaimWithdrawal, ClaimOutcome>;

/// Send to the owner of the key's claim stream; replies come back through onReply().
struct SendToOwner {
    std::uint32_t rank = 0; ///< 0 is the owner, 1 its standby.
    ClaimMessage message;
};

/// Send the call to the service, once, on a fresh connection, with no retry; then call onDispatchResult().
struct Dispatch {
    ClaimId id;
    TimePoint deadline; ///< The caller's.
};

/// Answer the caller of a request.
struct AnswerCaller {
    std::uint64_t request = 0; ///< Number that begin() was given.
    ClaimAnswer answer;
};

/// Ask the daemon that holds the claim how it stands; it calls onQuery().
struct AskHolder {
    InstanceId holder;
    ClaimQuery query;
};

using ClaimantAction = std::variant<SendToOwner, Dispatch, AnswerCaller, AskHolder>;
using ClaimantActions = std::vector<ClaimantAction>;

/// What a claimant makes of a query.
struct QueryAnswer {
    std::optional<ClaimReply> reply;
    ClaimantActions actions;
};

/// The upstream answered; the outcome may be built by makeOutcome().
struct DispatchAnswered {
    ClaimOutcome outcome;
};

/// It is certain that no byte of the call reached the upstream.
struct DispatchNotSent { };

/// The call was sent, at least in part, and no whole answer came.
struct DispatchUnknown { };

using DispatchResult = std::variant<DispatchAnswered, DispatchNotSent, DispatchUnknown>;

/// All calls of one daemon that must run at most once.
class Claimant {
public:
    Claimant(const ClaimantSettings& settings, InstanceId self, std::uint64_t incarnation);

    /// Takes a call in hand. Each call gets one AnswerCaller, at the deadline at the latest.
    /// @param request The embedding program's own number for it.
    /// @param deadline When the caller needs its answer.
    ClaimantActions begin(std::uint64_t request, const ClaimKey& key, std::uint64_t bodyHash, TimePoint deadline, TimePoint now, Random& random);

    /// A reply from the owner of a claim stream or its standby; late and doubled ones are harmless.
    ClaimantActions onReply(const ClaimReply& reply, TimePoint now, Random& random);

    /// @param id The claim of the Dispatch.
    ClaimantActions onDispatchResult(const ClaimId& id, const DispatchResult& result, TimePoint now, Random& random);

    /// Another daemon asks about a claim of this one. A claim that this process has given up is withdrawn now.
    /// @return The reply, which the asker passes to onReply(), and what is sent to owners.
    QueryAnswer onQuery(const ClaimQuery& query);

    /// The service's status query, where it declares one, says that the key's call ran.
    /// @param holder The claim that holds the key.
    ClaimantActions onStatusFound(const ClaimId& holder, const ClaimOutcome& outcome);

    /// Call when nextWake() has come.
    ClaimantActions poll(TimePoint now, Random& random);

    /// @return Latest time for the next poll(), or the far future.
    TimePoint nextWake() const;

    /// @return The request that @p id was made for, while the call is in hand.
    std::optional<std::uint64_t> requestOf(const ClaimId& id) const;

    /// @return Calls in hand, among them those whose outcome is not yet recorded.
    std::size_t size() const { return this->calls.size(); }

private:
    enum class Stage : std::uint8_t {
        Claiming, ///< Waiting for a verdict, or for the outcome of the claim that holds the key.
        Dispatched, ///< Sent to the service.
        Withdrawing, ///< Decided not to dispatch.
        Recording, ///< Ended; the outcome goes into the log.
        Ended, ///< To be forgotten.
    };

    struct Call {
        std::uint64_t request = 0;
        bool answered = false;
        ClaimKey key;
        std::uint64_t bodyHash = 0;
        TimePoint deadline;
        Stage stage = Stage::Claiming;
        std::uint32_t messages = 0;
        TimePoint sendAt;
        TimePoint giveUpAt;
        bool isHeldByOther = false;
        std::optional<ClaimId> askedHolder;
        std::optional<ClaimOutcome> outcome;
    };

    ClaimId idOf(std::uint64_t number) const;
    ClaimMessage messageOf(std::uint64_t number, const Call& call) const;
    void send(std::uint64_t number, Call& call, TimePoint now, Random& random, ClaimantActions& actions);
    void answer(Call& call, ClaimAnswer what, ClaimantActions& actions);
    void enter(std::uint64_t number, Call& call, Stage stage, TimePoint now, Random& random, ClaimantActions& actions);
    void onClaimingReply(std::uint64_t number, Call& call, const ClaimReply& reply, TimePoint now, Random& random, ClaimantActions& actions);
    void onRefused(std::uint64_t number, Call& call, const ClaimReply& reply, TimePoint now, Random& random, ClaimantActions& actions);
    void onWithdrawingReply(Call& call, const ClaimReply& reply, ClaimantActions& actions);
    void onDue(std::uint64_t number, Call& call, TimePoint now, Random& random, ClaimantActions& actions);
    TimePoint wakeOf(const Call& call) const;

    ClaimantSettings settings;
    InstanceId self;
    std::uint64_t incarnation;
    std::uint64_t nextNumber = 1;
    bool gaveUpRecording = false;
    std::map<std::uint64_t, Call> calls;
};

} // namespace goldcrestwood
