#include <catch2/catch.hpp>

#include <random>

#include "goldcrestwood/keyed_feed.h"

using namespace goldcrestwood;

namespace {

KeyedRecord record(const char* key, const char* value, std::uint64_t offset)
{
    return { key, std::string(value), offset };
}

} // namespace

TEST_CASE("a record older than the one held is ignored")
{
    KeyedFeed feed;
    feed.apply({ record("config", "two", 7) }, 8);
    CHECK(feed.apply({ record("config", "one", 3) }, 4).empty());
    CHECK(feed.end() == 8);
    CHECK(feed.since(0) == std::vector { record("config", "two", 7) });
}

TEST_CASE("a stale listing neither removes nor reverts newer records")
{
    KeyedFeed feed;
    feed.apply({ record("a", "one", 0), record("b", "two", 5) }, 6);
    // The listing was taken when the topic ended at 3, before b was written.
    CHECK(feed.applyListing({ record("a", "one", 0) }, 3).empty());
    CHECK(feed.end() == 6);
    CHECK(feed.since(0).size() == 2);
}

TEST_CASE("a key missing from a newer listing is removed, and a late read does not restore it")
{
    KeyedFeed feed;
    feed.apply({ record("a", "one", 0) }, 1);
    const auto news = feed.applyListing({}, 4);
    REQUIRE(news.size() == 1);
    CHECK_FALSE(news.front().value.has_value());
    CHECK(feed.apply({ record("a", "one", 0) }, 1).empty());
    CHECK(feed.apply({ record("a", "again", 5) }, 6).size() == 1);
}

TEST_CASE("reordered, repeated and partial reads converge on the newest records")
{
    // Each seed applies the same history in a different order and in different slices; the result must be the same.
    const std::vector<KeyedRecord> history { record("a", "1", 0), record("b", "1", 1), record("a", "2", 2), { "b", std::nullopt, 3 },
        record("c", "1", 4), record("a", "3", 5), record("b", "2", 6) };
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        KeyedFeed feed;
        std::uint64_t highest = 0;
        std::string lastA;
        for (int step = 0; step < 30; ++step) {
            const auto first = static_cast<std::ptrdiff_t>(random() % history.size());
            const auto count = static_cast<std::ptrdiff_t>(random() % (history.size() - static_cast<std::size_t>(first)) + 1);
            const std::vector<KeyedRecord> slice(history.begin() + first, history.begin() + first + count);
            for (const auto& news : feed.apply(slice, 0)) {
                INFO("seed " << seed << " step " << step);
                if (news.key == "a" && news.value) {
                    CHECK(*news.value >= lastA);
                    lastA = *news.value;
                }
                highest = std::max(highest, news.offset);
            }
        }
        feed.apply(history, history.size());
        const auto held = feed.since(0);
        REQUIRE(held.size() == 3);
        CHECK(held.back() == record("b", "2", 6));
    }
}

TEST_CASE("only some of the equivalent renewals of a key are passed on")
{
    // Load pattern: thousands of upstreams each renew their entry every second.
    KeyedFeed feed([](const std::string& left, const std::string& right) { return left.front() == right.front(); });
    feed.apply({ record("a", "x1", 0), record("b", "y1", 1) }, 2);
    // apply() returns each renewal, because the upstream may have been dropped for another reason.
    CHECK(feed.apply({ record("a", "x2", 2), record("b", "z1", 3) }, 4).size() == 2);
    CHECK(feed.since(2) == std::vector { record("b", "z1", 3) });
    // A query for everything returns the newest record of each key, and a removal counts as a change.
    CHECK(feed.since(0).size() == 2);
    CHECK(feed.apply({ { "a", std::nullopt, 4 } }, 5).size() == 1);
    feed.apply({ record("a", "x3", 5) }, 6);
    CHECK(feed.since(5) == std::vector { record("a", "x3", 5) });
    std::size_t passedOn = 0;
    for (std::uint64_t offset = 6; offset < 166; ++offset) {
        feed.apply({ record("a", "x4", offset) }, offset + 1);
        passedOn += feed.since(offset).size();
    }
    CHECK(passedOn > 0);
    CHECK(passedOn <= 20);
}
