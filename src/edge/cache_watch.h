#pragma once

/// @file
/// Follows the events of the KV cache stores, for this daemon and those that ask it, and of the engines of a small site.

#include <set>
#include <string>

#include "edge/edge_state.h"
#include "edge/http_call.h"

namespace goldcrestwood {

/// Keeps the part directory current: one held call at each store.
class CacheWatch {
public:
    CacheWatch(EdgeState& edgeState, asio::any_io_executor loop)
        : state(edgeState)
        , executor(std::move(loop))
    {
    }

    /// Starts a follower for each store that the configuration names while this daemon reads for others.
    Task<> run();

private:
    bool followsStores() const;
    Task<> followEngine(UpstreamId upstream, std::string address);
    Task<bool> readEngine(HttpCaller& caller, UpstreamId upstream, std::uint64_t& next, std::uint64_t& epoch);
    Task<> follow(std::string address);
    Task<bool> list(HttpCaller& caller, std::string address, std::uint64_t& next);
    Task<bool> readOn(HttpCaller& caller, std::string address, std::uint64_t& next, bool& needsListing);

    EdgeState& state;
    asio::any_io_executor executor;
    Task<> freeGarbage(std::string address, std::vector<StoredPart> parts, std::uint64_t epoch);
    void collectGarbage();

    std::set<std::string> followed;
    std::map<std::string, TimePoint> scopesSeen; ///< Weight scopes of the engines, and when each was last in use.
    TimePoint collected;
    std::set<UpstreamId> followedEngines;
};

} // namespace goldcrestwood
