#pragma once

/// @file
/// Follows the events of the KV cache stores, for this daemon and the daemons that query it, and at a small site also those
/// of the engines.

#include <set>
#include <string>

#include "edge/edge_state.h"
#include "edge/http_call.h"

namespace goldcrestwood {

/// Keeps the part directory up to date with one long poll per store.
class CacheWatch {
public:
    CacheWatch(EdgeState& edgeState, asio::any_io_executor loop)
        : state(edgeState)
        , executor(std::move(loop))
    {
    }

    /// Starts a follower for each configured store while this daemon is a feed reader.
    Task<> run();

private:
    bool followsStores() const;
    Task<> followEngine(UpstreamId upstream, std::string address);
    Task<bool> readEngine(HttpCaller& caller, UpstreamId upstream, std::uint64_t& next, std::uint64_t& epoch);
    Task<> follow(std::string address);
    Task<bool> readListing(HttpCaller& caller, std::string address, std::uint64_t& next);
    Task<bool> readEvents(HttpCaller& caller, std::string address, std::uint64_t& next, bool& needsListing);

    EdgeState& state;
    asio::any_io_executor executor;
    Task<> freeObsoleteParts(std::string address, std::vector<StoredPart> parts, std::uint64_t epoch);
    void updateWeights();
    void collectGarbage();

    /// The clock of a store when it last answered.
    struct StoreClock {
        std::uint64_t milliseconds = 0;
        TimePoint readAt;
    };

    std::set<std::string> followedStores;
    std::map<std::string, StoreClock> clocks; ///< By address.
    TimePoint lastCollection;
    std::set<UpstreamId> followedEngines;
};

} // namespace goldcrestwood
