/// @file
/// Graceful shutdowns abort no request, including a rolling restart of a whole site.

#include <catch2/catch.hpp>

#include <set>

#include "goldcrestwood/resolver.h"
#include "goldcrestwood/shutdown.h"
#include "peers_loopback.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

using Kind = ShutdownAction::Kind;

std::vector<Kind> kindsOf(const std::vector<ShutdownAction>& actions)
{
    std::vector<Kind> kinds;
    kinds.reserve(actions.size());
    for (const auto& action : actions)
        kinds.push_back(action.kind);
    return kinds;
}

/// A caller that keeps its resolver answer for the whole lifetime and opens a stream every half second.
struct Caller {
    ResolverAnswer answer;
    TimePoint askedAt {};
};

/// A site whose daemons answer callers, run their streams and shut down gracefully.
class Site {
public:
    explicit Site(std::uint64_t seed)
        : loopback(7, 1, seed)
        , shutdowns(7, Shutdown({}))
        , streamEnds(7)
        , lastStart(7)
        , callers(10)
    {
        this->loopback.faults = { 0.1, 0.05, 100ms };
        this->loopback.run(10s);
        for (auto& shutdown : this->shutdowns)
            shutdown.onReady(this->loopback.now);
    }

    void run(Duration time)
    {
        for (Duration passed {}; passed < time; passed += 500ms) {
            this->loopback.run(500ms);
            for (auto& caller : this->callers)
                this->request(caller);
            for (std::size_t i = 0; i < this->shutdowns.size(); ++i)
                this->advance(i);
        }
    }

    void signal(std::size_t index)
    {
        for (const auto& action : this->shutdowns[index].onSignal(this->loopback.now))
            this->apply(index, action);
    }

    void start(std::size_t index)
    {
        this->loopback.restart(index);
        this->shutdowns[index] = Shutdown({});
        this->shutdowns[index].onReady(this->loopback.now);
    }

    PeersLoopback loopback;
    std::vector<Shutdown> shutdowns;
    std::vector<std::multiset<TimePoint>> streamEnds;
    std::vector<std::optional<TimePoint>> lastStart;
    std::vector<Caller> callers;
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t cut = 0;

private:
    ResolverAnswer ask()
    {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < this->shutdowns.size(); ++i) {
            if (this->shutdowns[i].acceptsWork())
                open.push_back(i);
        }
        const auto& membership
            = this->loopback.nodes[open[this->loopback.random() % open.size()]].peers->membership();
        std::vector<ResolverCandidate> candidates { toCandidate(membership.self(), false, 0.3) };
        for (const auto& [id, member] : membership.peers())
            candidates.push_back(toCandidate(member, false, 0.3));
        return resolveEndpoints({}, candidates, membership.self().info.region, {}, this->loopback.random);
    }

    void request(Caller& caller)
    {
        const auto now = this->loopback.now;
        if (caller.answer.endpoints.empty() || now - caller.askedAt >= caller.answer.lifetime)
            caller = { this->ask(), now };
        REQUIRE_FALSE(caller.answer.endpoints.empty());
        const auto pick = this->loopback.random() % caller.answer.endpoints.size();
        const auto& address = caller.answer.endpoints[pick].address;
        for (std::size_t i = 0; i < this->shutdowns.size(); ++i) {
            if (this->loopback.nodes[i].info.callerAddress != address)
                continue;
            ++this->requests;
            if (!this->shutdowns[i].acceptsWork()) {
                ++this->refused;
                continue;
            }
            this->lastStart[i] = now;
            this->streamEnds[i].insert(now + std::chrono::milliseconds(this->loopback.random() % 8000));
        }
    }

    void advance(std::size_t index)
    {
        const auto now = this->loopback.now;
        auto& ends = this->streamEnds[index];
        ends.erase(ends.begin(), ends.upper_bound(now));
        for (const auto& action : this->shutdowns[index].poll({ ends.size(), this->lastStart[index] }, now))
            this->apply(index, action);
    }

    void apply(std::size_t index, const ShutdownAction& action)
    {
        auto& node = this->loopback.nodes[index];
        if (action.kind == Kind::AnnounceLeaving)
            node.peers->setPhase(MemberPhase::Leaving);
        if (action.kind == Kind::HandOver)
            this->shutdowns[index].onHandedOver(this->loopback.now);
        if (action.kind == Kind::CutStreams)
            this->cut += this->streamEnds[index].size();
        if (action.kind == Kind::AnnounceLeft)
            node.peers->setPhase(MemberPhase::Left);
        if (action.kind == Kind::Exit) {
            this->cut += this->streamEnds[index].size();
            this->loopback.stop(index);
        }
    }
};

} // namespace

