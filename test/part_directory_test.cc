#include <catch2/catch.hpp>

#include "goldcrestwood/part_directory.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
/// From when on a store that became known at `start` may be filled.
const TimePoint settled = start + 3s;
const FailureDomain north("north");
const FailureDomain south("south");

PartDirectory twoStores()
{
    PartDirectory directory;
    directory.setStores({ { "s1", north, 1000 }, { "s2", south, 3000 } });
    directory.onListing("s1", 7, {}, start);
    directory.onListing("s2", 8, {}, start);
    return directory;
}

} // namespace

TEST_CASE("only a part that a known store holds completely is fetched")
{
    auto directory = twoStores();
    const PromptPart part { "aa", 100 };
    CHECK_FALSE(directory.find("m/w1/all", part, north, start));
    REQUIRE(directory.onEvents("s1", 7, { { "m/w1/all", "aa", 60 } }, start));
    CHECK_FALSE(directory.find("m/w1/all", part, north, start));
    directory.onEvents("s1", 7, { { "m/w1/all", "aa", 100 } }, start);
    CHECK(directory.find("m/w1/all", part, north, start)->address == "s1");
    // Another weight version or account finds nothing.
    CHECK_FALSE(directory.find("m/w2/all", part, north, start));
    CHECK_FALSE(directory.find("m/w1/account-x", part, north, start));
}

TEST_CASE("an unreachable or restarted store is not read, and not filled until all daemons know of the restart")
{
    auto directory = twoStores();
    const PromptPart part { "aa", 100 };
    directory.onEvents("s1", 7, { { "m/w1/all", "aa", 100 } }, start);
    CHECK_FALSE(directory.find("m/w1/all", part, north, start + 1900ms));
    directory.onEvents("s1", 7, {}, start + 2s);
    CHECK(directory.find("m/w1/all", part, north, start + 2s));
    directory.onUnreachable("s1");
    CHECK_FALSE(directory.find("m/w1/all", part, north, start + 2s));
    CHECK_FALSE(directory.onEvents("s1", 9, {}, start + 3s));
    directory.onListing("s1", 9, {}, start + 3s);
    directory.onUnreachable("s2");
    CHECK_FALSE(directory.storeFor("m/w1/all", part, start + 4s));
    directory.onEvents("s1", 9, {}, start + 5600ms);
    CHECK(directory.storeFor("m/w1/all", part, start + 5600ms) == "s1");
}

// MIXED: requests took parts that were being written, because a daemon that had just started saved to a store that had just restarted.
TEST_CASE("a store that has just become known is not filled, as it may have restarted a moment ago")
{
    PartDirectory directory;
    directory.setStores({ { "s1", north, 1000 } });
    directory.onListing("s1", 7, {}, start);
    const PromptPart part { "aa", 100 };
    CHECK_FALSE(directory.storeFor("m/w1/all", part, start));
    directory.onEvents("s1", 7, {}, start + 2400ms);
    CHECK_FALSE(directory.storeFor("m/w1/all", part, start + 2400ms));
    directory.onEvents("s1", 7, {}, start + 2600ms);
    CHECK(directory.storeFor("m/w1/all", part, start + 2600ms) == "s1");
    // A configuration may leave the store out for a while.
    directory.setStores({});
    directory.setStores({ { "s1", north, 1000 } });
    directory.onListing("s1", 9, {}, start + 10s);
    CHECK_FALSE(directory.storeFor("m/w1/all", part, start + 10s));
    // A listing after lost events or a short silence does not start the wait again.
    directory.onUnreachable("s1");
    directory.onListing("s1", 9, {}, start + 12600ms);
    CHECK(directory.storeFor("m/w1/all", part, start + 12600ms) == "s1");
}

