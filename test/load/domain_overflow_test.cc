#include <catch2/catch.hpp>

#include "board_site.h"
#include "goldcrestwood/load/domain_overflow.h"

using namespace goldcrestwood;
using namespace board_site;
using namespace std::chrono_literals;

namespace {

/// A daemon in domain "north" with one engine there and one in "south", both of which report their pace.
struct TwoDomains : Site {
    TwoDomains()
    {
        this->board.setDomain(FailureDomain("north"));
        for (const int number : { 1, 2 }) {
            this->board.setUpstream(entryOf(number, model, number == 1 ? "north" : "south"), start);
            this->board.onServerLoad(UpstreamId("model" + std::to_string(number)), 1, { 0, 0, 64, 100 }, start);
        }
    }

    /// Reports a peer's work in flight at the local engine.
    void fillLocal(std::uint32_t requests, std::uint64_t backlog, std::uint64_t tokens = 0)
    {
        this->board.onPeerUse(InstanceId("peer"), { { UpstreamId("model1"), requests, tokens, { 0, backlog }, {} } }, start);
    }

    LeaveReason leaves(const PlacementRequest& request)
    {
        const auto choice = this->choose(request);
        REQUIRE(choice);
        CHECK((choice->upstream == UpstreamId("model2")) == (choice->leaves != LeaveReason::None));
        return choice->leaves;
    }
};

} // namespace

TEST_CASE("a request leaves for a wait that is shorter by more than the crossing")
{
    DomainWaits waits { true, 50, 40, 15, 0 };
    CHECK(leaveReason(waits) == LeaveReason::None);
    waits.localMs = 60;
    CHECK(leaveReason(waits) == LeaveReason::Shortage);
    waits.savedReadMs = 100;
    CHECK(leaveReason(waits) == LeaveReason::Cached);
    waits.localMs.reset();
    waits.savedReadMs = 0;
    CHECK(leaveReason(waits) == LeaveReason::Shortage);
    waits.hasUsableLocal = false;
    CHECK(leaveReason(waits) == LeaveReason::NoneUsable);
    waits.elsewhereMs.reset();
    CHECK(leaveReason(waits) == LeaveReason::None);
}

TEST_CASE("daemons that see the same room together send about its size within one view, also at once")
{
    Random random { 7 };
    constexpr int daemons = 50;
    constexpr double room = 10;
    std::vector<OverflowShare> shares(daemons);
    int sent = 0;
    const auto sendAll = [&](TimePoint now) {
        for (auto& share : shares)
            for (int request = 0; request < 20; ++request)
                if (share.mayLeave(room / daemons, random, now)) {
                    share.onSent();
                    ++sent;
                }
    };
    sendAll(start);
    CHECK(sent > 3);
    CHECK(sent < 20);
    sent = 0;
    for (auto now = start + 50ms; now <= start + 5s; now += 50ms)
        sendAll(now);
    CHECK(sent == Approx(10 * room).epsilon(0.15));
    // Time without a shortage accumulates nothing.
    sent = 0;
    sendAll(start + 60s);
    CHECK(sent < 20);
}

TEST_CASE("the moving minimum of connect times forgets a link that was faster")
{
    LinkDelay delay;
    CHECK_FALSE(delay.ms(start));
    delay.onConnected(3ms, start);
    delay.onConnected(40ms, start + 1s);
    CHECK(delay.ms(start + 1s) == 3.0);
    for (auto now = start + 2s; now <= start + 14s; now += 1s)
        delay.onConnected(40ms, now);
    CHECK(delay.ms(start + 14s) == 40.0);
    CHECK_FALSE(delay.ms(start + 60s));
}

TEST_CASE("requests stay in the own domain unless its wait is longer by more than the crossing")
{
    TwoDomains site;
    const auto request = prompt(2000, "rulebook");
    CHECK(site.leaves(request) == LeaveReason::None);
    site.fillLocal(1, 600);
    CHECK(site.leaves(request) == LeaveReason::None);
    site.fillLocal(4, 15000);
    CHECK(site.leaves(request) == LeaveReason::Shortage);
    // A slow link keeps them at home.
    for (int connect = 0; connect < 3; ++connect)
        site.board.onConnected(choiceOf("model2"), 400ms, start);
    CHECK(site.leaves(request) == LeaveReason::None);
}

