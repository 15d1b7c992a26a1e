#pragma once

/// @file
/// Simulation of callers, one daemon's queue and a service with a fixed number of slots, to compare admission queues under a seeded load.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <vector>

#include "goldcrestwood/admission.h"

namespace admission_model {

using namespace goldcrestwood;

/// Arrival rate and service capacity of one run.
struct Load {
    double requestsPerSecond = 100; ///< New requests per second outside the burst.
    double burstFactor = 1.5; ///< Factor on the rate from burstFrom to burstTo, in seconds.
    double burstFrom = 4;
    double burstTo = 7;
    std::size_t slots = 32; ///< Requests served concurrently.
    double serviceSeconds = 0.25; ///< Mean service time of a request.
    double durationSeconds = 16;
};

/// Outcomes of the callers' requests.
struct Outcome {
    std::size_t requests = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0; ///< Finally refused, after all attempts.
    std::size_t attempts = 0;
    std::size_t refusals = 0; ///< Refused attempts.
    Duration heldThenRefused {}; ///< Sum of the times that refused attempts waited.
    std::map<int, std::size_t> returnsByTenth; ///< Arrivals of retries, by tenth of a second.

    std::size_t served() const { return this->onTime + this->late; }
    /// @return Mean time that a refused attempt waited, in milliseconds.
    double meanHeldMs() const { return this->refusals == 0 ? 0 : toMs(this->heldThenRefused) / static_cast<double>(this->refusals); }
    /// @return The maximum number of retries that arrive in the same tenth of a second.
    std::size_t maxReturns() const
    {
        std::size_t maximum = 0;
        for (const auto& [tenth, count] : this->returnsByTenth)
            maximum = std::max(maximum, count);
        return maximum;
    }

