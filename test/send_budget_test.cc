#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "goldcrestwood/send_budget.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

bool takeAtOnce(SendBudget& budget, TimePoint now)
{
    if (!budget.reserve(now))
        return false;
    budget.onSent(now);
    return true;
}

/// Requests and further sends of a whole site, and the bound on any window of them.
class SiteRecord {
public:
    explicit SiteRecord(SiteBounds siteBounds)
        : bounds(siteBounds)
    {
    }

    void onRequest(TimePoint now) { this->requests.push_back(now); }
    void onSent(TimePoint now) { this->sends.push_back(now); }

    /// @return The most further sends in a window beyond what its requests and the slack allow; negative if there is room.
    /// Requests count in the window itself, the one before it or the one half a window before it, whichever has most.
    double excess() const
    {
        const auto window = this->bounds.retryWindow;
        double most = -this->bounds.retrySlack;
        for (const auto end : this->sends) {
            const auto known = std::max({ this->inWindow(this->requests, end), this->inWindow(this->requests, end - window / 2), this->inWindow(this->requests, end - window) });
            most = std::max(most, this->inWindow(this->sends, end) - this->bounds.retryRatio * known - this->bounds.retrySlack);
        }
        return most;
    }

private:
    /// @return Entries of the sorted @p times in the window that ends at @p end.
    double inWindow(const std::vector<TimePoint>& times, TimePoint end) const
    {
        const auto from = std::upper_bound(times.begin(), times.end(), end - this->bounds.retryWindow);
        return static_cast<double>(std::upper_bound(from, times.end(), end) - from);
    }

    SiteBounds bounds;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> sends;
};

/// A site of 90 daemons that get 800 requests a second for one service.
class BusySite {
public:
    BusySite()
        : record(this->bounds)
    {
        this->budgets.assign(size, SendBudgets(this->bounds, this->now - 1min));
        this->meet();
    }

    /// All daemons learn of each other.
    void meet()
    {
        for (auto& budget : this->budgets)
            budget.setDaemons(size);
    }

    /// All daemons are new processes that know nobody.
    void restart() { this->budgets.assign(size, SendBudgets(this->bounds, this->now)); }

    /// @param receivers Daemons that callers come to.
    /// @param isFailing Whether requests are sent again as often as the budget allows.
    void play(Duration length, std::size_t receivers, bool isFailing)
    {
        for (const auto end = this->now + length; this->now < end; this->now += 10ms)
            for (std::size_t each = 0; each < 8; ++each, ++this->requests) {
                auto& budget = this->budgets[this->requests % receivers].of(service);
                budget.onRequest(this->now);
                this->record.onRequest(this->now);
                while (isFailing && takeAtOnce(budget, this->now))
                    this->record.onSent(this->now);
            }
    }

    double excess() const { return this->record.excess(); }

    static constexpr std::size_t size = 90;
    const SiteBounds bounds { .retrySlack = 220 };

private:
    const ServiceName service { "kiln-voice" };
    std::vector<SendBudgets> budgets;
    SiteRecord record;
    TimePoint now { 100s };
    std::size_t requests = 0;
};

} // namespace

TEST_CASE("all daemons together stay within the site's budget when every answer fails")
{
    // Load pattern: 100 requests a second over seven daemons for half a minute, each of which would be sent again.
    SiteBounds bounds;
    constexpr std::size_t daemons = 7;
    const TimePoint start { 100s };
    std::vector<SendBudget> budgets(daemons, SendBudget(bounds, start - bounds.retryWindow));
    for (auto& budget : budgets)
        budget.setDaemons(daemons);
    std::vector<TimePoint> sends;
    std::vector<TimePoint> requests;
    for (int number = 0; number < 3000; ++number) {
        const auto now = start + number * 10ms;
        auto& budget = budgets[static_cast<std::size_t>(number) % daemons];
        budget.onRequest(now);
        requests.push_back(now);
        if (takeAtOnce(budget, now))
            sends.push_back(now);
        const auto inWindow = [&](const std::vector<TimePoint>& times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [&](TimePoint time) { return now - time < bounds.retryWindow; }));
        };
        REQUIRE(inWindow(sends) <= bounds.retryRatio * inWindow(requests) + bounds.retrySlack);
    }
    // The budget is of use: more than a tenth of the requests had a second chance.
    CHECK(sends.size() > 300);
}

TEST_CASE("what was taken comes back after the window")
{
    SiteBounds bounds;
    bounds.retrySlack = 30;
    const TimePoint start { 100s };
    SendBudget budget(bounds, start - bounds.retryWindow);
    int taken = 0;
    while (takeAtOnce(budget, start))
        ++taken;
    CHECK(taken > 0);
    CHECK_FALSE(takeAtOnce(budget, start + 9s));
    CHECK(takeAtOnce(budget, start + 10100ms));
}