TEST_CASE("a rolling restart of a site refuses and aborts no request")
{
    const auto seed = GENERATE(range(1U, 5U));
    INFO("seed " << seed);
    Site site(seed);
    for (std::size_t i = 0; i < 7; ++i) {
        site.signal(i);
        site.run(30s);
        CHECK(site.shutdowns[i].phase() == ShutdownPhase::Ended);
        site.start(i);
        site.run(2s);
    }
    CHECK(site.requests > 4000);
    CHECK(site.refused == 0);
    CHECK(site.cut == 0);
}

TEST_CASE("two daemons that shut down at the same time, with delayed gossip, refuse and abort no request")
{
    const auto seed = GENERATE(range(1U, 5U));
    INFO("seed " << seed);
    Site site(seed);
    site.loopback.faults = { 0.3, 0.1, 900ms };
    site.signal(2);
    site.signal(5);
    site.run(40s);
    CHECK(site.shutdowns[2].phase() == ShutdownPhase::Ended);
    CHECK(site.shutdowns[5].phase() == ShutdownPhase::Ended);
    CHECK(site.refused == 0);
    CHECK(site.cut == 0);
}

TEST_CASE("streams past their limit get an error event, and a second signal ends the process at once")
{
    const TimePoint start(1h);
    ShutdownSettings settings;
    settings.streamTimeout = 30s;
    Shutdown shutdown(settings);
    shutdown.onReady(start);
    CHECK(kindsOf(shutdown.onSignal(start)) == std::vector { Kind::AnnounceLeaving, Kind::HandOver });
    CHECK(shutdown.poll({ 1, {} }, start + 7s).empty());
    CHECK(shutdown.acceptsWork());
    CHECK(shutdown.poll({ 1, start + 8s }, start + 8s).empty());
    CHECK(kindsOf(shutdown.poll({ 1, start + 8s }, start + 9s)) == std::vector { Kind::StopAccepting });
    CHECK_FALSE(shutdown.acceptsWork());
    CHECK(shutdown.poll({ 1, {} }, start + 30s).empty());
    CHECK(kindsOf(shutdown.poll({ 1, {} }, start + 39s)) == std::vector { Kind::CutStreams });
    const auto last = shutdown.poll({ 1, {} }, start + 41s);
    CHECK(kindsOf(last) == std::vector { Kind::AnnounceLeft, Kind::Exit });
    CHECK(last.back().exitCode == 0);
    CHECK(shutdown.onSignal(start + 42s).empty());

    Shutdown signalledTwice({});
    signalledTwice.onSignal(start);
    CHECK(signalledTwice.onSignal(start + 1s) == std::vector { ShutdownAction { Kind::Exit, 1 } });
}

TEST_CASE("a daemon that was never ready does not wait for resolver answers to expire, but waits for the hand-over")
{
    const TimePoint start(1h);
    Shutdown shutdown({});
    shutdown.onSignal(start);
    CHECK(kindsOf(shutdown.poll({}, start)) == std::vector { Kind::StopAccepting });
    CHECK(shutdown.poll({}, start + 1s).empty());
    shutdown.onHandedOver(start + 1s);
    CHECK(kindsOf(shutdown.poll({}, start + 1s)) == std::vector { Kind::AnnounceLeft, Kind::Exit });
}
