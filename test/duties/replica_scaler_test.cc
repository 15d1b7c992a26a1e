#include <cmath>
#include <numbers>

#include <catch2/catch.hpp>

#include "../../support/bench/scale_model.h"

using namespace scale_model;

namespace {

const Autoscale wide { 1, 5000, 8s };

/// Demand that swings by half around a mean, out of phase between domains.
std::function<double(std::size_t, double)> swing(double mean, double period, std::size_t domains)
{
    return [=](std::size_t domain, double seconds) {
        const auto phase = static_cast<double>(domain) / static_cast<double>(domains);
        return mean * (1 + 0.5 * std::sin(2 * std::numbers::pi * (seconds / period + phase)));
    };
}

auto constant(double demand)
{
    return [=](std::size_t, double) { return demand; };
}

} // namespace

TEST_CASE("swinging demand gets a number that covers its peaks, also after the loss of a domain, and stays")
{
    struct Case {
        std::size_t domains;
        double mean;
        double period;
    };
    for (const auto& [domains, mean, period] : { Case { 2, 4, 10 }, Case { 4, 6, 12 }, Case { 14, 1, 15 }, Case { 14, 150, 13 } }) {
        INFO(domains << " domains, mean " << mean << ", period " << period);
        Site site(domains, static_cast<std::uint32_t>(std::ceil(mean)), wide, swing(mean, period, domains));
        site.run(100s);
        const auto before = site.sum();
        const auto orders = site.run(60s);
        // Guards against numbers that follow each swing.
        CHECK(orders.size() <= domains);
        CHECK(std::abs(static_cast<double>(site.sum()) - before) <= static_cast<double>(domains));
        const auto largest = *std::max_element(site.ready.begin(), site.ready.end());
        double peak = 0;
        for (double seconds = 0; seconds < period; seconds += 0.1) {
            double all = 0;
            for (std::size_t domain = 0; domain < domains; ++domain)
                all += site.demand(domain, seconds);
            peak = std::max(peak, all);
        }
        for (const auto number : site.ready)
            CHECK(number >= mean * 1.5);
        CHECK(site.sum() - largest >= peak);
        // Guards against a reserve for each domain rather than for one: half a replica more for each is rounding.
        const auto all = static_cast<double>(domains);
        CHECK(site.sum() <= std::max(all * mean * 1.5 / 0.7, all / (all - 1) * peak / 0.95) * 1.2 + all);
    }
}

TEST_CASE("replicas that boot when the holder begins are not taken for missing")
{
    Site site(2, 3, wide, constant(4));
    // Guards against a request for a few replicas more than are ready, which would end those that boot.
    CHECK(site.run(6s).empty());
    site.ready.assign(2, 20);
    CHECK(site.run(8s).empty());
}

TEST_CASE("a burst gets replicas at once, and no more for the same demand while they boot")
{
    double demand = 5;
    Site site(4, 9, wide, [&](std::size_t, double) { return demand; });
    site.run(40s);
    const auto before = site.sum();
    demand = 12;
    const auto onset = site.run(3s);
    CHECK(count(onset, ScaleReason::Increase) >= 4);
    const auto ordered = site.scaler.desired();
    for (const auto& [domain, number] : ordered)
        CHECK(number >= 12);
    // The requests that wait while replicas boot are the same demand, and their number grows.
    demand = 16;
    CHECK(count(site.run(4s), ScaleReason::Increase) == 0);
    CHECK(site.scaler.desired() == ordered);
    CHECK(site.sum() == before);
}

TEST_CASE("replicas are removed slowly, only after a full period of low demand, and within the bounds")
{
    double demand = 10;
    Site site(4, 20, { 6, 16, 8s }, [&](std::size_t, double) { return demand; });
    site.run(60s);
    for (const auto number : site.ready) {
        CHECK(number <= 16);
        CHECK(number >= 14);
    }
    demand = 1;
    const auto before = site.ready;
    // Guards against removals in a trough of the swing.
    CHECK(site.run(14s).empty());
    CHECK(site.ready == before);
    for (int seconds = 0; seconds < 60; seconds += 5) {
        const auto last = site.ready;
        site.run(5s);
        for (std::size_t domain = 0; domain < last.size(); ++domain)
            CHECK(last[domain] - site.ready[domain] <= 2);
    }
    site.run(60s);
    CHECK(site.ready == std::vector<std::uint32_t>(4, 6));
    demand = 100;
    site.run(30s);
    CHECK(site.ready == std::vector<std::uint32_t>(4, 16));
}

TEST_CASE("after the loss of a domain the others get what it served, and no domain loses replicas")
{
    Site site(4, 9, wide, constant(5));
    site.run(60s);
    const auto before = site.ready;
    site.lost.insert(0);
    const auto orders = site.run(60s);
    CHECK(count(orders, ScaleReason::Decrease) == 0);
    for (const auto& order : orders) {
        // The platform restores the lost domain; its number is only repeated.
        if (order.domain == site.name(0))
            CHECK(order.desired == before[0]);
    }
    for (std::size_t domain = 1; domain < 4; ++domain)
        CHECK(site.ready[domain] >= 20.0 / 3 / 0.7);
    site.lost.clear();
    CHECK(count(site.run(60s), ScaleReason::Increase) == 0);
    CHECK(site.sum() <= 40);
}

