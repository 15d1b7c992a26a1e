#pragma once

/// @file
/// Settings of an entry daemon on the platform: its addresses and the bounds that the site demands.

#include <cstdint>
#include <string>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Bounds of the site; each comes from the platform's settings file.
struct SiteBounds {
    Duration contact = std::chrono::seconds(3); ///< Undisturbed time after which a daemon counts as connected.
    Duration drain = std::chrono::seconds(2); ///< After it a leaving upstream gets no new request.
    Duration grace = std::chrono::seconds(8); ///< From SIGTERM to SIGKILL.
    Duration lease = std::chrono::seconds(3); ///< Least time between orders of two holders.
    bool fencesChecked = true; ///< Upstreams refuse orders with a lower fencing number.
    Duration weights = std::chrono::seconds(6); ///< By then no request begins on older weights.
    double retryRatio = 0.2; ///< Further sends as a share of requests, all daemons together.
    Duration retryWindow = std::chrono::seconds(10);
    double retrySlack = 50; ///< Further sends in a window beyond the share, all daemons together.
    double exposeShare = 0.1; ///< Of a service's requests, that a new version may get before its deadline if it is bad.
    double exposeSlack = 50; ///< Requests beyond that share.
    double coldOver = 1.5; ///< Factor on the rate that a cold upstream bears.
    double coldSlack = 5; ///< Requests a second beyond that.
    Duration longestLifetime = std::chrono::seconds(5); ///< Of a directory answer.

    bool operator==(const SiteBounds&) const = default;
};

/// What one daemon knows at its start.
struct EdgeSettings {
    InstanceId instance;
    FailureDomain domain;
    Region region;
    std::string ip;
    std::string frontAddress; ///< Callers connect here.
    std::string readyAddress; ///< Readiness checks of the platform.
    std::string directoryAddress; ///< Callers ask here which daemon to use.
    std::string peerAddress; ///< Other daemons connect here.
    std::vector<std::string> seeds; ///< Peer addresses of a few daemons; may be stale.
    std::string storeAddress; ///< The platform's metadata store.
    bool isFirstStart = false; ///< The whole site starts for the first time: no process of it ran before.
    double processorShare = 1; ///< Of one core.
    double linkMegabits = 0; ///< Of the machine's link, a second; 0: not told.
    SiteBounds bounds;

    bool operator==(const EdgeSettings&) const = default;
};

} // namespace goldcrestwood
