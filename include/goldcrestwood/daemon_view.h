#pragma once

/// @file
/// The other entry daemons, from their heartbeats, and which of them callers should use.

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
    /// A daemon that has been silent for so long, and for several of its heartbeats, is not named to callers.
    Duration silence = std::chrono::milliseconds(1500);
    int missedHeartbeats = 3;
    /// What a peer told of others counts for so long after its last answer.
    Duration newsLifetime = std::chrono::milliseconds(4000);
    /// A daemon that has been silent for so long is forgotten, but for its address.
    Duration forget = std::chrono::seconds(30);
    /// A site with so few daemons names them all.
    std::size_t smallSite = 8;
    /// Addresses in one answer of a larger site: enough to go on after failures; among more the large daemons would be few.
    std::size_t mostAddresses = 4;
    /// Callers of a large site come to the daemons of their domain that bear most, as long as these use this share of their
    /// processors: few daemons that see much of the upstreams place better than many that see little.
    double busyShare = 0.3;
    /// At least daemons with this share of what a domain bears, for the callers that come before any rate is known.
    double leastShare = 0.25;
    /// Processor time of a request, core seconds (docs/MEASUREMENTS.md).
    double requestCost = 0.0016;
    /// Weight of a daemon in another failure domain than the caller against one in its own.
    double farWeight = 0.02;
    /// A domain whose daemons bear less than this share of the mean domain's keeps only a part of its callers.
    double enoughNear = 0.75;
};

/// @return What a daemon bears, as a share of one processor core; a link that is small for its processor binds first.
double capacityOf(const EdgeSettings& settings);

/// A daemon as its last heartbeat told, directly or through a peer.
struct DaemonReport {
    EdgeHeartbeat heartbeat;
    TimePoint heard; ///< Its last own heartbeat.
    TimePoint toldAt; ///< When a peer last told of it.
    bool isToldLive = false; ///< A peer hears it.
    bool isToldByReader = false; ///< That peer hears all daemons, so that what it does not hear is gone.
    bool wasLive = false; ///< Heard directly, as of the last sweep.
    std::uint64_t change = 0; ///< Number of its last change; 0: never heard directly.
};

/// Folds heartbeats; the newest incarnation and sequence of each daemon stands. A daemon hears a few others directly and
/// learns of the rest from one of them, which tells only of those that it hears itself, so that no belief keeps itself alive.
class DaemonView {
public:
    explicit DaemonView(DaemonViewSettings viewSettings = {})
        : settings(viewSettings)
    {
    }

    /// @return Whether @p heartbeat is news.
    bool onHeartbeat(const EdgeHeartbeat& heartbeat, TimePoint now);

    /// Takes over what a peer hears.
    /// @param isFromReader Whether it hears all daemons; any other tells of daemons that are there, and nothing of those that are not.
    void onNews(const DaemonNews& news, bool isFromReader, TimePoint now);

    /// @param source Incarnation of this daemon.
    /// @param from Number of the first change that is wanted; 0 for all.
    /// @return Which daemons that this one hears came, went or changed.
    DaemonNews newsSince(std::uint64_t source, std::uint64_t from) const;

    /// @return Daemons heard or told of lately.
    std::vector<const DaemonReport*> live(TimePoint now) const;

    /// @return All daemons within the memory of this view.
    std::vector<const DaemonReport*> all() const;

    /// @return Whether a daemon's own heartbeats come.
    bool isHeard(const DaemonReport& report, TimePoint now) const;

    /// Callers are spread in proportion to what the daemons bear, and the same caller stays with the same daemons.
    /// @param caller What tells callers apart.
    /// @param domain Where the caller is.
    /// @param self This daemon, as its next heartbeat would tell.
    /// @return Front addresses that the caller may use, the best first; this daemon may be among them.
    std::vector<std::string> frontsFor(std::string_view caller, const FailureDomain& domain, const EdgeHeartbeat& self, TimePoint now) const;

    /// @return The most daemons that were alive at the same time within the memory of this view.
    std::size_t known() const { return this->daemons.size(); }

    /// @return All daemons within the memory of this view.
    std::vector<DaemonCapacity> instances() const;

    /// Drops daemons that have been silent for long, and numbers those that went.
    void sweep(TimePoint now);

    /// @return When a daemon was first heard or told of, the latest of all.
    TimePoint lastArrival() const { return this->arrival; }

private:
    /// @return Weight of daemons in other domains: the fewer are left in the caller's own, the more callers leave it.
    double farWeight(const std::vector<const EdgeHeartbeat*>& ready, const FailureDomain& domain) const;
    /// @return Of the daemons of one domain those that take its callers, the largest first.
    std::vector<const EdgeHeartbeat*> workingSet(std::vector<const EdgeHeartbeat*> ready) const;

    DaemonViewSettings settings;
    std::map<InstanceId, DaemonReport> daemons;
    TimePoint newsAt; ///< When a peer last answered.
    TimePoint arrival;
    std::uint64_t changes = 0;
};

} // namespace goldcrestwood
