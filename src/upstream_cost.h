#pragma once

/// @file
/// What the two halves of the board share: costs, weights and scopes.

#include <cstdint>
#include <string>

#include "goldcrestwood/upstream_board.h"

namespace goldcrestwood {

/// Bounds of the learned slowness of an upstream or of a source of cached blocks.
inline constexpr double leastSlowness = 0.5;
inline constexpr double mostSlowness = 20;

/// Samples that tell how slow a source is; fewer say nothing.
inline constexpr std::size_t leastMoveSamples = 3;

/// @return The version of a model's weights that an upstream has; 0 if it does not tell.
inline std::uint64_t weightsOf(const RegistryEntry& entry, const std::string& model)
{
    const auto weights = entry.weights.find(model);
    return weights == entry.weights.end() ? 0 : weights->second;
}

/// Blocks made under other weights or for others can't be found: their scope differs.
inline std::string scopeOf(const RegistryEntry& entry, const PlacementRequest& request)
{
    return weightScope(request.model, weightsOf(entry, request.model)) + request.sharing;
}

} // namespace goldcrestwood
