#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>

#include "board_site.h"

using namespace board_site;

namespace {

/// @return Requests that the rule allows in its window.
double allowedBy(double limit)
{
    const SiteBounds bounds;
    return bounds.limitFactor * limit * toSeconds(bounds.limitWindow) + bounds.limitSlack;
}

/// The boards of several daemons before one plain upstream, and the requests that they send to it.
struct LimitedSite {
    explicit LimitedSite(int count)
    {
        std::vector<DaemonCapacity> daemons;
        daemons.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number)
            daemons.push_back({ InstanceId("daemon-" + std::to_string(number)), number % 3 == 0 ? 0.5 : 0.12 });
        for (const auto& daemon : daemons) {
            this->sites.push_back(std::make_unique<Site>(0, daemon.instance.value.c_str()));
            auto& board = this->sites.back()->board;
            board.setUpstream(this->entry, start);
            board.setDaemons(daemons);
            board.setWholeSiteKnown();
        }
    }

    /// The first daemon reads an answer; the others learn of it in a report.
    void name(std::optional<double> perSecond, TimePoint now)
    {
        auto& first = this->sites.front()->board;
        REQUIRE(first.onRequestLimit(this->entry.id, this->entry.born, { perSecond, now - 20ms, now }));
        const auto notice = first.limitNotice(false, now).value();
        for (std::size_t number = 1; number < this->sites.size(); ++number)
            REQUIRE(this->sites[number]->board.onPeerLimits(notice, now).size() == 1);
    }

    /// Daemons send whenever they may.
    /// @param busy How many of them have requests; all if nothing is given.
    void play(TimePoint from, TimePoint to, std::optional<std::size_t> busy = std::nullopt)
    {
        for (auto now = from; now < to; now += 20ms)
            for (std::size_t number = 0; number < busy.value_or(this->sites.size()); ++number) {
                auto& site = this->sites[number];
                PlacementRefusal refusal {};
                const auto choice = site->board.choose(plainRequest(), {}, now, refusal);
                if (!choice)
                    continue;
                site->board.begin(*choice, plainRequest(), now);
                site->board.finish(*choice, plainRequest(), true, AttemptResult::Answered, now);
                this->sent.push_back(now);
                ++this->sentBy[number];
            }
    }

    /// @return Requests from @p from on.
    std::size_t count(TimePoint from) const { return static_cast<std::size_t>(this->sent.end() - std::lower_bound(this->sent.begin(), this->sent.end(), from)); }

    /// @return The most requests in any span of @p window that ends with a request from @p from on.
    std::size_t most(Duration window, TimePoint from) const
    {
        std::size_t result = 0;
        for (auto last = std::lower_bound(this->sent.begin(), this->sent.end(), from); last != this->sent.end(); ++last)
            result = std::max(result, static_cast<std::size_t>(last + 1 - std::upper_bound(this->sent.begin(), last, *last - window)));
        return result;
    }

    RegistryEntry entry = entryOf(1, plain);
    std::vector<std::unique_ptr<Site>> sites;
    std::vector<TimePoint> sent; ///< In order.
    std::map<std::size_t, std::size_t> sentBy; ///< Number of requests by daemon.
};

} // namespace

TEST_CASE("all daemons together keep to the request limit of an upstream, and use it")
{
    const SiteBounds bounds;
    for (const int daemons : { 1, 2, 7, 30, 295 })
        for (const double limit : { 0.0, 0.5, 1.0, 2.7, 6.5, 40.0 }) {
            CAPTURE(daemons, limit);
            LimitedSite site(daemons);
            site.name(limit, start);
            site.play(start, start + 35s);
            REQUIRE(static_cast<double>(site.most(bounds.limitWindow, start)) <= allowedBy(limit));
            REQUIRE(static_cast<double>(site.count(start + 5s)) >= 0.8 * limit * 30);
        }
}

TEST_CASE("requests from before a limit was named count against it, whichever daemons sent them")
{
    const SiteBounds bounds;
    for (const std::size_t busy : { 1, 2, 7 })
        for (const double limit : { 0.0, 1.0, 6.5, 40.0 }) {
            CAPTURE(busy, limit);
            LimitedSite site(7);
            site.play(start - 6s, start, busy);
            site.name(limit, start);
            site.play(start, start + 15s);
            REQUIRE(static_cast<double>(site.most(bounds.limitWindow, start + bounds.contactTime)) <= allowedBy(limit));
        }
}

