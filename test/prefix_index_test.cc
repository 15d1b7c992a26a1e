/// @file
/// Tests PrefixIndex with delayed, lost, duplicated and reordered events, holder restarts and a memory limit.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "goldcrestwood/holder_feed.h"
#include "goldcrestwood/prefix_index.h"
#include "goldcrestwood/random.h"

using namespace goldcrestwood;

namespace {

const UpstreamId engine("kiln-voice-1");
const UpstreamId store("glaze-memory");
const TimePoint start { std::chrono::seconds(1000) };
constexpr auto stored = HolderEventKind::Stored;
constexpr auto evicted = HolderEventKind::Evicted;
constexpr auto inEngine = Tier::EngineMemory;

HolderEvents batch(const UpstreamId& holder, std::uint64_t epoch, std::uint64_t after, std::vector<HolderEvent> events)
{
    const auto last = events.empty() ? after : events.back().sequence;
    return { holder, epoch, after, last, std::move(events), 0 };
}

std::vector<ChainHash> chainOf(std::uint64_t first, std::size_t blocks)
{
    std::vector<ChainHash> chain;
    for (std::size_t i = 0; i < blocks; ++i)
        chain.push_back({ first * 1000 + i });
    return chain;
}

double coveredBy(PrefixIndex& index, const std::vector<ChainHash>& chain, const UpstreamId& holder)
{
    const auto coverage = index.lookUp(chain, start);
    for (const auto& entry : coverage.engines) {
        if (entry.upstream == holder)
            return entry.blocks * entry.confidence;
    }
    return 0;
}

/// An engine that numbers its events without gaps and loses some of them before they are published.
struct FakeEngine {
    std::uint64_t epoch = 1;
    std::uint64_t sequence = 0;
    std::set<std::uint64_t> blocks;
    std::vector<HolderEvent> published;

    void change(HolderEventKind kind, std::uint64_t hash)
    {
        if (kind == stored ? !this->blocks.insert(hash).second : this->blocks.erase(hash) == 0)
            return;
        this->published.push_back({ ++this->sequence, kind, inEngine, hash });
    }

    void restart()
    {
        ++this->epoch;
        this->sequence = 0;
        this->blocks.clear();
        this->published.clear();
    }

    /// Loses the event at position @p fromEnd, counted from the latest one.
    void lose(std::size_t fromEnd)
    {
        if (fromEnd < this->published.size())
            this->published.erase(this->published.end() - 1 - static_cast<std::ptrdiff_t>(fromEnd));
    }

    HolderEvents answer(std::uint64_t after) const
    {
        HolderEvents result { engine, this->epoch, after, this->sequence, {}, this->blocks.size() };
        for (const auto& event : this->published) {
            if (event.sequence > after)
                result.events.push_back(event);
        }
        return result;
    }
};

} // namespace

TEST_CASE("duplicate events and events of an old epoch are ignored")
{
    PrefixIndex index;
    const auto chain = chainOf(1, 2);
    index.apply(batch(engine, 5, 0, { { 1, stored, inEngine, 1000 }, { 2, stored, inEngine, 1001 } }), start);
    index.apply(batch(engine, 5, 2, { { 3, evicted, inEngine, 1001 } }), start);
    CHECK(coveredBy(index, chain, engine) == 1);

    index.apply(batch(engine, 5, 0, { { 1, stored, inEngine, 1000 }, { 2, stored, inEngine, 1001 } }), start);
    index.apply(batch(engine, 4, 0, { { 9, evicted, inEngine, 1000 } }), start);
    CHECK(coveredBy(index, chain, engine) == 1);
    CHECK(index.counts().staleEvents == 3);
    CHECK(index.counts().gaps == 0);
}

TEST_CASE("delayed older batches do not restore an evicted block")
{
    PrefixIndex index;
    const auto chain = chainOf(1, 2);
    index.apply(batch(engine, 1, 0, { { 1, stored, inEngine, 1000 }, { 2, stored, inEngine, 1001 } }), start);
    index.apply(batch(engine, 1, 2, { { 3, evicted, inEngine, 1001 } }), start);
    index.apply(batch(engine, 1, 0, { { 1, stored, inEngine, 1000 } }), start);
    index.apply(batch(engine, 1, 1, { { 2, stored, inEngine, 1001 } }), start);
    CHECK(coveredBy(index, chain, engine) == 1);
    index.apply(batch(engine, 1, 1, { { 2, stored, inEngine, 1001 }, { 4, stored, inEngine, 2000 } }), start);
    CHECK(coveredBy(index, chain, engine) == 1);
    CHECK(coveredBy(index, chainOf(2, 1), engine) == 1);
    CHECK(index.counts().gaps == 0);
}

