#include <catch2/catch.hpp>

#include <cmath>
#include <cstdio>
#include <memory>
#include <queue>

#include "board_site.h"

using namespace goldcrestwood;
using namespace board_site;
using namespace std::chrono_literals;

namespace {

enum class Policy : std::uint8_t { None,
    Fixed,
    Overflow };

/// Demand of a domain as a share of the capacity of its engines, by its number and the time in seconds.
using Demand = std::function<double(int, double)>;

/// Domains with engines that read prompts one after another, and daemons that hear of each other's work 250 ms to 500 ms late.
struct Model {
    static constexpr int domains = 4;
    static constexpr int enginesPerDomain = 4;
    static constexpr int daemonsPerDomain = 4;
    static constexpr double readMs = 2000.0 / 60;

    struct Event {
        TimePoint at;
        std::function<void()> run;
        bool operator<(const Event& other) const { return this->at > other.at; }
    };
    struct Daemon {
        explicit Daemon(int number)
            : board(InstanceId("d" + std::to_string(number)), SiteBounds {}, this->parts)
        {
            this->board.setServices(services());
        }
        PartDirectory parts;
        UpstreamBoard board;
    };

    Model(Policy chosenPolicy, const Demand& demand, std::uint64_t seed)
        : policy(chosenPolicy)
        , random(seed)
    {
        std::vector<DaemonCapacity> all;
        for (int number = 0; number < domains * daemonsPerDomain; ++number) {
            all.push_back({ InstanceId("d" + std::to_string(number)), 1, FailureDomain(domainOf(number / daemonsPerDomain)) });
            this->daemons.push_back(std::make_unique<Daemon>(number));
        }
        for (int number = 0; number < domains * daemonsPerDomain; ++number) {
            auto& board = this->daemons[number]->board;
            board.setDaemons(all);
            if (this->policy == Policy::Overflow)
                board.setDomain(FailureDomain(domainOf(number / daemonsPerDomain)));
            for (int engine = 0; engine < domains * enginesPerDomain; ++engine) {
                auto entry = entryOf(engine, model, domainOf(engine / enginesPerDomain).c_str());
                entry.slots = 640;
                board.setUpstream(entry, start);
                board.onServerLoad(entry.id, 1, { 0, 0, 640, 100 }, start);
            }
            this->report(number, start + 250ms * number / (domains * daemonsPerDomain));
            this->arrive(number, start, demand);
        }
        for (; !this->events.empty() && this->events.top().at < start + 24s;) {
            const auto event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.run();
        }
    }

    static std::string domainOf(int number) { return "domain" + std::to_string(number); }

    void at(TimePoint when, std::function<void()> run) { this->events.push({ when, std::move(run) }); }

    void report(int number, TimePoint when)
    {
        this->at(when, [this, number, when] {
            const auto uses = this->daemons[number]->board.ownUses();
            for (int peer = 0; peer < domains * daemonsPerDomain; ++peer)
                if (peer != number)
                    this->at(when + 250ms, [this, number, peer, uses] { this->daemons[peer]->board.onPeerUse(InstanceId("d" + std::to_string(number)), uses, this->now); });
            this->report(number, when + 250ms);
        });
    }

    void arrive(int number, TimePoint when, const Demand& demand)
    {
        const auto use = demand(number / daemonsPerDomain, toSeconds(when - start));
        const auto perMs = use * enginesPerDomain / daemonsPerDomain / readMs;
        const auto next = when + fromSeconds(-std::log(1 - uniform(this->random)) / perMs / 1000);
        this->at(next, [this, number, next, demand] {
            auto request = prompt(2000, ("subject" + std::to_string(this->count++)).c_str());
            request.parts.erase(request.parts.begin());
            request.objective = 400ms;
            ++this->sent;
            this->place(number, request, next);
            this->arrive(number, next, demand);
        });
    }

