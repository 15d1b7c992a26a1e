#pragma once

/// @file
/// Retries as a share of requests, where to retry, and hedging of silent connections.

#include <cstdint>
#include <optional>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// How often and how soon requests are tried again.
struct RetrySettings {
    /// Retries as a share of requests.
    double share = 0.1;
    /// Retries that may be saved up, so that a quiet daemon can still retry.
    double saved = 10;
    /// Upper bound of the wait before the first retry; doubles with each further one.
    Duration firstBackoff = std::chrono::milliseconds(20);
    /// Upper bound of any wait.
    Duration longestBackoff = std::chrono::seconds(1);
    /// Attempts of one request, the first included.
    std::uint32_t attempts = 3;

    bool operator==(const RetrySettings&) const = default;
};

/// Why a retry is not allowed.
enum class RetryRefusal : std::uint8_t {
    TokensSent, ///< The caller has tokens and the stream cannot go on from them.
    NotRepeatable, ///< The call may have run and is not idempotent.
    Attempts, ///< The request had all its attempts.
    Budget, ///< The daemon's share of retries is used up.
};

const char* toString(RetryRefusal refusal);

/// What a failed attempt left behind.
struct FailedAttempt {
    /// Attempts made so far.
    std::uint32_t attempts = 1;
    /// Whether the call is idempotent, or surely did not run.
    bool repeatable = true;
    /// Whether a token has gone out to the caller.
    bool tokensSent = false;
    /// Whether another run can go on from the next token.
    bool continuable = false;

    bool operator==(const FailedAttempt&) const = default;
};

/// The answer to a wish for a retry.
struct RetryDecision {
    /// Set if the retry is refused.
    std::optional<RetryRefusal> refusal;
    /// Wait before the retry.
    Duration backoff = Duration(0);

    bool operator==(const RetryDecision&) const = default;
};

/// Budget of one daemon for one service.
class RetryBudget {
public:
    explicit RetryBudget(RetrySettings bounds = {});

    /// Earns the share of one request.
    void onRequest();

    /// Spends one retry if all rules allow it.
    RetryDecision decide(const FailedAttempt& attempt, Random& random);

    /// @return Retries that are left now.
    double left() const { return this->balance; }

private:
    RetrySettings settings;
    double balance;
};

/// @return Index of the candidate to try next: the first outside all of @p failed, else the first.
/// @param candidates Failure domains of the candidates, best first.
/// @param failed Failure domains in which this request failed.
std::optional<std::size_t> preferOtherDomain(
    const std::vector<FailureDomain>& candidates, const std::vector<FailureDomain>& failed);

/// Deadline of the first byte of one request, and at most one new connection after it.
class FirstByteHedge {
public:
    FirstByteHedge(TimePoint sent, Duration deadline);

    /// @return True once, when the deadline has passed with no byte: open one new connection now.
    bool shouldHedge(TimePoint now);

    /// A byte came on any of the connections; no hedge follows.
    void onFirstByte() { this->settled = true; }

    /// @return When to ask next, or nothing if no hedge can follow.
    std::optional<TimePoint> wakeAt() const;

private:
    TimePoint due;
    bool settled = false;
};

} // namespace goldcrestwood
