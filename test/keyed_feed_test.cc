#include <catch2/catch.hpp>

#include <random>

#include "goldcrestwood/keyed_feed.h"
#include "goldcrestwood/log_position.h"

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

namespace {

/// Values such as "3 text" begin with their revision; other values have none.
KeyedFeed::Revision revisionOf(const std::string& /*key*/, const std::string& value)
{
    if (value.empty() || value.front() < '0' || value.front() > '9')
        return std::nullopt;
    return std::make_pair(std::stoull(value), std::uint64_t { 0 });
}

} // namespace

// DRAIN: a replica's entry that the store wrote late, after the one that said it drains, made it ready again.
TEST_CASE("a record that is written late does not revert a newer one")
{
    KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
    feed.apply({ record("a", "8 ready", 10), record("a", "9 draining", 11) }, 12);
    CHECK(feed.apply({ record("a", "7 ready", 12) }, 13).empty());
    CHECK(feed.applyListing({ record("a", "7 ready", 12) }, 13).empty());
    CHECK(feed.since(0) == std::vector { record("a", "9 draining", 11) });
    CHECK(feed.end() == 13);
    CHECK(feed.apply({ record("a", "10 draining", 13) }, 14).size() == 1);
    // A daemon that has only seen the late record gets the newer one from a peer.
    KeyedFeed fresh(&KeyedFeed::isNeverEquivalent, &revisionOf);
    fresh.applyListing({ record("a", "7 ready", 12) }, 13);
    CHECK(fresh.apply({ record("a", "9 draining", 11) }, 13) == std::vector { record("a", "9 draining", 11) });
}

// DRAIN: a late entry brought back a replica whose entry had been removed.
TEST_CASE("a record that is written late does not bring back a removed key")
{
    const KeyedRecord removal { "a", std::nullopt, 11 };
    for (const bool isListed : { false, true }) {
        KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
        feed.apply({ record("a", "8 ready", 10) }, 11);
        CHECK((isListed ? feed.applyListing({}, 12) : feed.apply({ removal }, 12)) == std::vector { removal });
        CHECK(feed.apply({ record("a", "7 ready", 12) }, 13).empty());
        CHECK(feed.apply({ removal }, 13).empty());
        // An upstream that was cut off for a while registers again.
        CHECK(feed.apply({ record("a", "9 ready", 13) }, 14).size() == 1);
    }
}

TEST_CASE("a record without a readable revision blocks no later one, and lets no older one in")
{
    KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
    feed.apply({ record("a", "8 ready", 10) }, 11);
    CHECK(feed.apply({ record("a", "?", 11) }, 12).size() == 1);
    CHECK(feed.apply({ record("a", "7 ready", 12) }, 13).empty());
    CHECK(feed.apply({ record("a", "9 ready", 13) }, 14).size() == 1);
}

TEST_CASE("a writer that counts up from a lower revision is believed after a while")
{
    const auto pairOf = [](const std::string& /*key*/, const std::string& value) -> KeyedFeed::Revision {
        const auto point = value.find('.');
        return std::make_pair(std::stoull(value), std::stoull(value.substr(point + 1)));
    };
    KeyedFeed feed(&KeyedFeed::isNeverEquivalent, pairOf);
    feed.apply({ record("a", "900.5", 10) }, 11);
    std::size_t believed = 0;
    for (std::uint64_t write = 1; write <= 20; ++write) {
        const auto news = feed.apply({ record("a", ("100." + std::to_string(write)).c_str(), 20 + write) }, 21 + write);
        believed += news.size();
        CHECK(news.empty() == (write < 12));
        // The same record again, from a peer, counts for nothing.
        CHECK(feed.apply({ record("a", ("100." + std::to_string(write)).c_str(), 20 + write) }, 21 + write).empty());
    }
    CHECK(believed == 9);
    // Late writes between those of a live writer never add up.
    for (std::uint64_t write = 1; write <= 30; ++write) {
        CHECK(feed.apply({ record("a", ("950." + std::to_string(write)).c_str(), 100 + 2 * write) }, 0).size() == 1);
        CHECK(feed.apply({ record("a", ("100." + std::to_string(20 + write)).c_str(), 101 + 2 * write) }, 0).empty());
    }
}

