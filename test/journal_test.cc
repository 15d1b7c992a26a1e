/// @file
/// Tests the journal with lost answers, delayed appends, outages, record expiry, pauses and crashes, and the adoption of
/// snapshots.

#include <memory>

#include <catch2/catch.hpp>

#include "goldcrestwood/hash.h"
#include "simulation.h"

using namespace goldcrestwood;
using namespace goldcrestwood::simulation;

namespace {

/// Reports of all daemons of a run, for comparison.
struct Ledger {
    std::map<std::uint64_t, std::uint64_t> hashAt;
    std::map<RecordId, std::uint64_t> effective;
    std::map<RecordId, RecordOutcome> outcomes;
    std::set<RecordId> notes;
};

/// A fold that hashes the history, so that equal hashes imply equal histories.
class HistoryFold {
public:
    explicit HistoryFold(Ledger& all)
        : ledger(all)
    {
    }

    static std::set<std::string> kinds() { return { "Note", "SnapshotChunk" }; }

    void apply(const AppliedRecord& record)
    {
        this->hash = stableHash(encode(record.id), this->hash);
        const auto [entry, isNew] = this->ledger.effective.try_emplace(record.id, record.offset);
        CHECK(entry->second == record.offset);
    }

    std::vector<FoldPart> parts() const { return { { "hash", std::to_string(this->hash) } }; }
    void restore(const std::vector<FoldPart>& parts) { this->hash = std::stoull(parts.at(0).state); }

    void complete(const Completion& completion)
    {
        const auto [entry, isNew] = this->ledger.outcomes.try_emplace(completion.id, completion.outcome);
        const bool wasUndecided = isNew || entry->second == RecordOutcome::Unknown;
        CHECK(wasUndecided);
        entry->second = completion.outcome;
        if (completion.outcome == RecordOutcome::Committed && this->ledger.notes.contains(completion.id))
            CHECK(this->ledger.effective.at(completion.id) == completion.offset);
    }

    void afterRead(std::uint64_t next)
    {
        CHECK(next >= this->highest);
        this->highest = next;
        CHECK(this->ledger.hashAt.try_emplace(next, this->hash).first->second == this->hash);
    }

private:
    Ledger& ledger;
    std::uint64_t hash = 0;
    std::uint64_t highest = 0;
};

/// A daemon that writes notes.
class Writer {
public:
    Writer(World& world, FakeLog& stream, Ledger& all, std::string name)
        : process(world)
        , instance(std::move(name))
        , log(stream)
        , ledger(all)
    {
        this->start();
    }

    void start()
    {
        JournalSettings settings;
        settings.batchRecords = 8;
        settings.queueRecords = 64;
        settings.readRecords = 32;
        this->fold = std::make_unique<HistoryFold>(this->ledger);
        this->runner = std::make_unique<StreamRunner<HistoryFold>>(this->process, this->log, *this->fold, settings, this->instance);
        this->runner->keepGoing();
        this->write();
    }

    void restart()
    {
        this->process.crash();
        this->start();
    }

    void write()
    {
        this->process.after(this->process.world.randomDuration(100ms), [this] {
            const auto* kind = this->process.world.chance(0.05) ? "Strange" : "Note";
            const auto id = this->runner->journal.submit(kind, "text", this->process.world.now);
            if (id && std::string_view(kind) == "Note")
                this->ledger.notes.insert(*id);
            if (this->isWriting)
                this->write();
        });
    }

    Process process;
    InstanceId instance;
    FakeLog& log;
    Ledger& ledger;
    std::unique_ptr<HistoryFold> fold;
    std::unique_ptr<StreamRunner<HistoryFold>> runner;
    bool isWriting = true;
};

void disturb(World& world, FakeLog& log, std::vector<std::unique_ptr<Writer>>& writers)
{
    auto& writer = *writers[world.randomIndex(writers.size())];
    if (world.chance(0.2) && isHistoryHeld(writers, log.first(), &writer))
        writer.restart();
    if (world.chance(0.3))
        writer.process.pause(world.randomDuration(5s));
    log.faults.isUnavailable = world.chance(0.2);
    auto& snapshotter = *writers[world.randomIndex(writers.size())]->runner;
    if (!snapshotter.journal.needsState())
        snapshotter.writeSnapshot(world.chance(0.3));
    if (world.chance(0.3) && log.next() > 400 && isHistoryHeld(writers, log.next() - 400))
        log.expire(log.next() - 400);
    for (const auto& other : writers) {
        if (world.chance(0.2) && !other->runner->journal.needsState() && other->runner->gate.isReady())
            writer.runner->adopt(other->runner->state());
    }
}

} // namespace

