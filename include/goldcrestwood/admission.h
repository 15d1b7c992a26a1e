#pragma once

/// @file
/// Queue of requests that wait for placement: order of service, early refusal of infeasible requests, and retry-after times.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "goldcrestwood/account_service.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct AdmissionSettings {
    /// Window over which the placement rate is measured: long compared with one placement, short compared with a burst of
    /// several seconds.
    Duration rateWindow = std::chrono::seconds(1);
    /// A rate measured over a shorter time is not used: it would rest on only a few placements, even at a busy service.
    Duration minRateWindow = std::chrono::milliseconds(250);
    /// A request is refused early only if it would not be placed in time even at this multiple of the measured rate: a wrong
    /// refusal costs the caller an attempt, while a failure domain may return during the wait.
    double rateMargin = 2;
    /// A late request is refused early only if arrivals that precede it outnumber placements by this many standard errors of the
    /// difference of two Poisson counts: at a small daemon a few more arrivals than placements prove nothing.
    double overloadStandardErrors = 2;
    AccountServiceSettings accountService {};
    /// Retry-after time if no rate is known, and the minimum otherwise; about the duration of one answer.
    Duration defaultRetryAfter = std::chrono::milliseconds(300);
    /// Maximum retry-after time: the present state does not predict the load beyond it.
    Duration maxRetryAfter = std::chrono::seconds(5);
    /// Jitter of retry-after times, as a share, so that callers refused by several daemons at once do not return at once.
    double retryAfterJitter = 0.2;
    /// A caller that returns earlier than told by more than this share of its retry-after time loses its precedence.
    double earlyTolerance = 0.1;
    /// Maximum number of refused callers whose return is expected, and how long after its due time a return is remembered.
    std::size_t maxExpectedReturns = 4096;
    Duration expectedReturnLifetime = std::chrono::seconds(10);
};

/// A request placed within this share of its answer time is usually answered on time: prefill and the first token take the rest.
inline constexpr double placementTimeShare = 0.5;

/// @param from When the request arrived, or returned from an upstream that did not serve it.
/// @param end When its answer becomes late or its caller stops waiting.
/// @return The latest time of placement for which the answer is usually on time.
constexpr TimePoint placementDeadline(TimePoint from, TimePoint end)
{
    return end <= from ? from : from + std::chrono::duration_cast<Duration>((end - from) * placementTimeShare);
}

/// A request that waits for placement at one of a service's upstreams.
struct Waiter {
    std::uint64_t id = 0; ///< Unique within one queue.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint64_t caller = 0; ///< Identifies a returning request of the same caller; 0 if unknown.
    TimePoint arrived;
    TimePoint onTimeUntil; ///< If placed by then, the answer can still be on time.
    TimePoint expiresAt; ///< Placement after this is useless to the caller.
    ClientAccount account {}; ///< Empty without accounts and on public routes.

    bool operator==(const Waiter&) const = default;
};

/// Time between checks of a late waiting request; refusals are spread over it, so that the returns are spread too.
inline constexpr Duration lateCheckInterval = std::chrono::milliseconds(100);

/// @return When to check next whether a waiting request has become infeasible: when it becomes late, then at intervals.
constexpr TimePoint nextCheck(const Waiter& waiter, TimePoint now)
{
    return std::min(now < waiter.onTimeUntil ? waiter.onTimeUntil : now + lateCheckInterval, waiter.expiresAt);
}

