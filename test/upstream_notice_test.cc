#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>

#include "goldcrestwood/upstream_board.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
const ServiceName plain("plain");
const UpstreamNotice leaving { true, std::nullopt };

UpstreamNotice backoffFor(Duration duration)
{
    return { false, duration };
}

RouteTable services()
{
    TrafficConfiguration configuration;
    configuration.services.push_back({ plain, "", 96, 0, std::nullopt, std::nullopt });
    return RouteTable(configuration);
}

RegistryEntry entryOf(int number, std::int64_t born = 1)
{
    RegistryEntry entry;
    entry.id = UpstreamId("i-" + std::to_string(number));
    entry.service = plain;
    entry.address = "10.0.0." + std::to_string(number) + ":80";
    entry.slots = 6;
    entry.born = born;
    return entry;
}

struct Site {
    explicit Site(int upstreams = 0)
        : board(InstanceId("self"), SiteBounds {}, this->parts)
    {
        this->board.setServices(services());
        for (int number = 1; number <= upstreams; ++number)
            this->board.setUpstream(entryOf(number), start);
    }

    std::optional<PlacementChoice> choose(TimePoint now, const std::set<UpstreamId>& tried = {})
    {
        PlacementRequest request;
        request.service = plain;
        return this->board.choose(request, tried, now, this->refusal);
    }

    std::string obstacles(TimePoint now)
    {
        PlacementRequest request;
        request.service = plain;
        return this->board.obstaclesOf(request, {}, now).text();
    }

    std::optional<TimePoint> nextAvailable(TimePoint now)
    {
        PlacementRequest request;
        request.service = plain;
        return this->board.nextAvailableAt(request, {}, 0, now);
    }

    PartDirectory parts;
    UpstreamBoard board;
    PlacementRefusal refusal = PlacementRefusal::NoUpstream;
};

const UpstreamId one("i-1");
const UpstreamId two("i-2");

} // namespace

TEST_CASE("a draining upstream gets only requests that no other takes, and after the drain period none")
{
    Site site(2);
    CHECK(site.board.onNotice(one, 1, leaving, start));
    CHECK_FALSE(site.board.onNotice(one, 1, leaving, start + 1s));
    for (int number = 0; number < 10; ++number)
        CHECK(site.choose(start)->upstream == two);
    // The bounds allow two seconds from the first answer with the notice.
    CHECK(site.choose(start + 1700ms, { two })->upstream == one);
    CHECK_FALSE(site.choose(start + 1800ms, { two }));
    CHECK(site.board.leavingAddresses() == std::vector<std::string> { "10.0.0.1:80" });
}

TEST_CASE("an upstream that asked for backoff gets no requests, even if there is no other")
{
    Site site(2);
    CHECK(site.board.onNotice(one, 1, backoffFor(3s), start));
    // A later notice with an earlier end does not shorten the backoff.
    CHECK_FALSE(site.board.onNotice(one, 1, backoffFor(1s), start + 1s));
    CHECK(site.choose(start)->upstream == two);
    CHECK_FALSE(site.choose(start, { two }));
    CHECK(site.board.backoffRemaining(one, start + 1s) == 2s);
    CHECK_FALSE(site.choose(start + 2990ms, { two }));
    CHECK(site.choose(start + 3s, { two })->upstream == one);
}

TEST_CASE("a notice applies to the incarnation that sent it, not to its name or address")
{
    Site site(1);
    const auto notice = GENERATE(as<UpstreamNotice> {}, leaving, backoffFor(60s));
    site.board.onNotice(one, 1, notice, start);
    CHECK_FALSE(site.choose(start + 2s));
    site.board.setUpstream(entryOf(1, 2), start + 2s);
    CHECK(site.choose(start + 2s));
    // A late answer of the previous incarnation does not affect this one.
    CHECK_FALSE(site.board.onNotice(one, 1, notice, start + 2s));
    CHECK(site.choose(start + 2s));
}

