#pragma once

/// @file
/// The traffic configuration in force: routes, services, client accounts and limits, and the lookups on it.

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// What may be repeated on a route.
enum class RequestKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Runs once at most.
    Stream, ///< A token stream; at most once unless the route is resumable.
};

/// @return The name of @p kind.
const char* toString(RequestKind kind);

/// One of the services among which a route divides its requests.
struct RouteBackend {
    ServiceName service;
    std::uint32_t weight = 1;

    auto operator<=>(const RouteBackend&) const = default;
};

/// Where requests of one host and path prefix go.
struct TrafficRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::AtMostOnce;
    Duration timeout = std::chrono::seconds(10); ///< Longest time a caller is kept waiting.
    Duration objective = std::chrono::seconds(1); ///< Answers within it earn full credit.
    Duration gapObjective = Duration(0); ///< Longest pause between events that is still on time.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< Upstreams that one client attempt may run on.
    std::vector<RouteBackend> backends;
    bool isPublic = false; ///< Needs no key.
    bool isResumable = false; ///< A broken stream may go on at another upstream.
    std::vector<Region> allowedRegions; ///< Empty: any.

    bool operator==(const TrafficRoute&) const = default;

    /// @return The silence after which callers give up a stream, also before its first event (the platform's page on requests).
    Duration silenceLimit() const
    {
        return std::max({ Duration(std::chrono::seconds(2)), 4 * this->objective, 8 * this->gapObjective });
    }

    /// @return Whether a request may run a second time.
    bool isRepeatable() const
    {
        return this->kind == RequestKind::Idempotent || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

/// What the replicas of a model service can hold.
struct EngineLimits {
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0; ///< Tokens of KV cache a replica holds.
    std::uint64_t bytesPerToken = 0;
    double linkMegabits = 0; ///< Bandwidth of a replica's link for KV cache, Mbit/s.

    bool operator==(const EngineLimits&) const = default;
};

/// A store of KV cache.
struct CacheStore {
    std::string address;
    FailureDomain domain;
    std::uint64_t cacheTokens = 0;

    bool operator==(const CacheStore&) const = default;
};

/// A service: a pool of replicas, or a store of KV cache.
struct TrafficService {
    ServiceName name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Accepted by one replica from all callers.
    double coldPerSecond = 0; ///< Requests a second that a cold replica bears; 0: no bound.
    std::optional<EngineLimits> engine;
    std::optional<CacheStore> store;

    bool operator==(const TrafficService&) const = default;
};

/// What a caller may send.
struct ClientLimits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const ClientLimits&) const = default;
};

/// A client account with its keys.
struct TrafficAccount {
    ClientAccount name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> rank; ///< Goes before the rank of the route.
    bool isIsolated = false; ///< Shares no cache block with other accounts.

    bool operator==(const TrafficAccount&) const = default;
};

/// One version of the configuration as the operator wrote it.
struct TrafficConfiguration {
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::vector<TrafficService> services;
    std::vector<TrafficAccount> accounts;
    bool hasAccounts = false; ///< Whether requests need a key.
    ClientLimits limits;

    bool operator==(const TrafficConfiguration&) const = default;
};

/// A configuration with its lookups; immutable, shared by the requests that began under it.
class RouteTable {
public:
    explicit RouteTable(TrafficConfiguration source);

    /// @param host The Host header, with or without a port.
    /// @param target The request target, with or without a query.
    /// @return The route with the longest prefix of the path, or null.
    const TrafficRoute* find(std::string_view host, std::string_view target) const;

    /// @return The account that holds @p key, or null.
    const TrafficAccount* accountOf(const std::string& key) const;

    /// @return The service, or null.
    const TrafficService* service(const ServiceName& name) const;

    const TrafficConfiguration& configuration() const { return this->source; }

private:
    TrafficConfiguration source;
    /// Routes by host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const TrafficRoute*>> byHost;
    std::unordered_map<std::string, const TrafficAccount*> byKey;
    std::map<ServiceName, const TrafficService*> byService;
};

/// @return One of the route's services, drawn by weight; null if the route names none.
const ServiceName* drawService(const TrafficRoute& route, Random& random);

} // namespace goldcrestwood
