#pragma once

/// @file
/// A service's replicas in several failure domains in simulated time, and the platform that starts and stops them.

#include <algorithm>
#include <functional>
#include <set>
#include <string>

#include "goldcrestwood/duties/replica_scaler.h"

namespace scale_model {

using namespace goldcrestwood;
using namespace std::chrono_literals;

/// Interval of the decisions.
inline constexpr Duration interval = 250ms;
/// Capacity that one request uses, in replicas.
inline constexpr double usePerRequest = 0.05;

class Site {
public:
    /// @param demand Demand of a domain in replicas, at a time since the start.
    Site(std::size_t domainCount, std::uint32_t replicas, Autoscale autoscale, std::function<double(std::size_t, double)> demandOf)
        : scaler(autoscale)
        , bounds(autoscale)
        , demand(std::move(demandOf))
        , ready(domainCount, replicas)
        , boots(domainCount)
    {
    }

    FailureDomain name(std::size_t domain) const { return FailureDomain("d" + std::to_string(100 + domain)); }
    double seconds() const { return toSeconds(this->now - this->start); }
    std::uint32_t sum() const
    {
        std::uint32_t result = 0;
        for (const auto number : this->ready)
            result += number;
        return result;
    }

    /// @return What the daemons see: a domain's replicas serve its own demand; what exceeds them waits.
    ServiceDemand view() const
    {
        ServiceDemand result;
        result.isWhole = this->isWhole;
        double moved = 0;
        for (const auto domain : this->lost)
            moved += this->demand(domain, this->seconds());
        const auto left = static_cast<double>(this->ready.size() - this->lost.size());
        for (std::size_t domain = 0; domain < this->ready.size(); ++domain) {
            if (this->lost.contains(domain))
                continue;
            const auto wanted = this->demand(domain, this->seconds()) + moved / left;
            const auto used = std::min<double>(wanted, this->ready[domain]);
            result.domains.push_back({ this->name(domain), this->ready[domain], this->impaired, 0, static_cast<std::uint32_t>(used / usePerRequest), used,
                static_cast<std::uint32_t>((wanted - used) / usePerRequest) });
        }
        return result;
    }

    /// Starts or stops replicas.
    void execute(const ScaleOrder& order)
    {
        for (std::size_t domain = 0; domain < this->ready.size(); ++domain)
            if (this->name(domain) == order.domain) {
                auto& boot = this->boots[domain];
                boot = { order.desired, this->now + this->bounds.bootTime };
                if (order.desired < this->ready[domain])
                    this->ready[domain] = order.desired;
            }
    }

    /// Takes one decision.
    std::vector<ScaleOrder> step()
    {
        this->now += interval;
        for (std::size_t domain = 0; domain < this->ready.size(); ++domain)
            if (auto& boot = this->boots[domain]; boot.number > 0 && this->now >= boot.at)
                this->ready[domain] = boot.number;
        auto orders = this->scaler.decide(this->isBlind ? std::nullopt : std::optional(this->view()), this->now);
        for (const auto& order : orders) {
            if (!this->answer) {
                this->scaler.onNotSent(order);
                continue;
            }
            if (*this->answer == DutyOutcome::Accepted)
                this->execute(order);
            this->scaler.onOutcome(order, *this->answer, this->now);
        }
        return orders;
    }

    /// @return The orders of that time.
    std::vector<ScaleOrder> run(Duration time)
    {
        std::vector<ScaleOrder> result;
        for (const auto end = this->now + time; this->now < end;) {
            const auto orders = this->step();
            result.insert(result.end(), orders.begin(), orders.end());
        }
        return result;
    }

    struct Boot {
        std::uint32_t number = 0;
        TimePoint at;
    };

    ReplicaScaler scaler;
    Autoscale bounds;
    std::function<double(std::size_t, double)> demand;
    std::vector<std::uint32_t> ready;
    std::vector<Boot> boots;
    std::set<std::size_t> lost;
    std::uint32_t impaired = 0; ///< In each domain.
    std::optional<DutyOutcome> answer = DutyOutcome::Accepted; ///< Nothing: no call is made.
    bool isBlind = false;
    bool isWhole = true;
    TimePoint start { 1000s };
    TimePoint now = start;
};

inline std::size_t count(const std::vector<ScaleOrder>& orders, ScaleReason reason)
{
    return static_cast<std::size_t>(std::count_if(orders.begin(), orders.end(), [&](const auto& order) { return order.reason == reason; }));
}

} // namespace scale_model
