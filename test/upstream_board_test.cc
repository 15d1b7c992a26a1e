#include <catch2/catch.hpp>

#include "board_site.h"

using namespace goldcrestwood;
using namespace board_site;
using namespace std::chrono_literals;

TEST_CASE("draining, evacuated, weight-loading and unknown upstreams get no requests")
{
    Site site;
    const auto request = plainRequest();
    CHECK_FALSE(site.choose(request));
    site.board.setUpstream(entryOf(1, plain), start);
    CHECK(site.choose(request)->upstream == UpstreamId("plain1"));
    site.board.setEvacuated({ FailureDomain("north") });
    CHECK_FALSE(site.choose(request));
    site.board.setEvacuated({});
    site.board.setLoadingWeights({ UpstreamId("plain1") });
    CHECK_FALSE(site.choose(request));
    site.board.setLoadingWeights({});
    auto draining = entryOf(1, plain);
    draining.isDraining = true;
    site.board.setUpstream(draining, start);
    CHECK_FALSE(site.choose(request));
    CHECK(site.refusal == PlacementRefusal::NoUpstream);
}

TEST_CASE("prompts with the same subject go to one engine until it is busy")
{
    Site site;
    for (int number = 1; number <= 9; ++number)
        site.board.setUpstream(entryOf(number, model), start);
    const auto request = prompt(2000, "rulebook");
    const auto first = site.choose(request);
    REQUIRE(first);
    site.board.begin(*first, request, start);
    site.board.onFirstByte(*first, request, 40ms, start);
    site.board.finish(*first, request, true, AttemptResult::Answered, start);
    const auto second = site.choose(request);
    CHECK(second->upstream == first->upstream);
    CHECK(second->missingTokens == 0);
    // A hot prompt: other engines take over once the prefill queue there costs more than prefilling the prompt again.
    std::set<UpstreamId> used;
    for (int number = 0; number < 12; ++number) {
        const auto big = prompt(8000, ("other" + std::to_string(number)).c_str());
        PlacementChoice forced = *first;
        forced.missingTokens = 8000;
        site.board.begin(forced, big, start);
    }
    CHECK(site.choose(request)->upstream != first->upstream);
}

TEST_CASE("the prefill backlog of less urgent requests does not block a more urgent one, that of its own rank does")
{
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    const auto large = prompt(20000, "large", 2);
    const auto choice = site.choose(large);
    REQUIRE(choice);
    site.board.begin(*choice, large, start);
    const auto urgent = prompt(2000, "urgent", 0);
    CHECK(site.choose(urgent));
    // A short prompt of the same rank is prefilled before the long one.
    CHECK(site.choose(prompt(2000, "short", 2)));
    // Prefilling 20,000 tokens takes longer than the backlog share of the objective allows.
    CHECK_FALSE(site.choose(prompt(5000, "same", 2)));
    CHECK(site.refusal == PlacementRefusal::Full);
}

TEST_CASE("peers' requests in flight count until their reports expire")
{
    Site site;
    site.board.setUpstream(entryOf(1, plain), start);
    const auto request = plainRequest();
    site.board.onPeerUse(InstanceId("peer"), { { UpstreamId("plain1"), 12, 0, {}, {} } }, start);
    CHECK_FALSE(site.choose(request));
    CHECK(site.refusal == PlacementRefusal::Full);
    CHECK(site.choose(request, start + 2600ms));
}

TEST_CASE("a request that exceeds the free memory is refused, but an idle engine takes any")
{
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    const auto huge = prompt(99000, "huge", 0);
    REQUIRE(site.choose(huge));
    const auto small = prompt(300, "small", 0);
    const auto choice = site.choose(small);
    site.board.begin(*choice, small, start);
    CHECK_FALSE(site.choose(huge));
    CHECK(site.refusal == PlacementRefusal::Full);
}

