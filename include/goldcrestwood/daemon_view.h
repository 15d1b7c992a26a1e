#pragma once

/// @file
/// The other entry daemons, from their heartbeats, and which of them callers should use.

#include <map>
#include <string>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct DaemonViewSettings {
    /// A daemon that has been silent for so long, and for several of its heartbeats, is not named to callers.
    Duration silence = std::chrono::milliseconds(1500);
    int missedHeartbeats = 4;
    /// A daemon that has been silent for so long is forgotten, but for its address.
    Duration forget = std::chrono::seconds(30);
    /// Addresses in one answer.
    std::size_t mostAddresses = 64;
};

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

    /// @return Front addresses of the daemons that callers may use, those in @p domain first; this daemon is not among them.
    std::vector<std::string> readyFronts(const FailureDomain& domain, TimePoint now) const;

    /// @return The most daemons that were alive at the same time within the memory of this view.
    std::size_t known() const { return this->daemons.size(); }

    void sweep(TimePoint now);

private:
    DaemonViewSettings settings;
    std::map<InstanceId, DaemonReport> daemons;
};

} // namespace goldcrestwood
