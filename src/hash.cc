#include "goldcrestwood/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace goldcrestwood {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::vector<std::size_t> rendezvousRank(
    std::uint64_t key, const std::vector<InstanceId>& instances, std::size_t count)
{
    std::vector<std::uint64_t> scores;
    scores.reserve(instances.size());
    for (const auto& instance : instances)
        scores.push_back(stableHash(instance.value, key));

    std::vector<std::size_t> order(instances.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    const auto kept = std::min(count, order.size());
    auto before = [&](std::size_t left, std::size_t right) {
        return scores[left] != scores[right] ? scores[left] > scores[right] : instances[left] < instances[right];
    };
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(), before);
    order.resize(kept);
    return order;
}

double weightedScore(std::uint64_t key, std::string_view candidate, double weight)
{
    constexpr double span = 18446744073709551616.0; // 2^64
    const auto draw = (static_cast<double>(stableHash(candidate, key)) + 1) / (span + 2);
    return -weight / std::log(draw);
}

} // namespace goldcrestwood
