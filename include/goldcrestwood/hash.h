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
/// @param key The hash of the thing that is owned.
/// @param instances The candidates, in any order.
/// @param count How many to return at most: the owner, then its standbys.
/// @return Indices into @p instances, the owner first.
std::vector<std::size_t> rendezvousRank(
    std::uint64_t key, const std::vector<InstanceId>& instances, std::size_t count);

/// Score of a candidate for a key: the highest one owns it, and each candidate owns keys in proportion to its weight.
/// @param weight Above 0.
double weightedScore(std::uint64_t key, std::string_view candidate, double weight);

} // namespace goldcrestwood