TEST_CASE("parts are spread over the stores by capacity, and a full store takes no more")
{
    auto directory = twoStores();
    directory.onEvents("s1", 7, {}, settled);
    directory.onEvents("s2", 8, {}, settled);
    int first = 0;
    constexpr int parts = 1000;
    for (int number = 0; number < parts; ++number)
        first += directory.storeFor("m/w1/all", { std::to_string(number), 10 }, settled) == "s1" ? 1 : 0;
    CHECK(first > parts / 5);
    CHECK(first < parts * 3 / 10);
    directory.onEvents("s2", 8, { { "m/w1/all", "big", 2950 } }, settled);
    CHECK(directory.storeFor("m/w1/all", { "x", 100 }, settled) == "s1");
    CHECK_FALSE(directory.storeFor("m/w1/all", { "x", 1100 }, settled));
}

TEST_CASE("blocks of replaced weights are obsolete, and a freed part is removed")
{
    auto directory = twoStores();
    directory.onEvents("s1", 7, { { "m/w1/all", "aa", 100 }, { "m/w2/all", "aa", 100 }, { "m/w3/all", "aa", 100 } }, start);
    const auto end = start + 6s;
    for (auto now = start; now <= end; now += 200ms) {
        directory.onWeights({ { "m", { 2 } } }, now);
        directory.onEvents("s1", 7, {}, now);
    }
    CHECK(directory.obsoleteParts("s1", end, end) == std::vector { StoredPart { "m/w1/all", "aa", 100 } });
    CHECK(directory.obsoleteParts("s1", start + 4s, end).empty());
    directory.onEvents("s1", 7, { { "m/w1/all", "aa", 0 } }, start);
    CHECK(directory.obsoleteParts("s1", end, end).empty());
    CHECK(directory.heldTokens("s1") == 200);
}

TEST_CASE("nothing is freed in a store that was reached only now, as daemons near it may be behind")
{
    auto directory = twoStores();
    const std::vector<StoredPart> parts { { "m/w1/all", "aa", 100 } };
    directory.onListing("s1", 7, parts, start);
    for (auto now = start; now <= start + 20s; now += 200ms) {
        directory.onWeights({ { "m", { 2 } } }, now);
        directory.onEvents("s1", 7, {}, now);
    }
    CHECK(directory.obsoleteParts("s1", start + 20s, start + 20s) == parts);
    directory.onUnreachable("s1");
    directory.onListing("s1", 7, parts, start + 18s);
    CHECK(directory.obsoleteParts("s1", start + 20s, start + 20s).empty());
    // A listing after lost events is no break, silence is one.
    directory.onListing("s1", 7, parts, start + 23s);
    CHECK(directory.obsoleteParts("s1", start + 24s, start + 24s) == parts);
    CHECK(directory.obsoleteParts("s1", start + 26s, start + 26s).empty());
}

TEST_CASE("blocks of retired weights are neither read nor saved")
{
    auto directory = twoStores();
    directory.onEvents("s1", 7, { { "m/w1/all", "aa", 100 }, { "m/w2/all", "aa", 100 } }, start);
    const PromptPart part { "aa", 100 };
    for (auto now = start; now <= start + 2s; now += 200ms)
        directory.onWeights({ { "m", { 2 } } }, now);
    directory.onWeights({ { "m", { 1, 2 } } }, start + 2200ms);
    directory.onEvents("s1", 7, {}, settled);
    CHECK_FALSE(directory.find("m/w1/all", part, north, settled));
    CHECK_FALSE(directory.storeFor("m/w1/all", { "bb", 100 }, settled));
    CHECK(directory.find("m/w2/all", part, north, settled));
    CHECK(directory.storeFor("m/w2/all", { "bb", 100 }, settled));
}

