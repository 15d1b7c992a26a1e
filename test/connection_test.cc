/// @file
/// Retry budget, hedging, silent connections and concurrency limits.

#include <catch2/catch.hpp>

#include "goldcrestwood/concurrency.h"
#include "goldcrestwood/retry_budget.h"
#include "goldcrestwood/silence.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

TEST_CASE("retries stay within a share of the requests during an outage")
{
    Random random(5);
    RetrySettings settings;
    RetryBudget budget(settings);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onRequest();
        if (const auto decision = budget.decide({}, random); !decision.refusal) {
            ++retries;
            CHECK(decision.backoff <= settings.initialBackoff);
        }
    }
    CHECK(retries <= 1000 * settings.share + settings.maxBalance);
    CHECK(retries >= 100);
    CHECK(budget.decide({}, random).refusal == RetryRefusal::Budget);
}

TEST_CASE("no retry if it is unsafe or useless")
{
    Random random(5);
    RetryBudget budget;
    CHECK(budget.decide({ 1, true, true, false }, random).refusal == RetryRefusal::TokensSent);
    CHECK(budget.decide({ 1, false, false, false }, random).refusal == RetryRefusal::NotRepeatable);
    CHECK(budget.decide({ 3, true, false, false }, random).refusal == RetryRefusal::Attempts);
    CHECK_FALSE(budget.decide({ 1, true, true, true }, random).refusal);
    const std::vector<FailureDomain> candidates { FailureDomain("thu-duc"), FailureDomain("thu-duc"), FailureDomain("nha-be") };
    CHECK(preferOtherDomain(candidates, { FailureDomain("thu-duc") }) == 2);
    CHECK(preferOtherDomain({ candidates[0] }, { candidates[0] }) == 0);
    CHECK_FALSE(preferOtherDomain({}, {}));
}

TEST_CASE("a silent first byte is hedged once")
{
    const TimePoint now(1s);
    FirstByteHedge hedge(now, 100ms);
    CHECK_FALSE(hedge.shouldHedge(now + 99ms));
    CHECK(hedge.shouldHedge(now + 100ms));
    CHECK_FALSE(hedge.shouldHedge(now + 500ms));
    FirstByteHedge answered(now, 100ms);
    answered.onFirstByte();
    CHECK_FALSE(answered.shouldHedge(now + 1s));
}

TEST_CASE("one missed deadline abandons every pooled connection of an address")
{
    TimePoint now(1s);
    ConnectionGenerations generations;
    const auto first = *generations.begin(now);
    const auto second = *generations.begin(now);
    CHECK_FALSE(generations.missed(first, first.deadline - 1us));
    CHECK(generations.missed(first, first.deadline));
    CHECK_FALSE(generations.usable(first.generation));
    // The other exchange of the same generation abandons nothing more, and its late answer does not revive the generation.
    CHECK_FALSE(generations.missed(second, second.deadline));
    generations.answered(second);
    CHECK(generations.reachability() == Reachability::Suspect);
    now = first.deadline;
    const auto fresh = *generations.begin(now);
    CHECK(generations.usable(fresh.generation));
    generations.answered(fresh);
    CHECK(generations.reachability() == Reachability::Answering);
}

TEST_CASE("an address whose new connections stay silent is only probed at intervals")
{
    SilenceSettings settings;
    TimePoint now(1s);
    ConnectionGenerations generations(settings);
    for (std::uint32_t i = 0; i <= settings.unreachableAfter; ++i) {
        const auto exchange = *generations.begin(now);
        now = exchange.deadline;
        CHECK(generations.missed(exchange, now));
    }
    CHECK(generations.reachability() == Reachability::Unreachable);
    CHECK_FALSE(generations.begin(now));
    now += settings.probeInterval;
    const auto trial = generations.begin(now);
    REQUIRE(trial);
    CHECK_FALSE(generations.begin(now));
    generations.answered(*trial);
    CHECK(generations.reachability() == Reachability::Answering);
}

TEST_CASE("a limit grows with successes, follows the gradient and drops at once when the upstream turns cold")
{
    ConcurrencySettings settings;
    ConcurrencyLimit limit(settings);
    limit.onEpoch(1);
    CHECK(limit.limit() == settings.cold);
    auto succeed = [&](int count, double slowdown) {
        for (int i = 0; i < count; ++i)
            limit.onSuccesses(1, limit.limit(), slowdown);
    };
    succeed(500, 1.0);
    CHECK(limit.limit() == settings.max);
    succeed(300, 2.5);
    CHECK(limit.limit() < settings.max);
    // A slowdown that persists at lower load is the upstream's normal speed.
    succeed(3000, 2.5);
    CHECK(limit.limit() == settings.max);

    SECTION("an unused limit does not grow")
    {
        ConcurrencyLimit idle(settings);
        idle.onSuccesses(1000, 0, 1);
        CHECK(idle.limit() == settings.cold);
    }
    SECTION("a new epoch")
    {
        CHECK(limit.onEpoch(2) == LimitChange::ResetToCold);
        CHECK(limit.onEpoch(1) == LimitChange::None);
        CHECK(limit.limit() == settings.cold);
    }
    SECTION("a burst of errors")
    {
        limit.onErrors(2);
        limit.onSuccesses(1, 1, 1);
        CHECK(limit.onErrors(2) == LimitChange::None);
        CHECK(limit.onErrors(1) == LimitChange::ResetToCold);
        CHECK(limit.limit() == settings.cold);
    }
    SECTION("a step in first-token time")
    {
        for (std::uint32_t i = 1; i < settings.stepSamples; ++i)
            CHECK(limit.onSuccesses(1, 1, 40) == LimitChange::None);
        CHECK(limit.onSuccesses(1, 1, 40) == LimitChange::ResetToCold);
        CHECK(limit.limit() == settings.cold);
    }
}
