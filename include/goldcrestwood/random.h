#pragma once

/// @file
/// The seeded generator that the caller passes to each part that draws random numbers.

#include <random>

namespace goldcrestwood {

using Random = std::mt19937_64;

/// @return A number drawn evenly from [0, 1).
inline double uniform(Random& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace goldcrestwood
