#pragma once

/// @file
/// Stable 64-bit hashes and rendezvous ownership.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// @return The hash of @p bytes, the same on every machine and in every release.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Ranks instances for a key by rendezvous hashing.
/// @param key Hash of the owned resource.
/// @param instances The candidates, in any order.
/// @param count Maximum number of results: the owner, then its standbys.
/// @return Indices into @p instances, the owner first.
std::vector<std::size_t> rendezvousRank(
    std::uint64_t key, const std::vector<InstanceId>& instances, std::size_t count);

/// Weighted rendezvous score of a candidate for a key. The highest score owns the key, and each candidate owns keys in
/// proportion to its weight.
/// @param weight Must be positive.
double weightedScore(std::uint64_t key, std::string_view candidate, double weight);

} // namespace goldcrestwood
