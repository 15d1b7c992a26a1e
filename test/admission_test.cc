#include <catch2/catch.hpp>

#include "../support/bench/fairness_model.h"

using namespace admission_model;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

Waiter waiterOf(std::uint64_t id, Duration arrived, std::uint32_t rank = 1, std::uint64_t caller = 0)
{
    return { id, rank, caller == 0 ? id : caller, start + arrived, start + arrived + 200ms, start + arrived + 1600ms };
}

Waiter waiterOf(std::uint64_t id, const std::string& account)
{
    auto waiter = waiterOf(id, std::chrono::milliseconds(id));
    waiter.account = ClientAccount(account);
    return waiter;
}

} // namespace

TEST_CASE("requests are ordered by rank, then those that can be on time before late ones")
{
    AdmissionQueue queue;
    queue.add(waiterOf(1, 0ms), start);
    queue.add(waiterOf(2, 100ms), start + 100ms);
    queue.add(waiterOf(3, 150ms, 0), start + 150ms);
    CHECK(queue.order(start + 150ms) == std::vector<std::uint64_t> { 3, 1, 2 });
    CHECK(queue.order(start + 250ms) == std::vector<std::uint64_t> { 3, 2, 1 });
    CHECK_FALSE(queue.isNext(waiterOf(4, 250ms), start + 250ms));
    queue.remove(3, true, start + 260ms);
    queue.remove(2, true, start + 260ms);
    // Only a late request waits; a new one precedes it.
    CHECK(queue.isNext(waiterOf(4, 260ms), start + 260ms));
    CHECK(queue.size() == 1);
}

TEST_CASE("a caller that returns after its retry-after time precedes late requests, one that returns earlier goes last")
{
    AdmissionQueue queue;
    Random random { 1 };
    const auto wait = queue.refuse(waiterOf(1, 0ms, 1, 77), start, random);
    const auto early = waiterOf(2, wait / 2, 1, 77);
    const auto back = waiterOf(3, wait, 1, 77);
    const auto newcomer = waiterOf(4, 0ms);
    queue.add(newcomer, start);
    CHECK_FALSE(queue.isNext(back, start + 100ms));
    CHECK(queue.isNext(back, start + wait));
    CHECK_FALSE(queue.isNext(early, start + wait));
    // A caller that retries at once waits behind all others of its rank and delays none of them.
    queue.add(early, start + wait / 2);
    CHECK(queue.order(start + 150ms).back() == 2);
    CHECK_FALSE(queue.isNext(waiterOf(5, 160ms, 2), start + 160ms));
    queue.remove(4, true, start + 160ms);
    CHECK(queue.isNext(waiterOf(6, 160ms), start + 160ms));
}

TEST_CASE("requests of unidentified callers do not count as early returns")
{
    // Load pattern: many callers send the same request, and one of them was refused.
    AdmissionQueue queue;
    Random random { 1 };
    Waiter reader = waiterOf(1, 0ms);
    reader.caller = 0;
    queue.refuse(reader, start, random);
    queue.add(waiterOf(2, 50ms), start + 50ms);
    reader.id = 3;
    reader.arrived = start + 40ms;
    CHECK(queue.isNext(reader, start + 50ms));
}

TEST_CASE("a request aborted by an upstream has half of its remaining time for a new placement")
{
    // Load pattern: an engine fails silently; its requests are known to be lost after a second, and all other engines are busy.
    CHECK(placementDeadline(start, start + 2s) == start + 1s);
    CHECK(placementDeadline(start + 1s, start + 2s) == start + 1500ms);
    CHECK(placementDeadline(start + 3s, start + 2s) == start + 3s);
}

TEST_CASE("an infeasible request is refused at once, with a retry-after time at which the others have been served")
{
    AdmissionQueue queue;
    Random random { 1 };
    for (std::uint64_t id = 1; id <= 80; ++id)
        queue.add(waiterOf(id, 0ms), start);
    // The placement rate is not known yet.
    CHECK_FALSE(queue.isInfeasible(waiterOf(100, 0ms), start));
    for (std::uint64_t id = 1; id <= 9; ++id)
        queue.remove(id, true, start + std::chrono::milliseconds(id * 100));
    // At eleven a second, 71 requests ahead take over three seconds even at twice the rate; the caller leaves earlier.
    const auto now = start + 900ms;
    CHECK(queue.isInfeasible(waiterOf(101, 0ms), now));
    // New requests precede late ones.
    CHECK_FALSE(queue.isInfeasible(waiterOf(102, 900ms), now));
    for (std::uint64_t id = 10; id <= 60; ++id)
        queue.remove(id, false, now);
    // The remaining 20 take about two seconds, and each refused caller adds one placement.
    Duration first {};
    Duration last {};
    for (std::uint64_t id = 103; id < 123; ++id) {
        last = queue.refuse(waiterOf(id, 900ms), now, random);
        if (id == 103)
            first = last;
    }
    CHECK(first > 1500ms);
    CHECK(first < 2500ms);
    CHECK(last > first + 1s);
}

TEST_CASE("in a burst no fewer callers are served or on time than with the plain queue, and returns are no more clustered")
{
    // Load pattern: three seconds of overload, then less load again.
    const double burst = GENERATE(1.2, 1.5, 1.8, 2.2, 3.0);
    Outcome before;
    Outcome now;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Load load;
        load.burstFactor = burst;
        before += simulate<FifoQueue>(load, seed);
        now += simulate<ProductionQueue>(load, seed);
    }
    INFO("burst " << burst);
    CHECK(now.served() >= before.served());
    CHECK(now.onTime >= before.onTime);
    CHECK(now.refused <= before.refused);
    CHECK(now.attempts <= before.attempts);
    CHECK(now.maxReturns() <= before.maxReturns());
}