TEST_CASE("reported record outcomes are correct, and folds are equal at equal offsets")
{
    const auto seed = GENERATE(range(1, 13));
    INFO("seed " << seed);
    World world(seed);
    FakeLog log(world);
    Ledger ledger;
    std::vector<std::unique_ptr<Writer>> writers;
    for (const auto* name : { "a", "b", "c" })
        writers.push_back(std::make_unique<Writer>(world, log, ledger, name));
    for (int round = 0; round < 60; ++round) {
        disturb(world, log, writers);
        world.runFor(world.randomDuration(2s));
    }

    log.faults = LogFaults::none();
    for (const auto& writer : writers)
        writer->isWriting = false;
    world.runFor(20s);
    shareHistory(writers, log.first());
    world.runFor(5s);
    std::map<RecordOutcome, int> outcomeCounts;
    for (const auto& [id, outcome] : ledger.outcomes) {
        ++outcomeCounts[outcome];
        if (outcome == RecordOutcome::NotAppended)
            CHECK_FALSE(ledger.effective.contains(id));
    }
    CHECK(outcomeCounts[RecordOutcome::Committed] > 100);
    CHECK(outcomeCounts[RecordOutcome::NotAppended] > 0);
    for (const auto& writer : writers) {
        INFO("needs state: " << writer->runner->journal.needsState());
        CHECK(writer->runner->journal.next() == log.next());
        CHECK(writer->runner->journal.lag() == 0);
    }
}

TEST_CASE("one append is in flight at a time, and queued records are batched into the next one within its limits")
{
    Random random(1);
    JournalSettings settings;
    settings.batchRecords = 3;
    settings.queueRecords = 5;
    Journal journal(settings, InstanceId("a"), 1, { "Note" });
    const TimePoint start(1h);
    REQUIRE(journal.submit("Note", "1", start));
    const auto first = journal.poll(start, random);
    CHECK(first.actions.size() == 2);
    for (int note = 0; note < 5; ++note)
        REQUIRE(journal.submit("Note", "2", start));
    CHECK(journal.submit("Note", "3", start) == tl::unexpected(SubmitError::QueueFull));
    CHECK(journal.poll(start, random).actions.empty());
    const auto exchange = std::get<AppendAction>(first.actions[0]).exchange;
    journal.onAppendResult(exchange, AppendOk { 0 }, start, random);
    const auto second = journal.poll(start, random);
    REQUIRE(second.actions.size() == 1);
    CHECK(std::get<AppendAction>(second.actions[0]).records.size() == 3);
}

TEST_CASE("a batch that is appended after the fence is void, and its writer knows in advance")
{
    Random random(1);
    Journal journal(JournalSettings(), InstanceId("a"), 1, { "Note" });
    Journal reader(JournalSettings(), InstanceId("b"), 1, { "Note" });
    TimePoint now(1h);
    const auto lost = *journal.submit("Note", "1", now);
    const auto first = journal.poll(now, random);
    const auto& batch = std::get<AppendAction>(first.actions.at(0));
    const auto readExchange = std::get<ReadAction>(first.actions.at(1)).exchange;
    const auto open = journal.onAppendResult(batch.exchange, AppendUnknown {}, now, random);
    CHECK(open == std::vector<Completion> { { lost, RecordOutcome::Unknown, 0 } });
    const auto waiting = *journal.submit("Note", "2", now);
    CHECK(journal.poll(now, random).actions.empty());

    now += JournalSettings().fenceDelay;
    const auto second = journal.poll(now, random);
    const auto& fence = std::get<AppendAction>(second.actions.at(0));
    REQUIRE(fence.records.size() == 1);
    journal.onAppendResult(fence.exchange, AppendOk { 0 }, now, random);
    LogRecords log { 0, 1, { { 0, fence.records[0] } } };
    const auto update = journal.onRecords(readExchange, log, now);
    CHECK(update.completions == std::vector<Completion> { { lost, RecordOutcome::NotAppended, 0 } });

    const auto third = journal.poll(now, random);
    log.records.push_back({ 1, batch.records[0] });
    log.records.push_back({ 2, std::get<AppendAction>(third.actions.at(0)).records.at(0) });
    log.next = 3;
    const auto read = std::get<ReadAction>(reader.poll(now, random).actions.at(0));
    const auto applied = reader.onRecords(read.exchange, log, now).applied;
    REQUIRE(applied.size() == 1);
    CHECK(applied[0].id == waiting);
    CHECK(reader.dropped() == 1);
}

