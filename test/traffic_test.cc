#include <catch2/catch.hpp>

#include "goldcrestwood/traffic.h"

using namespace goldcrestwood;

namespace {

TrafficRoute route(const char* host, const char* prefix, std::vector<RouteBackend> backends)
{
    TrafficRoute result;
    result.name = prefix;
    result.host = host;
    result.pathPrefix = prefix;
    result.backends = std::move(backends);
    return result;
}

} // namespace

TEST_CASE("the longest path prefix wins, regardless of the host's case and port")
{
    TrafficConfiguration configuration;
    configuration.routes = { route("a.example", "/x/", {}), route("a.example", "/x/y/", {}), route("b.example", "/", {}) };
    const RouteTable table(configuration);
    CHECK(table.find("a.example", "/x/1")->pathPrefix == "/x/");
    CHECK(table.find("A.Example:8080", "/x/y/1?q=/x/")->pathPrefix == "/x/y/");
    CHECK(table.find("b.example", "/anything")->pathPrefix == "/");
    CHECK(table.find("a.example", "/z/") == nullptr);
    CHECK(table.find("c.example", "/x/") == nullptr);
    // A prefix ends with a slash, so a longer path segment does not match.
    CHECK(table.find("a.example", "/xy/") == nullptr);
}

TEST_CASE("a key belongs to one account, and an unknown key to none")
{
    TrafficConfiguration configuration;
    configuration.accounts = { { ClientAccount("one"), { "k1", "k2" }, 3, false }, { ClientAccount("two"), { "k3" }, std::nullopt, true } };
    const RouteTable table(configuration);
    CHECK(table.accountOf("k2")->name == ClientAccount("one"));
    CHECK(table.accountOf("k3")->isIsolated);
    CHECK(table.accountOf("") == nullptr);
    CHECK(table.accountOf("k4") == nullptr);
}

TEST_CASE("a route's requests are split among its services by weight; a weight of 0 gets none")
{
    const auto split = route("a", "/", { { ServiceName("old"), 90 }, { ServiceName("new"), 10 }, { ServiceName("off"), 0 } });
    Random random(1);
    std::map<ServiceName, int> counts;
    constexpr int draws = 10000;
    for (int draw = 0; draw < draws; ++draw)
        ++counts[*drawService(split, random)];
    CHECK(counts[ServiceName("new")] > draws * 0.08);
    CHECK(counts[ServiceName("new")] < draws * 0.12);
    CHECK(counts[ServiceName("off")] == 0);
    CHECK(drawService(route("a", "/", {}), random) == nullptr);
}
