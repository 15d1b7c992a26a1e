#pragma once

/// @file
/// Helpers shared by the source files of gossip.

#include <array>

#include "goldcrestwood/gossip.h"

namespace goldcrestwood {

constexpr std::array<Lane, laneCount> allLanes { Lane::Summary, Lane::Control, Lane::Evidence, Lane::Bulk };
/// Estimated overhead per cell beyond its key and payload, in bytes.
constexpr std::size_t cellOverhead = 12;

inline std::size_t indexOf(Lane lane)
{
    return static_cast<std::size_t>(lane);
}

inline std::size_t costOf(const GossipCell& cell)
{
    return cell.key.size() + cell.payload.size() + cellOverhead;
}

} // namespace goldcrestwood