TEST_CASE("an event before a gap in the same batch gets a reduced confidence")
{
    PrefixIndex index;
    const PrefixIndexSettings settings;
    index.apply({ engine, 1, 8, 9, { { 7, stored, inEngine, 1000 }, { 9, stored, inEngine, 2000 } }, 0 }, start);
    CHECK(coveredBy(index, chainOf(1, 1), engine) == Approx(settings.gapConfidence));
    CHECK(coveredBy(index, chainOf(2, 1), engine) == 1);
    // Two lost events of a holder with 200 blocks hardly reduce the confidence in a single block.
    index.apply({ engine, 1, 11, 11, {}, 200 }, start);
    CHECK(coveredBy(index, chainOf(2, 1), engine) == Approx(0.99).margin(0.002));
}

TEST_CASE("a gap or a restart reduces the confidence in a holder until the next snapshot")
{
    PrefixIndex index;
    const PrefixIndexSettings settings;
    const auto chain = chainOf(1, 1);
    index.apply(batch(engine, 1, 0, { { 1, stored, inEngine, 1000 } }), start);
    index.apply(batch(store, 1, 0, { { 1, stored, Tier::StoreDisk, 1000 } }), start);
    index.apply(batch(engine, 1, 7, { { 8, stored, inEngine, 2000 } }), start);
    CHECK(coveredBy(index, chain, engine) == Approx(settings.gapConfidence));
    CHECK(coveredBy(index, chainOf(2, 1), engine) == 1);

    index.apply(HolderSnapshot { engine, 1, 8, { { inEngine, 1000 } } }, start);
    CHECK(coveredBy(index, chain, engine) == 1);
    CHECK(coveredBy(index, chainOf(2, 1), engine) == Approx(settings.restartConfidence));

    index.apply(batch(engine, 2, 0, {}), start);
    index.apply(batch(store, 2, 0, {}), start);
    CHECK(coveredBy(index, chain, engine) == Approx(settings.restartConfidence));
    CHECK(index.lookUp(chain, start).stores.at(0).confidence == Approx(settings.diskRestartConfidence));
    CHECK(index.counts().restarts == 2);
}

TEST_CASE("entries of a removed holder do not apply to the next holder")
{
    PrefixIndex index;
    index.expect({ engine, { 1000 } }, start);
    index.forget(engine);
    index.expect({ UpstreamId("kiln-voice-2"), { 2000 } }, start);
    CHECK(index.lookUp(chainOf(1, 1), start).engines.empty());
    CHECK(index.lookUp(chainOf(2, 1), start).engines.size() == 1);
}

TEST_CASE("engine coverage starts at the first block and store coverage consists of runs")
{
    PrefixIndex index;
    index.apply(batch(engine, 1, 0, { { 1, stored, inEngine, 1000 }, { 2, stored, inEngine, 1002 } }), start);
    index.apply(HolderSnapshot { store, 1, 1,
                    { { Tier::StoreMemory, 1001 }, { Tier::StoreMemory, 1002 }, { Tier::StoreDisk, 1003 } } },
        start);
    const auto coverage = index.lookUp(chainOf(1, 4), start);
    // The engine holds the third block, so it most likely holds the second one, whose event was lost.
    REQUIRE(coverage.engines.size() == 1);
    CHECK(coverage.engines[0].blocks == 3);
    CHECK(coverage.engines[0].confidence < 1);
    // The second block is a real hole once its eviction was reported.
    index.apply(batch(engine, 1, 2, { { 3, stored, inEngine, 1001 }, { 4, evicted, inEngine, 1001 } }), start);
    CHECK(index.lookUp(chainOf(1, 4), start).engines.at(0).blocks == 1);
    REQUIRE(coverage.stores.size() == 2);
    CHECK(coverage.stores[0] == StoreCoverage { store, Tier::StoreMemory, 1, 2, 1 });
    CHECK(coverage.stores[1] == StoreCoverage { store, Tier::StoreDisk, 3, 1, 1 });
    CHECK(index.lookUp(chainOf(1, 4), start).touches == std::vector<std::uint16_t> { 2, 2, 2, 2 });

    index.observe(BlocksSeen { store, Tier::StoreMemory, {}, { 1003 } }, start);
    CHECK(index.lookUp(chainOf(1, 4), start).stores.size() == 1);
    index.observe(BlocksSeen { store, Tier::StoreDisk, { 1001, 1002, 1003 }, {} }, start);
    CHECK(index.lookUp(chainOf(1, 4), start).stores == std::vector { StoreCoverage { store, Tier::StoreDisk, 1, 3, 1 } });
}

TEST_CASE("one-off prompts do not evict a returning prompt")
{
    PrefixIndexSettings settings;
    settings.maxBlocks = 512;
    PrefixIndex index(settings);
    const auto returning = chainOf(1, 8);
    for (int i = 0; i < 3; ++i)
        index.lookUp(returning, start);
    index.expect({ engine, hashValues(returning) }, start);
    for (std::uint64_t i = 0; i < 1000; ++i)
        index.lookUp(chainOf(10 + i, 4), start + std::chrono::milliseconds(i));
    CHECK(index.blocks() == settings.maxBlocks);
    CHECK(index.lookUp(returning, start).engines.at(0).blocks == 8);
    CHECK(index.memoryBytes() < 256 * settings.maxBlocks);
}

