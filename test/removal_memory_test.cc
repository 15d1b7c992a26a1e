#include <catch2/catch.hpp>

#include "goldcrestwood/removal_memory.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

} // namespace

TEST_CASE("a daemon asks until a peer remembers for as long as a write can be late")
{
    RemovalMemory memory;
    CHECK_FALSE(memory.needsPeers(start));
    memory.onKnown(100, start);
    memory.onKnown(200, start + 1s); // It knows from the first time on.
    CHECK(memory.needsPeers(start));
    // A peer that has read less may lack a removal that this daemon's own listing does not show.
    memory.onAnswer(1h, 99, start);
    CHECK(memory.needsPeers(start));
    memory.onAnswer(5s, 100, start);
    CHECK(memory.remembered(start) == 5s);
    CHECK(memory.needsPeers(start));
    memory.onAnswer(1h, 100, start);
    CHECK_FALSE(memory.needsPeers(start));
    CHECK(memory.remembered(start + 1s) == 1h + 1s);
}

TEST_CASE("a daemon without peers to ask remembers enough after the longest delay of a write")
{
    RemovalMemory memory;
    memory.onKnown(100, start);
    CHECK(memory.needsPeers(start + RemovalMemory::maxWriteDelay - 1ms));
    CHECK_FALSE(memory.needsPeers(start + RemovalMemory::maxWriteDelay));
}

TEST_CASE("feed readers are asked first, then those that have run longest")
{
    RemovalMemory memory;
    memory.onKnown(100, start);
    const std::vector<RemovalMemory::Peer> peers { { 30, false }, { 20, true }, { 10, false }, { 15, true } };
    // The first one does not answer, and is asked again after the others.
    for (const std::size_t expected : { 3, 1, 2, 0, 3 }) {
        REQUIRE(memory.pickPeer(peers) == expected);
        memory.onAsked(peers[expected], expected != 3);
    }
    CHECK(memory.pickPeer(peers) == 3);
    memory.onAsked(peers[3], true);
    CHECK_FALSE(memory.pickPeer(peers));
}

// Load pattern: a whole site starts at once.
TEST_CASE("a daemon whose peers remember nothing asks only a few of them")
{
    RemovalMemory memory;
    memory.onKnown(100, start);
    std::size_t questions = 0;
    for (; memory.needsPeers(start); ++questions)
        memory.onAnswer(0s, 100, start);
    CHECK(questions == RemovalMemory::maxAnswers);
}