TEST_CASE("impaired replicas and missing figures keep the present number")
{
    Site site(4, 20, wide, constant(2));
    site.impaired = 1;
    // Guards against a scale-down while the load of failing replicas moves to others.
    CHECK(site.run(40s).empty());
    site.impaired = 0;
    site.isBlind = true;
    CHECK(site.run(10s).empty());
    site.isBlind = false;
    // The demand during the gap is unknown, so that the period begins again.
    CHECK(site.run(14s).empty());
    CHECK(count(site.run(10s), ScaleReason::Decrease) > 0);
}

TEST_CASE("without the figures of some daemons replicas are added but not removed")
{
    double demand = 2;
    Site site(4, 20, wide, [&](std::size_t, double) { return demand; });
    site.isWhole = false;
    CHECK(site.run(40s).empty());
    demand = 16;
    CHECK(count(site.run(4s), ScaleReason::Increase) >= 4);
}

TEST_CASE("a short gap in the figures does not interrupt the period")
{
    Site site(4, 20, wide, constant(2));
    site.run(10s);
    site.isBlind = true;
    CHECK(site.run(1s).empty());
    site.isBlind = false;
    // A period that began again after the gap would end at 26 s.
    CHECK(count(site.run(9s), ScaleReason::Decrease) > 0);
}

TEST_CASE("an unanswered order is retried, and repeated once no older call can be executed any more")
{
    Site site(2, 4, wide, constant(4));
    site.answer = DutyOutcome::Unknown;
    const auto first = site.run(10500ms);
    REQUIRE(count(first, ScaleReason::Increase) == 2);
    site.answer = DutyOutcome::Accepted;
    const auto lastUnanswered = site.now;
    const auto retries = site.run(2s);
    REQUIRE(count(retries, ScaleReason::Retry) == 2);
    // The unanswered call and the accepted one ask for the same; a later number could still be undone by the former.
    CHECK(site.run(8s).empty());
    const auto repeats = site.run(4s);
    CHECK(count(repeats, ScaleReason::Repeat) == 2);
    CHECK(site.now - lastUnanswered < 15s);
    CHECK(site.run(8s).empty());
}

TEST_CASE("a number that the platform does not follow is repeated, and a call without an answer is retried")
{
    Site site(2, 4, wide, constant(4));
    const auto nextOrders = [&] {
        std::vector<ScaleOrder> orders;
        while (orders.empty()) {
            site.now += interval;
            orders = site.scaler.decide(site.view(), site.now);
        }
        return orders;
    };
    CHECK(count(nextOrders(), ScaleReason::Increase) == 2);
    const auto called = site.now;
    const auto retries = nextOrders();
    REQUIRE(count(retries, ScaleReason::Retry) == 2);
    // One call at a time: two calls under way could be executed in the other order.
    CHECK(site.now - called >= 4s);
    for (const auto& order : retries)
        site.scaler.onOutcome(order, DutyOutcome::Accepted, site.now);
    // An older call was executed after the accepted one: the replicas stay as they were.
    CHECK(count(site.run(13s), ScaleReason::Repeat) == 2);
    site.run(9s);
    CHECK(site.scaler.desired().at(site.name(0)) == site.ready[0]);
}

TEST_CASE("a refused order is retried with the newest number, one that was not sent keeps its urgency, and a fenced holder is silent")
{
    double demand = 4;
    Site site(2, 4, wide, [&](std::size_t, double) { return demand; });
    site.answer = DutyOutcome::TooManyCalls;
    const auto first = site.run(10500ms);
    REQUIRE(count(first, ScaleReason::Increase) == 2);
    demand = 8;
    site.answer = std::nullopt;
    const auto unsent = site.run(2s);
    REQUIRE_FALSE(unsent.empty());
    CHECK(unsent.back().reason == ScaleReason::Increase);
    CHECK(unsent.back().desired > first.back().desired);
    site.answer = DutyOutcome::Fenced;
    site.step();
    CHECK(site.run(20s).empty());
}

TEST_CASE("a successor repeats the recorded numbers, then decides afresh")
{
    Site site(4, 9, wide, constant(5));
    for (std::size_t domain = 0; domain < 4; ++domain)
        site.scaler.onRecorded(site.name(domain), 12, site.now);
    const auto orders = site.run(3s);
    REQUIRE(orders.size() == 4);
    for (const auto& order : orders) {
        CHECK(order.reason == ScaleReason::Retry);
        CHECK(order.desired == 12);
    }
    // A call of the former holder may be executed after the first repeat.
    const auto later = site.run(11s);
    CHECK(count(later, ScaleReason::Repeat) == 4);
    CHECK(later.size() == 4);
    site.run(60s);
    CHECK(site.sum() < 48);
}