TEST_CASE("without a usable local upstream requests leave at once, but not to excluded ones")
{
    TwoDomains site;
    const auto request = prompt(2000, "rulebook");
    for (int sent = 0; sent < 20; ++sent)
        CHECK(site.choose(request, start, { UpstreamId("model1") })->leaves == LeaveReason::NoneUsable);
    CHECK_FALSE(site.choose(request, start, { UpstreamId("model1"), UpstreamId("model2") }));
    site.board.setEvacuated({ FailureDomain("north") });
    CHECK(site.leaves(request) == LeaveReason::NoneUsable);
    site.board.setEvacuated({ FailureDomain("south") });
    site.fillLocal(64, 0); // All slots are in use.
    CHECK_FALSE(site.choose(request));
    CHECK(site.refusal == PlacementRefusal::Full);
    site.board.setEvacuated({});
    CHECK(site.leaves(request) == LeaveReason::Shortage);
    site.board.onNotice(UpstreamId("model2"), 1, { false, 1s }, start);
    CHECK_FALSE(site.choose(request));
    REQUIRE(site.board.onRequestLimit(UpstreamId("model2"), 1, { 1.0, start, start }));
    CHECK_FALSE(site.choose(request, start + 2s)); // The site is not known as a whole, so there is no turn.
}

TEST_CASE("a draining or cold upstream elsewhere gets no requests that leave for a shortage")
{
    TwoDomains site;
    const auto request = prompt(2000, "rulebook");
    site.fillLocal(4, 15000);
    REQUIRE(site.board.onNotice(UpstreamId("model2"), 1, { true, std::nullopt }, start));
    CHECK(site.leaves(request) == LeaveReason::None);
    Site cold(1.0);
    cold.board.setDomain(FailureDomain("north"));
    for (const int number : { 1, 2 }) {
        auto entry = entryOf(number, model, number == 1 ? "north" : "south");
        entry.coldRemaining = number == 1 ? 0s : 5s;
        cold.board.setUpstream(entry, start);
        cold.board.onServerLoad(entry.id, 1, { 0, 0, 64, 100 }, start);
    }
    cold.board.onPeerUse(InstanceId("peer"), { { UpstreamId("model1"), 4, 0, { 0, 15000 }, {} } }, start);
    CHECK(cold.choose(request)->leaves == LeaveReason::None);
}

TEST_CASE("a prompt goes to another domain that has most of it cached, unless little is to be read again")
{
    TwoDomains site;
    for (const std::uint64_t tokens : { 8600U, 700U }) {
        const auto request = prompt(tokens, "rulebook");
        const auto before = site.choose(request, start, { UpstreamId("model1") });
        site.board.begin(*before, request, start);
        site.board.onFirstByte(*before, request, 150ms, start);
        site.board.finish(*before, request, true, AttemptResult::Answered, start);
        CHECK(site.leaves(request) == (tokens > 1000 ? LeaveReason::Cached : LeaveReason::None));
        site.board.removeUpstream(UpstreamId("model2"));
        site.board.setUpstream(entryOf(2, model, "south"), start);
        site.board.onServerLoad(UpstreamId("model2"), 1, { 0, 0, 64, 100 }, start);
    }
}

TEST_CASE("without pace reports on both sides domains are not distinguished")
{
    Site site;
    site.board.setDomain(FailureDomain("north"));
    site.board.setUpstream(entryOf(1, model, "north"), start);
    site.board.setUpstream(entryOf(2, model, "south"), start);
    site.board.onServerLoad(UpstreamId("model2"), 1, { 0, 0, 64, 100 }, start);
    site.board.onPeerUse(InstanceId("peer"), { { UpstreamId("model1"), 1, 0, { 0, 3000 }, {} } }, start);
    const auto choice = site.choose(prompt(2000, "rulebook"));
    CHECK(choice->upstream == UpstreamId("model2"));
    CHECK(choice->leaves == LeaveReason::None);
}

TEST_CASE("in a large pool most candidates are of the own domain")
{
    Site site;
    site.board.setDomain(FailureDomain("d0"));
    for (int number = 0; number < 80; ++number) {
        const auto entry = entryOf(number, model, ("d" + std::to_string(number % 8)).c_str());
        site.board.setUpstream(entry, start);
        site.board.onServerLoad(entry.id, 1, { 0, 0, 64, 100 }, start);
    }
    for (int subject = 0; subject < 50; ++subject) {
        const auto choice = site.choose(prompt(2000, ("subject" + std::to_string(subject)).c_str()));
        REQUIRE(choice);
        CHECK(site.board.find(choice->upstream)->domain == FailureDomain("d0"));
    }
}
