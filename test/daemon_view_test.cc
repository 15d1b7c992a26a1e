#include <catch2/catch.hpp>

#include <set>

#include "goldcrestwood/daemon_view.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

EdgeHeartbeat beat(const char* instance, const char* domain, std::uint64_t incarnation, std::uint64_t sequence, bool isReady = true)
{
    EdgeHeartbeat message;
    message.instance = InstanceId(instance);
    message.domain = FailureDomain(domain);
    message.incarnation = incarnation;
    message.sequence = sequence;
    message.frontAddress = std::string(instance) + ":1";
    message.isReady = isReady;
    return message;
}

/// This daemon while not ready, so that it returns only other daemons.
EdgeHeartbeat self()
{
    return beat("z", "north", 1, 1, false);
}

} // namespace

TEST_CASE("callers are not sent to daemons that are silent, stopping or not ready")
{
    DaemonView view;
    view.onHeartbeat(beat("a", "north", 1, 1), start);
    view.onHeartbeat(beat("b", "south", 1, 1), start + 1s);
    view.onHeartbeat(beat("c", "north", 1, 1, false), start + 1s);
    CHECK(view.frontsFor("caller", FailureDomain("south"), self(), start + 1s) == std::vector<std::string> { "b:1", "a:1" });
    CHECK(view.frontsFor("caller", FailureDomain("north"), self(), start + 2s) == std::vector<std::string> { "b:1" });
}

TEST_CASE("outdated heartbeats of a daemon are ignored")
{
    DaemonView view;
    CHECK(view.onHeartbeat(beat("a", "north", 2, 5, false), start));
    CHECK_FALSE(view.onHeartbeat(beat("a", "north", 2, 4), start));
    CHECK_FALSE(view.onHeartbeat(beat("a", "north", 1, 9), start));
    CHECK(view.frontsFor("caller", FailureDomain("north"), self(), start).empty());
    CHECK(view.onHeartbeat(beat("a", "north", 3, 1), start));
    CHECK(view.frontsFor("caller", FailureDomain("north"), self(), start).size() == 1);
}

TEST_CASE("large daemons get most of the callers, and a caller stays with the same daemons")
{
    // Load pattern: a few large daemons and many small ones; with callers spread evenly, the small ones are overloaded.
    DaemonView view;
    for (int index = 0; index < 20; ++index) {
        auto message = beat(("d" + std::to_string(index)).c_str(), "north", 1, 1);
        message.capacity = index < 2 ? 0.5 : 0.125;
        view.onHeartbeat(message, start);
    }
    int large = 0;
    int all = 0;
    constexpr int callers = 2000;
    for (int caller = 0; caller < callers; ++caller) {
        const auto name = "caller" + std::to_string(caller);
        const auto fronts = view.frontsFor(name, FailureDomain("north"), self(), start);
        REQUIRE(fronts == view.frontsFor(name, FailureDomain("north"), self(), start));
        REQUIRE(fronts.size() == 4);
        // Callers may use any of the addresses.
        for (const auto& front : fronts) {
            ++all;
            if (front == "d0:1" || front == "d1:1")
                ++large;
        }
    }
    // The two large ones have 1 of 3.25 cores and should get a larger share of the requests than that.
    const auto share = static_cast<double>(large) / all;
    CHECK(share > 0.4);
}

TEST_CASE("callers move to other failure domains as their own loses daemons")
{
    const auto nearShare = [](int nearDaemons) {
        DaemonView view;
        for (int index = 0; index < 20; ++index)
            view.onHeartbeat(beat(("f" + std::to_string(index)).c_str(), "south", 1, 1), start);
        for (int index = 0; index < nearDaemons; ++index)
            view.onHeartbeat(beat(("n" + std::to_string(index)).c_str(), "north", 1, 1), start);
        int near = 0;
        int all = 0;
        for (int caller = 0; caller < 500; ++caller)
            for (const auto& front : view.frontsFor("caller" + std::to_string(caller), FailureDomain("north"), self(), start)) {
                ++all;
                if (front.front() == 'n')
                    ++near;
            }
        return static_cast<double>(near) / all;
    };
    CHECK(nearShare(20) > 0.9);
    // The last daemon of the domain gets little more than its share of the site.
    CHECK(nearShare(1) < 0.1);
}

