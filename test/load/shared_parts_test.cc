#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <new>

#include "board_site.h"

using namespace goldcrestwood;
using namespace board_site;

namespace {

std::uint64_t allocatedBytes = 0;

/// @return A prompt of @p count parts of one token, which no other prompt shares.
PlacementRequest promptOfParts(const std::string& name, int count)
{
    auto request = prompt(1000, name.c_str());
    request.parts.clear();
    for (int part = 0; part < count; ++part)
        request.parts.push_back({ name + '.' + std::to_string(part), 1 });
    request.promptTokens = request.parts.size();
    return request;
}

} // namespace

// Inlined, g++ takes free() for a mismatch with the operator. All forms that delete frees are replaced, as sanitizers check that they match.
[[gnu::noinline]] void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept
{
    allocatedBytes += size;
    return std::malloc(size);
}

[[gnu::noinline]] void* operator new(std::size_t size)
{
    if (auto* memory = operator new(size, std::nothrow))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

TEST_CASE("a shared part counts once, until the last request that uses it has ended")
{
    SharedParts parts;
    parts.add({ 7, 100 });
    parts.add({ 7, 100 });
    parts.add({ 3, 50 });
    CHECK(parts.tokens() == 150);
    CHECK(parts.first(1) == std::vector<PartUse> { { 3, 50 } });
    CHECK(parts.first(9) == std::vector<PartUse> { { 3, 50 }, { 7, 100 } });
    parts.remove(7);
    CHECK(parts.contains(7));
    parts.remove(7);
    CHECK_FALSE(parts.contains(7));
    parts.remove(7);
    CHECK(parts.tokens() == 50);
}

TEST_CASE("the size given last for a shared part counts")
{
    SharedParts parts;
    parts.add({ 7, 100 });
    parts.add({ 7, 30 });
    CHECK(parts.tokens() == 30);
    parts.remove(7);
    parts.remove(7);
    CHECK(parts.tokens() == 0);
}

// Guards against an account of an engine's memory that misses parts in use, or counts them again for each daemon.
TEST_CASE("a request fits an engine where its parts are in use, and one with other parts of that size does not")
{
    const auto request = prompt(60'000, "subject", 0);
    Site peer;
    peer.board.setUpstream(entryOf(1, model), start);
    auto choice = *peer.choose(request);
    choice.missingTokens = 0; // It has been prefilled.
    peer.board.begin(choice, request, start);
    auto uses = peer.board.ownUses();
    std::reverse(uses.front().parts.begin(), uses.front().parts.end()); // A peer may report them in any order.
    const auto [isOwn, peers] = GENERATE(table<bool, int>({ { true, 0 }, { false, 1 }, { false, 2 }, { true, 2 } }));
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    if (isOwn)
        site.board.begin(choice, request, start);
    for (int number = 0; number < peers; ++number)
        site.board.onPeerUse(InstanceId("peer" + std::to_string(number)), uses, start);
    CHECK(site.choose(request));
    CHECK_FALSE(site.choose(prompt(60'000, "other", 0)));
    // What a finished request used alone may be evicted.
    if (isOwn)
        site.board.finish(choice, request, true, AttemptResult::Answered, start);
    CHECK(site.choose(prompt(60'000, "other", 0)).has_value() == (peers == 0));
}

// Guards against placements that copy the parts of all requests in flight for each engine.
TEST_CASE("what a placement allocates does not grow with the parts of requests in flight")
{
    constexpr int engines = 12;
    constexpr int requestsPerEngine = 32;
    constexpr int partsPerRequest = 1400;
    Site site;
    for (int engine = 1; engine <= engines; ++engine)
        site.board.setUpstream(entryOf(engine, model), start);
    const auto request = prompt(2000, "ordinary");
    const auto bytesOfChoice = [&] {
        const auto before = allocatedBytes;
        REQUIRE(site.choose(request));
        return allocatedBytes - before;
    };
    const auto idle = bytesOfChoice();
    for (int engine = 1; engine <= engines; ++engine)
        for (int number = 0; number < requestsPerEngine; ++number)
            site.board.begin(choiceOf(("model" + std::to_string(engine)).c_str()), promptOfParts(std::to_string(engine) + '/' + std::to_string(number), partsPerRequest), start);
    CHECK(bytesOfChoice() <= 2 * idle);
}

TEST_CASE("parts that a report has no room for count as tokens of their requests")
{
    constexpr std::uint64_t parts = 250;
    Site site;
    site.board.setUpstream(entryOf(1, model), start);
    const auto request = promptOfParts("long", parts);
    site.board.begin(choiceOf("model1"), request, start);
    const auto uses = site.board.ownUses();
    REQUIRE(uses.size() == 1);
    CHECK(uses.front().parts.size() == BoardSettings {}.maxReportedParts);
    CHECK(uses.front().parts.size() + uses.front().tokens == parts + request.outputTokens);
}