    void place(int number, const PlacementRequest& request, TimePoint received)
    {
        auto& board = this->daemons[number]->board;
        std::set<UpstreamId> elsewhere;
        if (this->policy == Policy::Fixed)
            board.forEach([&](const RegistryEntry& entry) {
                if (entry.domain.value != domainOf(number / daemonsPerDomain))
                    elsewhere.insert(entry.id);
            });
        PlacementRefusal refusal {};
        auto choice = board.choose(request, elsewhere, this->now, refusal);
        if (!choice && this->policy == Policy::Fixed)
            choice = board.choose(request, {}, this->now, refusal);
        if (!choice) {
            if (this->now - received < 1s)
                this->at(this->now + 25ms, [this, number, request, received] { this->place(number, request, received); });
            return;
        }
        board.begin(*choice, request, this->now);
        const auto engine = std::stoi(choice->upstream.value.substr(5));
        const bool isCrossing = engine / enginesPerDomain != number / daemonsPerDomain;
        this->crossed += isCrossing ? 1 : 0;
        auto& free = this->freeAt[engine];
        const auto arrival = this->now + (isCrossing ? 2ms : 250us);
        const auto queueMs = toMs(std::max(free, arrival) - arrival);
        if (isCrossing)
            this->longestQueueMs = std::max(this->longestQueueMs, queueMs);
        free = std::max(free, arrival) + fromSeconds(readMs / 1000);
        const auto sentAt = this->now;
        this->at(free + (isCrossing ? 2ms : 250us), [this, number, request, received, sentAt, choice = *choice] {
            auto& daemon = this->daemons[number]->board;
            daemon.onServerLoad(choice.upstream, 1, { 1, 0, 640, 100 }, this->now);
            daemon.onFirstByte(choice, request, this->now - sentAt, this->now);
            daemon.finish(choice, request, true, AttemptResult::Answered, this->now);
            this->onTime += this->now - received <= 400ms ? 1 : 0;
        });
    }

    double share(int part) const { return static_cast<double>(part) / this->sent; }

    Policy policy;
    Random random;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::priority_queue<Event> events;
    std::map<int, TimePoint> freeAt;
    TimePoint now = start;
    int count = 0;
    int sent = 0;
    int crossed = 0;
    int onTime = 0;
    double longestQueueMs = 0; ///< Longest queue that a crossing request met.
};

/// Means over several seeds, as the late views make single runs differ.
struct Result {
    double crossed = 0; ///< Share of the requests that left their domain.
    double onTime = 0; ///< Share answered within the objective.
    double longestQueueMs = 0;
};

Result run(const char* name, Policy policy, const Demand& demand)
{
    constexpr int seeds = 5;
    Result result;
    for (int seed = 1; seed <= seeds; ++seed) {
        const Model model(policy, demand, seed);
        result.crossed += model.share(model.crossed) / seeds;
        result.onTime += model.share(model.onTime) / seeds;
        result.longestQueueMs += model.longestQueueMs / seeds;
    }
    std::printf("%s: crossed %.3f, on time %.3f, longest queue met elsewhere %.0f ms\n", name, result.crossed, result.onTime, result.longestQueueMs);
    return result;
}

} // namespace

TEST_CASE("domains in balance keep their requests")
{
    const auto demand = [](int, double) { return 0.6; };
    run("balance, no preference", Policy::None, demand);
    const auto fixed = run("balance, fixed preference", Policy::Fixed, demand);
    const auto overflow = run("balance, overflow", Policy::Overflow, demand);
    CHECK(overflow.crossed < 0.1);
    CHECK(overflow.onTime > fixed.onTime - 0.01);
}

TEST_CASE("one short domain is relieved and no emptier domain is overrun")
{
    const auto demand = [](int domain, double) { return domain == 0 ? 1.3 : 0.5; };
    const auto today = run("one short, no preference", Policy::None, demand);
    run("one short, fixed preference", Policy::Fixed, demand);
    const auto overflow = run("one short, overflow", Policy::Overflow, demand);
    // What exceeds the domain's capacity is 0.3 of 2.8.
    CHECK(overflow.crossed > 0.3 / 2.8);
    CHECK(overflow.crossed < today.crossed / 2);
    CHECK(overflow.onTime > today.onTime + 0.1);
    CHECK(overflow.longestQueueMs < today.longestQueueMs);
}

TEST_CASE("domains whose demand is out of step help each other")
{
    const auto demand = [](int domain, double seconds) { return 0.8 * (1 + 0.5 * std::sin(2 * 3.14159265 * (seconds / 12 + domain / 4.0))); };
    const auto today = run("out of step, no preference", Policy::None, demand);
    const auto fixed = run("out of step, fixed preference", Policy::Fixed, demand);
    const auto overflow = run("out of step, overflow", Policy::Overflow, demand);
    CHECK(overflow.crossed < today.crossed / 2);
    CHECK(overflow.onTime > std::max(today.onTime, fixed.onTime));
    CHECK(overflow.longestQueueMs < today.longestQueueMs);
}
