#pragma once

/// @file
/// Selects the daemons that read the registry and cache store events on behalf of the site, so that the number of calls does
/// not grow with the number of daemons.

#include <cstddef>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Lower bound for a daemon's capacity, also assumed if it reports none; a share of a processor core.
inline constexpr double minCapacity = 0.01;

struct FeedReaderSettings {
    /// Number of readers. A store serves 12 followers at once (the platform's `max_inflight`); daemons' views may differ by a few.
    std::size_t readerCount = 8;
    /// Engine events are too many to relay: daemons follow them only at sites of at most this many daemons, where all of them can.
    std::size_t maxEngineFollowers = 12;
    /// Interval between two queries to a reader, proportional to the number of daemons so that a reader's load is about the
    /// same at any site size, and its bounds.
    Duration queryIntervalPerDaemon = std::chrono::milliseconds(4);
    Duration minQueryInterval = std::chrono::milliseconds(250);
    Duration maxQueryInterval = std::chrono::milliseconds(650);
};

/// A daemon and its capacity.
struct DaemonCapacity {
    InstanceId instance;
    double capacity = 1; ///< Share of a processor core.
    FailureDomain domain = {};

    bool operator==(const DaemonCapacity&) const = default;
};

/// Load pattern: a reader sends each change to a share of all daemons over its own link, so that a small reader delays the changes
/// of many daemons and its own callers. Much larger daemons are therefore chosen before smaller ones, but no failure domain holds
/// more than half of the readers while others have candidates.
/// @return The readers, in an order that depends only on the set of candidates.
std::vector<InstanceId> feedReaders(const std::vector<DaemonCapacity>& candidates, const FeedReaderSettings& settings = {});

/// Daemons with the same membership view spread evenly over the readers, and most of them keep theirs when the site changes.
/// @param daemons All daemons that query readers.
/// @return The reader that @p self queries; empty if there is none.
InstanceId readerFor(const InstanceId& self, const std::vector<InstanceId>& readers, const std::vector<DaemonCapacity>& daemons);

/// @param daemons All daemons of the site.
/// @return Whether all daemons follow engine events.
bool followsEngines(std::size_t daemons, const FeedReaderSettings& settings = {});

/// @param daemons All daemons of the site.
/// @return Interval between two queries to a reader.
Duration queryInterval(std::size_t daemons, const FeedReaderSettings& settings = {});

} // namespace goldcrestwood
