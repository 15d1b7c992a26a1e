#pragma once

/// @file
/// The other entry daemons, from their heartbeats, and which of them callers should use.

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct DaemonViewSettings {
    /// A daemon that has been silent for so long, and for several of its heartbeats, is not named to callers.
    Duration silence = std::chrono::milliseconds(1500);
    int missedHeartbeats = 4;
    /// A daemon that has been silent for so long is forgotten, but for its address.
    Duration forget = std::chrono::seconds(30);
    /// A site with so few daemons names them all.
    std::size_t smallSite = 8;
    /// Addresses in one answer of a larger site: enough to go on after failures; among more the large daemons would be few.
    std::size_t mostAddresses = 4;
    /// Callers come in proportion to this power of what a daemon bears. Fewer daemons that see more of the upstreams place
    /// better than many that see little (docs/design/platform.md); at 2 the busiest takes a third of its processor.
    double capacityPower = 2;
    /// Weight of a daemon in another failure domain than the caller against one in its own.
    double farWeight = 0.02;
    /// A domain whose daemons bear less than this share of the mean domain's keeps only a part of its callers.
    double enoughNear = 0.75;
};

/// @return What a daemon bears, as a share of one processor core; a link that is small for its processor binds first.
double capacityOf(const EdgeSettings& settings);

/// A daemon as its last heartbeat told.
struct DaemonReport {
    EdgeHeartbeat heartbeat;
    TimePoint heard;
};

/// Folds heartbeats; the newest incarnation and sequence of each daemon stands.
class DaemonView {
public:
    explicit DaemonView(DaemonViewSettings viewSettings = {})
        : settings(viewSettings)
    {
    }

    /// @return Whether @p heartbeat is news.
    bool onHeartbeat(const EdgeHeartbeat& heartbeat, TimePoint now);

    /// @return Daemons heard lately.
    std::vector<const DaemonReport*> live(TimePoint now) const;

    /// Callers are spread in proportion to what the daemons bear, and the same caller stays with the same daemons.
    /// @param caller What tells callers apart.
    /// @param domain Where the caller is.
    /// @param self This daemon, as its next heartbeat would tell.
    /// @return Front addresses that the caller may use, the best first; this daemon may be among them.
    std::vector<std::string> frontsFor(std::string_view caller, const FailureDomain& domain, const EdgeHeartbeat& self, TimePoint now) const;

    /// @return The most daemons that were alive at the same time within the memory of this view.
    std::size_t known() const { return this->daemons.size(); }

    /// @return All daemons within the memory of this view.
    std::vector<InstanceId> instances() const;

    void sweep(TimePoint now);

private:
    /// @return Weight of daemons in other domains: the fewer are left in the caller's own, the more callers leave it.
    double farWeight(const std::vector<const EdgeHeartbeat*>& ready, const FailureDomain& domain) const;

    DaemonViewSettings settings;
    std::map<InstanceId, DaemonReport> daemons;
};

} // namespace goldcrestwood