TEST_CASE("a daemon that reads no store events learns from one that does")
{
    auto reader = twoStores();
    reader.onEvents("s1", 7, { { "m/w1/all", "aa", 100 } }, start);
    PartDirectory other;
    other.setStores({ { "s1", north, 1000 }, { "s2", south, 3000 } });
    const PromptPart first { "aa", 100 };
    const PromptPart second { "bb", 50 };

    auto news = reader.changesSince(0, start);
    CHECK(news.isWhole);
    REQUIRE(other.applyChanges(news, start));
    CHECK(other.find("m/w1/all", first, north, start)->address == "s1");
    CHECK(other.epochOf("s2") == 8);

    reader.onEvents("s2", 8, { { "m/w1/all", "bb", 50 } }, start);
    reader.onEvents("s1", 7, { { "m/w1/all", "aa", 0 } }, start);
    news = reader.changesSince(news.end, start);
    CHECK_FALSE(news.isWhole);
    CHECK(news.parts.size() == 2);
    REQUIRE(other.applyChanges(news, start));
    CHECK_FALSE(other.find("m/w1/all", first, north, start));
    CHECK(other.find("m/w1/all", second, north, start)->address == "s2");
    // News without changes still show that the stores are alive.
    reader.onEvents("s2", 8, {}, start + 1s);
    news = reader.changesSince(news.end, start + 1s);
    CHECK(news.parts.empty());
    REQUIRE(other.applyChanges(news, start + 1s));
    CHECK(other.find("m/w1/all", second, north, start + 2500ms));
}

// MIXED: a follower that held old contents for up to two lifetimes could fetch from a restarted store that others filled again.
TEST_CASE("a store's contents expire as soon at a daemon that learned of them from another")
{
    auto reader = twoStores();
    const std::vector<StoredPart> parts { { "m/w1/all", "aa", 100 } };
    const PromptPart part { "aa", 100 };
    reader.onEvents("s1", 7, parts, start);
    const auto whole = reader.changesSince(0, start + 1500ms);
    const auto changes = reader.changesSince(whole.end, start + 1700ms);
    for (const bool isUpdated : { false, true }) {
        PartDirectory follower;
        follower.setStores({ { "s1", north, 1000 }, { "s2", south, 3000 } });
        REQUIRE(follower.applyChanges(whole, start + 1500ms));
        if (isUpdated)
            REQUIRE(follower.applyChanges(changes, start + 1700ms));
        CHECK(follower.find("m/w1/all", part, north, start + 1800ms));
        CHECK_FALSE(follower.find("m/w1/all", part, north, start + 1801ms));
    }
    // An older view, from another reader, shortens nothing.
    PartDirectory follower;
    follower.setStores({ { "s1", north, 1000 }, { "s2", south, 3000 } });
    follower.onListing("s1", 7, parts, start + 1s);
    REQUIRE(follower.applyChanges(whole, start + 1500ms));
    CHECK(follower.find("m/w1/all", part, north, start + 2700ms));
    // Daemons of an older version tell no ages.
    auto ageless = whole;
    ageless.agesMs.clear();
    REQUIRE(follower.applyChanges(ageless, start + 2s));
    CHECK(follower.find("m/w1/all", part, north, start + 3800ms));
}

TEST_CASE("a store restart, another layout or a gap requires the full contents")
{
    auto reader = twoStores();
    auto other = twoStores();
    const auto known = reader.changesSince(0, start).end;
    // The reader sees the restart first.
    reader.onListing("s1", 9, { { "m/w1/all", "aa", 100 } }, start);
    const auto whole = reader.changesSince(known, start);
    CHECK(whole.isWhole);
    REQUIRE(other.applyChanges(whole, start));
    CHECK(other.epochOf("s1") == 9);
    // If the reader does not know a store's contents, they are unknown here too.
    reader.onUnreachable("s1");
    REQUIRE(other.applyChanges(reader.changesSince(whole.end, start), start));
    CHECK_FALSE(other.epochOf("s1"));
    // Events alone cannot make them known again.
    reader.onListing("s1", 9, { { "m/w1/all", "aa", 100 } }, start);
    auto changes = reader.changesSince(0, start);
    changes.isWhole = false;
    CHECK_FALSE(other.applyChanges(changes, start));
    auto elsewhere = reader.changesSince(0, start);
    elsewhere.layout += 1;
    CHECK_FALSE(other.applyChanges(elsewhere, start));
    // Only a limited number of changes is retained.
    for (std::uint32_t number = 0; number < 5000; ++number)
        reader.onEvents("s2", 8, { { "m/w1/all", std::to_string(number), 1 } }, start);
    CHECK(reader.changesSince(whole.end, start).isWhole);
}
