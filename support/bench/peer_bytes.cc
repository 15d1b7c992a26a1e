/// Bytes between daemons for control, by role, at sites of several sizes: encoded messages times their rates.

#include <cstdio>
#include <string>

#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/load_keepers.h"

using namespace goldcrestwood;

namespace {

/// Rates of the shell (src/edge/peer_link.cc), a second.
constexpr double reportsPerSecond = 4;
constexpr double meshReportsPerSecond = 5;
constexpr double heartbeatsPerSecond = 1;
constexpr double meshHeartbeatsPerSecond = 2.5;
/// Upstreams at which a busy daemon has work, and at which all of them together have.
constexpr std::size_t ownUpstreams = 40;
constexpr std::size_t usedUpstreams = 160;

std::string nameOf(std::size_t number)
{
    return "edge-failure-domain-" + std::to_string(number);
}

EdgeHeartbeat heartbeatOf()
{
    EdgeHeartbeat message;
    message.instance = InstanceId(nameOf(1));
    message.incarnation = 1796376802512000;
    message.sequence = 1000;
    message.domain = FailureDomain("failure-domain");
    message.frontAddress = message.peerAddress = "10.1.0.40:8005";
    message.operatorEnd = message.registryEnd = 100000;
    message.peers.assign(12, message.peerAddress);
    message.weights.push_back({ "model", 2, 4000 });
    return message;
}

UpstreamId upstreamOf(std::size_t number)
{
    return UpstreamId("i-7f3a91" + std::to_string(1000 + number));
}

void site(std::size_t daemons)
{
    const bool isMesh = followsEngines(daemons);
    std::vector<DaemonCapacity> all;
    std::vector<InstanceId> names;
    for (std::size_t number = 0; number < daemons; ++number) {
        all.push_back({ InstanceId(nameOf(number)), number % 20 == 0 ? 0.5 : 0.12 });
        names.push_back(all.back().instance);
    }
    const LoadKeepers keepers(isMesh ? names : feedReaders(all), isMesh);
    LoadReport report;
    for (std::size_t number = 0; number < ownUpstreams; ++number) {
        report.uses.push_back({ upstreamOf(number), 3, 15000, { 0, 0, 0, 9000, 0, 0, 0, 0, 0, 0 }, { { 0x87654321U, 2500 }, { 0x12345678U, 5000 } } });
        report.upstreams.push_back({ upstreamOf(number), 1, 0 });
    }
    double reported = 0;
    double digested = 0;
    for (const auto& [keeper, part] : keepers.split(InstanceId("somebody"), report)) {
        reported += static_cast<double>(encode(PeerDatagram { std::nullopt, part, std::nullopt }).size());
        LoadDigest digest { keeper, {}, {} };
        for (std::size_t number = 0; number < usedUpstreams; ++number)
            if (keepers.keeps(keeper, upstreamOf(number).value))
                digest.loads.push_back({ upstreamOf(number), 9, 70000, { 0, 0, 0, 20000, 0, 0, 0, 0, 0, 0 }, 0.01 });
        digested += static_cast<double>(encode(PeerDatagram { std::nullopt, std::nullopt, digest }).size());
    }
    const auto heartbeat = static_cast<double>(encode(PeerDatagram { heartbeatOf(), std::nullopt, std::nullopt }).size());
    const auto others = static_cast<double>(isMesh ? daemons - 1 : keepers.all().size() + 1);
    const auto idle = heartbeat * others * (isMesh ? meshHeartbeatsPerSecond : heartbeatsPerSecond);
    const auto busy = idle + reported * (isMesh ? meshReportsPerSecond : reportsPerSecond);
    const auto heard = isMesh ? busy : idle + digested * reportsPerSecond;
    std::printf("daemons %4zu  idle daemon sends %8.0f bytes/s  busy one sends %8.0f and hears %8.0f bytes/s\n", daemons, idle, busy, heard);
}

} // namespace

int main()
{
    for (const std::size_t daemons : { 7U, 79U, 295U, 340U })
        site(daemons);
}
