#pragma once

/// @file
/// Tells crashes of upstreams from broken connections, for the search for prompt parts that crash engines.

#include <map>
#include <string>
#include <vector>

#include "edge/edge_state.h"
#include "edge/upstream_pool.h"

namespace goldcrestwood {

/// Reports a crash if an upstream whose connection broke refuses a new one. Silence is no proof: this daemon may be cut off.
class CrashWatch {
public:
    CrashWatch(EdgeState& edgeState, UpstreamPool& upstreamPool, asio::any_io_executor loop);

    /// A connection broke before an answer was complete.
    /// @param choice The upstream.
    /// @param service Its service.
    /// @param suspects Shared prompt parts of the request; empty if its answer had been running for a while.
    void onBroken(const PlacementChoice& choice, const ServiceName& service, std::vector<std::string> suspects);

    /// Weighs the evidence regularly.
    Task<> run();

private:
    /// Requests that broke at an upstream while it is being checked.
    struct Check {
        std::uint64_t crash = 0; ///< Hash of the incarnation.
        TimePoint brokenAt;
        std::size_t requests = 0;
        std::vector<std::string> suspects;
    };

    Task<> check(UpstreamId upstream, std::string address, ServiceName service);

    EdgeState& state;
    UpstreamPool& pool;
    asio::any_io_executor executor;
    std::map<UpstreamId, Check> checks;
};

} // namespace goldcrestwood
