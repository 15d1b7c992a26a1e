#pragma once

/// @file
/// Test fixture: an UpstreamBoard with its PartDirectory, and shared requests and registry entries.

#include <optional>
#include <set>
#include <string>

#include "goldcrestwood/upstream_board.h"

namespace board_site {

using namespace goldcrestwood;
using namespace std::chrono_literals;

inline const TimePoint start { 100s };
inline const ServiceName model("model");
inline const ServiceName plain("plain");

inline RouteTable services(double coldPerSecond = 0)
{
    TrafficConfiguration configuration;
    configuration.services.push_back({ model, "", 360, coldPerSecond, EngineLimits { 64, 100000, 300000, 700000 }, std::nullopt });
    configuration.services.push_back({ plain, "", 96, coldPerSecond, std::nullopt, std::nullopt });
    return RouteTable(configuration);
}

inline RegistryEntry entryOf(int number, const ServiceName& service, const char* domain = "north")
{
    const auto text = std::to_string(number);
    RegistryEntry entry;
    entry.id = UpstreamId(service.value + text);
    entry.service = service;
    entry.address = "10.0.0." + text + ":80";
    entry.domain = FailureDomain(domain);
    entry.slots = service == model ? 64 : 6;
    entry.weights = { { "m", 1 } };
    entry.born = 1;
    return entry;
}

inline PlacementRequest prompt(std::uint64_t tokens, const char* subject, std::uint32_t rank = 1)
{
    PlacementRequest request;
    request.service = model;
    request.sharingGroup = "all";
    request.parts = { { "common", 100 }, { subject, static_cast<std::uint32_t>(tokens - 200) }, { std::string("own-") + subject, 100 } };
    request.promptTokens = tokens;
    request.outputTokens = 100;
    request.rank = rank;
    request.objective = 500ms;
    request.model = "m";
    return request;
}

inline PlacementRequest plainRequest()
{
    PlacementRequest request;
    request.service = plain;
    return request;
}

inline PlacementChoice choiceOf(const char* upstream)
{
    PlacementChoice choice;
    choice.upstream = UpstreamId(upstream);
    return choice;
}

/// A board with its directory, which the board references.
struct Site {
    explicit Site(double coldPerSecond = 0, const char* self = "self")
        : board(InstanceId(self), SiteBounds {}, this->parts)
    {
        this->board.setServices(services(coldPerSecond));
    }

    /// Adds an engine, and a store that holds the shared parts of prompt(8000, "subject"): 7,900 tokens.
    void addEngineAndStore()
    {
        this->parts.setStores({ { "s1", FailureDomain("north"), 1000000 } });
        this->parts.onListing("s1", 1, { { "m/w1/all", "common", 100 }, { "m/w1/all", "subject", 7800 } }, start);
        this->board.setUpstream(entryOf(1, model), start);
    }

    std::optional<PlacementChoice> choose(const PlacementRequest& request, TimePoint now = start, const std::set<UpstreamId>& tried = {})
    {
        return this->board.choose(request, tried, now, this->refusal);
    }

    PartDirectory parts;
    UpstreamBoard board;
    PlacementRefusal refusal = PlacementRefusal::NoUpstream;
};

} // namespace board_site
