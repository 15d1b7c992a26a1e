/// @file
/// Service of client accounts under overload: with the order of arrival, with each daemon's own placements, with those of all daemons.
/// Usage: bench_fairness SEED. Prints one row for each load and order: the shares of the largest account's and of the worst served
/// small account's requests that were placed, and placed on time.

#include <cstdio>
#include <cstdlib>

#include "fairness_model.h"

using namespace fairness_model;

namespace {

void print(const char* name, const Load& load, const std::vector<AccountOutcome>& outcomes)
{
    const auto& large = outcomes.front();
    const auto& worst = *std::min_element(outcomes.begin() + 1, outcomes.end(), [](const auto& left, const auto& right) { return left.placedShare() < right.placedShare(); });
    std::printf("%-7s daemons %2zu  overload %.2f  %-6s  large: placed %.3f on time %.3f  worst small: placed %.3f on time %.3f\n", name, load.daemons, load.overload,
        load.isSkewed ? "skewed" : "even", large.placedShare(), large.onTimeShare(), worst.placedShare(), worst.onTimeShare());
}

} // namespace

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    for (const std::size_t daemons : { 1, 12, 58 })
        for (const double overload : { 4.0 / 3, 3.0 })
            for (const bool isSkewed : { false, true }) {
                Load load;
                load.daemons = daemons;
                load.overload = overload;
                load.isSkewed = isSkewed;
                print("arrival", load, simulate(load, Order::Arrival, seed));
                print("local", load, simulate(load, Order::Local, seed));
                print("site", load, simulate(load, Order::Site, seed));
            }
}
