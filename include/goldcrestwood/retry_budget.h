#pragma once

/// @file
/// Retry budget as a share of requests, choice of the failure domain for a retry, and hedging of silent connections.

#include <cstdint>
#include <optional>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Limits and backoff of retries.
struct RetrySettings {
    /// Retries as a share of requests.
    double share = 0.1;
    /// Maximum accumulated retries; also the initial balance, so that a daemon with few requests can still retry.
    double maxBalance = 10;
    /// Upper bound of the backoff before the first retry; doubles with each further retry.
    Duration initialBackoff = std::chrono::milliseconds(20);
    /// Upper bound of any backoff.
    Duration maxBackoff = std::chrono::seconds(1);
    /// Maximum attempts of one request, the first included.
    std::uint32_t attempts = 3;

    bool operator==(const RetrySettings&) const = default;
};

/// Why a retry is not allowed.
enum class RetryRefusal : std::uint8_t {
    TokensSent, ///< The caller has received tokens and the stream cannot be resumed after them.
    NotRepeatable, ///< The call may have run and is not idempotent.
    Attempts, ///< The request has used all its attempts.
    Budget, ///< The daemon's retry budget is used up.
};

const char* toString(RetryRefusal refusal);

/// State of a request after a failed attempt.
struct FailedAttempt {
    /// Attempts made so far.
    std::uint32_t attempts = 1;
    /// Whether the call is idempotent or certainly did not run.
    bool repeatable = true;
    /// Whether a token was sent to the caller.
    bool tokensSent = false;
    /// Whether another run can resume at the next token.
    bool continuable = false;

    bool operator==(const FailedAttempt&) const = default;
};

/// Whether a retry is allowed, and after which backoff.
struct RetryDecision {
    /// Set if the retry is refused.
    std::optional<RetryRefusal> refusal;
    /// Wait before the retry.
    Duration backoff = Duration(0);

    bool operator==(const RetryDecision&) const = default;
};

/// One daemon's retry budget for one service.
class RetryBudget {
public:
    explicit RetryBudget(RetrySettings bounds = {});

    /// Adds the share of one request to the balance.
    void onRequest();

    /// Takes one retry from the balance if all rules allow it.
    RetryDecision decide(const FailedAttempt& attempt, Random& random);

    /// @return Remaining retries.
    double left() const { return this->balance; }

private:
    RetrySettings settings;
    double balance;
};

/// @param candidates Failure domains of the candidates, best first.
/// @param failed Failure domains in which this request failed.
/// @return Index of the candidate to try next: the first outside all of @p failed, else the first.
std::optional<std::size_t> preferOtherDomain(
    const std::vector<FailureDomain>& candidates, const std::vector<FailureDomain>& failed);

/// Deadline for the first byte of one request; at most one hedge on a new connection when it passes.
class FirstByteHedge {
public:
    FirstByteHedge(TimePoint sent, Duration deadline);

    /// @return True once, when the deadline has passed without a byte: the caller opens one new connection.
    bool shouldHedge(TimePoint now);

    /// A byte arrived on one of the connections; no hedge follows.
    void onFirstByte() { this->settled = true; }

    /// @return When to call shouldHedge() next, or nothing if no hedge can follow.
    std::optional<TimePoint> wakeAt() const;

private:
    TimePoint due;
    bool settled = false;
};

} // namespace goldcrestwood
