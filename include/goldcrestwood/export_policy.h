#pragma once

/// @file
/// Chooses which blocks of an answered prompt to keep in a store, and in which.

#include <cstdint>
#include <vector>

#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/router.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct ExportSettings {
    /// Touches from which a block is kept whatever its account's history.
    std::uint16_t minimumTouches = 2;
    /// Return chance from which a block is kept at its first touch.
    double minimumReturnChance = 0.35;
    /// Touches from which a block gets a second copy, in another failure domain.
    std::uint16_t copyTouches = 8;
    /// Link backlog beyond which nothing is exported.
    Duration maxBacklog = std::chrono::seconds(2);
    /// Fill of a store beyond which it takes no second copies.
    double maxCopyFill = 0.8;
};

/// A store instance that may take blocks.
struct ExportTarget {
    UpstreamId store;
    FailureDomain domain;
    LinkEstimate link;
    /// Share of its memory and disk that is in use, 0 to 1.
    double fill = 0;

    bool operator==(const ExportTarget&) const = default;
};

/// Blocks to push to a store.
struct ExportOrder {
    UpstreamId store;
    /// Indices of blocks in the chain.
    std::vector<std::uint32_t> blocks;

    bool operator==(const ExportOrder&) const = default;
};

/// @param chain The prompt's blocks, all sealed at the engine.
/// @param coverage Who held them when the prompt was routed; holds touches and the return chance.
/// @param targets The service's stores that may take blocks.
/// @return Exports that are worth their link time; none where a tier holds the blocks already.
std::vector<ExportOrder> planExports(const ExportSettings& settings, const std::vector<ChainHash>& chain,
    const ChainCoverage& coverage, const std::vector<ExportTarget>& targets);

} // namespace goldcrestwood
