#include "goldcrestwood/traffic.h"

#include <algorithm>
#include <numeric>

namespace goldcrestwood {

namespace {

    /// @return The host name without port, in lower case for comparison.
    std::string normalizedHost(std::string_view host)
    {
        std::string result(host.substr(0, host.find(':')));
        std::transform(result.begin(), result.end(), result.begin(),
            [](char character) { return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character; });
        return result;
    }

} // namespace

const char* toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::AtMostOnce:
        return "at_most_once";
    case RequestKind::Stream:
        return "stream";
    }
    return "unknown";
}

RouteTable::RouteTable(TrafficConfiguration configuration)
    : source(std::move(configuration))
{
    for (const auto& route : this->source.routes)
        this->byHost[normalizedHost(route.host)].push_back(&route);
    for (auto& [host, routes] : this->byHost)
        std::stable_sort(routes.begin(), routes.end(),
            [](const auto* left, const auto* right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    for (const auto& account : this->source.accounts)
        for (const auto& key : account.keys)
            this->byKey[key] = &account;
    for (const auto& service : this->source.services)
        this->byService[service.name] = &service;
}

const TrafficRoute* RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto routes = this->byHost.find(normalizedHost(host));
    if (routes == this->byHost.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    const auto match = std::find_if(routes->second.begin(), routes->second.end(),
        [&](const auto* route) { return path.starts_with(route->pathPrefix); });
    return match == routes->second.end() ? nullptr : *match;
}

const TrafficAccount* RouteTable::accountOf(const std::string& key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

const TrafficService* RouteTable::service(const ServiceName& name) const
{
    const auto found = this->byService.find(name);
    return found == this->byService.end() ? nullptr : found->second;
}

const ServiceName* drawService(const TrafficRoute& route, Random& random)
{
    const auto total = std::accumulate(route.backends.begin(), route.backends.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const RouteBackend& backend) { return sum + backend.weight; });
    if (total == 0)
        return route.backends.empty() ? nullptr : &route.backends.front().service;
    auto point = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random);
    for (const auto& backend : route.backends) {
        if (point < backend.weight)
            return &backend.service;
        point -= backend.weight;
    }
    return &route.backends.back().service;
}

} // namespace goldcrestwood