TEST_CASE("a cold upstream gets no more requests from all daemons together than its limit")
{
    // A failure domain returns cold while the daemons have more requests than the other upstreams can take.
    const auto daemons = GENERATE(std::size_t { 7 }, std::size_t { 75 });
    constexpr double coldPerSecond = 17;
    std::vector<InstanceId> names;
    for (std::size_t number = 0; number < daemons; ++number)
        names.emplace_back("d" + std::to_string(number));
    std::vector<DaemonCapacity> all;
    all.reserve(daemons);
    for (const auto& name : names)
        all.push_back({ name, all.size() % 20 == 0 ? 0.5 : 0.12 });
    std::vector<std::unique_ptr<Site>> sites;
    for (std::size_t number = 0; number < daemons; ++number) {
        sites.push_back(std::make_unique<Site>(coldPerSecond, names[number].value.c_str()));
        sites.back()->board.setDaemons(all);
        sites.back()->board.setWholeSiteKnown();
        auto cold = entryOf(1, plain);
        cold.coldRemaining = 3s;
        sites.back()->board.setUpstream(cold, start);
    }
    const auto request = plainRequest();
    std::vector<TimePoint> sends;
    for (auto now = start; now < start + 3s; now += 2ms)
        for (auto& site : sites)
            if (const auto choice = site->choose(request, now)) {
                site->board.begin(*choice, request, now);
                site->board.finish(*choice, request, true, AttemptResult::Answered, now);
                sends.push_back(now);
            }
    const SiteBounds bounds;
    for (const auto sent : sends) {
        const auto inSecond = std::count_if(sends.begin(), sends.end(), [&](TimePoint other) { return other <= sent && sent - other < 1s; });
        REQUIRE(static_cast<double>(inSecond) <= coldPerSecond * bounds.coldRateFactor + bounds.coldRateSlack);
    }
    CHECK(sends.size() >= 30);
    CHECK(sites.front()->choose(request, start + 3s));
}

TEST_CASE("daemons that start together with a cold upstream send it nothing until they know each other")
{
    // A failure domain returns cold just before all daemons restart; each daemon knows few others or none.
    constexpr std::size_t daemons = 90;
    constexpr double coldPerSecond = 11;
    const auto request = plainRequest();
    std::size_t sends = 0;
    std::vector<std::unique_ptr<Site>> sites;
    for (std::size_t number = 0; number < daemons; ++number) {
        const auto name = "d" + std::to_string(number);
        sites.push_back(std::make_unique<Site>(coldPerSecond, name.c_str()));
        auto& site = *sites.back();
        auto cold = entryOf(1, plain);
        cold.coldRemaining = 3s;
        site.board.setUpstream(cold, start);
        if (number % 2 == 0)
            site.board.setDaemons({ { InstanceId(name), 0.12 } });
        while (const auto choice = site.choose(request)) {
            site.board.begin(*choice, request, start);
            site.board.finish(*choice, request, true, AttemptResult::Answered, start);
            ++sends;
        }
    }
    const SiteBounds bounds;
    CHECK(static_cast<double>(sends) <= coldPerSecond * bounds.coldRateFactor + bounds.coldRateSlack);
    sites.front()->board.setWholeSiteKnown();
    CHECK(sites.front()->choose(request));
}

TEST_CASE("an unreachable upstream is avoided for longer after each failure, but used if there is no other")
{
    Site site;
    site.board.setUpstream(entryOf(1, plain), start);
    site.board.setUpstream(entryOf(2, plain), start);
    const auto request = plainRequest();
    const auto one = choiceOf("plain1");
    auto now = start;
    for (int failure = 0; failure < 3; ++failure) {
        site.board.begin(one, request, now);
        site.board.finish(one, request, false, AttemptResult::Unreachable, now);
    }
    CHECK(site.choose(request, now + 1400ms)->upstream == UpstreamId("plain2"));
    CHECK(site.choose(request, now + 1400ms, { UpstreamId("plain2") })->upstream == UpstreamId("plain1"));
    CHECK(site.choose(request, now + 1700ms)->upstream == UpstreamId("plain1"));
}

