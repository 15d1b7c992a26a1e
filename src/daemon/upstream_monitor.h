#pragma once

/// @file
/// Polls the load and cache events of the engines and the cache events of the stores that this daemon owns.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "daemon/metrics.h"
#include "daemon/peer_directory.h"
#include "daemon/permit_service.h"
#include "daemon/prefix_service.h"
#include "daemon/upstream_client.h"
#include "goldcrestwood/catalog.h"
#include "goldcrestwood/daemon_messages.h"
#include "goldcrestwood/holder_feed.h"

namespace goldcrestwood {

class UpstreamMonitor {
public:
    /// @param mesh, directory, permits, prefixes, metrics Must outlive the monitor.
    UpstreamMonitor(PeerMesh& mesh, PeerDirectory& directory, PermitService& permits, PrefixService& prefixes, Metrics& metrics);
    ~UpstreamMonitor();

    void start();
    void stop();
    void configure(std::shared_ptr<const CatalogView> view);

private:
    /// An engine or store that this daemon may own.
    struct Target {
        UpstreamId id;
        std::string address;
        std::uint64_t key = 0;
        bool isStore = false;
        bool isBeingPolled = false;
        TimePoint nextPollAt;
        VersionName version;
        UpstreamLoadReport lastReport;
        TimePoint nextReportAt;
        std::shared_ptr<HolderFeed> feed;
    };

    void run();
    void refreshOwned();
    void poll(const Target& entry);
    void pollEvents(const Target& entry);
    void pollLoad(const Target& entry);
    void publishVersions();
    std::map<UpstreamId, Target>::iterator nextDue(TimePoint now);

    PeerMesh& mesh;
    PeerDirectory& directory;
    PermitService& permits;
    PrefixService& prefixes;
    Metrics& metrics;
    std::mutex mutex;
    std::condition_variable wake;
    std::map<UpstreamId, Target> targets;
    std::vector<UpstreamId> owned;
    TimePoint nextRefresh;
    std::string publishedVersions;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace goldcrestwood
