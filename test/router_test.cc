/// @file
/// Router decisions: costs, refusals, learned estimates and spreading.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "goldcrestwood/router.h"

using namespace goldcrestwood;

namespace {

const ServiceName service("kiln-voice");
const VersionName version("v1");
const UpstreamId store("glaze-memory");
const TimePoint start { std::chrono::seconds(1000) };
constexpr std::uint64_t blockBytes = 1 << 20;
constexpr std::uint32_t blockTokens = 1000;

UpstreamId replica(std::size_t number)
{
    return UpstreamId("kiln-voice-" + std::to_string(number));
}

FailureDomain domainOf(std::size_t number)
{
    static const char* const names[] = { "thu-duc", "binh-tan", "nha-be" };
    return FailureDomain(names[number % 3]);
}

Router makeRouter(std::size_t replicas, RouterSettings settings = {})
{
    Router router(settings);
    std::vector<RouteTarget> targets;
    for (std::size_t i = 0; i < replicas; ++i)
        targets.push_back({ replica(i), domainOf(i), version });
    router.setTargets(service, targets);
    return router;
}

RouteRequest makeRequest(std::uint64_t prompt, std::uint32_t blocks)
{
    RouteRequest request { service, version, { { 1 }, {}, blocks * blockTokens + 100, blockTokens }, {}, true, blockBytes };
    for (std::uint32_t i = 0; i < blocks; ++i)
        request.chain.blocks.push_back({ prompt * 1000 + i });
    return request;
}

const auto allowAll = [](const RouteTarget&) { return UpstreamCheck {}; };
const auto fastLink = [](const UpstreamId&) { return LinkEstimate { 64e6, 0 }; };

template <typename Allowed>
RouteDecision route(Router& router, const RouteRequest& request, const Allowed& allowed, Random& random)
{
    const auto decision = router.choose(request, allowed, fastLink, start, random);
    REQUIRE(decision);
    return *decision;
}

} // namespace

TEST_CASE("a prompt goes to the upstream that holds it unless the queue there costs more")
{
    Random random(1);
    auto router = makeRouter(12);
    auto request = makeRequest(1, 10);
    request.coverage.engines = { { replica(3), 10, 1 } };
    const auto near = route(router, request, allowAll, random);
    CHECK(near.upstream == replica(3));
    CHECK(near.blocksCovered == 10);
    CHECK(near.recomputeTokens == 100);

    router.reportLoad(replica(3), { 20, 60, std::nullopt, Duration(0) }, start);
    CHECK(route(router, request, allowAll, random).upstream != replica(3));
    // The same report loses its weight with age.
    const auto later = router.choose(request, allowAll, fastLink, start + std::chrono::seconds(30), random);
    REQUIRE(later);
    CHECK(later->upstream == replica(3));
}

TEST_CASE("only the part of a chain that arrives sooner than it is recomputed is imported")
{
    Random random(1);
    auto router = makeRouter(3);
    auto request = makeRequest(1, 10);
    request.coverage.stores = { { store, Tier::StoreMemory, 0, 8, 1 } };
    const auto fast = route(router, request, allowAll, random);
    CHECK(fast.import.blocks == 8);
    CHECK(fast.import.bytes == 8 * blockBytes);
    CHECK(fast.import.runs == std::vector { ImportRun { store, Tier::StoreMemory, 0, 8 } });
    CHECK(fast.recomputeTokens == 2 * blockTokens + 100);

    router.finish(fast.ticket);
    auto linkOf = [&](double bytesPerSecond, double backlog) {
        auto links = [=](const UpstreamId&) { return LinkEstimate { bytesPerSecond, backlog }; };
        const auto decision = router.choose(request, allowAll, links, start, random);
        router.finish(decision->ticket);
        return decision->import.blocks;
    };
    CHECK(linkOf(1e6, 0) == 0);
    CHECK(linkOf(64e6, 640e6) == 0);
    CHECK(linkOf(0, 0) == 0);
    // The last blocks are on disk and would arrive later than they are recomputed.
    request.coverage.stores = { { store, Tier::StoreMemory, 0, 4, 1 }, { store, Tier::StoreDisk, 4, 4, 1 } };
    CHECK(linkOf(7e6, 0) == 4);
    // A gap in the chain ends the import.
    request.coverage.stores = { { store, Tier::StoreMemory, 0, 2, 1 }, { store, Tier::StoreMemory, 3, 5, 1 } };
    CHECK(linkOf(64e6, 0) == 2);
}