    Outcome& operator+=(const Outcome& other)
    {
        this->requests += other.requests;
        this->onTime += other.onTime;
        this->late += other.late;
        this->refused += other.refused;
        this->attempts += other.attempts;
        this->refusals += other.refusals;
        this->heldThenRefused += other.heldThenRefused;
        for (const auto& [tenth, count] : other.returnsByTenth)
            this->returnsByTenth[tenth] += count;
        return *this;
    }
};

constexpr Duration objective = std::chrono::milliseconds(400);
constexpr Duration deadline = std::chrono::seconds(5);
constexpr Duration silenceTimeout = std::chrono::seconds(2);
constexpr int maxAttempts = 2;

/// One attempt of a caller.
struct Attempt {
    std::uint64_t caller = 0;
    int number = 1;
    TimePoint firstArrival; ///< Arrival of the caller's first attempt.
    TimePoint arrived;
    TimePoint completesAt; ///< End of service.
};

/// Serves in order of arrival, refuses after half of the objective, and gives every caller the same retry time.
class FifoQueue {
public:
    bool isNext(const Waiter& /*waiter*/, TimePoint /*now*/) const { return this->waiting.empty(); }
    bool isInfeasible(const Waiter& /*waiter*/, TimePoint /*now*/) const { return false; }
    bool isOvertaken(const Waiter& /*waiter*/, TimePoint /*now*/) const { return false; }
    void add(const Waiter& waiter, TimePoint /*now*/) { this->waiting.push_back(waiter); }
    void remove(std::uint64_t id, bool /*isPlaced*/, TimePoint /*now*/)
    {
        std::erase_if(this->waiting, [&](const auto& waiter) { return waiter.id == id; });
    }
    std::vector<std::uint64_t> order(TimePoint /*now*/) const
    {
        std::vector<std::uint64_t> result;
        for (const auto& waiter : this->waiting)
            result.push_back(waiter.id);
        return result;
    }
    static Duration refuse(const Waiter& /*waiter*/, TimePoint /*now*/, Random& /*random*/) { return std::chrono::milliseconds(300); }
    static Duration patience() { return objective / 2; }

private:
    std::vector<Waiter> waiting;
};

/// The production queue.
class ProductionQueue : public AdmissionQueue {
public:
    static Duration patience() { return silenceTimeout / 2; }
};

/// The production queue without early refusals of late requests: they wait until they expire.
class HoldingQueue : public AdmissionQueue {
public:
    HoldingQueue()
        : AdmissionQueue(AdmissionSettings { .overloadStandardErrors = std::numeric_limits<double>::infinity() })
    {
    }
    static Duration patience() { return silenceTimeout / 2; }
};

/// Simulates one load on a queue.
template <typename Queue>
Outcome simulate(const Load& load, std::uint64_t seed)
{
    Random random { seed };
    Queue queue;
    Outcome outcome;
    std::map<std::uint64_t, Attempt> waiting;
    std::map<std::uint64_t, Waiter> waiters;
    std::map<std::uint64_t, TimePoint> checks; ///< When a waiting attempt is next checked.
    std::vector<Attempt> running;
    std::multimap<TimePoint, Attempt> arrivals;
    std::uint64_t lastWaiter = 0;
    const TimePoint start { std::chrono::seconds(100) };
    const auto exponential = [&](double mean) { return fromSeconds(std::exponential_distribution<double>(1 / mean)(random)); };
    std::uint64_t callers = 0;
    for (auto at = start; at < start + fromSeconds(load.durationSeconds);) {
        const auto second = toSeconds(at - start);
        const auto factor = second >= load.burstFrom && second < load.burstTo ? load.burstFactor : 1;
        arrivals.emplace(at, Attempt { ++callers, 1, at, at, {} });
        at += exponential(1 / (load.requestsPerSecond * factor));
    }
    outcome.requests = callers;
    const auto startService = [&](Attempt attempt, TimePoint now) {
        // A caller's service time is the same for every queue.
        Random callerRandom { seed * 1000003 + attempt.caller };
        attempt.completesAt = now + fromSeconds(std::exponential_distribution<double>(1 / load.serviceSeconds)(callerRandom));
        running.push_back(attempt);
    };
    const auto refuse = [&](const Attempt& attempt, const Waiter& waiter, TimePoint now) {
        ++outcome.refusals;
        outcome.heldThenRefused += now - attempt.arrived;
        const auto wait = queue.refuse(waiter, now, random);
        if (attempt.number == maxAttempts || now - attempt.firstArrival >= deadline) {
            ++outcome.refused;
            return;
        }
        const auto returnAt = now + std::min<Duration>(wait, (attempt.firstArrival + deadline - now) / 3);
        arrivals.emplace(returnAt, Attempt { attempt.caller, attempt.number + 1, attempt.firstArrival, returnAt, {} });
        ++outcome.returnsByTenth[static_cast<int>(toSeconds(returnAt - start) * 10)];
    };
    const auto dispatch = [&](TimePoint now) {
        for (const auto id : queue.order(now)) {
            if (running.size() >= load.slots)
                return;
            startService(waiting.at(id), now);
            queue.remove(id, true, now);
            waiting.erase(id);
            waiters.erase(id);
            checks.erase(id);
        }
    };
    for (auto now = start; now < start + fromSeconds(load.durationSeconds) + std::chrono::seconds(10); now += std::chrono::milliseconds(1)) {
        std::erase_if(running, [&](const Attempt& attempt) {
            if (attempt.completesAt > now)
                return false;
            // The first token comes after about a third of the service time.
            ++(now - attempt.firstArrival <= objective + fromSeconds(load.serviceSeconds) ? outcome.onTime : outcome.late);
            return true;
        });
        dispatch(now);
        for (; !arrivals.empty() && arrivals.begin()->first <= now; arrivals.erase(arrivals.begin())) {
            auto attempt = arrivals.begin()->second;
            ++outcome.attempts;
            const Waiter waiter { ++lastWaiter, 1, attempt.caller, now, now + objective / 2, now + Queue::patience() };
            if (queue.isNext(waiter, now) && running.size() < load.slots) {
                startService(attempt, now);
                continue;
            }
            if (queue.isInfeasible(waiter, now)) {
                refuse(attempt, waiter, now);
                continue;
            }
            queue.add(waiter, now);
            waiting[waiter.id] = attempt;
            waiters[waiter.id] = waiter;
            checks[waiter.id] = nextCheck(waiter, now);
        }
        std::vector<std::uint64_t> expired;
        for (auto& [id, check] : checks) {
            if (now < check)
                continue;
            const auto& waiter = waiters.at(id);
            check = nextCheck(waiter, now);
            if (now >= waiter.expiresAt || queue.isOvertaken(waiter, now))
                expired.push_back(id);
        }
        for (const auto id : expired) {
            const auto attempt = waiting.at(id);
            const auto waiter = waiters.at(id);
            queue.remove(id, false, now);
            waiting.erase(id);
            waiters.erase(id);
            checks.erase(id);
            refuse(attempt, waiter, now);
        }
    }
    return outcome;
}

} // namespace admission_model
