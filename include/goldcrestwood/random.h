#pragma once

/// @file
/// The seeded random number generator, which callers pass in.

#include <random>

namespace goldcrestwood {

using Random = std::mt19937_64;

/// @return A uniformly distributed number from [0, 1).
inline double uniform(Random& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace goldcrestwood
