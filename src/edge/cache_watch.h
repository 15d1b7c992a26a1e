#pragma once

/// @file
/// Follows the events of the KV cache stores.

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

    /// Starts a follower for each store that the configuration names, for the life of the process.
    Task<> run();

private:
    Task<> follow(std::string address);
    Task<bool> list(HttpCaller& caller, std::string address, std::uint64_t& next);
    Task<bool> readOn(HttpCaller& caller, std::string address, std::uint64_t& next, bool& needsListing);

    EdgeState& state;
    asio::any_io_executor executor;
    std::set<std::string> followed;
};

} // namespace goldcrestwood
