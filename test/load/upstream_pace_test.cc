#include <catch2/catch.hpp>

#include "board_site.h"
#include "goldcrestwood/load/upstream_pace.h"

using namespace goldcrestwood;
using namespace board_site;
using namespace std::chrono_literals;

namespace {

const UpstreamId first("model1");
const UpstreamId second("model2");

ServerLoad paceOf(std::uint32_t percent)
{
    return { 1, 0, 64, percent };
}

struct TwoEngines : Site {
    TwoEngines()
    {
        for (const int number : { 1, 2 })
            this->board.setUpstream(entryOf(number, model), start);
    }
};

} // namespace

TEST_CASE("a pace report loses its weight with age")
{
    UpstreamPace pace;
    CHECK_FALSE(pace.isKnown());
    CHECK(pace.factor(start) == 1);
    REQUIRE(pace.onReport(300, start, true));
    CHECK(pace.factor(start) == 3);
    CHECK(pace.factor(start + 300ms) == Approx(2));
    CHECK(pace.factor(start + 5s) == Approx(1).margin(0.01));
    // Reports overtake each other on the way through other daemons.
    CHECK_FALSE(pace.onReport(100, start - 1ms, false));
    CHECK(pace.factor(start) == 3);
}

TEST_CASE("implausible paces are rejected, and stale or second-hand ones are not sent")
{
    UpstreamPace pace;
    for (const std::uint32_t percent : { 0U, 9U, 10001U, 4294967295U })
        CHECK_FALSE(pace.onReport(percent, start, true));
    CHECK_FALSE(pace.isKnown());
    REQUIRE(pace.onReport(250, start, false));
    CHECK_FALSE(pace.report(first, 1, false, start));
    CHECK(pace.report(first, 1, true, start + 40ms) == PaceReport { first, 1, 250, 40 });
    CHECK_FALSE(pace.report(first, 1, true, start + 2s));
}

TEST_CASE("a datagram with many paces stays within its bound and keeps the newest")
{
    PeerDatagram datagram;
    datagram.report.emplace();
    for (std::uint64_t number = 0; number < 400; ++number)
        datagram.report->paces.push_back({ UpstreamId("upstream-with-a-name" + std::to_string(number)), 1790000000000000, 250, 400 - number });
    REQUIRE(encode(datagram).size() > 8192);
    const auto bytes = encodeBounded(datagram, 8192);
    CHECK(bytes.size() <= 8192);
    const auto decoded = decode<PeerDatagram>(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->report->paces.size() == 200);
    CHECK(decoded->report->paces.front().ageMs == 1);
}

TEST_CASE("a report of an earlier build has no paces")
{
    // The five fields of an earlier build: the sender, three empty lists and a flag.
    const auto report = decode<LoadReport>(std::string("\x95\xa1p\x90\x90\x90\xc3", 7));
    REQUIRE(report);
    CHECK(report->wantsDigest);
    CHECK(report->paces.empty());
}

TEST_CASE("a slow engine is avoided while it is slow and used again afterwards")
{
    TwoEngines site;
    const auto request = prompt(2000, "rulebook");
    const auto usual = site.choose(request);
    REQUIRE(usual);
    CHECK_FALSE(usual->pace);
    const auto other = usual->upstream == first ? second : first;
    site.board.onServerLoad(usual->upstream, 1, paceOf(250), start);
    const auto avoided = site.choose(request);
    CHECK(avoided->upstream == other);
    // With only the slow engine left, the expected time is 2.5 times as long.
    const auto forced = site.choose(request, start, { other });
    CHECK(toMs(forced->prefillTime) == Approx(2.5 * toMs(usual->prefillTime)).epsilon(0.001));
    CHECK(site.choose(request, start + 2s)->upstream == usual->upstream);
    site.board.onServerLoad(usual->upstream, 1, paceOf(250), start + 3s);
    site.board.onServerLoad(usual->upstream, 1, paceOf(100), start + 3100ms);
    CHECK(site.choose(request, start + 3100ms)->upstream == usual->upstream);
}

TEST_CASE("paces belong to one incarnation and reach other daemons with their age")
{
    TwoEngines site;
    site.board.onServerLoad(first, 1, paceOf(400), start);
    site.board.onServerLoad(second, 2, paceOf(400), start); // Another incarnation.
    const auto all = [](const UpstreamId&) { return true; };
    const auto sent = site.board.recentPaces(all, false, start + 100ms);
    REQUIRE(sent == std::vector<PaceReport> { { first, 1, 400, 100 } });

    TwoEngines peer;
    peer.board.onPeerPaces(sent, start + 200ms);
    CHECK(peer.board.recentPaces(all, false, start + 200ms).empty());
    CHECK(peer.board.recentPaces(all, true, start + 200ms) == sent);
    const auto request = prompt(2000, "rulebook");
    CHECK(peer.choose(request, start + 200ms, { second })->pace == site.choose(request, start + 100ms, { second })->pace);

    auto restarted = entryOf(1, model);
    restarted.born = 2;
    site.board.setUpstream(restarted, start + 200ms);
    CHECK_FALSE(site.choose(request, start + 200ms, { second })->pace);
    CHECK(site.board.recentPaces(all, true, start + 200ms).empty());
}

TEST_CASE("a reported slowdown is not learned a second time as slowness")
{
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    auto now = start;
    const auto request = prompt(8000, "rulebook");
    const auto normal = site.choose(request)->prefillTime;
    for (int sample = 0; sample < 50; ++sample) {
        now += 200ms;
        site.board.onServerLoad(first, 1, paceOf(250), now);
        auto fresh = prompt(8000, ("subject" + std::to_string(sample)).c_str());
        const auto choice = site.choose(fresh, now);
        REQUIRE(choice);
        site.board.begin(*choice, fresh, now);
        site.board.onFirstByte(*choice, fresh, std::chrono::duration_cast<Duration>(normal * 2.5), now);
        site.board.finish(*choice, fresh, true, AttemptResult::Answered, now);
    }
    const auto later = site.choose(prompt(8000, "another"), now + 10s);
    CHECK(toMs(later->prefillTime) == Approx(toMs(normal)).epsilon(0.05));
}

TEST_CASE("a stream avoids an engine whose current pace makes its event gaps late")
{
    TwoEngines site;
    auto request = prompt(2000, "rulebook");
    request.gapObjective = 400ms;
    const auto usual = site.choose(request);
    site.board.begin(*usual, request, start);
    site.board.onFirstByte(*usual, request, 40ms, start);
    site.board.onStreamEnd(*usual, request, 200ms, start);
    site.board.finish(*usual, request, true, AttemptResult::Answered, start);
    const auto calm = site.choose(request);
    REQUIRE(calm->upstream == usual->upstream);
    site.board.onServerLoad(usual->upstream, 1, paceOf(200), start);
    CHECK(site.choose(request)->upstream != usual->upstream);
}