TEST_CASE("without overload no request is refused and no fewer are on time")
{
    Load load;
    load.burstFactor = 1;
    const auto before = simulate<FifoQueue>(load, 1);
    const auto now = simulate<ProductionQueue>(load, 1);
    CHECK(now.refused == 0);
    CHECK(now.onTime >= before.onTime);
}

TEST_CASE("in an overload by a third, late requests are refused in about half the time and as many callers are served")
{
    // Guards against requests that are kept until they expire although more urgent ones have been arriving faster than any were placed.
    Load load;
    load.burstFactor = 4.0 / 3 * static_cast<double>(load.slots) / load.serviceSeconds / load.requestsPerSecond;
    Outcome before;
    Outcome now;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        before += simulate<HoldingQueue>(load, seed);
        now += simulate<ProductionQueue>(load, seed);
    }
    CHECK(now.meanHeldMs() < 0.6 * before.meanHeldMs());
    CHECK(static_cast<double>(now.served()) > 0.998 * static_cast<double>(before.served()));
    CHECK(static_cast<double>(now.onTime) > 0.998 * static_cast<double>(before.onTime));
    CHECK(now.maxReturns() <= before.maxReturns());
}

TEST_CASE("late requests keep waiting while a backlog from a pause of the upstreams is being placed")
{
    // Guards against refusals by the counts of a pause that is over: the requests were placed within their time before.
    AdmissionQueue queue;
    for (std::uint64_t id = 1; id <= 80; ++id)
        queue.add(waiterOf(id, 5ms * id), start + 5ms * id);
    const auto late = waiterOf(1, 5ms);
    CHECK_FALSE(queue.isOvertaken(late, start + 400ms));
    for (std::uint64_t id = 80; id > 20; --id)
        queue.remove(id, true, start + 700ms - 5ms * (id - 20));
    CHECK_FALSE(queue.isOvertaken(late, start + 700ms));
}

TEST_CASE("a small account does not wait behind the many requests of a large one")
{
    AdmissionQueue queue;
    for (std::uint64_t id = 1; id <= 8; ++id)
        queue.add(waiterOf(id, "large"), start);
    const auto small = waiterOf(9, "small");
    // Without service so far, the first two of each account have the first turn, in the order of arrival.
    CHECK(queue.countAhead(small, start) == 2);
    queue.onPlaced(ClientAccount("large"), start);
    queue.remove(1, true, start);
    CHECK(queue.isNext(small, start));
    // The position of a request that is about to wait is the one that it gets.
    const auto urgent = [] { auto waiter = waiterOf(10, "large"); waiter.rank = 0; return waiter; }();
    CHECK(queue.isNext(urgent, start));
    queue.add(small, start);
    queue.add(urgent, start);
    CHECK(queue.order(start) == std::vector<std::uint64_t> { 10, 9, 2, 3, 4, 5, 6, 7, 8 });
    const auto second = waiterOf(11, "small");
    const auto ahead = queue.countAhead(second, start);
    queue.add(second, start);
    CHECK(queue.order(start)[ahead] == 11);
    CHECK(queue.countAhead(second, start) == ahead);
    // After ten seconds the earlier service no longer counts.
    CHECK(queue.order(start + 10s) == std::vector<std::uint64_t> { 10, 2, 3, 9, 11, 4, 5, 6, 7, 8 });
}

TEST_CASE("accounts served equally, and a single one, keep the order of arrival")
{
    AdmissionQueue queue;
    for (int count = 0; count < 20; ++count)
        for (const auto* account : { "first", "second" })
            queue.onPlaced(ClientAccount(account), start);
    for (std::uint64_t id = 1; id <= 4; ++id)
        queue.add(waiterOf(id, id % 2 == 1 ? "first" : "second"), start);
    CHECK(queue.order(start) == std::vector<std::uint64_t> { 1, 2, 3, 4 });
    AdmissionQueue single;
    for (std::uint64_t id = 1; id <= 40; ++id)
        single.add(waiterOf(id, "first"), start);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        CHECK(single.order(start).front() == id);
        single.remove(id, true, start);
    }
}

TEST_CASE("in an overload by a third every account is placed at least a quarter as often as all, wherever its requests arrive")
{
    // Guards against a small account that is served less than others since it sends less, or sends through one daemon.
    fairness_model::Load load;
    load.isSkewed = GENERATE(false, true);
    load.daemons = GENERATE(1, 12, 58);
    const auto before = fairness_model::simulate(load, fairness_model::Order::Arrival, 1);
    const auto now = fairness_model::simulate(load, fairness_model::Order::Local, 1);
    INFO(load.daemons << " daemons" << (load.isSkewed ? ", skewed" : ""));
    double small = 0;
    double smallBefore = 0;
    for (std::size_t index = 0; index < now.size(); ++index) {
        CHECK(now[index].placedShare() * load.overload > 0.25);
        small += index > 0 ? now[index].placedShare() : 0;
        smallBefore += index > 0 ? before[index].placedShare() : 0;
    }
    if (!load.isSkewed)
        CHECK(small > smallBefore);
}
