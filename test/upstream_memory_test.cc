#include <catch2/catch.hpp>

#include "board_site.h"

using namespace goldcrestwood;
using namespace board_site;
using namespace std::chrono_literals;

TEST_CASE("shared parts count once in an engine's memory, also across daemons")
{
    // Concurrent long prompts with the same prefix and few private tokens, on engines with little memory.
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    const auto request = prompt(30000, "manual"); // 29,900 of them shared; the engine holds 100,000.
    std::vector<PlacementChoice> choices;
    for (int number = 0; number < 20; ++number) {
        const auto choice = site.choose(request);
        REQUIRE(choice);
        site.board.begin(*choice, request, start);
        site.board.onFirstByte(*choice, request, 40ms, start);
        choices.push_back(*choice);
    }
    const auto uses = site.board.ownUses();
    CHECK(uses.at(0).tokens == 4000); // Twenty requests with 100 private prompt tokens and 100 output tokens.
    CHECK(uses.at(0).parts.size() == 2);
    // The same parts in a peer's report add nothing, other parts do.
    const auto other = prompt(50000, "other");
    site.board.onPeerUse(InstanceId("peer"), uses, start);
    CHECK(site.choose(other));
    auto otherParts = uses;
    otherParts.at(0).parts = { { 1, 20000 } };
    site.board.onPeerUse(InstanceId("peer"), otherParts, start);
    CHECK_FALSE(site.choose(other));
    site.board.onPeerUse(InstanceId("peer"), {}, start);
    CHECK(site.choose(other));
    // A part is in use until its last request has ended.
    for (const auto& choice : choices) {
        CHECK(site.board.ownUses().at(0).parts.size() == 2);
        site.board.finish(choice, request, true, AttemptResult::Answered, start);
    }
    CHECK(site.board.ownUses().empty());
}

TEST_CASE("streams avoid an engine whose event gaps make them late, until the estimate decays")
{
    // Engines interleave prefills of long prompts with the tokens of running streams. At slower engines, a third of the pool,
    // this makes gaps longer than the route allows.
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
    // Other classes have their own estimates, and some routes allow any gap.
    CHECK(site.choose(prompt(800, "advice", 1))->upstream == preferred.upstream);
    stream.gapObjective = 0ms;
    CHECK(site.choose(stream)->upstream == preferred.upstream);
    stream.gapObjective = 250ms;
    CHECK(site.choose(stream, start + 30s)->upstream == preferred.upstream);
    // Gaps within the objective don't affect the choice.
    for (int number = 0; number < 20; ++number)
        site.board.onStreamEnd(preferred, stream, 205ms, start + 1s);
    CHECK(site.choose(stream, start + 1s)->upstream == preferred.upstream);
}

TEST_CASE("a request that has missed its objective leaves room for one that can still meet its own")
{
    // After a burst the late requests in the queue would fill all freed capacity and make new requests late as well.
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
