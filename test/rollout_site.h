#pragma once

/// @file
/// Simulated site of daemons that evaluate a roll-out together.

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "goldcrestwood/random.h"
#include "goldcrestwood/rollout.h"

namespace rollout_site {

using namespace goldcrestwood;
using namespace std::chrono_literals;

inline const TimePoint start { 100s };
inline const RolloutOrder order { ServiceName("model"), "v2", 15s };
constexpr std::uint64_t orderOffset = 5;
constexpr auto step = 10ms;
/// No request may go to the new version later than this after its 50th bad answer, counted over all daemons.
constexpr auto rollbackTime = 5s;

struct Faults {
    double loss = 0; ///< Share of messages between daemons that are lost.
    double restarts = 0; ///< Share of the daemons that restart per second, each without its state.
    bool isReaderDown = false; ///< The first reader neither sends nor receives for the middle third of the order's duration.
};

/// Daemons send their outcomes to the readers once a second and get the verdict in the reply; the readers evaluate.
class RolloutSite {
public:
    RolloutSite(std::size_t count, Faults siteFaults, std::uint64_t seed)
        : faults(siteFaults)
        , random(seed)
        , daemons(count, Daemon { Rollout(order, orderOffset, start, bounds), 1 })
        , readers(count <= 12 ? count : 8)
    {
    }

    /// @param badShare Share of the new version's answers that fail.
    void run(double badShare)
    {
        for (this->now = start; this->now < start + order.duration; this->now += step) {
            this->restartSome();
            this->exchangeNotices();
            for (std::size_t reader = 0; (this->now - start) % 100ms == 0s && reader < this->readers; ++reader)
                if (!this->isDown(reader))
                    this->daemons[reader].rollout.evaluate(9, 9, this->now);
            for (int each = 0; each < 10; ++each)
                this->request(badShare);
        }
    }

    bool isWithinExposure() const
    {
        return static_cast<double>(this->exposed) <= this->bounds.exposureShare * static_cast<double>(this->requests) + this->bounds.exposureSlack;
    }
    /// @return Requests to the new version after the rollback time.
    std::size_t lateExposures() const { return this->afterFiftiethBad; }
    std::size_t exposedRequests() const { return this->exposed; }
    /// @return Number of daemons for which @p property holds.
    std::size_t countDaemons(bool (Rollout::*property)() const) const
    {
        return static_cast<std::size_t>(std::count_if(this->daemons.begin(), this->daemons.end(), [=](const Daemon& daemon) { return (daemon.rollout.*property)(); }));
    }

private:
    struct Daemon {
        Rollout rollout;
        std::uint64_t incarnation;
    };

    static InstanceId nameOf(std::size_t number) { return InstanceId("daemon-" + std::to_string(number)); }

    bool isDown(std::size_t number) const
    {
        return this->faults.isReaderDown && number == 0 && this->now >= start + order.duration / 3 && this->now < start + 2 * order.duration / 3;
    }

    bool isLost(std::size_t from, std::size_t to) { return this->isDown(from) || this->isDown(to) || uniform(this->random) < this->faults.loss; }

    void restartSome()
    {
        for (auto& daemon : this->daemons)
            if (uniform(this->random) < this->faults.restarts * 0.01)
                daemon = { Rollout(order, orderOffset, std::nullopt, this->bounds), daemon.incarnation + 1 };
    }

    void exchangeNotices()
    {
        const auto phase = static_cast<std::size_t>((this->now - start) / step) % 100;
        for (std::size_t number = phase; number < this->daemons.size(); number += 100)
            for (std::size_t reader = 0; reader < this->readers; ++reader) {
                if (reader == number || this->isLost(number, reader))
                    continue;
                this->sendNotice(number, reader);
                if (!this->isLost(reader, number))
                    this->sendNotice(reader, number);
            }
    }

    void sendNotice(std::size_t from, std::size_t to)
    {
        const auto& sender = this->daemons[from];
        this->daemons[to].rollout.onNotice(nameOf(from), sender.incarnation, sender.rollout.notice(this->now), this->now);
    }

    void request(double badShare)
    {
        auto& daemon = this->daemons[static_cast<std::size_t>(uniform(this->random) * static_cast<double>(this->daemons.size()))];
        const auto id = std::to_string(this->random());
        ++this->requests;
        const bool isTarget = daemon.rollout.demandFor(id, true, 9, 9, this->now).wanted == order.target;
        const bool isFailure = uniform(this->random) < (isTarget ? badShare : 0.02);
        daemon.rollout.onOutcome({ "route", isTarget, isFailure, std::exp(std::normal_distribution<double>(0, 0.8)(this->random)) });
        if (!isTarget)
            return;
        ++this->exposed;
        this->afterFiftiethBad += this->fiftieth && this->now > *this->fiftieth + rollbackTime ? 1 : 0;
        if (isFailure && ++this->bad == 50)
            this->fiftieth = this->now;
    }

    const SiteBounds bounds;
    Faults faults;
    Random random;
    TimePoint now = start;
    std::vector<Daemon> daemons;
    std::size_t readers;
    std::size_t requests = 0;
    std::size_t exposed = 0;
    std::size_t bad = 0;
    std::size_t afterFiftiethBad = 0;
    std::optional<TimePoint> fiftieth;
};

} // namespace rollout_site