TEST_CASE("an ended incarnation gets no requests, even before its entry expires")
{
    // A failure domain returns: for seconds its replicas have new names at their old addresses, beside the old entries.
    Site site;
    site.board.setUpstream(entryOf(1, plain), start);
    const auto request = plainRequest();
    auto next = entryOf(1, plain);
    next.id = UpstreamId("plain1-next");
    next.born = 2;
    site.board.setUpstream(next, start);
    CHECK(site.choose(request)->upstream == next.id);
    CHECK(site.board.find(UpstreamId("plain1")) == nullptr);

    site.board.setUpstream(entryOf(2, plain), start);
    const auto ended = choiceOf("plain2");
    site.board.begin(ended, request, start);
    site.board.finish(ended, request, false, AttemptResult::Misdirected, start);
    for (int number = 0; number < 10; ++number) {
        const auto choice = site.choose(request, start + 5s);
        CHECK(choice->upstream == next.id);
        site.board.begin(*choice, request, start + 5s);
    }
}

TEST_CASE("an upstream that fails part of its requests is avoided")
{
    Site site;
    site.board.setUpstream(entryOf(1, plain), start);
    site.board.setUpstream(entryOf(2, plain), start);
    const auto request = plainRequest();
    const auto failing = choiceOf("plain1");
    for (int number = 0; number < 5; ++number) {
        site.board.begin(failing, request, start);
        site.board.finish(failing, request, true, AttemptResult::FailureAnswer, start);
    }
    CHECK(site.choose(request)->upstream == UpstreamId("plain2"));
}

TEST_CASE("only upstreams with the minimum weight version are used")
{
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    auto request = prompt(1000, "x");
    request.minWeightVersion = 2;
    CHECK_FALSE(site.choose(request));
    site.board.setWeights(UpstreamId("model1"), "m", 2);
    const auto choice = site.choose(request);
    REQUIRE(choice);
    CHECK(choice->weightVersion == 2);
    CHECK(choice->scope == "m/w2/all");
}

TEST_CASE("parts are fetched from stores, parts that no store holds are saved, and the private part is neither")
{
    Site site;
    site.parts.setStores({ { "s1", FailureDomain("north"), 1000000 } });
    site.parts.onListing("s1", 1, { { "m/w1/all", "common", 100 } }, start - 10s);
    site.parts.onEvents("s1", 1, {}, start);
    site.board.setUpstream(entryOf(1, model), start);
    const auto choice = site.choose(prompt(2000, "subject"));
    REQUIRE(choice);
    CHECK(choice->fetchFrom == std::vector<std::string> { "s1", "", "" });
    CHECK(choice->saveTo == std::vector<std::string> { "", "s1", "" });
    CHECK(choice->transferredTokens == 100);
    CHECK(choice->missingTokens == 1900);
}

TEST_CASE("a store whose transfers take many times as long is avoided until the samples expire")
{
    Site site;
    site.addEngineAndStore();
    const auto request = prompt(8000, "subject");
    auto choice = site.choose(request);
    REQUIRE(choice->transferredTokens == 7900);
    for (int number = 0; number < 20; ++number)
        site.board.onFirstByte(*choice, request, 1500ms, start);
    CHECK(site.choose(request)->transferredTokens < 7900);
    site.parts.onEvents("s1", 1, {}, start + 10s);
    CHECK(site.choose(request, start + 10s)->transferredTokens == 7900);
}

TEST_CASE("in a large pool the candidates include the prompt's affinity target")
{
    Site site;
    constexpr int engines = 300;
    for (int number = 1; number <= engines; ++number)
        site.board.setUpstream(entryOf(number, model), start);
    const auto request = prompt(2000, "rulebook");
    const auto first = site.choose(request);
    REQUIRE(first);
    site.board.begin(*first, request, start);
    site.board.onFirstByte(*first, request, 40ms, start);
    site.board.finish(*first, request, true, AttemptResult::Answered, start);
    for (int round = 0; round < 50; ++round)
        CHECK(site.choose(request)->upstream == first->upstream);
}

