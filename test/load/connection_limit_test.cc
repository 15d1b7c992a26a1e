#include <catch2/catch.hpp>

#include <map>
#include <memory>

#include "goldcrestwood/load/connection_limit.h"

using namespace goldcrestwood;

// Fault: connections were accepted until no descriptor was left for upstreams and the other listeners.
TEST_CASE("a new connection takes the place of the one that has waited longest, never of a request in progress")
{
    ConnectionLimit limit(3);
    std::map<int, bool> isClosed;
    std::map<int, std::unique_ptr<ConnectionLimit::Entry>> entries;
    TimePoint now {};
    const auto open = [&](int number) {
        now += std::chrono::seconds(1);
        entries[number] = limit.admit(now);
        if (entries[number])
            entries[number]->onEvicted([&isClosed, number] { isClosed[number] = true; });
        return entries[number] != nullptr;
    };
    REQUIRE((open(1) && open(2) && open(3)));
    entries[1]->serves();
    entries[2]->waits(now); // Its next bytes have come.
    entries[3]->serves();
    entries[3]->waits(now - std::chrono::milliseconds(1));
    REQUIRE(open(4));
    CHECK(isClosed == std::map<int, bool> { { 3, true } });
    CHECK(limit.size() == 3);
    entries.erase(3);
    CHECK(limit.size() == 3);
    entries[2]->serves();
    entries[4]->serves();
    CHECK_FALSE(open(5));
    CHECK(limit.refusals() == 1);
    // The refused one gets the place of a connection whose next request is there already.
    CHECK(entries[2]->yields());
    CHECK_FALSE(entries[4]->yields());
    entries.erase(2);
    CHECK(open(5));
    entries[5]->serves();
    CHECK_FALSE(open(6));
    entries.erase(5);
    CHECK_FALSE(entries[4]->yields()); // A place is free.
    REQUIRE(open(5));
    entries[5]->serves();
    entries[1]->waits(now);
    CHECK(open(6));
    CHECK(isClosed.size() == 2);
}

TEST_CASE("the connections of all listeners and the upstreams of all clients fit into the descriptors")
{
    for (const std::uint64_t descriptors : { 96, 128, 256, 1024, 65536 }) {
        const auto budget = connectionBudget(descriptors, 0);
        CHECK(2 * budget.clients + 3 * budget.control + budget.peers <= descriptors - 32);
        CHECK(budget.clients >= descriptors / 8);
    }
    // The peers of a feed reader at the largest site: with fewer connections their queries would close each other's.
    CHECK(connectionBudget(256, 0).peers >= 43);
    CHECK(connectionBudget(1U << 20U, 88'000'000).clients * 16384 <= 11'000'000);
}
