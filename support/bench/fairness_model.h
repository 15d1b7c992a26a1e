#pragma once

/// @file
/// Simulation of several daemons whose queues place requests of client accounts of different size at one pool of slots.

#include <map>
#include <string>
#include <vector>

#include "admission_model.h"

namespace fairness_model {

using namespace goldcrestwood;

/// Whose placements a daemon's order takes into account.
enum class Order {
    Arrival, ///< None: all requests belong to one account.
    Local, ///< Its own.
    Site, ///< Those of all daemons, known at once: the best that reports between daemons could give.
};

/// Arrival rates and service capacity of one run.
struct Load {
    std::size_t daemons = 12;
    std::size_t slots = 32; ///< Requests served concurrently by all daemons together.
    double serviceSeconds = 0.25; ///< Mean service time of a request.
    double overload = 4.0 / 3; ///< Arrivals per placement.
    std::vector<double> sizes { 0.85, 0.05, 0.05, 0.05 }; ///< Shares of the accounts in the arrivals.
    bool isSkewed = false; ///< Whether all requests of an account except the first arrive at one daemon, a different one each.
    double durationSeconds = 12;
};

/// Requests and placements of one account.
struct AccountOutcome {
    std::size_t requests = 0;
    std::size_t placed = 0;
    std::size_t onTime = 0; ///< Placed before they became late.

    double placedShare() const { return static_cast<double>(this->placed) / static_cast<double>(this->requests); }
    double onTimeShare() const { return static_cast<double>(this->onTime) / static_cast<double>(this->requests); }
};

/// Simulates one load. In each millisecond the daemons learn of free slots in random order, and each places at most one request.
/// @return Outcomes by account.
inline std::vector<AccountOutcome> simulate(const Load& load, Order order, std::uint64_t seed)
{
    using namespace std::chrono;
    struct Daemon {
        AdmissionQueue queue;
        std::map<std::uint64_t, std::pair<Waiter, std::size_t>> waiting; ///< With the account's index.
    };
    Random random { seed };
    std::vector<Daemon> daemons(load.daemons);
    std::vector<AccountOutcome> outcomes(load.sizes.size());
    std::vector<TimePoint> busyUntil(load.slots);
    const TimePoint start { seconds(100) };
    std::uint64_t lastId = 0;
    const auto place = [&](std::size_t at, const Waiter& waiter, std::size_t account, bool hasWaited, TimePoint now) {
        const auto slot = std::find_if(busyUntil.begin(), busyUntil.end(), [&](TimePoint end) { return end <= now; });
        if (slot == busyUntil.end())
            return false;
        *slot = now + fromSeconds(std::exponential_distribution<double>(1 / load.serviceSeconds)(random));
        ++outcomes[account].placed;
        outcomes[account].onTime += now < waiter.onTimeUntil ? 1 : 0;
        for (std::size_t index = 0; index < daemons.size(); ++index)
            if (index != at ? order == Order::Site : !hasWaited)
                daemons[index].queue.onPlaced(waiter.account, now);
        return true;
    };
    const auto arrivalsPerMs = load.overload * static_cast<double>(load.slots) / load.serviceSeconds / 1000;
    std::vector<std::size_t> turns(load.daemons);
    for (std::size_t index = 0; index < turns.size(); ++index)
        turns[index] = index;
    for (auto now = start; now < start + fromSeconds(load.durationSeconds); now += milliseconds(1)) {
        std::shuffle(turns.begin(), turns.end(), random);
        for (const auto at : turns) {
            auto& [queue, waiting] = daemons[at];
            if (waiting.empty())
                continue;
            const auto id = queue.order(now).front();
            if (place(at, waiting.at(id).first, waiting.at(id).second, true, now)) {
                queue.remove(id, true, now);
                waiting.erase(id);
            }
        }
        for (auto left = std::poisson_distribution<int>(arrivalsPerMs)(random); left > 0; --left) {
            const auto account = std::discrete_distribution<std::size_t>(load.sizes.begin(), load.sizes.end())(random);
            const auto anywhere = std::uniform_int_distribution<std::size_t>(0, load.daemons - 1)(random);
            const auto at = load.isSkewed && account > 0 ? account % load.daemons : anywhere;
            auto& [queue, waiting] = daemons[at];
            const auto name = order == Order::Arrival ? std::string() : std::to_string(account);
            const Waiter waiter { ++lastId, 1, 0, now, now + milliseconds(200), now + seconds(1), ClientAccount(name) };
            ++outcomes[account].requests;
            if (queue.isNext(waiter, now) && place(at, waiter, account, false, now))
                continue;
            queue.add(waiter, now);
            waiting.emplace(waiter.id, std::pair(waiter, account));
        }
        for (auto& daemon : daemons)
            std::erase_if(daemon.waiting, [&](const auto& entry) {
                const bool isExpired = entry.second.first.expiresAt <= now;
                if (isExpired)
                    daemon.queue.remove(entry.first, false, now);
                return isExpired;
            });
    }
    return outcomes;
}

} // namespace fairness_model