TEST_CASE("a restarted upstream has an empty cache")
{
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    const auto request = prompt(2000, "x");
    const auto choice = site.choose(request);
    site.board.begin(*choice, request, start);
    CHECK(site.choose(request)->missingTokens == 0);
    auto restarted = entryOf(1, model);
    restarted.born = 2;
    site.board.setUpstream(restarted, start);
    CHECK(site.choose(request)->missingTokens == 2000);
    // The counters of requests in flight still balance.
    site.board.finish(*choice, request, false, AttemptResult::Cancelled, start);
    CHECK(site.board.ownUses().empty());
}

TEST_CASE("a slow store is detected even if some engines already hold the parts")
{
    // At a large site the daemons don't follow the engines' caches: a third of the transfers does not take place.
    Site site;
    site.addEngineAndStore();
    const auto request = prompt(8000, "subject");
    const auto choice = site.choose(request);
    REQUIRE(choice->transferredTokens == 7900);
    for (int number = 0; number < 12; ++number)
        site.board.onFirstByte(*choice, request, number % 3 == 0 ? 20ms : 1500ms, start);
    CHECK(site.choose(request)->transferredTokens < 7900);
    // Delays at some busy engines do not make a source slow.
    for (int number = 0; number < 16; ++number)
        site.board.onFirstByte(*choice, request, number % 3 == 0 ? 1500ms : 20ms, start);
    CHECK(site.choose(request)->transferredTokens == 7900);
}

TEST_CASE("a daemon learns from its peers which upstream fails and which source is slow")
{
    // With 75 daemons and 140 engines, a single daemon sees an engine only once in several seconds.
    Site other;
    Site site(0, "peer");
    for (auto* each : { &other, &site }) {
        each->board.setUpstream(entryOf(1, plain), start);
        each->board.setUpstream(entryOf(2, plain), start);
        each->addEngineAndStore();
    }
    const auto request = plainRequest();
    for (int number = 0; number < 10; ++number) {
        other.board.begin(choiceOf("plain1"), request, start);
        other.board.finish(choiceOf("plain1"), request, true, AttemptResult::FailureAnswer, start);
    }
    const auto prefill = prompt(8000, "subject");
    const auto transferring = other.choose(prefill);
    REQUIRE(transferring->transferredTokens == 7900);
    for (int number = 0; number < 4; ++number) {
        other.board.onFirstByte(*transferring, prefill, 1500ms, start);
        site.board.onPeerOutcomes(other.board.takeUpstreamOutcomes(), other.board.takeSourceSamples(), start);
    }
    CHECK(site.choose(request)->upstream == UpstreamId("plain2"));
    CHECK(site.choose(prefill)->transferredTokens < 7900);
    // Each outcome is reported only once.
    CHECK(other.board.takeUpstreamOutcomes().empty());
    CHECK(other.board.takeSourceSamples().empty());
}

TEST_CASE("a busy daemon's report on a large pool fits a datagram")
{
    // One large daemon has requests at each of 400 engines and transfers from 60 sources.
    Site site;
    constexpr int engines = 400;
    constexpr int sources = 60;
    for (int number = 0; number < engines; ++number) {
        auto entry = entryOf(number, model);
        entry.id = UpstreamId("i-0123456789-" + std::to_string(number));
        site.board.setUpstream(entry, start);
        auto choice = choiceOf(entry.id.value.c_str());
        choice.transferredTokens = 8000;
        choice.transferTime = 30ms;
        choice.transferSources = { "172.20.0." + std::to_string(number % sources) + ":8080" };
        const auto request = prompt(9000, "subject");
        // Each engine has one finished request and more in flight, the first engines the most.
        site.board.begin(choice, request, start);
        site.board.onFirstByte(choice, request, 500ms, start);
        site.board.finish(choice, request, true, AttemptResult::Answered, start);
        for (int more = 0; more < 1 + (engines - number) / 100; ++more)
            site.board.begin(choice, request, start);
    }
    LoadReport message;
    message.instance = InstanceId("edge-with-a-long-name-100");
    message.uses = site.board.ownUses();
    message.upstreams = site.board.takeUpstreamOutcomes();
    message.sources = site.board.takeSourceSamples();
    EdgeHeartbeat heartbeat;
    heartbeat.instance = message.instance;
    heartbeat.domain = FailureDomain("failure-domain");
    heartbeat.frontAddress = heartbeat.peerAddress = "10.200.100.100:65535";
    heartbeat.peers.assign(12, heartbeat.peerAddress);
    CHECK(encode(PeerDatagram { heartbeat, message, std::nullopt, std::nullopt, std::nullopt, std::nullopt }).size() <= 8192);
    // The busiest engines are reported; the outcomes that did not fit follow with the next heartbeats.
    CHECK(std::all_of(message.uses.begin(), message.uses.end(), [](const auto& use) { return use.requests == 5 || use.requests == 4; }));
    auto reported = message.upstreams.size();
    for (auto rest = site.board.takeUpstreamOutcomes(); !rest.empty(); rest = site.board.takeUpstreamOutcomes())
        reported += rest.size();
    CHECK(reported == engines);
}