TEST_CASE("a slow network link limits the capacity of a daemon with a larger processor")
{
    EdgeSettings settings;
    settings.processorShare = 0.5;
    CHECK(capacityOf(settings) == Approx(0.5));
    settings.linkMegabits = 200;
    CHECK(capacityOf(settings) == Approx(0.5));
    settings.linkMegabits = 10;
    CHECK(capacityOf(settings) == Approx(0.125));
}

namespace {

/// Feeds the view a heartbeat of each daemon of a site of five failure domains, each with three large and many small daemons.
void receiveHeartbeats(DaemonView& view, double rateOfEach, TimePoint now, std::uint64_t sequence = 1)
{
    for (int domain = 0; domain < 5; ++domain)
        for (int index = 0; index < 59; ++index) {
            const auto name = "d" + std::to_string(domain) + "-" + std::to_string(index);
            auto message = beat(name.c_str(), ("domain" + std::to_string(domain)).c_str(), 1, sequence);
            message.intervalMs = 1000;
            message.capacity = index < 3 ? 0.5 : 0.12;
            message.requestRate = rateOfEach;
            view.onHeartbeat(message, now);
        }
}

/// @return Number of daemons of the callers' own domain that are returned to any of them.
std::size_t daemonsInUse(const DaemonView& view, TimePoint now)
{
    std::set<std::string> used;
    for (int caller = 0; caller < 600; ++caller)
        for (const auto& front : view.frontsFor("caller" + std::to_string(caller), FailureDomain("domain1"), self(), now))
            if (front.starts_with("d1-"))
                used.insert(front);
    return used.size();
}

} // namespace

TEST_CASE("callers of a large site use few daemons while these can serve the load, and more as it grows")
{
    // Load pattern: 295 daemons at 2,000 requests a second, then a burst of five times as many.
    DaemonView view;
    receiveHeartbeats(view, 0, start);
    const auto idle = daemonsInUse(view, start);
    receiveHeartbeats(view, 2000.0 / 295, start + 1s, 2);
    const auto usual = daemonsInUse(view, start + 1s);
    receiveHeartbeats(view, 10000.0 / 295, start + 2s, 3);
    const auto burst = daemonsInUse(view, start + 2s);
    CHECK(idle <= 20);
    CHECK(usual <= 20);
    CHECK(burst > 2 * usual);
}

TEST_CASE("a daemon that hears only a reader learns the site from it, and drops daemons that the reader no longer reports")
{
    DaemonView reader;
    receiveHeartbeats(reader, 1, start);
    DaemonView asker;
    auto news = reader.newsSince(7, 0);
    CHECK(news.isWhole);
    asker.onNews(news, true, start);
    CHECK(asker.live(start).size() == 295);
    // Unchanged heartbeats are not reported.
    receiveHeartbeats(reader, 1, start + 1s, 2);
    reader.sweep(start + 1s);
    auto next = reader.newsSince(7, news.end);
    CHECK_FALSE(next.isWhole);
    CHECK(next.daemons.empty());
    asker.onNews(next, true, start + 1s);
    // One daemon stops; the others fall silent later.
    auto stopping = beat("d2-7", "domain2", 1, 3, false);
    stopping.intervalMs = 1000;
    stopping.capacity = 0.12;
    stopping.requestRate = 1;
    reader.onHeartbeat(stopping, start + 2s);
    next = reader.newsSince(7, next.end);
    REQUIRE(next.daemons.size() == 1);
    CHECK_FALSE(next.daemons.front().heartbeat.isReady);
    asker.onNews(next, true, start + 2s);
    CHECK(asker.live(start + 2s).size() == 295);
    reader.sweep(start + 4500ms);
    next = reader.newsSince(7, next.end);
    CHECK(next.daemons.size() == 294);
    asker.onNews(next, true, start + 4500ms);
    CHECK(asker.live(start + 4500ms).size() == 1);
    // Without further answers, reports expire.
    CHECK(asker.live(start + 9s).empty());
}

TEST_CASE("a daemon reports only daemons that it hears directly, so stale reports do not circulate")
{
    DaemonView first;
    DaemonView second;
    first.onHeartbeat(beat("a", "north", 1, 1), start);
    for (auto now = start; now < start + 20s; now += 500ms) {
        first.sweep(now);
        second.sweep(now);
        second.onNews(first.newsSince(1, 0), true, now);
        first.onNews(second.newsSince(2, 0), true, now);
    }
    CHECK(first.live(start + 20s).empty());
    CHECK(second.live(start + 20s).empty());
}
