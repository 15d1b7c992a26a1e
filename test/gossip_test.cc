/// @file
/// Spread of cells and latches with lost, delayed, duplicated and reordered messages, and the byte budget.

#include <catch2/catch.hpp>

#include "peers_loopback.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

bool holdsLatch(const PeersLoopback& site, std::size_t index, Topic topic)
{
    return !site.nodes[index].peers->gossip().latches(topic, site.now).empty();
}

bool allHoldLatch(const PeersLoopback& site, Topic topic)
{
    for (std::size_t i = 0; i < site.nodes.size(); ++i) {
        if (site.nodes[i].peers && !holdsLatch(site, i, topic))
            return false;
    }
    return true;
}

/// @return Owner, key and payload of each cell that the daemon holds.
std::vector<std::string> cellsOf(const PeersLoopback& site, std::size_t index, Topic topic)
{
    std::vector<std::string> found;
    for (const auto& entry : site.nodes[index].peers->gossip().cells(topic))
        found.push_back(entry.owner.value + "/" + entry.cell.key + "=" + entry.cell.payload);
    return found;
}

bool allEqual(const PeersLoopback& site, Topic topic)
{
    for (std::size_t i = 1; i < site.nodes.size(); ++i) {
        if (cellsOf(site, i, topic) != cellsOf(site, 0, topic))
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("a latch reaches each daemon within four seconds, even with message loss and across regions")
{
    const auto seed = GENERATE(range(1U, 4U));
    const auto loss = GENERATE(0.0, 0.1, 0.3);
    const auto daemons = GENERATE(std::size_t { 7 }, std::size_t { 70 });
    INFO("seed " << seed << " loss " << loss << " daemons " << daemons);
    PeersLoopback site(daemons, daemons == 7 ? 1 : 2, seed);
    site.run(5s);
    site.faults = { loss, 0.05, 50ms };
    site.nodes[2].peers->gossip().set(Topic::VersionTakeBack, "model/v2", "slow", site.now);
    CHECK(site.runUntil([&] { return allHoldLatch(site, Topic::VersionTakeBack); }, 4s));
}

TEST_CASE("a latch outlives the daemon that set it, and its retirement overrides late copies")
{
    PeersLoopback site(7, 1, 5);
    site.run(5s);
    site.nodes[0].side = 1;
    site.nodes[1].side = 1;
    site.nodes[0].peers->gossip().set(Topic::DomainOut, "thu-duc@7", "out", site.now);
    site.run(2s);
    site.stop(0);
    site.run(60s);
    CHECK(holdsLatch(site, 1, Topic::DomainOut));
    CHECK_FALSE(holdsLatch(site, 2, Topic::DomainOut));
    site.nodes[1].side = 0;
    CHECK(site.runUntil([&] { return allHoldLatch(site, Topic::DomainOut); }, 10s));

    site.nodes[1].side = 1;
    site.nodes[4].peers->gossip().retire(Topic::DomainOut, "thu-duc@7", site.now);
    site.run(5s);
    CHECK_FALSE(holdsLatch(site, 2, Topic::DomainOut));
    site.nodes[1].side = 0;
    site.run(30s);
    for (std::size_t i = 1; i < site.nodes.size(); ++i)
        CHECK_FALSE(holdsLatch(site, i, Topic::DomainOut));
}

TEST_CASE("cells converge after any interleaving of writes, losses, delays and restarts")
{
    const auto seed = GENERATE(range(1U, 9U));
    INFO("seed " << seed);
    PeersLoopback site(GENERATE(std::size_t { 7 }, std::size_t { 20 }), 1, seed);
    site.faults = { 0.25, 0.2, 1500ms };
    const auto topics = { Topic::ConfigRevision, Topic::RolloutEvidence, Topic::UpstreamLoad };
    for (int i = 0; i < 150; ++i) {
        auto& gossip = site.nodes[site.random() % site.nodes.size()].peers->gossip();
        const auto topic = *(topics.begin() + static_cast<std::ptrdiff_t>(site.random() % topics.size()));
        const auto key = std::to_string(site.random() % 4);
        if (uniform(site.random) < 0.2)
            gossip.remove(topic, key, site.now);
        else
            gossip.set(topic, key, std::to_string(i), site.now);
        if (i % 50 == 49)
            site.restart(site.random() % site.nodes.size());
        site.run(200ms);
    }
    site.faults = {};
    for (const auto topic : topics) {
        CHECK(site.runUntil([&] { return allEqual(site, topic); }, 30s));
        CHECK_FALSE(cellsOf(site, 0, topic).empty());
    }
}

TEST_CASE("a message stays within its budget, reports what it dropped and sends control cells first")
{
    GossipSettings settings;
    settings.exchangeBudget = 600;
    const TimePoint start(1h);
    Random random(1);
    Gossip full(settings, InstanceId("full"), 1, Region("r"), start);
    Gossip empty(settings, InstanceId("empty"), 1, Region("r"), start);
    for (int i = 0; i < 40; ++i) {
        full.set(Topic::UpstreamLoad, "load" + std::to_string(i), std::string(30, 'l'), start);
        full.set(Topic::ConfigRevision, "revision" + std::to_string(i % 5), std::to_string(i), start);
    }
    empty.setPeers({ { InstanceId("full"), "a", Region("r") } });
    auto now = start;
    std::size_t rounds = 0;
    while (empty.cells(Topic::UpstreamLoad).size() < 40) {
        REQUIRE(++rounds < 40);
        now += 1200ms;
        full.poll(now, random);
        for (const auto& out : empty.poll(now, random)) {
            const auto answer = full.onMessage(out.message, now).reply;
            REQUIRE(answer);
            CHECK(encode(*answer).size() < 900);
            if (rounds == 1)
                CHECK_FALSE(answer->dropped.empty());
            empty.onMessage(*answer, now);
        }
        CHECK(empty.cells(Topic::ConfigRevision).size() == 5);
    }
    CHECK(rounds > 2);
    CHECK(full.counters().droppedCells > 0);
}

TEST_CASE("cells of a dead daemon expire everywhere, and return when it does")
{
    PeersLoopback site(7, 1, 9);
    site.run(5s);
    site.nodes[0].peers->gossip().set(Topic::RolloutEvidence, "v2", "bad", site.now);
    site.run(5s);
    CHECK(cellsOf(site, 3, Topic::RolloutEvidence).size() == 1);
    site.nodes[0].side = 1;
    site.run(60s);
    for (std::size_t i = 1; i < 7; ++i)
        CHECK(cellsOf(site, i, Topic::RolloutEvidence).empty());
    site.nodes[0].side = 0;
    CHECK(site.runUntil([&] { return allEqual(site, Topic::RolloutEvidence); }, 30s));
    CHECK(cellsOf(site, 3, Topic::RolloutEvidence).size() == 1);
}

TEST_CASE("only summaries and latches cross regions, and a partitioned region catches up")
{
    PeersLoopback site(8, 2, 13);
    for (std::size_t i = 0; i < site.nodes.size(); ++i)
        site.nodes[i].side = static_cast<int>(i % 2);
    site.run(10s);
    auto& gossip = site.nodes[0].peers->gossip();
    gossip.set(Topic::UpstreamLoad, "u", "1", site.now);
    gossip.set(Topic::RegionSummary, "endpoints", "2", site.now);
    gossip.set(Topic::DomainOut, "d@1", "3", site.now);
    site.run(10s);
    CHECK(cellsOf(site, 2, Topic::RegionSummary).size() == 1);
    CHECK_FALSE(holdsLatch(site, 1, Topic::DomainOut));
    for (auto& node : site.nodes)
        node.side = 0;
    site.run(15s);
    for (std::size_t i = 0; i < site.nodes.size(); ++i) {
        CHECK(cellsOf(site, i, Topic::RegionSummary).size() == 1);
        CHECK(cellsOf(site, i, Topic::UpstreamLoad).size() == (i % 2 == 0 ? 1 : 0));
        CHECK(holdsLatch(site, i, Topic::DomainOut));
    }
}

TEST_CASE("a summary whose writer is gone expires in the other region")
{
    PeersLoopback site(8, 2, 19);
    site.run(5s);
    for (int i = 0; i < 12; ++i) {
        site.nodes[0].peers->gossip().set(Topic::RegionSummary, "endpoints", "2", site.now);
        site.run(10s);
    }
    CHECK(cellsOf(site, 3, Topic::RegionSummary).size() == 1);
    site.stop(0);
    site.run(150s);
    CHECK(cellsOf(site, 3, Topic::RegionSummary).empty());
}

TEST_CASE("notes reach only their addressee, and only the latest of each key")
{
    PeersLoopback site(12, 1, 17);
    std::vector<std::pair<std::size_t, GossipNote>> seen;
    site.hook = [&](std::size_t node, const PeersOutput& output) {
        for (const auto& note : output.notes)
            seen.emplace_back(node, note);
    };
    site.run(5s);
    auto& gossip = site.nodes[1].peers->gossip();
    gossip.post(site.nodes[9].id, Topic::PermitDemand, "u1", "3");
    gossip.post(site.nodes[9].id, Topic::PermitDemand, "u1", "5");
    site.run(1s);
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].first == 9);
    CHECK(seen[0].second == GossipNote { Topic::PermitDemand, "u1", "5" });
}