TEST_CASE("an incarnation whose entry expires and returns is still draining or backing off")
{
    // The registry's store is unavailable for seconds, and entries expire meanwhile.
    Site site(1);
    const auto notice = GENERATE(as<UpstreamNotice> {}, leaving, backoffFor(20s));
    site.board.onNotice(one, 1, notice, start);
    site.board.removeUpstream(one);
    site.board.setUpstream(entryOf(1), start + 5s);
    CHECK_FALSE(site.choose(start + 5s));
    site.board.removeUpstream(one);
    site.board.setUpstream(entryOf(1, 2), start + 6s);
    CHECK(site.choose(start + 6s));
}

TEST_CASE("a choice made before its upstream's notice is not sent any more")
{
    Site site(1);
    const auto before = *site.choose(start);
    CHECK(site.board.maySend(before, start));
    site.board.onNotice(one, 1, leaving, start + 50ms);
    CHECK_FALSE(site.board.maySend(before, start + 100ms));
    const auto lastResort = *site.choose(start + 100ms);
    CHECK(site.board.maySend(lastResort, start + 100ms));
    CHECK_FALSE(site.board.maySend(lastResort, start + 2s));
    site.board.onNotice(one, 1, backoffFor(1s), start + 200ms);
    CHECK_FALSE(site.board.maySend(lastResort, start + 300ms));
}

TEST_CASE("obstacles are counted, and the next end of a backoff is known")
{
    Site site(3);
    site.board.onNotice(one, 1, backoffFor(1s), start);
    site.board.onNotice(two, 1, backoffFor(2s), start);
    CHECK_FALSE(site.nextAvailable(start));
    site.board.onNotice(UpstreamId("i-3"), 1, leaving, start - 5s);
    CHECK(site.obstacles(start) == "leaving:1 resting:2");
    CHECK(site.nextAvailable(start) == start + 1s);
}

namespace {

/// A replica, and for each daemon when it sent notices and what it allows.
struct Replica {
    RegistryEntry entry;
    bool isLeaving = false;
    std::map<std::size_t, TimePoint> leavingNoticeAt; ///< By daemon, the time of its first drain notice.
    std::map<std::size_t, TimePoint> backoffFrom; ///< By daemon, the time of the last refusal with a backoff.
    std::map<std::size_t, TimePoint> backoffUntil;
};

struct Request {
    std::size_t daemon = 0;
    TimePoint sentByClient;
    TimePoint leavesAt; ///< When the daemon sends it, once it has a connection.
    PlacementChoice choice;
    std::set<UpstreamId> tried;
};

/// Simulates daemons and replicas: replicas drain, ask for backoff and restart; requests wait for connections, are retried
/// after refusals, and reach their replica some time after the choice.
class Model {
public:
    Model(std::uint64_t seed, bool followNotices)
        : random(seed)
        , followsNotices(followNotices)
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            this->sites.push_back(std::make_unique<Site>());
        for (int number = 1; number <= 4; ++number)
            this->replicas[UpstreamId("i-" + std::to_string(number))].entry = entryOf(number);
        for (auto& [id, replica] : this->replicas)
            this->announce(replica, start);
    }

    void play()
    {
        for (auto now = start; now < start + 30s; now += 10ms) {
            this->change(now);
            if (this->chance(0.8))
                this->requests.push_back({ this->draw(daemons), now - 5ms, now, {}, {} });
            auto all = std::move(this->requests);
            this->requests.clear();
            for (auto& request : all)
                this->step(std::move(request), now);
        }
    }

    int late = 0; ///< Requests that the client sent after the drain period and that still reached the draining replica.
    int tooEarly = 0; ///< Requests that reached a replica within its backoff, more than half a second after the notice.
    int served = 0;

private:
    static constexpr std::size_t daemons = 5;

