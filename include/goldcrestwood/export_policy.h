#pragma once

/// @file
/// Chooses which blocks of an answered prompt to export, and to which store.

#include <cstdint>
#include <vector>

#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/router.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct ExportSettings {
    /// Number of touches from which a block is exported regardless of its account's history.
    std::uint16_t minimumTouches = 2;
    /// Return probability from which a block is exported at its first touch.
    double minimumReturnChance = 0.35;
    /// Number of touches from which a block gets a second copy in another failure domain.
    std::uint16_t copyTouches = 8;
    /// Link backlog above which a store gets no exports.
    Duration maxBacklog = std::chrono::seconds(2);
    /// Used share of a store's capacity above which it gets no second copies.
    double maxCopyFill = 0.8;
};

/// A store instance that may receive blocks.
struct ExportTarget {
    UpstreamId store;
    FailureDomain domain;
    LinkEstimate link;
    /// Used share of its memory and disk, 0 to 1.
    double fill = 0;

    bool operator==(const ExportTarget&) const = default;
};

/// Blocks to export to one store.
struct ExportOrder {
    UpstreamId store;
    /// Indices of blocks in the chain.
    std::vector<std::uint32_t> blocks;

    bool operator==(const ExportOrder&) const = default;
};

/// @param chain The prompt's blocks, all sealed at the engine.
/// @param coverage Holders at the time of routing, with the touches and the return probability.
/// @param targets Stores of the service that may receive blocks.
/// @return Exports that are worth their transfer time; blocks with enough stored copies are left out.
std::vector<ExportOrder> planExports(const ExportSettings& settings, const std::vector<ChainHash>& chain,
    const ChainCoverage& coverage, const std::vector<ExportTarget>& targets);

} // namespace goldcrestwood
