#pragma once

/// @file
/// The active traffic configuration (routes, services, client accounts and limits) and lookups in it.

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

/// How often a route's requests may be executed.
enum class RequestKind : std::uint8_t {
    Idempotent, ///< May be executed more than once.
    AtMostOnce, ///< Must not be executed more than once.
    Stream, ///< A token stream; at most once unless the route is resumable.
};

/// @return The name of @p kind.
const char* toString(RequestKind kind);

/// One of the services that share a route's requests.
struct RouteBackend {
    ServiceName service;
    std::uint32_t weight = 1;

    auto operator<=>(const RouteBackend&) const = default;
};

/// Route of the requests for one host and path prefix.
struct TrafficRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::AtMostOnce;
    Duration timeout = std::chrono::seconds(10); ///< Maximum time a caller waits for an answer.
    Duration objective = std::chrono::seconds(1); ///< Answers within this time earn full credit.
    Duration gapObjective = Duration(0); ///< Longest gap between events that is still on time.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< Maximum number of upstreams per client attempt.
    std::vector<RouteBackend> backends;
    bool isPublic = false; ///< Requests need no key.
    bool isResumable = false; ///< A broken stream may resume at another upstream.
    std::vector<Region> allowedRegions; ///< Empty: any.

    bool operator==(const TrafficRoute&) const = default;

    /// @return Time without events after which callers abandon a stream, also before its first event (the platform's page on requests).
    Duration silenceLimit() const
    {
        return std::max({ Duration(std::chrono::seconds(2)), 4 * this->objective, 8 * this->gapObjective });
    }

    /// @return Whether a request may be executed again.
    bool isRepeatable() const
    {
        return this->kind == RequestKind::Idempotent || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

/// Capacity of one replica of a model service.
struct EngineLimits {
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0; ///< Size of a replica's KV cache, tokens.
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

/// Bounds of the number of replicas of a service in each failure domain.
struct Autoscale {
    std::uint32_t min = 1;
    std::uint32_t max = 1;
    Duration bootTime = std::chrono::seconds(8); ///< Until a new replica serves requests.

    bool operator==(const Autoscale&) const = default;
};

/// A service: a pool of replicas, or a store of KV cache.
struct TrafficService {
    ServiceName name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Connections that one replica accepts from all callers.
    double coldPerSecond = 0; ///< Requests per second that a cold replica can serve; 0: no limit.
    std::optional<EngineLimits> engine;
    std::optional<CacheStore> store;
    std::optional<Autoscale> autoscale = std::nullopt; ///< Absent: the number of replicas is fixed.

    bool operator==(const TrafficService&) const = default;
};

/// Limits on callers' requests and connections.
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
    std::optional<std::uint32_t> rank; ///< Overrides the route's rank.
    bool isIsolated = false; ///< Shares no cache blocks with other accounts.

    bool operator==(const TrafficAccount&) const = default;
};

/// One version of the operator's configuration.
struct TrafficConfiguration {
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::vector<TrafficService> services;
    std::vector<TrafficAccount> accounts;
    bool hasAccounts = false; ///< Whether requests to non-public routes need a key.
    ClientLimits limits;

    bool operator==(const TrafficConfiguration&) const = default;
};

/// Immutable configuration with lookups; shared by the requests that started under it.
class RouteTable {
public:
    explicit RouteTable(TrafficConfiguration source);

    /// @param host The Host header, with or without a port.
    /// @param target The request target, with or without a query.
    /// @return The route with the longest matching path prefix, or null.
    const TrafficRoute* find(std::string_view host, std::string_view target) const;

    /// @return The account that holds @p key, or null.
    const TrafficAccount* accountOf(const std::string& key) const;

    /// @return The service, or null.
    const TrafficService* service(const ServiceName& name) const;

    const TrafficConfiguration& configuration() const { return this->source; }

private:
    TrafficConfiguration source;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const TrafficRoute*>> byHost;
    std::unordered_map<std::string, const TrafficAccount*> byKey;
    std::map<ServiceName, const TrafficService*> byService;
};

/// @return A random service of the route, by weight; null if the route has none.
const ServiceName* drawService(const TrafficRoute& route, Random& random);

} // namespace goldcrestwood
