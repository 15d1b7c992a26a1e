#include <catch2/catch.hpp>

#include "board_site.h"

using namespace goldcrestwood;
using namespace board_site;
using namespace std::chrono_literals;

TEST_CASE("what requests share stands in an engine's memory once, also if they came through several daemons")
{
    // Load pattern: long prompts with the same head and few own tokens at once, on engines with little memory.
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    const auto request = prompt(30000, "manual"); // 29,900 of them shared, of 100,000.
    std::vector<PlacementChoice> choices;
    for (int number = 0; number < 20; ++number) {
        const auto choice = site.choose(request);
        REQUIRE(choice);
        site.board.begin(*choice, request, start);
        site.board.onFirstByte(*choice, request, 40ms, start);
        choices.push_back(*choice);
    }
    const auto uses = site.board.ownUses();
    CHECK(uses.at(0).tokens == 4000); // Twenty requests with 100 own tokens in and 100 out.
    CHECK(uses.at(0).parts.size() == 2);
    // The same parts at a peer add nothing, others do.
    const auto other = prompt(50000, "other");
    site.board.onPeerUse(InstanceId("peer"), uses, start);
    CHECK(site.choose(other));
    auto apart = uses;
    apart.at(0).parts = { { 1, 20000 } };
    site.board.onPeerUse(InstanceId("peer"), apart, start);
    CHECK_FALSE(site.choose(other));
    site.board.onPeerUse(InstanceId("peer"), {}, start);
    CHECK(site.choose(other));
    // A part is in use until the last request with it has ended.
    for (const auto& choice : choices) {
        CHECK(site.board.ownUses().at(0).parts.size() == 2);
        site.board.finish(choice, request, true, AttemptResult::Answered, start);
    }
    CHECK(site.board.ownUses().empty());
}

TEST_CASE("streams avoid an engine whose pauses make them late, until that is long ago")
{
    // Load pattern: a third of the engines is slower; long prompts are read everywhere between the tokens of running streams,
    // which pause for longer than their route allows at the slow engines alone.
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    site.board.setUpstream(entryOf(2, model), start);
    auto stream = prompt(800, "advice", 0);
    stream.gapObjective = 250ms;
    const auto preferred = *site.choose(stream);
    const auto other = choiceOf(preferred.upstream == UpstreamId("model1") ? "model2" : "model1");
    for (int number = 0; number < 8; ++number) {
        site.board.onStreamEnd(preferred, stream, 275ms, start);
        site.board.onStreamEnd(other, stream, 205ms, start);
    }
    CHECK(site.choose(stream)->upstream == other.upstream);
    // Other classes have pauses of their own, and some routes allow any.
    CHECK(site.choose(prompt(800, "advice", 1))->upstream == preferred.upstream);
    stream.gapObjective = 0ms;
    CHECK(site.choose(stream)->upstream == preferred.upstream);
    stream.gapObjective = 250ms;
    CHECK(site.choose(stream, start + 30s)->upstream == preferred.upstream);
    // Pauses that are short enough everywhere decide nothing.
    for (int number = 0; number < 20; ++number)
        site.board.onStreamEnd(preferred, stream, 205ms, start + 1s);
    CHECK(site.choose(stream, start + 1s)->upstream == preferred.upstream);
}

TEST_CASE("a request that cannot be on time any more leaves room for one that can")
{
    // Load pattern: after a burst the late ones that still wait would fill whatever comes free, and make newcomers late as well.
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    site.board.setUpstream(entryOf(2, plain), start);
    auto request = prompt(30000, "first");
    const auto first = *site.choose(request);
    site.board.begin(first, request, start);
    site.board.onFirstByte(first, request, 40ms, start);
    auto late = prompt(40000, "second");
    CHECK(site.choose(late));
    late.isLate = true;
    CHECK_FALSE(site.choose(late));
    CHECK(site.refusal == PlacementRefusal::Full);
    site.board.finish(first, request, true, AttemptResult::Answered, start);
    CHECK(site.choose(late));
    auto order = plainRequest();
    for (int number = 0; number < 11; ++number)
        site.board.begin(choiceOf("plain2"), order, start);
    CHECK(site.choose(order));
    order.isLate = true;
    CHECK_FALSE(site.choose(order));
}
