#pragma once

/// @file
/// Assigns upstreams to the daemons that aggregate their load, so that report traffic per daemon is independent of the
/// number of daemons.

#include <map>
#include <string_view>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// Hundreds of daemons send to hundreds of upstreams. If each daemon reported to all others, the number of datagrams would be
/// quadratic in the daemons. Instead each upstream has two aggregators, which receive the reports and answer with sums, so it
/// grows with the number of aggregators.
class LoadAggregators {
public:
    LoadAggregators() = default;
    /// @param candidates Daemons that may aggregate; daemons with the same membership view must pass the same list in the same order.
    /// @param isMesh Whether the site is small and all daemons exchange reports directly, without sums.
    LoadAggregators(std::vector<InstanceId> candidates, bool isMesh)
        : aggregators(std::move(candidates))
        , mesh(isMesh)
    {
    }

    bool isMesh() const { return this->mesh; }
    const std::vector<InstanceId>& all() const { return this->aggregators; }

    /// @param key An upstream's id, or the address of a source.
    /// @return Whether @p daemon aggregates the reports on @p key.
    bool aggregates(const InstanceId& daemon, std::string_view key) const;

    /// Splits a daemon's report by aggregator.
    /// @param report Load and outcomes of @p self; their size is limited by the board.
    /// @return One report for each aggregator but @p self; an empty one clears the previous report.
    std::map<InstanceId, LoadReport> split(const InstanceId& self, const LoadReport& report) const;

private:
    std::vector<InstanceId> aggregatorsOf(std::string_view key) const;

    std::vector<InstanceId> aggregators;
    bool mesh = true;
};

} // namespace goldcrestwood
