#pragma once

/// @file
/// Which daemons read the registry and the events of cache stores for all, so that the calls do not grow with the daemons.

#include <cstddef>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A daemon that does not tell what it bears counts as a very small one; a share of a processor core.
inline constexpr double leastCapacity = 0.01;

struct FeedReaderSettings {
    /// Daemons that read for all. A store answers 12 followers at once (platform's `max_inflight`); views may differ by a few.
    std::size_t readers = 8;
    /// An engine's events are too many to pass on: they are followed only if all daemons can follow them.
    std::size_t engineFollowers = 12;
    /// Time between two questions to a reader: per daemon, so that a reader answers about as many at any size, and its bounds.
    Duration askPerDaemon = std::chrono::milliseconds(4);
    Duration shortestAsk = std::chrono::milliseconds(250);
    Duration longestAsk = std::chrono::milliseconds(650);
};

/// A daemon and what it bears.
struct DaemonCapacity {
    InstanceId instance;
    double capacity = 1; ///< Share of a processor core.

    bool operator==(const DaemonCapacity&) const = default;
};

/// @return The daemons that read for all, in the same order wherever the same candidates are known; large ones more often.
std::vector<InstanceId> feedReaders(const std::vector<DaemonCapacity>& candidates, const FeedReaderSettings& settings = {});

/// @return The reader that @p self asks, so that the others spread over all readers; empty if there is none.
InstanceId readerFor(const InstanceId& self, const std::vector<InstanceId>& readers);

/// @param daemons All daemons of the site.
/// @return Whether each of them follows the events of engines.
bool followsEngines(std::size_t daemons, const FeedReaderSettings& settings = {});

/// @param daemons All daemons of the site.
/// @return Time between two questions to a reader.
Duration askInterval(std::size_t daemons, const FeedReaderSettings& settings = {});

} // namespace goldcrestwood
