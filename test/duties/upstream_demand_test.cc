#include <catch2/catch.hpp>

#include "board_site.h"

using namespace board_site;

namespace {

const BacklogLimits limits { 500ms, 1s };

bool isNone(const UpstreamId&)
{
    return false;
}

struct DemandBoard {
    explicit DemandBoard(std::size_t reportedLoads = 80)
        : board(InstanceId("self"), {}, parts, [&] {
            BoardSettings settings;
            settings.maxReportedLoads = reportedLoads;
            return settings;
        }())
    {
        this->board.setServices(services());
    }

    PartDirectory parts;
    UpstreamBoard board;
};

} // namespace

TEST_CASE("demand counts the scarcest of slots, memory and prefill backlog over all daemons")
{
    DemandBoard site;
    for (int number = 0; number < 3; ++number)
        site.board.setUpstream(entryOf(number, model), start);
    site.board.setUpstream(entryOf(3, model, "south"), start);
    // Half of the slots; half of the usable memory; a backlog of half of what the objective allows: 60 tokens/ms, 0.6 of 1 s.
    site.board.onPeerUse(InstanceId("a"), { { UpstreamId("model0"), 20, 0, {}, {} }, { UpstreamId("model1"), 1, 46000, {}, {} } }, start);
    site.board.onPeerUse(InstanceId("b"), { { UpstreamId("model0"), 12, 0, {}, {} }, { UpstreamId("model2"), 1, 0, { 0, 0, 0, 18000 }, {} } }, start);
    const auto demand = site.board.demandFor(model, limits, &isNone, start);
    REQUIRE(demand.size() == 2);
    CHECK(demand[0].domain == FailureDomain("north"));
    CHECK(demand[0].ready == 3);
    CHECK(demand[0].requests == 34);
    CHECK(demand[0].used == Approx(1.5));
    CHECK(demand[1].used == 0);
    // An urgent backlog counts against the shortest objective, and no replica for more than one.
    site.board.onPeerUse(InstanceId("b"), { { UpstreamId("model3"), 1, 0, { 9000 }, {} } }, start);
    CHECK(site.board.demandFor(model, limits, &isNone, start)[1].used == Approx(0.5));
    site.board.onPeerUse(InstanceId("b"), { { UpstreamId("model3"), 1, 0, { 90000 }, {} } }, start);
    CHECK(site.board.demandFor(model, limits, &isNone, start)[1].used == Approx(1));
}

TEST_CASE("draining, evacuated and impaired upstreams are told apart from ready ones")
{
    DemandBoard site;
    auto draining = entryOf(1, plain);
    draining.isDraining = true;
    auto cold = entryOf(2, plain);
    cold.coldRemaining = 2s;
    site.board.setUpstream(draining, start);
    site.board.setUpstream(cold, start);
    site.board.setUpstream(entryOf(3, plain), start);
    site.board.setUpstream(entryOf(4, plain, "south"), start);
    site.board.setEvacuated({ FailureDomain("south") });
    const std::vector<DomainDemand> expected { { FailureDomain("north"), 2, 1, 1, 0, 0, 0 }, { FailureDomain("south"), 0, 0, 0, 0, 0, 0 } };
    CHECK(site.board.demandFor(plain, limits, &isNone, start) == expected);
}

TEST_CASE("upstreams that a full digest has no room for count as busy as the least busy one that it names")
{
    DemandBoard site(2);
    for (int number = 0; number < 4; ++number)
        site.board.setUpstream(entryOf(number, model), start);
    const InstanceId aggregator("aggregator");
    const auto load = [](const char* id, std::uint32_t requests) { return UpstreamLoad { UpstreamId(id), requests, 0, {}, 0 }; };
    site.board.onAggregatorLoad(aggregator, { load("model0", 32), load("model1", 16) }, start);
    // Guards against a scale-down because a large site's load does not fit into a datagram.
    CHECK(site.board.demandFor(model, limits, &isNone, start)[0].used == Approx(0.5 + 3 * 0.25));
    // This daemon knows the load of those that it aggregates.
    const auto isOwn = [](const UpstreamId& id) { return id == UpstreamId("model3"); };
    CHECK(site.board.demandFor(model, limits, isOwn, start)[0].used == Approx(0.5 + 2 * 0.25));
    site.board.onAggregatorLoad(aggregator, { load("model0", 32) }, start);
    CHECK(site.board.demandFor(model, limits, &isNone, start)[0].used == Approx(0.5));
}

TEST_CASE("load sums are known while all aggregators but one have answered lately")
{
    DemandBoard site;
    const std::vector<InstanceId> aggregators { InstanceId("a"), InstanceId("b"), InstanceId("c"), InstanceId("self") };
    CHECK_FALSE(site.board.hasLoadSums(aggregators, start));
    site.board.onAggregatorLoad(InstanceId("a"), {}, start);
    CHECK_FALSE(site.board.hasLoadSums(aggregators, start));
    site.board.onAggregatorLoad(InstanceId("b"), {}, start);
    CHECK(site.board.hasLoadSums(aggregators, start));
    CHECK_FALSE(site.board.hasLoadSums(aggregators, start + 3s));
}
