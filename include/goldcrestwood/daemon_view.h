#pragma once

/// @file
/// Tracks the other entry daemons by their heartbeats and selects those that callers should use.

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct DaemonViewSettings {
    /// A daemon silent for longer than this, and than missedHeartbeats of its intervals, is not returned to callers.
    Duration silenceTimeout = std::chrono::milliseconds(1500);
    int missedHeartbeats = 3;
    /// Reports from a peer stay valid for this long after its last answer.
    Duration reportLifetime = std::chrono::milliseconds(4000);
    /// A daemon silent for this long is forgotten; only its address is kept.
    Duration forgetAfter = std::chrono::seconds(30);
    /// A site with at most this many daemons returns all of them.
    std::size_t smallSiteSize = 8;
    /// Addresses in one answer of a larger site: enough for failover; a longer list would dilute the large daemons.
    std::size_t maxAddresses = 4;
    /// At a large site callers use the largest daemons of their domain while these stay below this processor utilization:
    /// a few daemons that each see much of the upstream traffic place better than many that see little.
    double targetUtilization = 0.3;
    /// The working set has at least this share of the domain's capacity, for callers that arrive before any rate is known.
    double minCapacityShare = 0.25;
    /// Processor time per request, in core seconds (docs/MEASUREMENTS.md).
    double requestCoreSeconds = 0.0016;
    /// Weight of a daemon outside the caller's failure domain, relative to one inside it.
    double remoteDomainWeight = 0.02;
    /// A domain with less than this share of the mean domain capacity sends part of its callers to other domains.
    double localCapacityThreshold = 0.75;
};

/// @return Capacity of a daemon as a share of one processor core, limited by its network link if that is the bottleneck.
double capacityOf(const EdgeSettings& settings);

/// The last known state of a daemon, from its own heartbeat or from a peer's report.
struct DaemonReport {
    EdgeHeartbeat heartbeat;
    TimePoint lastHeard; ///< Arrival of its last direct heartbeat.
    TimePoint lastReported; ///< When a peer last reported it.
    bool isReportedLive = false; ///< The last peer report listed it as live.
    bool isReportedByReader = false; ///< The report came from a reader, which hears all daemons: one that it does not hear is gone.
    bool wasLive = false; ///< Was heard directly as of the last sweep.
    std::uint64_t change = 0; ///< Sequence number of its last change; 0 if never heard directly.
};

/// Merges heartbeats; the newest incarnation and sequence of each daemon wins. A daemon hears a few others directly and
/// learns of the rest from one of them. Peers report only daemons that they hear directly, so stale reports cannot circulate.
class DaemonView {
public:
    explicit DaemonView(DaemonViewSettings viewSettings = {})
        : settings(viewSettings)
    {
    }

    /// @return Whether @p heartbeat is newer than the one held.
    bool onHeartbeat(const EdgeHeartbeat& heartbeat, TimePoint now);

    /// Merges a peer's report.
    /// @param isFromReader Whether the peer hears all daemons; from any other peer, only reports of live daemons count.
    void onNews(const DaemonNews& news, bool isFromReader, TimePoint now);

    /// @param source Incarnation of this daemon.
    /// @param from Sequence number of the first change wanted; 0 for all.
    /// @return The directly heard daemons that came, went or changed.
    DaemonNews newsSince(std::uint64_t source, std::uint64_t from) const;

    /// @return Daemons heard or reported as live recently.
    std::vector<const DaemonReport*> live(TimePoint now) const;

    /// @return All daemons not yet forgotten.
    std::vector<const DaemonReport*> all() const;

    /// @return Whether the daemon's own heartbeats arrive.
    bool isHeard(const DaemonReport& report, TimePoint now) const;

    /// Spreads callers in proportion to capacity; a caller stays with the same daemons.
    /// @param caller Key that identifies the caller.
    /// @param domain Failure domain of the caller.
    /// @param self This daemon's state, as in its next heartbeat.
    /// @return Front addresses that the caller may use, best first; may include this daemon.
    std::vector<std::string> frontsFor(std::string_view caller, const FailureDomain& domain, const EdgeHeartbeat& self, TimePoint now) const;

    /// @return Number of daemons not yet forgotten; an upper bound of those alive at once in that time.
    std::size_t known() const { return this->daemons.size(); }

    /// @return All daemons not yet forgotten, with their capacities.
    std::vector<DaemonCapacity> instances() const;

    /// Forgets daemons that have been silent for long, and records those that went silent as changes.
    void sweep(TimePoint now);

    /// @return When the most recently discovered daemon was first heard or reported.
    TimePoint lastArrival() const { return this->arrival; }

private:
    /// @return Weight of daemons in other domains; it rises as the caller's own domain loses capacity.
    double remoteDomainWeight(const std::vector<const EdgeHeartbeat*>& ready, const FailureDomain& domain) const;
    /// @return The daemons of one domain that serve its callers, largest first.
    std::vector<const EdgeHeartbeat*> workingSet(std::vector<const EdgeHeartbeat*> ready) const;

    DaemonViewSettings settings;
    std::map<InstanceId, DaemonReport> daemons;
    TimePoint lastReport; ///< Time of the last peer report.
    TimePoint arrival;
    std::uint64_t changes = 0;
};

} // namespace goldcrestwood