TEST_CASE("a budget that is made between two heartbeats has the share of a site of many daemons")
{
    SiteBounds bounds;
    bounds.retrySlack = 220;
    const TimePoint start { 100s };
    SendBudgets budgets(bounds, start - bounds.retryWindow);
    budgets.setDaemons(90);
    auto& budget = budgets.of(ServiceName("crock-desk"));
    CHECK(budget.account(start).sharers == 90);
    CHECK(90 * budget.left(start) <= bounds.retrySlack);
}

TEST_CASE("daemons that all restart in the middle of a window stay within the site's budget")
{
    // Load pattern: replicas turn all away; all daemons lose power 4 s later, and know nobody for the first second.
    constexpr std::size_t daemons = 90;
    const ServiceName service("kiln-voice");
    SiteBounds bounds;
    bounds.retrySlack = 220;
    const TimePoint start { 100s };
    const auto restart = start + 4s;
    std::vector<SendBudgets> budgets(daemons, SendBudgets(bounds, start - 1min));
    for (auto& budget : budgets)
        budget.setDaemons(daemons);
    std::size_t requests = 0;
    std::size_t sends = 0;
    for (auto now = start; now < start + bounds.retryWindow; now += 10ms) {
        if (now == restart)
            budgets.assign(daemons, SendBudgets(bounds, restart));
        if (now == restart + 1s)
            for (auto& budget : budgets)
                budget.setDaemons(daemons);
        for (std::size_t each = 0; each < 10; ++each, ++requests) {
            auto& budget = budgets[requests % daemons].of(service);
            budget.onRequest(now);
            while (takeAtOnce(budget, now))
                ++sends;
        }
    }
    CHECK(static_cast<double>(sends) <= bounds.retryRatio * static_cast<double>(requests) + bounds.retrySlack);
    CHECK(static_cast<double>(sends) > 0.5 * bounds.retryRatio * static_cast<double>(requests));
}

TEST_CASE("daemons that all restart after a calm window stay within the site's budget")
{
    // Load pattern: nothing fails for a window, then replicas turn all away; all daemons lose power 5 s later.
    BusySite site;
    site.play(site.bounds.retryWindow, BusySite::size, false);
    site.play(5s, BusySite::size, true);
    site.restart();
    site.play(1s, BusySite::size, true);
    site.meet();
    site.play(site.bounds.retryWindow, BusySite::size, true);
    CHECK(site.excess() <= 0);
}

TEST_CASE("callers that come to other daemons while everything fails do not raise the site's budget")
{
    // Load pattern: replicas turn all away; half of the daemons lose power a second later and their callers come to the others.
    BusySite site;
    site.play(site.bounds.retryWindow, BusySite::size, false);
    site.play(1s, BusySite::size, true);
    site.play(site.bounds.retryWindow, BusySite::size / 2, true);
    CHECK(site.excess() <= 0);
}

TEST_CASE("parts of a site that cannot hear each other share one slack")
{
    SiteBounds bounds;
    bounds.retrySlack = 200;
    const TimePoint start { 100s };
    constexpr std::size_t daemons = 76;
    constexpr std::size_t parts = 4;
    SendBudget budget(bounds, start - bounds.retryWindow);
    budget.setDaemons(daemons);
    budget.setDaemons(daemons / parts);
    CHECK(daemons * budget.left(start) <= bounds.retrySlack);
}

TEST_CASE("further sends that wait for a place and leave together stay within the budget of their window")
{
    // Load pattern: all upstreams are full for 6 s while requests fail, then all that wait leave together.
    SiteBounds bounds;
    const TimePoint start { 100s };
    const auto opening = start + 16s;
    SendBudget budget(bounds, start - bounds.retryWindow);
    std::size_t waiting = 0;
    std::size_t sends = 0;
    std::size_t requests = 0;
    for (auto now = start; now < opening + 4s; now += 10ms) {
        budget.onRequest(now);
        const bool isInWindow = now >= opening - 6s;
        requests += isInWindow ? 1 : 0;
        while (budget.reserve(now)) {
            if (now < opening) {
                ++waiting;
                continue;
            }
            budget.onSent(now);
            ++sends;
        }
        for (; now >= opening && waiting > 0; --waiting, ++sends)
            budget.onSent(now);
    }
    CHECK(static_cast<double>(sends) <= bounds.retryRatio * static_cast<double>(requests) + bounds.retrySlack);
    CHECK(sends > 0);
}

TEST_CASE("a further send that does not leave is given back")
{
    SiteBounds bounds;
    const TimePoint start { 100s };
    SendBudget budget(bounds, start - bounds.retryWindow);
    const auto before = budget.account(start);
    REQUIRE(budget.reserve(start));
    CHECK(budget.account(start) != before);
    budget.release();
    CHECK(budget.account(start) == before);
}

TEST_CASE("the first processes of a site have their slack at once, a restarted one after a window")
{
    const SiteBounds bounds;
    const TimePoint start { 100s };
    CHECK(SendBudget(bounds, std::nullopt).reserve(start));
    SendBudget restarted(bounds, start);
    CHECK_FALSE(restarted.reserve(start + bounds.retryWindow - 1ms));
    CHECK(restarted.reserve(start + bounds.retryWindow));
}
