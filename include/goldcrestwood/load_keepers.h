#pragma once

/// @file
/// Which daemons add up the load of an upstream, so that what a daemon tells and hears does not grow with the daemons.

#include <map>
#include <string_view>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// Load pattern: hundreds of daemons send to hundreds of upstreams. Told by each to each, the datagrams grow with the square
/// of the daemons; told to two keepers, who answer with sums, they grow with the keepers.
class LoadKeepers {
public:
    LoadKeepers() = default;
    /// @param candidates Daemons that may keep, the same in the same order wherever the same daemons are known.
    /// @param isMesh Whether all daemons of a small site keep all upstreams, and nobody needs sums.
    LoadKeepers(std::vector<InstanceId> candidates, bool isMesh)
        : keepers(std::move(candidates))
        , mesh(isMesh)
    {
    }

    bool isMesh() const { return this->mesh; }
    const std::vector<InstanceId>& all() const { return this->keepers; }

    /// @param key An upstream's id, or the address of a source.
    bool keeps(const InstanceId& keeper, std::string_view key) const;

    /// Splits what a daemon has to tell by those who keep it.
    /// @param report All that @p self has in flight and found out; bounded by the board.
    /// @return One report for each keeper but @p self; an empty one tells that nothing is left.
    std::map<InstanceId, LoadReport> split(const InstanceId& self, const LoadReport& report) const;

private:
    std::vector<InstanceId> keepersOf(std::string_view key) const;

    std::vector<InstanceId> keepers;
    bool mesh = true;
};

} // namespace goldcrestwood