TEST_CASE("a second journal of the same incarnation reuses no id, and background records wait for queued ones")
{
    Random random(1);
    const TimePoint now(1h);
    Journal earlier(JournalSettings(), InstanceId("a"), 1, { "Note" });
    const auto before = *earlier.submit("Note", "1", now);
    JournalSettings settings;
    settings.batchRecords = 2;
    Journal journal(settings, InstanceId("a"), 1, { "Note" });
    CHECK(journal.submitBackground("SnapshotChunk", { "large", "larger" }));
    CHECK_FALSE(journal.submitBackground("SnapshotChunk", { "large" }));
    std::vector<std::size_t> sizes;
    auto last = before;
    for (int round = 0; round < 3; ++round) {
        for (int note = 0; note < 3 && round == 0; ++note)
            REQUIRE(journal.submit("Note", "2", now + 1us));
        const auto batch = std::get<AppendAction>(journal.poll(now + 2us, random).actions.at(0));
        for (const auto& bytes : batch.records) {
            const auto id = decode<LogRecord>(bytes)->id;
            CHECK(id > last);
            last = id;
        }
        sizes.push_back(batch.records.size());
        journal.onAppendResult(batch.exchange, AppendOk { 0 }, now + 3us, random);
    }
    CHECK(sizes == std::vector<std::size_t> { 2, 2, 1 });
}

TEST_CASE("in an outage queued records complete as not appended and the journal reports the outage")
{
    Random random(1);
    Journal journal(JournalSettings(), InstanceId("a"), 1, { "Note" });
    TimePoint now(1h);
    const auto id = journal.submit("Note", "1", now);
    std::vector<Completion> completions;
    std::size_t appends = 0;
    for (; completions.empty() && now < TimePoint(1h + 10s); now = std::max(journal.nextWake(), now + 1ms)) {
        auto poll = journal.poll(now, random);
        completions = poll.completions;
        for (const auto& action : poll.actions) {
            if (const auto* append = std::get_if<AppendAction>(&action)) {
                ++appends;
                journal.onAppendResult(append->exchange, AppendRejected {}, now, random);
            }
        }
    }
    REQUIRE(completions == std::vector<Completion> { { *id, RecordOutcome::NotAppended, 0 } });
    CHECK(appends > 3);
    CHECK(appends < 15);
    CHECK(journal.isOutage(now));
}

TEST_CASE("a damaged or older snapshot is never adopted")
{
    FoldState state { "control", 50, {}, { { "hash", std::string(3000, 'x') } } };
    SnapshotSettings settings;
    settings.chunkBytes = 1000;
    auto chunks = makeChunks(state, { InstanceId("a"), 1, 1 }, settings);
    REQUIRE(chunks.size() == 4);
    SnapshotAssembler assembler(settings);
    auto damaged = chunks;
    damaged[1].bytes[5] = 'y';
    for (auto& chunk : damaged) {
        chunk.writer.sequence = 2;
        CHECK_FALSE(assembler.add(chunk));
    }
    CHECK(assembler.corruptCount() == 1);
    CHECK_FALSE(assembler.add(chunks[3]));
    CHECK_FALSE(assembler.add(chunks[0]));
    CHECK_FALSE(assembler.add(chunks[2]));
    CHECK(assembler.add(chunks[1]) == state);

    StateGate gate;
    CHECK_FALSE(gate.isReady());
    CHECK_FALSE(gate.mayAdopt(Journal(JournalSettings(), InstanceId("a"), 1, {}).state().next, 0, true));
    CHECK(gate.mayAdopt(50, 0, true));
    CHECK_FALSE(gate.isReady());
    gate.onFolded(80);
    gate.onCaughtUp();
    CHECK(gate.isReady());
    CHECK_FALSE(gate.mayAdopt(60, 0, true));
    CHECK_FALSE(gate.mayAdopt(80, 80, false));
    CHECK(gate.mayAdopt(90, 80, false));
}