TEST_CASE("a store that returns from an older copy neither reverts a key nor hides later records")
{
    KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
    feed.applyListing({ record("config", "10", logPosition(1, 2)) }, logPosition(1, 3));
    feed.apply({ record("config", "13", logPosition(1, 3)) }, logPosition(1, 4));
    CHECK(feed.applyRestoredListing({ record("config", "10", logPosition(2, 2)) }, logPosition(2, 3)).empty());
    CHECK(feed.since(0).front().value == "13");
    CHECK(feed.end() == logPosition(2, 3));
    // The operator writes again what was lost, then something new; both have offsets that were given out before.
    CHECK(feed.apply({ record("config", "11", logPosition(2, 3)) }, logPosition(2, 4)).empty());
    feed.apply({ record("config", "13", logPosition(2, 4)) }, logPosition(2, 5));
    CHECK(feed.apply({ record("config", "16", logPosition(2, 5)) }, logPosition(2, 6)).size() == 1);
    // A late answer of the lost log.
    CHECK(feed.apply({ record("config", "13", logPosition(1, 9)) }, logPosition(1, 10)).empty());
    CHECK(feed.since(0).front().value == "16");
    CHECK(feed.end() == logPosition(2, 6));
}

TEST_CASE("a new change that a restored listing shows is applied at once")
{
    KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
    feed.applyListing({ record("config", "13", logPosition(1, 9)) }, logPosition(1, 10));
    CHECK(feed.applyRestoredListing({ record("config", "16", logPosition(2, 4)) }, logPosition(2, 5)).size() == 1);
}

TEST_CASE("keys that a restored listing lacks or reverts stay until the lost records have been written again")
{
    KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
    feed.applyListing({ record("out/a", "x", logPosition(1, 2)), record("out/b", "x", logPosition(1, 5)) }, logPosition(1, 6));
    feed.apply({ { "out/a", std::nullopt, logPosition(1, 6) } }, logPosition(1, 7));
    CHECK(feed.hasRecordBefore(logPosition(2, 0)));
    CHECK(feed.applyRestoredListing({ record("out/a", "x", logPosition(2, 2)) }, logPosition(2, 4)).empty());
    // b was put again, a was not removed again: that is what holds once the writers have had their time.
    feed.apply({ record("out/b", "x", logPosition(2, 4)) }, logPosition(2, 5));
    const auto news = feed.applyListing({ record("out/a", "x", logPosition(2, 2)), record("out/b", "x", logPosition(2, 4)) }, logPosition(2, 5));
    CHECK(news == std::vector { record("out/a", "x", logPosition(2, 2)) });
    CHECK_FALSE(feed.hasRecordBefore(logPosition(2, 0)));
    // A peer that has read to the end of the topic gets the correction too.
    CHECK(feed.since(logPosition(2, 5)).size() == 1);
    CHECK(feed.applyListing({ record("out/b", "x", logPosition(2, 4)) }, logPosition(2, 5)).size() == 1);
}

