#pragma once

/// @file
/// Settings of an entry daemon on the platform: its addresses and the site's bounds.

#include <cstdint>
#include <string>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Bounds that the site guarantees; set in the platform's settings file.
struct SiteBounds {
    Duration contactTime = std::chrono::seconds(3); ///< Undisturbed time after which a daemon counts as connected.
    Duration drainTime = std::chrono::seconds(2); ///< Time after which a draining upstream gets no new requests.
    Duration shutdownGrace = std::chrono::seconds(8); ///< From SIGTERM to SIGKILL.
    Duration leaseTime = std::chrono::seconds(3); ///< Minimum time between the orders of two duty holders.
    bool fencesChecked = true; ///< Upstreams reject orders with a lower fencing token.
    Duration weightSwitchTime = std::chrono::seconds(6); ///< Time without an outage of the store after which no request may begin on older weights.
    Duration weightSwitchTotal = std::chrono::milliseconds(8400); ///< The same for the sum of such times.
    double retryRatio = 0.2; ///< Further sends as a share of requests, all daemons together.
    Duration retryWindow = std::chrono::seconds(10);
    double retrySlack = 50; ///< Further sends per window in addition to the share, all daemons together.
    double exposureShare = 0.1; ///< Share of a service's requests that a bad new version may get before its deadline.
    double exposureSlack = 50; ///< Requests in addition to that share.
    double coldRateFactor = 1.5; ///< Factor on the request rate that a cold upstream can handle.
    double coldRateSlack = 5; ///< Requests per second in addition to that.
    Duration limitWindow = std::chrono::seconds(4); ///< Any span of this length counts for the request limit of an upstream.
    double limitFactor = 1.5; ///< Factor on the requests that the limit allows in that span.
    double limitSlack = 5; ///< Requests per span in addition to that.
    Duration maxDirectoryLifetime = std::chrono::seconds(5); ///< Maximum lifetime of a directory answer.
    Duration usageWindow = std::chrono::seconds(5); ///< Length of a window of the usage reports.
    double usageTolerance = 0.05; ///< Share by which a reported count may differ from the true one.
    Duration usageLateness = std::chrono::seconds(10); ///< Time after the end of a window at which its usage report is due.
    Duration freezeSlack = std::chrono::milliseconds(300); ///< Allowance for a holder of the duty that stands still between a check and a call.
    Duration maxClockSkew = std::chrono::seconds(6); ///< Maximum difference between the wall clocks of two machines.

    bool operator==(const SiteBounds&) const = default;
};

/// Calls to the platform that one daemon at a time makes for the whole site.
struct DutySettings {
    std::string address; ///< Of the platform's endpoint; empty if there is none.
    bool reportsUsage = false; ///< The number of runs of each client account is reported.
    bool scalesReplicas = false; ///< The numbers of replicas are requested.
    double callsPerSecond = 0; ///< Calls of each kind from all daemons together that the platform accepts; 0 if unlimited.

    bool operator==(const DutySettings&) const = default;
};

/// Settings of one daemon, fixed at its start.
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
    bool isFirstStart = false; ///< First start of the whole site: no process of it has run before.
    double processorShare = 1; ///< Processor share in cores.
    std::uint64_t memoryBytes = 0; ///< Memory above which the platform kills the process; 0 if unknown.
    double linkMegabits = 0; ///< Bandwidth of the machine's link in megabits per second; 0 if unknown.
    SiteBounds bounds;
    DutySettings duties;

    bool operator==(const EdgeSettings&) const = default;
};

} // namespace goldcrestwood
