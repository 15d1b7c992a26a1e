/// @file
/// Cost of membership and gossip for 7, 70 and 340 daemons, propagation time of latches, and cost of ownership changes.

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

#include "../../test/peers_loopback.h"
#include "goldcrestwood/hash.h"
#include "goldcrestwood/ownership.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

constexpr double budgetBytesPerSecond = 9000;
constexpr Duration settleTime = 20s;
constexpr Duration measuredTime = 40s;

struct Shape {
    std::size_t daemons;
    std::size_t regions;
};

constexpr Shape shapes[] = { { 7, 1 }, { 70, 1 }, { 340, 4 }, { 340, 1 } };

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t pages = 0;
    file >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Writes cells at the rates of steady use: load sums and the evidence of one rollout every 5 s (gossip defers
/// them if the writes of all owners would exceed the budget), a new revision every 19 s, and four messages
/// per second.
void writeCells(PeersLoopback& site, std::size_t second)
{
    for (std::size_t i = 0; i < site.nodes.size(); ++i) {
        auto& gossip = site.nodes[i].peers->gossip();
        const auto writtenAt = std::chrono::duration_cast<std::chrono::milliseconds>(site.now.time_since_epoch()).count();
        if ((second + i) % 5 == 0) {
            gossip.set(Topic::DaemonLoad, {}, encode(DaemonLoadInfo { uniform(site.random) }), site.now);
            for (int sum = 0; sum < 2; ++sum) {
                const auto payload = std::to_string(writtenAt) + std::string(12, '\0');
                gossip.set(Topic::UpstreamLoad, "s" + std::to_string(sum), payload, site.now);
            }
            gossip.set(Topic::RolloutEvidence, "model/v2", std::string(32, '\0') + std::to_string(second), site.now);
        }
        if (second % 19 == i % 3)
            gossip.set(Topic::ConfigRevision, {}, std::to_string(second), site.now);
        for (int message = 0; message < 4; ++message) {
            const auto& peer = site.nodes[site.random() % site.nodes.size()];
            if (peer.info.region == site.nodes[i].info.region && peer.id != site.nodes[i].id)
                gossip.post(peer.id, Topic::PermitDemand, "upstream-17", "12");
        }
    }
}

/// @return Mean and maximum age in seconds of the load sums that one daemon holds.
std::pair<double, double> loadAges(const PeersLoopback& site)
{
    double sum = 0;
    double worst = 0;
    const auto cells = site.nodes[0].peers->gossip().cells(Topic::UpstreamLoad);
    for (const auto& entry : cells) {
        const auto age = toSeconds(site.now.time_since_epoch()) - std::stod(entry.cell.payload) / 1000;
        sum += age;
        worst = std::max(worst, age);
    }
    return { cells.empty() ? 0 : sum / static_cast<double>(cells.size()), worst };
}

void measureTraffic(const Shape& shape, bool busy)
{
    const auto before = residentBytes();
    PeersLoopback site(shape.daemons, shape.regions, 42);
    site.run(settleTime);
    std::uint64_t bytes = 0;
    for (auto& node : site.nodes)
        node.sentBytes = 0;
    const auto cpuBefore = cpuSeconds();
    for (std::size_t second = 0; second < 40; ++second) {
        if (busy)
            writeCells(site, second);
        site.run(1s);
    }
    const auto cpu = cpuSeconds() - cpuBefore;
    std::uint64_t worst = 0;
    for (const auto& node : site.nodes) {
        bytes += node.sentBytes;
        worst = std::max(worst, node.sentBytes);
    }
    const auto seconds = toSeconds(measuredTime);
    const auto perDaemon = static_cast<double>(bytes) / static_cast<double>(shape.daemons) / seconds;
    const auto [age, oldest] = loadAges(site);
    const auto dropped = site.nodes[0].peers->gossip().counters().droppedCells;
    std::printf("%8zu %8zu %6s %10.0f %10.0f %9.0f%% %10.3f %10zu %12.0f %9lu %8.1f %8.1f\n", shape.daemons, shape.regions,
        busy ? "busy" : "idle", perDaemon, static_cast<double>(worst) / seconds,
        200 * perDaemon / budgetBytesPerSecond, 100 * cpu / seconds / static_cast<double>(shape.daemons),
        site.nodes[0].peers->gossip().memoryBytes() / 1024,
        static_cast<double>(residentBytes() - before) / 1024 / static_cast<double>(shape.daemons), dropped, age, oldest);
}

/// @return Seconds until a latch has reached the last daemon.
double measureLatch(const Shape& shape, double loss, std::uint64_t seed)
{
    PeersLoopback site(shape.daemons, shape.regions, seed);
    site.run(10s);
    site.faults.loss = loss;
    site.nodes[1].peers->gossip().set(Topic::VersionTakeBack, "model/v2", "errors", site.now);
    const auto reached = site.runUntil(
        [&] {
            return std::all_of(site.nodes.begin(), site.nodes.end(), [&](const LoopbackNode& node) {
                return !node.peers->gossip().latches(Topic::VersionTakeBack, site.now).empty();
            });
        },
        60s);
    return reached ? toSeconds(*reached) : -1;
}

void measureOwnership(std::size_t daemons, std::size_t resourceCount)
{
    Ownership ownership({}, InstanceId("daemon-0"));
    std::vector<OwnedResource> resources;
    for (std::size_t i = 0; i < resourceCount; ++i)
        resources.push_back({ stableHash("upstream-" + std::to_string(i)), Region("r"),
            FailureDomain("domain-" + std::to_string(i % 4)) });
    ownership.setResources(resources);
    const auto daemon = [](std::size_t i) {
        return OwnerCandidate { InstanceId("daemon-" + std::to_string(i)),
            FailureDomain("domain-" + std::to_string(i % 4)), Region("r") };
    };
    TimePoint now(1h);
    for (std::size_t i = 0; i < daemons; ++i)
        ownership.onMember(daemon(i), true, now);
    ownership.poll(now += 5s);
    constexpr int rounds = 50;
    double lossSeconds = 0;
    double gainSeconds = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto candidate = daemon(1 + static_cast<std::size_t>(i) % std::max<std::size_t>(daemons - 1, 1));
        auto start = cpuSeconds();
        ownership.onMember(candidate, false, now);
        lossSeconds += cpuSeconds() - start;
        ownership.onMember(candidate, true, now);
        start = cpuSeconds();
        ownership.poll(now += 5s);
        gainSeconds += cpuSeconds() - start;
    }
    const auto start = cpuSeconds();
    for (const auto& resource : resources)
        ownership.rank(resource);
    const auto full = cpuSeconds() - start;
    std::printf("%8zu %8zu %12.1f %12.1f %14.1f\n", daemons, resourceCount, 1e6 * lossSeconds / rounds, 1e6 * gainSeconds / rounds,
        1e6 * full);
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("traffic, %.0f s after %.0f s; loopback messages as encoded, without TCP and IP headers\n",
        toSeconds(measuredTime), toSeconds(settleTime));
    std::printf("%8s %8s %6s %10s %10s %10s %10s %10s %12s %9s %8s %8s\n", "daemons", "regions", "load", "sent B/s",
        "most B/s", "of budget", "core %", "state KiB", "resident KiB", "dropped", "age s", "oldest s");
    for (const auto& shape : shapes) {
        measureTraffic(shape, false);
        measureTraffic(shape, true);
    }
    std::printf("\nseconds until a latch has reached all (mean and worst of 3 seeds; a round is 1 s, a tick 0.1 s)\n");
    std::printf("%8s %8s %8s %8s %8s\n", "daemons", "regions", "loss", "mean", "worst");
    for (const auto& shape : shapes) {
        for (const double loss : { 0.0, 0.1, 0.3 }) {
            double sum = 0;
            double worst = 0;
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                const auto seconds = measureLatch(shape, loss, seed);
                sum += seconds;
                worst = std::max(worst, seconds);
            }
            std::printf("%8zu %8zu %8.1f %8.2f %8.2f\n", shape.daemons, shape.regions, loss, sum / 3, worst);
        }
    }
    std::printf("\nownership, microseconds: one daemon lost, one gained, and a full ranking of all for comparison\n");
    std::printf("%8s %8s %12s %12s %14s\n", "daemons", "things", "lost", "gained", "full ranking");
    for (const std::size_t daemons : { 7, 85, 340 }) {
        for (const std::size_t resourceCount : { 100, 1000, 4500 })
            measureOwnership(daemons, resourceCount);
    }
    return 0;
}