TEST_CASE("daemons that learn of the store's returns in any order agree on the newest records")
{
    // One key with revisions. The store may return from any older copy; the operator writes again what was lost. Daemons read
    // the store or each other at random.
    for (unsigned seed = 0; seed < 500; ++seed) {
        std::mt19937 random(seed);
        std::uint64_t era = 1;
        std::vector<std::string> log { "1" };
        unsigned version = 1;
        std::vector<KeyedFeed> feeds(3, KeyedFeed(&KeyedFeed::isNeverEquivalent, &revisionOf));
        std::vector<unsigned> inForce(feeds.size(), 0);
        const auto note = [&](std::size_t who, const std::vector<KeyedRecord>& news) {
            for (const auto& one : news) {
                INFO("seed " << seed << " daemon " << who);
                CHECK(std::stoul(*one.value) >= inForce[who]);
                inForce[who] = static_cast<unsigned>(std::stoul(*one.value));
            }
        };
        const auto list = [&](std::size_t who) {
            const std::vector listed { record("config", log.back().c_str(), logPosition(era, log.size() - 1)) };
            const auto end = logPosition(era, log.size());
            note(who, feeds[who].isKnown() && logEra(feeds[who].end()) < era ? feeds[who].applyRestoredListing(listed, end) : feeds[who].applyListing(listed, end));
        };
        for (int step = 0; step < 60; ++step) {
            const auto who = random() % feeds.size();
            const auto action = random() % 10;
            if (action == 0) {
                const auto lost = log;
                log.resize(1 + random() % log.size());
                ++era;
                if (random() % 2 == 0)
                    list(who);
                log.insert(log.end(), lost.begin() + static_cast<std::ptrdiff_t>(log.size()), lost.end());
            } else if (action < 4)
                log.push_back(std::to_string(++version));
            else if (action < 7 && (!feeds[who].isKnown() || logEra(feeds[who].end()) < era))
                list(who);
            else if (action < 7) {
                std::vector<KeyedRecord> tail;
                for (auto offset = logOffset(feeds[who].end()); offset < log.size(); ++offset)
                    tail.push_back(record("config", log[offset].c_str(), logPosition(era, offset)));
                note(who, feeds[who].apply(tail, logPosition(era, log.size())));
            } else if (const auto& peer = feeds[random() % feeds.size()]; peer.isKnown())
                note(who, feeds[who].apply(peer.since(feeds[who].end()), peer.end()));
        }
        for (std::size_t who = 0; who < feeds.size(); ++who) {
            list(who);
            CHECK(feeds[who].since(0).back().value == std::to_string(version));
        }
    }
}

namespace {

KeyedRecord removalOf(const char* key, std::uint64_t offset, std::uint64_t replaced)
{
    return { key, std::nullopt, offset, KeyRevision(replaced, 0) };
}

} // namespace

// DRAIN: a daemon that started after a replica had left knew nothing to compare its late entry with.
TEST_CASE("a removal that a peer remembers outweighs a late value, whichever comes first")
{
    struct LateCase {
        const char* name;
        const char* value;
        std::uint64_t offset;
        bool isHeld;
    };
    // The removal of revision 9 was read at 11.
    for (const auto& [name, value, offset, isHeld] : {
             LateCase { "a late write", "8 ready", 12, false },
             LateCase { "a write from before the removal", "9 ready", 10, false },
             LateCase { "an upstream that is back", "10 ready", 12, true },
             LateCase { "another write with the same number", "9 ready", 12, true },
             LateCase { "the removed value in a restored store", "9 ready", logPosition(1, 5), false },
             LateCase { "an upstream that is back in a restored store", "10 ready", logPosition(1, 5), true },
             LateCase { "a value without a number", "?", 12, true } }) {
        for (const bool isRemovalFirst : { false, true }) {
            INFO(name << ", removal first: " << isRemovalFirst);
            KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
            const auto read = record("a", value, offset);
            if (isRemovalFirst)
                CHECK(feed.apply({ removalOf("a", 11, 9) }, 0).empty());
            feed.apply({ read }, offset + 1);
            const auto news = feed.apply({ removalOf("a", 11, 9) }, 0);
            CHECK(news.empty() == (isRemovalFirst || isHeld));
            const auto held = feed.since(0);
            REQUIRE(held.size() == 1);
            CHECK(held.front().value.has_value() == isHeld);
            // Peers that have read beyond the late value get the removal.
            if (!isHeld && !isRemovalFirst)
                CHECK(feed.since(offset + 1).size() == 1);
        }
    }
}

