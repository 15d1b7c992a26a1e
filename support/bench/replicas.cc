/// @file
/// Replays swinging demand through ReplicaScaler: cost, unserved demand and orders, and the time of a decision.

#include <chrono>
#include <cmath>
#include <cstdio>
#include <numbers>

#include "scale_model.h"

using namespace scale_model;

namespace {

constexpr double swingShare = 0.5;
constexpr Duration warmUp = 90s;
constexpr Duration measured = 120s;

/// @param mean Mean demand of a domain, replicas.
/// @param period Seconds.
/// @param start Replicas at the start, as a multiple of the mean demand.
void replay(std::size_t domains, double mean, double period, double start)
{
    const auto demand = [=](std::size_t domain, double seconds) {
        const auto phase = static_cast<double>(domain) / static_cast<double>(domains);
        return mean * (1 + swingShare * std::sin(2 * std::numbers::pi * (seconds / period + phase)));
    };
    Site site(domains, static_cast<std::uint32_t>(std::ceil(start * mean)), { 1, 5000, 8s }, demand);
    site.run(warmUp);
    double replicas = 0;
    double wanted = 0;
    double unserved = 0;
    std::size_t orders = 0;
    std::size_t steps = 0;
    Duration spent { 0 };
    for (const auto end = site.now + measured; site.now < end; ++steps) {
        const auto began = std::chrono::steady_clock::now();
        orders += site.step().size();
        spent += std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - began);
        replicas += site.sum();
        for (const auto& domain : site.view().domains) {
            wanted += domain.used + domain.waiting * usePerRequest;
            unserved += domain.waiting * usePerRequest;
        }
    }
    std::printf("%7zu %8.1f %8.0f %8.0f %12.2f %12.4f %8zu %12.1f\n", domains, mean, period, start, replicas / wanted, unserved / wanted, orders,
        toMs(spent) * 1000 / static_cast<double>(steps));
}

} // namespace

int main()
{
    std::puts("domains     mean period_s    start replicas/use     unserved   orders us/decision");
    for (const std::size_t domains : { 2, 4, 8, 14 })
        for (const double mean : { 3.0, 200.0 })
            for (const double period : { 10.0, 15.0 })
                for (const double start : { 1.0, 3.0 })
                    replay(domains, mean, period, start);
}
