/// @file
/// Failure domains that operators drain and return to service, also during a log outage.

#include <catch2/catch.hpp>

#include "goldcrestwood/domains.h"
#include "goldcrestwood/isolation.h"
#include "peers_loopback.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const FailureDomain thuDuc("thu-duc");
const UpstreamId upstream("kiln-voice-1");
constexpr TimePoint start = TimePoint(1h);

RecordedDomainState record(DomainState state, std::uint64_t offset, const std::string& orderId = {})
{
    return { thuDuc, state, offset, orderId };
}

/// A daemon's gate and its inputs; a flag says whether the log can be read.
struct GatedDaemon {
    DomainGate gate { {} };
    Isolation isolation { {}, start };
    bool logWorks = true;
};

} // namespace

TEST_CASE("out overrides in until the order is recorded, whichever arrives first")
{
    const ProvisionalOut order { "order-1", thuDuc, {} };
    DomainGate gate({});
    CHECK(gate.onRecorded(record(DomainState::In, 5), start).empty());
    CHECK(gate.onProvisional(order, start) == std::vector { DomainChange { thuDuc, WorkGate::DomainOutProvisional } });
    CHECK(gate.onProvisional(order, start).empty());
    gate.onRecorded(record(DomainState::In, 6), start);
    CHECK(gate.domainGate(thuDuc) == WorkGate::DomainOutProvisional);
    CHECK(gate.unrecordedOrders().size() == 1);
    gate.onRecorded(record(DomainState::Out, 7, "order-1"), start);
    CHECK(gate.domainGate(thuDuc) == WorkGate::DomainOut);
    CHECK(gate.unrecordedOrders().empty());
    gate.onRecorded(record(DomainState::In, 8), start);
    CHECK(gate.domainGate(thuDuc) == WorkGate::Open);
    gate.onProvisional(order, start);
    CHECK(gate.domainGate(thuDuc) == WorkGate::Open);
    gate.onRecorded(record(DomainState::Out, 7, "order-1"), start);
    CHECK(gate.domainGate(thuDuc) == WorkGate::Open);
}

TEST_CASE("recording one order does not end another provisional order")
{
    DomainGate gate({});
    gate.onProvisional({ "order-1", thuDuc, {} }, start);
    gate.onProvisional({ "order-2", thuDuc, {} }, start);
    gate.onRecorded(record(DomainState::Out, 7, "order-1"), start);
    gate.onRecorded(record(DomainState::In, 8), start);
    CHECK(gate.domainGate(thuDuc) == WorkGate::DomainOutProvisional);
    gate.onOrderSettled("order-2", start);
    CHECK(gate.domainGate(thuDuc) == WorkGate::Open);
}

TEST_CASE("a leaving upstream gets no new work, by record or by provisional order")
{
    DomainGate gate({});
    gate.onProvisional({ "order-1", {}, upstream }, start);
    CHECK(gate.upstreamGate(upstream, thuDuc) == WorkGate::UpstreamLeaving);
    CHECK(gate.upstreamGate(UpstreamId("other"), thuDuc) == WorkGate::Open);
    CHECK(gate.domainGate({}) == WorkGate::Open);
    gate.onUpstreamLeaving(upstream, true);
    gate.onOrderSettled("order-1", start);
    CHECK(gate.upstreamGate(upstream, thuDuc) == WorkGate::UpstreamLeaving);
    gate.onUpstreamLeaving(upstream, false);
    CHECK(gate.upstreamGate(upstream, thuDuc) == WorkGate::Open);
}

TEST_CASE("a returning domain gets a rising share, which is halved after failures")
{
    DomainGate gate({});
    gate.onRecorded(record(DomainState::In, 1), start);
    CHECK(gate.rampShare(thuDuc, start) == 1);
    gate.onRecorded(record(DomainState::Out, 2), start);
    gate.onRecorded(record(DomainState::In, 3), start);
    CHECK(gate.rampShare(thuDuc, start) == Approx(0.1));
    CHECK(gate.rampShare(thuDuc, start + 25s) == Approx(0.4));
    gate.onFailures(thuDuc, start + 25s);
    CHECK(gate.rampShare(thuDuc, start + 30s) == Approx(0.2));
    CHECK(gate.rampShare(thuDuc, start + 60s) == 1);
    CHECK(gate.rampShare(FailureDomain("unknown"), start) == 1);
}

TEST_CASE("excess demand is shed from the lowest priority up")
{
    const PriorityRates demand { 30, 50, 20 };
    CHECK(admissionShares(demand, 200) == PriorityRates { 1, 1, 1 });
    CHECK(admissionShares(demand, 90) == PriorityRates { 1, 1, 0.5 });
    CHECK(admissionShares(demand, 55) == PriorityRates { 1, 0.5, 0 });
    CHECK(admissionShares(demand, 15) == PriorityRates { 0.5, 0, 0 });
    CHECK(admissionShares(demand, -1) == PriorityRates { 0, 0, 0 });
}

TEST_CASE("during a log outage a drain order stops new work on all daemons within seconds, also on a partitioned one")
{
    const auto seed = GENERATE(range(1U, 9U));
    INFO("seed " << seed);
    constexpr std::size_t partitioned = 6;
    PeersLoopback site(7, 1, seed);
    site.faults = { 0.1, 0.05, 50ms };
    std::vector<GatedDaemon> daemons(7);
    site.hook = [&](std::size_t node, const PeersOutput& output) {
        auto& daemon = daemons[node];
        for (const auto& latch : output.latches)
            daemon.gate.onProvisional({ latch.key, FailureDomain(latch.payload), {} }, site.now);
        if (daemon.logWorks)
            daemon.isolation.onLogRead(site.now);
        daemon.gate.setIsolated(
            daemon.isolation.poll(site.nodes[node].peers->membership().contact(site.now), site.now));
    };
    site.run(10s);
    for (auto& daemon : daemons)
        CHECK(daemon.gate.domainGate(thuDuc) == WorkGate::Open);

    for (auto& daemon : daemons)
        daemon.logWorks = false;
    site.nodes[partitioned].side = 1;
    site.nodes[1].peers->gossip().set(Topic::DomainOut, "order-1", thuDuc.value, site.now);
    daemons[1].gate.onProvisional({ "order-1", thuDuc, {} }, site.now);
    const auto closed = [&] {
        return std::all_of(daemons.begin(), daemons.end(),
            [](const GatedDaemon& daemon) { return daemon.gate.domainGate(thuDuc) != WorkGate::Open; });
    };
    CHECK(site.runUntil(closed, 10s));
    CHECK(daemons[partitioned].gate.domainGate(FailureDomain("nha-be")) == WorkGate::Isolated);
    CHECK(daemons[0].gate.domainGate(FailureDomain("nha-be")) == WorkGate::Open);
    site.run(30s);
    CHECK(closed());
    site.nodes[partitioned].side = 0;
    site.run(10s);
    CHECK(daemons[partitioned].gate.domainGate(thuDuc) == WorkGate::DomainOutProvisional);
    CHECK(daemons[partitioned].gate.domainGate(FailureDomain("nha-be")) == WorkGate::Open);
}
