/// @file
/// Control traffic between daemons, by role, at sites of several sizes: sizes of encoded messages times their rates.

#include <cstdio>
#include <string>

#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/load_keepers.h"

using namespace goldcrestwood;

namespace {

/// Message rates of src/edge/peer_link.cc.
constexpr double reportsPerSecond = 4;
constexpr double meshReportsPerSecond = 5;
constexpr double heartbeatsPerSecond = 1;
constexpr double meshHeartbeatsPerSecond = 2.5;
/// Upstreams that a busy daemon uses, and that all daemons together use.
constexpr std::size_t ownUpstreams = 40;
constexpr std::size_t usedUpstreams = 160;

std::string makeName(std::size_t number)
{
    return "edge-failure-domain-" + std::to_string(number);
}

EdgeHeartbeat makeHeartbeat()
{
    EdgeHeartbeat message;
    message.instance = InstanceId(makeName(1));
    message.incarnation = 1796376802512000;
    message.sequence = 1000;
    message.domain = FailureDomain("failure-domain");
    message.frontAddress = message.peerAddress = "10.1.0.40:8005";
    message.operatorEnd = message.registryEnd = 100000;
    message.peers.assign(12, message.peerAddress);
    message.weights.push_back({ "model", 2, 4000, 0 });
    return message;
}

UpstreamId makeUpstreamId(std::size_t number)
{
    return UpstreamId("i-7f3a91" + std::to_string(1000 + number));
}

void printSite(std::size_t daemons)
{
    const bool isMesh = followsEngines(daemons);
    std::vector<DaemonCapacity> capacities;
    std::vector<InstanceId> instances;
    for (std::size_t number = 0; number < daemons; ++number) {
        capacities.push_back({ InstanceId(makeName(number)), number % 20 == 0 ? 0.5 : 0.12 });
        instances.push_back(capacities.back().instance);
    }
    const LoadAggregators aggregators(isMesh ? instances : feedReaders(capacities), isMesh);
    LoadReport report;
    for (std::size_t number = 0; number < ownUpstreams; ++number) {
        report.uses.push_back({ makeUpstreamId(number), 3, 15000, { 0, 0, 0, 9000, 0, 0, 0, 0, 0, 0 }, { { 0x87654321U, 2500 }, { 0x12345678U, 5000 } } });
        report.upstreams.push_back({ makeUpstreamId(number), 1, 0 });
    }
    double reportBytes = 0;
    double digestBytes = 0;
    for (const auto& [aggregator, part] : aggregators.split(InstanceId("somebody"), report)) {
        reportBytes += static_cast<double>(encode(PeerDatagram { std::nullopt, part, std::nullopt, std::nullopt, std::nullopt, std::nullopt }).size());
        LoadDigest digest { aggregator, {}, {}, {} };
        for (std::size_t number = 0; number < usedUpstreams; ++number)
            if (aggregators.aggregates(aggregator, makeUpstreamId(number).value))
                digest.loads.push_back({ makeUpstreamId(number), 9, 70000, { 0, 0, 0, 20000, 0, 0, 0, 0, 0, 0 }, 0.01 });
        digestBytes += static_cast<double>(encode(PeerDatagram { std::nullopt, std::nullopt, digest, std::nullopt, std::nullopt, std::nullopt }).size());
    }
    const auto heartbeat = static_cast<double>(encode(PeerDatagram { makeHeartbeat(), std::nullopt, std::nullopt, std::nullopt, std::nullopt, std::nullopt }).size());
    const auto peerCount = static_cast<double>(isMesh ? daemons - 1 : aggregators.all().size() + 1);
    const auto idle = heartbeat * peerCount * (isMesh ? meshHeartbeatsPerSecond : heartbeatsPerSecond);
    const auto busy = idle + reportBytes * (isMesh ? meshReportsPerSecond : reportsPerSecond);
    const auto received = isMesh ? busy : idle + digestBytes * reportsPerSecond;
    std::printf("daemons %4zu  idle daemon sends %8.0f bytes/s  busy one sends %8.0f and hears %8.0f bytes/s\n", daemons, idle, busy, received);
}

} // namespace

int main()
{
    for (const std::size_t daemons : { 7U, 79U, 295U, 340U })
        printSite(daemons);
}