TEST_CASE("what was removed is handed on with its number, also by a daemon that has only learned of it")
{
    KeyedFeed first(&KeyedFeed::isNeverEquivalent, &revisionOf);
    first.apply({ record("a", "9 ready", 10), { "a", std::nullopt, 11 } }, 12);
    KeyedFeed second(&KeyedFeed::isNeverEquivalent, &revisionOf);
    second.applyListing({}, 12);
    second.apply(first.removals(), 0);
    KeyedFeed third(&KeyedFeed::isNeverEquivalent, &revisionOf);
    // It has read the removal, and not what was removed.
    third.apply({ { "a", std::nullopt, 11 } }, 12);
    third.apply(second.removals(), 0);
    for (auto* feed : { &first, &second, &third }) {
        CHECK(feed->removals() == std::vector { removalOf("a", 11, 9) });
        CHECK(feed->apply({ record("a", "8 ready", 12) }, 13).empty());
        CHECK(feed->apply({ record("a", "10 ready", 13) }, 14).size() == 1);
        CHECK(feed->removals().empty());
    }
}

TEST_CASE("removals are forgotten after a while, and a daemon that lacks one gets a listing")
{
    using namespace std::chrono_literals;
    const TimePoint start { 1h };
    KeyedFeed feed(&KeyedFeed::isNeverEquivalent, &revisionOf);
    KeyedFeed cutOff(&KeyedFeed::isNeverEquivalent, &revisionOf);
    feed.apply({ record("a", "9 ready", 10), record("b", "4 ready", 11) }, 12);
    cutOff.apply(feed.since(0), feed.end());
    feed.apply({ { "a", std::nullopt, 12 } }, 13);
    feed.forgetRemovals(start, 60s);
    feed.forgetRemovals(start + 60s, 60s);
    CHECK(feed.removals().size() == 1);
    CHECK_FALSE(feed.lacksRemovalsSince(cutOff.end()));
    feed.forgetRemovals(start + 61s, 60s);
    CHECK(feed.removals().empty());
    CHECK(feed.lacksRemovalsSince(cutOff.end()));
    CHECK_FALSE(feed.lacksRemovalsSince(feed.end()));
    const auto news = cutOff.applyListing(feed.since(0), feed.end());
    REQUIRE(news.size() == 1);
    CHECK((news.front().key == "a" && !news.front().value));
}

// DRAIN: a daemon took over the end up to which a peer had read, but not the removals from before that peer's start.
TEST_CASE("a daemon that has read less than a peer that started later gets a listing from it")
{
    KeyedFeed early;
    early.applyListing({ record("a", "one", 0), record("b", "one", 1) }, 2);
    KeyedFeed late;
    for (const bool isListed : { false, true }) {
        KeyedFeed behind = early;
        if (isListed)
            late.applyListing({ record("b", "one", 1), record("c", "one", 3) }, 4);
        else
            late.apply({ record("b", "one", 1), record("c", "one", 3) }, 4);
        REQUIRE(late.lacksRemovalsSince(behind.end()));
        const auto news = behind.applyListing(late.since(0), late.end());
        CHECK(news == std::vector { KeyedRecord { "a", std::nullopt, 3 }, record("c", "one", 3) });
        CHECK(behind.end() == late.end());
        late = KeyedFeed();
    }
    // One that has read as far, or nothing, needs none; after a return of the store its own listing tells what is gone.
    late.applyListing({ record("b", "one", 1) }, 4);
    CHECK_FALSE(late.lacksRemovalsSince(4));
    CHECK_FALSE(late.lacksRemovalsSince(0));
    late.applyRestoredListing({}, logPosition(1, 2));
    CHECK_FALSE(late.lacksRemovalsSince(3));
    CHECK(late.lacksRemovalsSince(logPosition(1, 1)));
}

// EVAC: a daemon that started after the end of an evacuation took it over from a peer that had not read the end.
TEST_CASE("a peer that has read less does not bring back a key that a listing lacked")
{
    KeyedFeed feed;
    feed.applyListing({ record("b", "one", 2) }, 4);
    CHECK(feed.apply({ record("a", "one", 1) }, 2).empty());
    CHECK(feed.since(0).size() == 1);
    // What was written after the listing, and what a store may have lost that returned from an older copy, is new.
    CHECK(feed.apply({ record("a", "two", 4) }, 5).size() == 1);
    KeyedFeed restored;
    restored.applyListing({ record("b", "one", logPosition(2, 2)) }, logPosition(2, 4));
    CHECK(restored.apply({ record("a", "one", logPosition(1, 3)) }, 0).size() == 1);
}