/// The queue of one service at one daemon.
///
/// Load pattern: for some seconds a third more requests arrive than can be served, in a burst or because a failure domain is
/// down, and fewer later. With FIFO order and a short timeout nearly all are late or refused, and the refused ones return
/// together into the same overload. Here requests that can still be on time go first, late ones wait for the spare capacity
/// after the burst, and infeasible ones are refused at once, each with its own retry-after time at the measured placement rate.
/// Within a rank and class the accounts with the least recent service go first, each request counting as one more service of its
/// account than the one before it; requests of a single account, and of accounts served about equally, keep the order of arrival.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionSettings queueSettings = {})
        : settings(queueSettings)
        , service(queueSettings.accountService)
    {
    }

    /// @return Whether @p waiter precedes all waiters.
    bool isNext(const Waiter& waiter, TimePoint now) const;
    /// @return Number of waiters that precede @p waiter, which may itself be waiting.
    std::size_t countAhead(const Waiter& waiter, TimePoint now) const;
    /// @return Whether @p waiter, which is about to wait, would most likely not be placed before it expires.
    bool isInfeasible(const Waiter& waiter, TimePoint now) const;
    /// The same for a request that already waits: the placement rate alone is no reason, as it is low during a pause of the upstreams.
    /// @return Whether requests that precede a late @p waiter have been arriving faster than any were placed.
    bool isOvertaken(const Waiter& waiter, TimePoint now) const;
    void add(const Waiter& waiter, TimePoint now);
    /// The waiter was placed, or has stopped waiting.
    void remove(std::uint64_t id, bool isPlaced, TimePoint now);
    /// A request of @p account was placed without waiting.
    void onPlaced(const ClientAccount& account, TimePoint now) { this->service.add(account, now); }
    /// @return Ids of all waiters, the next one first.
    std::vector<std::uint64_t> order(TimePoint now) const;
    std::size_t size() const { return this->waiters.size(); }

    /// Refuses a request. Successive refusals get retry-after times one placement interval apart.
    /// @return Time after which the caller should retry.
    Duration refuse(const Waiter& waiter, TimePoint now, Random& random);

private:
    /// Order of service within a rank: lower values first.
    enum class QueueClass : std::uint8_t {
        OnTime,
        Returned, ///< Retried when told to; its answer is late, but it has no attempt left.
        Late,
        Early, ///< Retried too early.
    };

    /// Position of a waiter in the order of service.
    struct Position {
        std::uint32_t rank = 0;
        QueueClass queueClass = QueueClass::OnTime;
        std::size_t turn = 0; ///< By the service of its account.
        TimePoint arrived;
        std::uint64_t id = 0;
        const ClientAccount* account = nullptr;

        bool operator<(const Position& other) const;
    };

    /// An arrival that had to wait.
    struct Arrival {
        TimePoint at;
        std::uint32_t rank = 0;
    };

    QueueClass queueClassOf(const Waiter& waiter, TimePoint now) const;
    /// @return The waiters and @p candidate, if not null, the next one first.
    std::vector<Position> positions(const Waiter* candidate, TimePoint now) const;
    /// Sets the turns of waiters of one rank and class, which are in the order of arrival.
    void assignTurns(std::span<Position> group, TimePoint now) const;
    /// @return Time over which the placement rate is measured.
    Duration measuredTime(TimePoint now) const { return std::min(this->settings.rateWindow, now - this->waitingSince); }
    std::size_t countPlacements(Duration window, TimePoint now) const;
    void forgetOld(TimePoint now);
    /// @return Placements of waiters per second, if measured over a long enough time.
    std::optional<double> rate(TimePoint now) const;
    void expireReturns(TimePoint now);

    /// The expected return of a refused caller.
    struct ExpectedReturn {
        TimePoint refusedAt;
        TimePoint due;
    };

    AdmissionSettings settings;
    std::map<std::uint64_t, Waiter> waiters;
    std::deque<TimePoint> placements; ///< Of waiters, within the last rate window.
    std::deque<Arrival> arrivals; ///< Of waiters that were not late, within the last rate window.
    AccountService service;
    TimePoint waitingSince; ///< Since when the queue has not been empty.
    TimePoint lastReturn; ///< The latest return assigned to a refused caller, before jitter.
    std::map<std::uint64_t, ExpectedReturn> expected; ///< By caller.
    std::deque<std::pair<TimePoint, std::uint64_t>> expectedOrder; ///< Due times and callers, in the order of refusal.
};

} // namespace goldcrestwood
