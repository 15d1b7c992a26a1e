#include <catch2/catch.hpp>

#include "edge/beliefs.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream("i-1");
const KeyedRecord registered { "i-1", R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})", 1 };
const KeyedRecord removed { "i-1", std::nullopt, 2 };

} // namespace

TEST_CASE("a removal read long after an outage takes effect at once")
{
    EdgeState state({}, 1);
    state.registryContact = { true, monotonicNow() - 10s };
    applyRegistryRecords(state, { registered }, RecordSource::Log);
    REQUIRE(state.board.find(upstream) != nullptr);
    applyRegistryRecords(state, { removed }, RecordSource::Log);
    CHECK(state.board.find(upstream) == nullptr);
}

TEST_CASE("an entry removed right after an outage stays until the drain bound expires")
{
    EdgeState state({}, 1);
    const auto now = monotonicNow();
    state.registryContact = { true, now };
    applyRegistryRecords(state, { registered }, RecordSource::Log);
    applyRegistryRecords(state, { removed }, RecordSource::Log);
    removeExpiredUpstreams(state, now + 1s);
    CHECK(state.board.find(upstream) != nullptr);
    // Only this daemon may have had the outage, so the drain bound runs from the removal.
    removeExpiredUpstreams(state, monotonicNow() + state.settings.bounds.drainTime - 100ms);
    CHECK(state.board.find(upstream) == nullptr);
}

TEST_CASE("an entry that is registered again before the drain bound expires stays")
{
    EdgeState state({}, 1);
    state.registryContact = { true, monotonicNow() };
    applyRegistryRecords(state, { registered }, RecordSource::Log);
    applyRegistryRecords(state, { removed }, RecordSource::Log);
    applyRegistryRecords(state, { registered }, RecordSource::Log);
    removeExpiredUpstreams(state, monotonicNow() + 10s);
    CHECK(state.board.find(upstream) != nullptr);
}

TEST_CASE("a weight version found at the start applies before the process counts as connected")
{
    EdgeState state({}, 1);
    state.operatorFeed.apply({}, 1);
    const KeyedRecord weightRecord { "op/version/m", R"({"model":"m","version":3})", 1 };
    const auto start = monotonicNow();
    applyOperatorRecords(state, { { "version/m", weightRecord.value, 1 } }, RecordSource::Log);
    const auto& targets = state.weightTargets.at("m");
    const auto& bounds = state.settings.bounds;
    CHECK(targets.newest() == 3);
    CHECK(targets.withKnownTime(1).empty());
    CHECK(targets.newestNamedFor(bounds.weightSwitchTime, start) == 0);
    CHECK(targets.newestNamedFor(bounds.weightSwitchTime, start + bounds.contactTime + 100ms) == 3);
    // The next version is read as it is set, so its time is known.
    applyOperatorRecords(state, { { "version/m", R"({"model":"m","version":4})", 2 } }, RecordSource::Log);
    CHECK(targets.withKnownTime(1).front().version == 4);
    CHECK(targets.newestNamedFor(bounds.weightSwitchTime, start + bounds.weightSwitchTime - 100ms) == 3);
    CHECK(targets.newestNamedFor(bounds.weightSwitchTime, monotonicNow() + bounds.weightSwitchTime) == 4);
}

TEST_CASE("a weight version read after a pause of the process counts from the pause, unless a peer knows its time")
{
    EdgeState state({}, 1);
    state.operatorFeed.apply({}, 1);
    applyOperatorRecords(state, {}, RecordSource::Log);
    REQUIRE(state.isOperatorTopicKnown);
    const auto now = monotonicNow();
    state.operatorContact.confirmed = now - 3s;
    state.pauses.onCheck(now - 2s);
    state.pauses.onCheck(now - 20ms);
    const auto& bounds = state.settings.bounds;
    applyOperatorRecords(state, { { "version/m", R"({"model":"m","version":2})", 2 } }, RecordSource::Log);
    const auto& targets = state.weightTargets.at("m");
    CHECK(targets.withKnownTime(1).empty());
    CHECK(targets.newestNamedFor(bounds.weightSwitchTime, now - 2s + bounds.weightSwitchTime) == 2);
    applyWeightsAge(state, InstanceId("edge-2"), { "m", 2, 500, 0 }, now);
    CHECK(targets.newestNamedFor(bounds.weightSwitchTime, now - 600ms + bounds.weightSwitchTime) == 0);
    CHECK(targets.newestNamedFor(bounds.weightSwitchTime, now - 500ms + bounds.weightSwitchTime) == 2);
    // What was asked for after the pause has not waited.
    state.operatorContact.confirmed = monotonicNow();
    state.pauses.onCheck(monotonicNow());
    applyOperatorRecords(state, { { "version/m", R"({"model":"m","version":3})", 3 } }, RecordSource::Log);
    CHECK(targets.withKnownTime(1).front().version == 3);
}

