#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "goldcrestwood/send_budget.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

bool reserveAndSend(SendBudget& budget, TimePoint now)
{
    if (!budget.reserve(now))
        return false;
    budget.onSent(now);
    return true;
}

/// Records the requests and further sends of a whole site and checks the bound on every window.
class SiteRecord {
public:
    explicit SiteRecord(SiteBounds siteBounds)
        : bounds(siteBounds)
    {
    }

    void onRequest(TimePoint now) { this->requests.push_back(now); }
    void onSent(TimePoint now) { this->sends.push_back(now); }

    /// @return The largest number of further sends in a window beyond what its requests and the slack allow; negative if below.
    /// The requests of the window itself, of the one before it or of the one half a window earlier count, whichever are most.
    double excess() const
    {
        const auto window = this->bounds.retryWindow;
        double largest = -this->bounds.retrySlack;
        for (const auto end : this->sends) {
            const auto known = std::max({ this->countInWindow(this->requests, end), this->countInWindow(this->requests, end - window / 2), this->countInWindow(this->requests, end - window) });
            largest = std::max(largest, this->countInWindow(this->sends, end) - this->bounds.retryRatio * known - this->bounds.retrySlack);
        }
        return largest;
    }

private:
    /// @return Number of entries of the sorted @p times in the window that ends at @p end.
    double countInWindow(const std::vector<TimePoint>& times, TimePoint end) const
    {
        const auto from = std::upper_bound(times.begin(), times.end(), end - this->bounds.retryWindow);
        return static_cast<double>(std::upper_bound(from, times.end(), end) - from);
    }

    SiteBounds bounds;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> sends;
};

/// A site of 90 daemons that receive 800 requests a second for one service.
class BusySite {
public:
    BusySite()
        : record(this->bounds)
    {
        this->budgets.assign(size, SendBudgets(this->bounds, this->now - 1min));
        this->connectAll();
    }

    /// Makes all daemons known to each other.
    void connectAll()
    {
        for (auto& budget : this->budgets)
            budget.setDaemons(size);
    }

    /// Replaces all daemons by new processes that know no others.
    void restart() { this->budgets.assign(size, SendBudgets(this->bounds, this->now)); }

    /// @param receivers Number of daemons that receive requests.
    /// @param isFailing Whether requests fail and are sent again as often as the budget allows.
    void run(Duration length, std::size_t receivers, bool isFailing)
    {
        for (const auto end = this->now + length; this->now < end; this->now += 10ms)
            for (std::size_t each = 0; each < 8; ++each, ++this->requests) {
                auto& budget = this->budgets[this->requests % receivers].of(service);
                budget.onRequest(this->now);
                this->record.onRequest(this->now);
                while (isFailing && reserveAndSend(budget, this->now))
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
    // Load pattern: 100 requests a second over seven daemons for half a minute; each request would be sent again.
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
        if (reserveAndSend(budget, now))
            sends.push_back(now);
        const auto inWindow = [&](const std::vector<TimePoint>& times) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [&](TimePoint time) { return now - time < bounds.retryWindow; }));
        };
        REQUIRE(inWindow(sends) <= bounds.retryRatio * inWindow(requests) + bounds.retrySlack);
    }
    // The budget is used: more than a tenth of the requests were sent again.
    CHECK(sends.size() > 300);
}

TEST_CASE("the slack is available again after the window")
{
    SiteBounds bounds;
    bounds.retrySlack = 30;
    const TimePoint start { 100s };
    SendBudget budget(bounds, start - bounds.retryWindow);
    int taken = 0;
    while (reserveAndSend(budget, start))
        ++taken;
    CHECK(taken > 0);
    CHECK_FALSE(reserveAndSend(budget, start + 9s));
    CHECK(reserveAndSend(budget, start + 10100ms));
}

TEST_CASE("a budget created between two heartbeats has the slack share for the known number of daemons")
{
    SiteBounds bounds;
    bounds.retrySlack = 220;
    const TimePoint start { 100s };
    SendBudgets budgets(bounds, start - bounds.retryWindow);
    budgets.setDaemons(90);
    auto& budget = budgets.of(ServiceName("crock-desk"));
    CHECK(budget.snapshot(start).sharers == 90);
    CHECK(90 * budget.left(start) <= bounds.retrySlack);
}

TEST_CASE("daemons that all restart in the middle of a window stay within the site's budget")
{
    // Load pattern: replicas reject all requests; all daemons lose power 4 s later and know no others for the first second.
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
            while (reserveAndSend(budget, now))
                ++sends;
        }
    }
    CHECK(static_cast<double>(sends) <= bounds.retryRatio * static_cast<double>(requests) + bounds.retrySlack);
    CHECK(static_cast<double>(sends) > 0.5 * bounds.retryRatio * static_cast<double>(requests));
}

TEST_CASE("daemons that all restart after a window without failures stay within the site's budget")
{
    // Load pattern: nothing fails for a window, then replicas reject all requests; all daemons lose power 5 s later.
    BusySite site;
    site.run(site.bounds.retryWindow, BusySite::size, false);
    site.run(5s, BusySite::size, true);
    site.restart();
    site.run(1s, BusySite::size, true);
    site.connectAll();
    site.run(site.bounds.retryWindow, BusySite::size, true);
    CHECK(site.excess() <= 0);
}

TEST_CASE("callers that move to other daemons while all requests fail do not raise the site's budget")
{
    // Load pattern: replicas reject all requests; half of the daemons lose power a second later and their callers move to the others.
    BusySite site;
    site.run(site.bounds.retryWindow, BusySite::size, false);
    site.run(1s, BusySite::size, true);
    site.run(site.bounds.retryWindow, BusySite::size / 2, true);
    CHECK(site.excess() <= 0);
}

TEST_CASE("the partitions of a site share one slack")
{
    SiteBounds bounds;
    bounds.retrySlack = 200;
    const TimePoint start { 100s };
    constexpr std::size_t daemons = 76;
    constexpr std::size_t partitions = 4;
    SendBudget budget(bounds, start - bounds.retryWindow);
    budget.setDaemons(daemons);
    budget.setDaemons(daemons / partitions);
    CHECK(daemons * budget.left(start) <= bounds.retrySlack);
}

TEST_CASE("further sends that wait for placement and are sent together stay within the budget of their window")
{
    // Load pattern: all upstreams are full for 6 s while requests fail, then all waiting requests are sent together.
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

TEST_CASE("a cancelled further send returns to the budget")
{
    SiteBounds bounds;
    const TimePoint start { 100s };
    SendBudget budget(bounds, start - bounds.retryWindow);
    const auto before = budget.snapshot(start);
    REQUIRE(budget.reserve(start));
    CHECK(budget.snapshot(start) != before);
    budget.release();
    CHECK(budget.snapshot(start) == before);
}

TEST_CASE("the first processes of a site have their slack at once, a restarted process after a window")
{
    const SiteBounds bounds;
    const TimePoint start { 100s };
    CHECK(SendBudget(bounds, std::nullopt).reserve(start));
    SendBudget restarted(bounds, start);
    CHECK_FALSE(restarted.reserve(start + bounds.retryWindow - 1ms));
    CHECK(restarted.reserve(start + bounds.retryWindow));
}