TEST_CASE("entries with full confidence are correct once the latest batch has arrived")
{
    // Events are forwarded to two owners over links that lose, duplicate and reorder batches. After an index received
    // its last batch, the engine must hold every block for which the index reports full confidence.
    const auto seed = GENERATE(range(1, 200));
    INFO("seed " << seed);
    Random random(static_cast<std::uint64_t>(seed));
    FakeEngine fake;
    HolderFeed feed(engine);
    std::map<InstanceId, PrefixIndex> owners;
    const InstanceId ownerIds[] = { InstanceId("a"), InstanceId("b") };
    for (const auto& ownerId : ownerIds)
        owners.try_emplace(ownerId);
    auto ownerOf = [&](ChainHash first) { return ownerIds[first.value / 1000 % 2]; };
    for (std::uint64_t i = 0; i < 6; ++i)
        feed.recordPlacement({ i * 1000 }, chainOf(i, 3), start);

    const auto restartEvery = random() % 2 ? 80 : 100000;
    const auto loseEvery = random() % 2 ? 50 : 100000;
    const auto dropsMessages = random() % 2 == 0;
    std::vector<AddressedEvents> inFlight;
    for (int step = 0; step < 200; ++step) {
        for (auto changes = random() % 4; changes > 0; --changes)
            fake.change(random() % 2 ? stored : evicted, random() % 6 * 1000 + random() % 3);
        if (random() % restartEvery == 0)
            fake.restart();
        if (random() % loseEvery == 0)
            fake.lose(random() % 2);
        for (auto& message : feed.poll(fake.answer(feed.nextAfter()), ownerOf))
            inFlight.push_back(std::move(message));
        while (!inFlight.empty() && random() % 4) {
            const auto position = std::min<std::size_t>(random() % 3, inFlight.size() - 1);
            if (!dropsMessages || random() % 10)
                owners.at(inFlight[position].to).apply(inFlight[position].events, start);
            if (random() % 3)
                inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
    // A last round reaches all owners in order.
    for (std::uint64_t i = 0; i < 6; ++i) {
        fake.change(evicted, i * 1000 + 2);
        fake.change(stored, i * 1000 + 2);
    }
    for (const auto& message : feed.poll(fake.answer(feed.nextAfter()), ownerOf))
        owners.at(message.to).apply(message.events, start);
    for (std::uint64_t i = 0; i < 6; ++i) {
        auto& index = owners.at(ownerOf({ i * 1000 }));
        const auto coverage = index.lookUp(chainOf(i, 3), start);
        for (const auto& entry : coverage.engines) {
            for (std::uint64_t block = 0; entry.confidence == 1 && block < entry.blocks; ++block)
                CHECK(fake.blocks.count(i * 1000 + block) == 1);
        }
    }
}

TEST_CASE("a feed reports a gap to all receivers at once")
{
    HolderFeed feed(engine);
    feed.recordPlacement({ 1000 }, chainOf(1, 1), start);
    feed.recordPlacement({ 2000 }, chainOf(2, 1), start);
    auto ownerOf = [](ChainHash first) { return InstanceId(first.value == 1000 ? "a" : "b"); };
    CHECK(feed.poll(batch(engine, 1, 0, { { 1, stored, inEngine, 1000 }, { 2, stored, inEngine, 2000 } }), ownerOf).size() == 2);
    CHECK(feed.poll(batch(engine, 1, 2, { { 3, evicted, inEngine, 9000 } }), ownerOf).empty());
    CHECK(feed.unknownEvents() == 1);
    auto messages = feed.poll(batch(engine, 1, 3, { { 6, stored, inEngine, 1000 } }), ownerOf);
    REQUIRE(messages.size() == 2);
    CHECK(messages[0] == AddressedEvents { InstanceId("a"), batch(engine, 1, 5, { { 6, stored, inEngine, 1000 } }) });
    CHECK(messages[1] == AddressedEvents { InstanceId("b"), { engine, 1, 5, 6, {}, 0 } });
    messages = feed.poll({ engine, 1, 6, 8, { { 7, stored, inEngine, 1000 } }, 0 }, ownerOf);
    REQUIRE(messages.size() == 2);
    CHECK(messages[0] == AddressedEvents { InstanceId("a"), { engine, 1, 8, 8, { { 7, stored, inEngine, 1000 } }, 0 } });
    messages = feed.poll(batch(engine, 2, 0, {}), ownerOf);
    REQUIRE(messages.size() == 2);
    CHECK(messages[1] == AddressedEvents { InstanceId("b"), { engine, 2, 0, 0, {}, 0 } });
}

TEST_CASE("prefix messages survive encoding")
{
    const PrefixAnswer answer { true, { { { engine, 3, 0.5 } }, { { store, Tier::StoreDisk, 1, 2, 1 } }, { 1, 2 }, 0.25 } };
    CHECK(decode<PrefixAnswer>(encode(answer)) == answer);
    const HolderEvents events = batch(engine, 1, 4, { { 5, evicted, inEngine, ~std::uint64_t { 0 } } });
    CHECK(decode<HolderEvents>(encode(events)) == events);
}