TEST_CASE("a weight version read long after a short pause counts from its reading")
{
    EdgeState state({}, 1);
    state.operatorFeed.apply({}, 1);
    applyOperatorRecords(state, {}, RecordSource::Log);
    const auto now = monotonicNow();
    // The store has held a read since before the pause.
    state.operatorContact.confirmed = now - 4s;
    state.pauses.onCheck(now - 3500ms);
    for (auto check = now - 3s; check < now; check += 100ms)
        state.pauses.onCheck(check);
    applyOperatorRecords(state, { { "version/m", R"({"model":"m","version":2})", 2 } }, RecordSource::Log);
    REQUIRE(state.weightTargets.at("m").withKnownTime(1).size() == 1);
    CHECK(state.weightTargets.at("m").withKnownTime(1).front().since >= now);
}

TEST_CASE("a pause is seen before and after the check that follows it")
{
    const TimePoint start { 100s };
    ProcessPauses pauses;
    CHECK_FALSE(pauses.lastBegan(start, {}));
    pauses.onCheck(start);
    pauses.onCheck(start + 100ms);
    CHECK_FALSE(pauses.lastBegan(start + 200ms, {}));
    CHECK(pauses.lastBegan(start + 5s, {}) == start + 100ms);
    pauses.onCheck(start + 5s);
    CHECK(pauses.lastBegan(start + 5s, start) == start + 100ms);
    CHECK_FALSE(pauses.lastBegan(start + 5s, start + 5s));
}

// A faulty upstream's bytes in the place of an answer to a call took the upstream out and shifted load.
TEST_CASE("the head of an answer to a call counts only with a body of the kind that was asked for, apart from a backoff")
{
    for (const bool isExpected : { false, true }) {
        INFO(isExpected);
        EdgeState state({}, 1);
        state.registryContact = { true, monotonicNow() - 10s };
        applyRegistryRecords(state, { registered }, RecordSource::Log);
        const auto born = state.board.find(upstream)->born;
        HttpAnswer answer { isExpected ? 200U : 503U, {}, {} };
        answer.fields.set("Server-Leaving", "1");
        answer.fields.set("X-Goldcrestwood-Server-Load", "1,0,1,250");
        answer.fields.set("Retry-After", "2");
        applyCallAnswer(state, upstream, born, answer, isExpected, "/report");
        CHECK(state.board.isLeaving(upstream) == isExpected);
        CHECK(state.board.recentPaces([](const UpstreamId&) { return true; }, false, monotonicNow()).size() == (isExpected ? 1 : 0));
        CHECK((state.board.backoffRemaining(upstream, monotonicNow()) > 1s) == !isExpected);
    }
}

TEST_CASE("a load report that cannot be read leaves the pace unchanged and is reported once for each upstream")
{
    EdgeState state({}, 1);
    state.registryContact = { true, monotonicNow() - 10s };
    applyRegistryRecords(state, { registered }, RecordSource::Log);
    const auto born = state.board.find(upstream)->born;
    const auto isAny = [](const UpstreamId&) { return true; };
    applyServerLoad(state, upstream, born, ServerLoad { 1, 0, 1, 250 });
    applyServerLoad(state, upstream, born, tl::unexpected(Finding { { "header", 0, 0 }, "cannot be read" }));
    const auto paces = state.board.recentPaces(isAny, false, monotonicNow());
    REQUIRE(paces.size() == 1);
    CHECK(paces.front().percent == 250);
    CHECK_FALSE(state.board.isFirstInvalidLoad(upstream));
}
