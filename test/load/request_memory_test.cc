#include <catch2/catch.hpp>

#include <list>

#include "goldcrestwood/load/request_memory.h"

using namespace goldcrestwood;

namespace {

/// A request that is being received.
struct Incoming {
    explicit Incoming(RequestMemory& memory, TimePoint now = {})
        : share(
            memory, [this] { this->isGivenUp = true; }, now)
    {
    }

    bool isGivenUp = false;
    RequestMemory::Share share;
};

constexpr auto second = std::chrono::seconds(1);

} // namespace

// Fault: bodies inside the limit of each exceeded the memory together, and stayed just short of their end.
TEST_CASE("a request without progress is given up before a larger one that makes progress")
{
    RequestMemory memory(100'000);
    Incoming stalled(memory);
    Incoming moving(memory);
    TimePoint now {};
    REQUIRE(stalled.share.resize(40'000, now));
    now += 5 * second;
    REQUIRE(moving.share.resize(50'000, now));
    Incoming small(memory, now);
    CHECK(small.share.resize(15'000, now));
    CHECK(stalled.isGivenUp);
    CHECK_FALSE(moving.isGivenUp);
    CHECK_FALSE(stalled.share.resize(1, now));
    CHECK(memory.used() == 65'000);
    CHECK(memory.evictions() == 1);
}

TEST_CASE("a byte now and then is no progress")
{
    RequestMemory memory(100'000);
    Incoming trickling(memory);
    Incoming moving(memory);
    TimePoint now {};
    REQUIRE(trickling.share.resize(50'000, now));
    for (std::uint64_t more = 1; more <= 10; ++more) {
        now += second;
        REQUIRE(trickling.share.resize(50'000 + more, now));
        REQUIRE(moving.share.resize(4'990 * more, now));
    }
    CHECK(moving.share.resize(54'000, now));
    CHECK(trickling.isGivenUp);
}

// Fault: a largest request was given up while it made progress, before small ones that had stopped.
TEST_CASE("a largest request that makes progress is kept while small ones have stopped")
{
    constexpr std::uint64_t largest = 8'000'000;
    RequestMemory memory(10'000'000);
    std::list<Incoming> stalled;
    TimePoint now {};
    for (int number = 0; number < 36; ++number) {
        stalled.emplace_back(memory, now);
        REQUIRE(stalled.back().share.resize(256'000, now));
    }
    now += second / 2;
    Incoming moving(memory, now);
    for (std::uint64_t bytes = 100'000; bytes <= largest; bytes += 100'000) {
        now += std::chrono::milliseconds(5);
        REQUIRE(moving.share.resize(bytes, now));
    }
    CHECK_FALSE(moving.isGivenUp);
}

TEST_CASE("a whole request is kept, and a new one that finds no memory is refused")
{
    RequestMemory memory(100'000);
    Incoming served(memory);
    REQUIRE(served.share.resize(95'000, TimePoint {}));
    served.share.complete();
    const auto later = TimePoint {} + 60 * second;
    const Incoming idle(memory); // A connection that waits for its next request has nothing to give up.
    {
        Incoming next(memory, later);
        CHECK_FALSE(next.share.resize(10'000, later));
        CHECK(next.share.isGivenUp());
        CHECK_FALSE(next.isGivenUp); // It was told by the result.
    }
    CHECK_FALSE(served.isGivenUp);
    CHECK_FALSE(idle.isGivenUp);
    CHECK(memory.used() == 95'000);
}
