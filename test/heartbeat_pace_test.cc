#include <catch2/catch.hpp>

#include <map>
#include <vector>

#include "goldcrestwood/daemon_view.h"
#include "goldcrestwood/heartbeat_pace.h"
#include "goldcrestwood/peer_addresses.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
constexpr std::size_t daemons = 7;
constexpr Duration delay = 2ms;

struct Daemon {
    InstanceId name;
    TimePoint started;
    TimePoint lastHeartbeat;
    std::uint64_t sequence = 0;
    DaemonView view;
    PeerAddresses addresses { std::vector<std::string> { "d0", "d1", "d2" } };
};

struct Datagram {
    std::size_t to = 0;
    EdgeHeartbeat heartbeat;
};

/// @return Time from the last start until all daemons know each other, simulated without message loss.
Duration discoveryTime(const HeartbeatPace& pace, bool requestsReply)
{
    std::vector<Daemon> site(daemons);
    for (std::size_t number = 0; number < daemons; ++number) {
        site[number].name = InstanceId("d" + std::to_string(number));
        site[number].started = start + std::chrono::milliseconds(number * 53 % 400);
    }
    const auto lastStart = start + 371ms;
    std::multimap<TimePoint, Datagram> network;
    const auto heartbeatOf = [&](Daemon& daemon, TimePoint now, bool wantsReply) {
        EdgeHeartbeat message;
        message.instance = daemon.name;
        message.incarnation = 1;
        message.sequence = ++daemon.sequence;
        message.intervalMs = 400;
        message.peerAddress = daemon.name.value;
        message.wantsReply = wantsReply;
        for (const auto* report : daemon.view.live(now))
            message.peers.push_back(report->heartbeat.peerAddress);
        return message;
    };
    const auto indexOf = [](const std::string& address) { return static_cast<std::size_t>(std::stoi(address.substr(1))); };
    for (auto now = start; now < start + 10s; now += 1ms) {
        for (; !network.empty() && network.begin()->first <= now; network.erase(network.begin())) {
            const auto& [to, message] = network.begin()->second;
            auto& daemon = site[to];
            if (now < daemon.started || message.instance == daemon.name || !daemon.view.onHeartbeat(message, now))
                continue;
            daemon.addresses.onHeard(message.peerAddress, now);
            for (const auto& address : message.peers)
                daemon.addresses.onHeard(address, now);
            if (message.wantsReply)
                network.emplace(now + delay, Datagram { indexOf(message.peerAddress), heartbeatOf(daemon, now, false) });
        }
        bool knowsAll = true;
        for (auto& daemon : site) {
            knowsAll = knowsAll && now >= daemon.started && daemon.view.known() == daemons - 1;
            if (now < daemon.started || now - daemon.lastHeartbeat < pace.interval(true, now - daemon.started))
                continue;
            daemon.lastHeartbeat = now;
            const auto message = heartbeatOf(daemon, now, requestsReply);
            for (const auto& address : daemon.addresses.all())
                if (address != daemon.name.value)
                    network.emplace(now + delay, Datagram { indexOf(address), message });
        }
        if (knowsAll)
            return now - lastStart;
    }
    return 10s;
}

} // namespace

TEST_CASE("daemons that start together know each other before their first requests are answered")
{
    CHECK(discoveryTime(HeartbeatPace {}, true) <= 150ms);
    // At the regular interval and without requested replies it takes longer than callers wait.
    CHECK(discoveryTime(HeartbeatPace { .start = 400ms }, false) > 300ms);
}

TEST_CASE("a daemon that knows its site sends heartbeats at the longer interval")
{
    const HeartbeatPace pace;
    CHECK(pace.interval(true, 0ms) == 100ms);
    CHECK(pace.interval(true, 1s) == 400ms);
    CHECK(pace.interval(false, 0ms) == 1s);
}
