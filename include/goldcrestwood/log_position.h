#pragma once

/// @file
/// Positions in the topics of the store. A position orders records also if the store returns from an older copy of its data and
/// gives out offsets again.

#include <cstdint>

namespace goldcrestwood {

/// Number of low bits that hold the offset. The high bits count the store's returns from an older copy, so that a position of a
/// store that never did is its offset.
inline constexpr unsigned logOffsetBits = 40;
/// Positions are sent as JSON numbers, of which some readers keep 53 bits.
inline constexpr std::uint64_t maxLogEra = (std::uint64_t { 1 } << (53U - logOffsetBits)) - 1;
inline constexpr std::uint64_t maxLogOffset = (std::uint64_t { 1 } << logOffsetBits) - 1;

/// @param era Number of returns from an older copy; at most maxLogEra.
/// @param offset At most maxLogOffset.
constexpr std::uint64_t logPosition(std::uint64_t era, std::uint64_t offset)
{
    return era << logOffsetBits | offset;
}

/// @return How often the store had returned from an older copy when it assigned @p position.
constexpr std::uint64_t logEra(std::uint64_t position)
{
    return position >> logOffsetBits;
}

/// @return The store's offset at @p position.
constexpr std::uint64_t logOffset(std::uint64_t position)
{
    return position & maxLogOffset;
}

} // namespace goldcrestwood
