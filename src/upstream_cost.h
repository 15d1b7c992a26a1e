#pragma once

/// @file
/// Helpers shared by the source files of UpstreamBoard: weight versions, scopes, classes and token counts.

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

#include "goldcrestwood/hash.h"
#include "goldcrestwood/upstream_board.h"

namespace goldcrestwood {

/// Bounds of the learned slowness of an upstream or of a source of cached blocks.
inline constexpr double minSlowness = 0.5;
inline constexpr double maxSlowness = 20;

/// Minimum number of samples to estimate a source's slowness.
inline constexpr std::size_t minTransferSamples = 3;

/// @return The version of a model's weights at an upstream; 0 if it reports none.
inline std::uint64_t weightsOf(const RegistryEntry& entry, const std::string& model)
{
    const auto weights = entry.weights.find(model);
    return weights == entry.weights.end() ? 0 : weights->second;
}

/// @return The scope of a request's cache blocks: blocks of other weights or sharing groups can't be found, as theirs differs.
inline std::string scopeOf(const RegistryEntry& entry, const PlacementRequest& request)
{
    return weightScope(request.model, weightsOf(entry, request.model)) + request.sharingGroup;
}

/// @return The engine's priority class for a request.
inline std::size_t classOf(const PlacementRequest& request)
{
    return engineClass(request.rank, request.promptTokens);
}

/// Calls @p visit with the key and the tokens of each shared part of the request: all but its last.
template <typename Visit>
void forEachShared(const PlacementRequest& request, const std::string& scope, Visit visit)
{
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index)
        visit(static_cast<std::uint32_t>(stableHash(scope + '/' + request.parts[index].id)), request.parts[index].tokens);
}

/// @return Tokens of the request's shared parts.
inline std::uint64_t sharedTokens(const PlacementRequest& request)
{
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index)
        sum += request.parts[index].tokens;
    return sum;
}

/// @return Tokens in an engine's memory that only this request uses.
inline std::uint64_t privateTokens(const PlacementRequest& request)
{
    return request.promptTokens - std::min(request.promptTokens, sharedTokens(request)) + request.outputTokens;
}

/// @return Tokens of all @p parts.
inline std::uint64_t sumOfTokens(const std::vector<PartUse>& parts)
{
    return std::accumulate(parts.begin(), parts.end(), std::uint64_t { 0 }, [](std::uint64_t sum, const auto& part) { return sum + part.tokens; });
}

} // namespace goldcrestwood