TEST_CASE("a limit that falls counts the requests from before")
{
    const SiteBounds bounds;
    LimitedSite site(7);
    site.name(10.0, start);
    site.play(start, start + 10s);
    site.name(1.5, start + 10s);
    site.play(start + 10s, start + 20s);
    REQUIRE(static_cast<double>(site.most(bounds.limitWindow, start + 10s + bounds.contactTime)) <= allowedBy(1.5));
}

TEST_CASE("a daemon that does not know the whole site sends nothing to a limited upstream")
{
    Site site;
    const auto entry = entryOf(1, plain);
    site.board.setUpstream(entry, start);
    REQUIRE(site.board.onRequestLimit(entry.id, entry.born, { 5.0, start, start }));
    PlacementRefusal refusal {};
    REQUIRE_FALSE(site.board.choose(plainRequest(), {}, start + 60s, refusal));
    REQUIRE(refusal == PlacementRefusal::Full);
    REQUIRE(site.board.obstaclesOf(plainRequest(), {}, start + 60s).text() == "limited:1");
}

TEST_CASE("a limit above what an upstream gets holds up nothing")
{
    LimitedSite site(7);
    for (auto now = start; now < start + 6s; now += 100ms)
        site.play(now, now + 20ms, 2); // 20 a second.
    site.name(40.0, start + 6s);
    const auto before = site.sentBy[0];
    for (auto now = start + 6s; now < start + 9s; now += 100ms)
        site.play(now, now + 20ms, 2);
    // The share of the first daemon is 10 a second.
    REQUIRE(site.sentBy[0] - before >= 24);
}

TEST_CASE("a limit that varies a little with each answer is used as any other")
{
    const SiteBounds bounds;
    LimitedSite site(2);
    site.name(6.5, start);
    for (int second = 0; second < 20; ++second) {
        site.play(start + second * 1s, start + (second + 1) * 1s);
        site.name(second % 2 == 0 ? 6.4 : 6.5, start + (second + 1) * 1s);
    }
    REQUIRE(static_cast<double>(site.most(bounds.limitWindow, start)) <= allowedBy(6.4));
    REQUIRE(static_cast<double>(site.count(start + 5s)) >= 0.8 * 6.4 * 15);
    // The second daemon hears of each change in a report; it has a fifth of the site's capacity.
    REQUIRE(static_cast<double>(site.sentBy[1]) >= 0.8 * 6.4 * 15 / 5);
}

TEST_CASE("a lifted limit leaves nothing behind at any daemon")
{
    LimitedSite site(7);
    site.name(1.0, start);
    site.play(start, start + 6s);
    site.sent.clear();
    site.name(std::nullopt, start + 6s);
    site.play(start + 6s, start + 7s);
    REQUIRE(site.sent.size() == 350); // 7 daemons, 50 times.
    for (const auto& one : site.sites)
        REQUIRE_FALSE(one->board.limitNotice(true, start + 20s));
}

TEST_CASE("a report with an absurd age is an old one")
{
    LimitedSite site(1);
    site.name(1.0, start);
    const auto oldest = std::numeric_limits<std::uint64_t>::max() / 2;
    auto& board = site.sites.front()->board;
    REQUIRE(board.onPeerLimits({ { { site.entry.id, site.entry.born, std::nullopt, oldest, oldest, 0 } } }, start).empty());
    REQUIRE(board.requestLimit(site.entry.id) == 1.0);
}

TEST_CASE("a limit holds for one incarnation, also while its registry entry is missing")
{
    LimitedSite site(2);
    site.name(1.0, start);
    auto& board = site.sites.front()->board;
    REQUIRE_FALSE(board.onRequestLimit(site.entry.id, site.entry.born + 1, { 9.0, start + 1s, start + 1s }));
    board.removeUpstream(site.entry.id);
    board.setUpstream(site.entry, start + 2s);
    REQUIRE(board.requestLimit(site.entry.id) == 1.0);
    auto restarted = site.entry;
    ++restarted.born;
    board.setUpstream(restarted, start + 3s);
    REQUIRE_FALSE(board.requestLimit(site.entry.id));
}

TEST_CASE("the turn of a request behind waiting ones is known")
{
    LimitedSite site(1);
    site.name(2.0, start);
    auto& board = site.sites.front()->board;
    const auto first = board.nextAvailableAt(plainRequest(), {}, 0, start).value();
    REQUIRE(first <= start + 1s);
    REQUIRE(std::abs(toMs(*board.nextAvailableAt(plainRequest(), {}, 10, start) - first) - 5000) < 1);
    // An upstream without a limit may have room at any time.
    board.setUpstream(entryOf(2, plain), start);
    REQUIRE_FALSE(board.nextAvailableAt(plainRequest(), {}, 0, start));
}
