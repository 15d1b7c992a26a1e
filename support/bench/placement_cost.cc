/// @file
/// Cost of placement and routing decisions and of load reports, over the number of upstreams and routes.

#include <chrono>
#include <cstdio>
#include <string>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/upstream_board.h"

namespace {

using namespace goldcrestwood;

constexpr int rounds = 2000;

PlacementRequest makeRequest(int number)
{
    PlacementRequest request;
    request.service = ServiceName("model");
    request.sharingGroup = "all";
    request.parts = { { "common", 500 }, { "subject" + std::to_string(number % 300), 8000 }, { "own" + std::to_string(number), 2000 } };
    request.promptTokens = 10500;
    request.outputTokens = 400;
    request.model = "m";
    return request;
}

template <typename Work>
double microseconds(int count, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < count; ++round)
        work(round);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / count;
}

void measurePlacement(int upstreams)
{
    TrafficConfiguration configuration;
    configuration.services.push_back({ ServiceName("model"), "", 360, 0, EngineLimits { 64, 100000, 300000, 700000 }, std::nullopt });
    PartDirectory parts;
    UpstreamBoard board(InstanceId("self"), {}, parts);
    board.setServices(RouteTable(configuration));
    const TimePoint now { std::chrono::seconds(100) };
    for (int number = 0; number < upstreams; ++number) {
        RegistryEntry entry;
        entry.id = UpstreamId("i-" + std::to_string(number));
        entry.service = ServiceName("model");
        entry.address = "10.0.0.1:" + std::to_string(number);
        entry.slots = 64;
        entry.weights["m"] = 1;
        board.setUpstream(entry, now);
    }
    const int count = std::max(20, rounds / upstreams);
    const auto cost = microseconds(count, [&](int round) {
        PlacementRefusal refusal {};
        const auto request = makeRequest(round);
        if (const auto choice = board.choose(request, {}, now, refusal)) {
            board.begin(*choice, request, now);
            board.finish(*choice, request, true, AttemptResult::Answered, now);
        }
    });
    std::printf("placement  upstreams %5d  %9.1f us\n", upstreams, cost);
}

void measureReport(int upstreams)
{
    LoadReport message;
    message.instance = InstanceId("edge-bayanzurkh-1");
    for (int number = 0; number < upstreams; ++number)
        message.uses.push_back({ UpstreamId("i-7f3a91c2" + std::to_string(number)), 3, 24000, { 0, 0, 0, 9000, 0, 0, 0, 0, 0, 0 }, {} });
    const auto bytes = encode(message).size();
    const auto cost = microseconds(rounds, [&](int) { static_cast<void>(decode<LoadReport>(encode(message))); });
    std::printf("report     upstreams in use %4d  %6zu bytes  %7.1f us to encode and decode\n", upstreams, bytes, cost);
}

void measureRouting(int routes)
{
    TrafficConfiguration configuration;
    for (int number = 0; number < routes; ++number) {
        TrafficRoute route;
        route.host = "site.example";
        route.pathPrefix = "/route" + std::to_string(number) + "/";
        configuration.routes.push_back(route);
    }
    const RouteTable table(configuration);
    const auto cost = microseconds(rounds, [&](int round) { static_cast<void>(table.find("site.example", "/route" + std::to_string(round % routes) + "/x")); });
    std::printf("routing    routes %5d  %9.2f us\n", routes, cost);
}

} // namespace

int main()
{
    for (const int upstreams : { 9, 100, 1000, 4500 })
        measurePlacement(upstreams);
    for (const int upstreams : { 12, 40, 200 })
        measureReport(upstreams);
    for (const int routes : { 10, 400, 4000 })
        measureRouting(routes);
    return 0;
}