TEST_CASE("load of a daemon that has ended is dropped")
{
    // Machines are replaced all day, and a replica's weight update waits until it has no requests in flight.
    Site site;
    site.board.setUpstream(entryOf(1, plain), start);
    const UpstreamId upstream("plain1");
    site.board.onPeerUse(InstanceId("gone"), { { upstream, 3, 0, {}, {} } }, start);
    CHECK(site.board.requestsAt(upstream, start) == 3);
    CHECK(site.board.requestsAt(upstream, start + 2600ms) == 0);
    CHECK(site.board.knownPeers() == 1);
    site.board.setDaemons({ { InstanceId("self"), 1 } });
    CHECK(site.board.knownPeers() == 0);
}

TEST_CASE("an upstream that refuses while it has old weights is avoided until it may have loaded the new ones")
{
    // During a weight roll-out a fifth of 160 engines loads weights at any time; each of hundreds of daemons learns which ones up
    // to a second late.
    Site site;
    site.board.setUpstream(entryOf(1, plain), start);
    site.board.setUpstream(entryOf(2, plain), start);
    auto request = plainRequest();
    auto choice = *site.choose(request);
    choice.weightVersion = 1;
    const auto refused = choice.upstream;
    request.preferredWeightVersion = 2;
    site.board.begin(choice, request, start);
    site.board.finish(choice, request, true, AttemptResult::Refused, start);
    CHECK(site.choose(request, start + 300ms)->upstream != refused);
    // An upstream that is only full is tried again soon.
    choice.weightVersion = 2;
    site.board.begin(choice, request, start + 1s);
    site.board.finish(choice, request, true, AttemptResult::Refused, start + 1s);
    CHECK(site.choose(request, start + 1040ms)->upstream != refused);
    CHECK(site.choose(request, start + 1060ms)->upstream == refused);
}

TEST_CASE("a request is not placed on a software version that a roll-out excludes for it")
{
    Site site;
    auto entry = entryOf(1, plain);
    entry.softwareVersion = "v1";
    site.board.setUpstream(entry, start);
    entry = entryOf(2, plain);
    entry.softwareVersion = "v2";
    site.board.setUpstream(entry, start);
    CHECK(site.board.readyCount(plain, "v2", true) == 1);
    CHECK(site.board.readyCount(plain, "v2", false) == 1);
    PlacementRefusal refusal {};
    auto request = plainRequest();
    request.excludedVersion = "v2";
    for (int again = 0; again < 5; ++again)
        CHECK(site.board.choose(request, {}, start, refusal)->softwareVersion == "v1");
    request.excludedVersion.clear();
    request.requiredVersion = "v2";
    CHECK(site.board.choose(request, {}, start, refusal)->softwareVersion == "v2");
    CHECK_FALSE(site.board.choose(request, { UpstreamId("plain2") }, start, refusal));
    CHECK(site.board.obstaclesOf(request, {}, start).upstreams.at(Obstacle::Version) == 1);
}
