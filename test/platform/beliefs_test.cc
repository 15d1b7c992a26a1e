#include <catch2/catch.hpp>

#include "edge/beliefs.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream("i-1");
const KeyedRecord registered { "i-1", R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})", 1 };
const KeyedRecord removed { "i-1", std::nullopt, 2 };

} // namespace

TEST_CASE("a removal long after an outage binds at once")
{
    EdgeState state({}, 1);
    state.registryContact = { true, monotonicNow() - 10s };
    believeRegistry(state, { registered }, "store");
    REQUIRE(state.board.find(upstream) != nullptr);
    believeRegistry(state, { removed }, "store");
    CHECK(state.board.find(upstream) == nullptr);
}

TEST_CASE("an entry that lapsed in an outage may come back, but no later than a leaving upstream must be left alone")
{
    EdgeState state({}, 1);
    const auto now = monotonicNow();
    state.registryContact = { true, now };
    believeRegistry(state, { registered }, "store");
    believeRegistry(state, { removed }, "store");
    dropLapsed(state, now + 1s);
    CHECK(state.board.find(upstream) != nullptr);
    // The outage may have been this daemon's alone: the drain bound counts from the removal.
    dropLapsed(state, monotonicNow() + state.settings.bounds.drain - 100ms);
    CHECK(state.board.find(upstream) == nullptr);
}

TEST_CASE("an entry that is back in time stays")
{
    EdgeState state({}, 1);
    state.registryContact = { true, monotonicNow() };
    believeRegistry(state, { registered }, "store");
    believeRegistry(state, { removed }, "store");
    believeRegistry(state, { registered }, "store");
    dropLapsed(state, monotonicNow() + 10s);
    CHECK(state.board.find(upstream) != nullptr);
}

TEST_CASE("a named version binds from its own naming, also when a newer one follows")
{
    WeightTargets targets;
    const TimePoint start { 100s };
    CHECK(targets.name(2, start));
    CHECK(targets.name(3, start + 9s));
    CHECK_FALSE(targets.name(2, start + 9s));
    CHECK(targets.knownFor(8s, start + 10s) == 2);
    CHECK(targets.knownFor(8s, start + 17s) == 3);
    // Time before the store's return does not count.
    CHECK(targets.knownFor(8s, start + 17s, start + 12s) == 0);
}