TEST_CASE("refused upstreams get no requests, and retries prefer another domain")
{
    Random random(1);
    auto router = makeRouter(12);
    router.setVersion(replica(2), VersionName("v2"));
    auto allowed = [](const RouteTarget& target) {
        return UpstreamCheck { target.domain == domainOf(0) ? Refusal::DomainOut : Refusal::None, {} };
    };
    for (std::uint64_t prompt = 0; prompt < 200; ++prompt) {
        auto request = makeRequest(prompt, 2);
        request.coverage.engines = { { replica(0), 2, 1 }, { replica(2), 2, 1 } };
        const auto decision = route(router, request, allowed, random);
        CHECK(decision.domain != domainOf(0));
        CHECK(decision.upstream != replica(2));
        REQUIRE_FALSE(decision.runnerUps.empty());
        CHECK(decision.runnerUps.front() != decision.upstream);
        router.finish(decision.ticket);
    }
    auto noPermit = [](const RouteTarget&) { return UpstreamCheck { Refusal::NoPermit, {} }; };
    const auto refused = router.choose(makeRequest(1, 2), noPermit, fastLink, start, random);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().refusal == Refusal::NoPermit);
    CHECK(Router().choose(makeRequest(1, 2), allowAll, fastLink, start, random).error() == RouteError {});

    const auto spread = route(router, makeRequest(999, 2), allowAll, random);
    const auto number = std::stoul(spread.runnerUps.front().value.substr(11));
    CHECK(domainOf(number) != spread.domain);
}

TEST_CASE("seven daemons with the same view do not all choose the same upstream")
{
    std::map<UpstreamId, int> chosen;
    for (std::uint64_t daemon = 0; daemon < 7; ++daemon) {
        Random random(100 + daemon);
        auto router = makeRouter(12);
        for (std::size_t i = 0; i < 12; ++i)
            router.reportLoad(replica(i), { 4, i == 5 ? 0U : 2U, std::nullopt, Duration(0) }, start);
        for (std::uint64_t prompt = 0; prompt < 10; ++prompt)
            ++chosen[route(router, makeRequest(daemon * 100 + prompt, 4), allowAll, random).upstream];
    }
    for (const auto& [upstream, times] : chosen)
        CHECK(times < 20);
    CHECK(chosen.size() == 12);
}

TEST_CASE("without the owner's answer a prompt stays at a few upstreams")
{
    Random random(1);
    std::set<UpstreamId> chosen;
    auto request = makeRequest(42, 10);
    request.coverageKnown = false;
    for (int daemon = 0; daemon < 7; ++daemon) {
        auto router = makeRouter(100);
        chosen.insert(route(router, request, allowAll, random).upstream);
    }
    CHECK(chosen.size() <= 2);
}

TEST_CASE("estimates follow the observations, and outstanding prefill is released")
{
    Random random(1);
    auto router = makeRouter(1);
    for (std::uint64_t prompt = 0; prompt < 100; ++prompt) {
        const auto decision = route(router, makeRequest(prompt, 4), allowAll, random);
        CHECK(router.outstandingPrefill(replica(0)) > Duration(0));
        // 4,100 tokens at 2,000 per second.
        router.onFirstToken(decision.ticket, { fromSeconds(2.07), 0 });
        router.finish(decision.ticket);
        router.finish(decision.ticket);
        CHECK(router.outstandingPrefill(replica(0)) < Duration(10));
    }
    CHECK(router.prefillRate(replica(0)) == Approx(2000).epsilon(0.05));
    router.setVersion(replica(0), VersionName("v2"));
    CHECK(router.prefillRate(replica(0)) == RouterSettings {}.initialPrefillRate);
}

TEST_CASE("decisions without an outcome do not count as load forever")
{
    Random random(1);
    RouterSettings settings;
    settings.maxOutstanding = 16;
    auto router = makeRouter(1, settings);
    for (std::uint64_t prompt = 0; prompt < 1000; ++prompt)
        route(router, makeRequest(prompt, 1), allowAll, random);
    CHECK(toSeconds(router.outstandingPrefill(replica(0))) < 17 * 1100 / settings.initialPrefillRate);
}