    std::size_t draw(std::size_t end) { return std::uniform_int_distribution<std::size_t>(0, end - 1)(this->random); }
    bool chance(double probability) { return uniform(this->random) < probability; }

    void announce(Replica& replica, TimePoint now)
    {
        for (auto& site : this->sites)
            site->board.setUpstream(replica.entry, now);
    }

    void change(TimePoint now)
    {
        if (!this->chance(0.01))
            return;
        auto position = std::next(this->replicas.begin(), static_cast<std::ptrdiff_t>(this->draw(this->replicas.size())));
        auto& replica = position->second;
        if (!replica.isLeaving) {
            replica.isLeaving = true;
            return;
        }
        // It restarts under the same name.
        const auto born = replica.entry.born + 1;
        const auto number = std::stoi(replica.entry.id.value.substr(2));
        replica = {};
        replica.entry = entryOf(number, born);
        this->announce(replica, now);
    }

    void step(Request request, TimePoint now)
    {
        if (now < request.leavesAt) {
            this->requests.push_back(std::move(request));
            return;
        }
        auto& site = *this->sites[request.daemon];
        if (request.choice.upstream.value.empty()) {
            if (now - request.sentByClient > 3s)
                return;
            const auto choice = site.choose(now, request.tried);
            if (choice) {
                request.choice = *choice;
                // A connection may take up to 200 ms.
                request.leavesAt = now + std::chrono::milliseconds(this->draw(20) * 10);
            }
            this->requests.push_back(std::move(request));
            return;
        }
        if (this->followsNotices && !site.board.maySend(request.choice, now))
            request.tried.insert(request.choice.upstream);
        else if (this->arrive(request, now))
            return;
        request.choice = {};
        this->requests.push_back(std::move(request));
    }

    /// @return Whether the request is done.
    bool arrive(Request& request, TimePoint now)
    {
        auto& replica = this->replicas.at(request.choice.upstream);
        auto& board = this->sites[request.daemon]->board;
        if (replica.entry.born != request.choice.born)
            return true; // The connection broke.
        const SiteBounds bounds;
        if (const auto noticed = replica.leavingNoticeAt.find(request.daemon); noticed != replica.leavingNoticeAt.end() && request.sentByClient > noticed->second + bounds.drainTime)
            ++this->late;
        if (const auto until = replica.backoffUntil.find(request.daemon); until != replica.backoffUntil.end() && now < until->second && now > replica.backoffFrom[request.daemon] + 500ms)
            ++this->tooEarly;
        UpstreamNotice notice;
        notice.isLeaving = replica.isLeaving;
        const bool refuses = this->chance(0.1);
        if (refuses) {
            notice.backoff = std::chrono::milliseconds(500 + this->draw(20) * 100);
            replica.backoffFrom[request.daemon] = now;
            replica.backoffUntil[request.daemon] = std::max(replica.backoffUntil[request.daemon], now + *notice.backoff);
            request.tried.insert(request.choice.upstream);
        } else {
            ++this->served;
        }
        if (notice.isLeaving)
            replica.leavingNoticeAt.emplace(request.daemon, now);
        if (this->followsNotices)
            board.onNotice(replica.entry.id, replica.entry.born, notice, now);
        return !refuses;
    }

    Random random;
    bool followsNotices;
    std::vector<std::unique_ptr<Site>> sites;
    std::map<UpstreamId, Replica> replicas;
    std::vector<Request> requests;
};

} // namespace

TEST_CASE("many daemons respect drain and backoff notices, in any interleaving")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Model model(seed, true);
        model.play();
        INFO("seed " << seed);
        CHECK(model.late == 0);
        CHECK(model.tooEarly == 0);
        CHECK(model.served > 500);
    }
}

TEST_CASE("the model of draining and backing-off upstreams violates both rules if daemons ignore the notices")
{
    Model model(1, false);
    model.play();
    CHECK(model.late > 0);
    CHECK(model.tooEarly > 2);
}
