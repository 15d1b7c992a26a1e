#pragma once

/// @file
/// Simulated time, a fake of the platform's log with faults, and a simulated daemon process that runs one stream.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestwood/journal.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/snapshot.h"

namespace goldcrestwood::simulation {

using namespace std::chrono_literals;

/// Event queue in simulated time, with one seeded random number generator.
class World {
public:
    explicit World(std::uint64_t seed)
        : random(seed)
    {
    }

    void after(Duration delay, std::function<void()> event) { this->events.emplace(this->now + delay, std::move(event)); }

    void runFor(Duration duration)
    {
        const auto until = this->now + duration;
        while (!this->events.empty() && this->events.begin()->first <= until) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
        this->now = until;
    }

    bool chance(double probability) { return uniform(this->random) < probability; }
    Duration randomDuration(Duration longest) { return fromSeconds(toSeconds(longest) * uniform(this->random)); }
    std::size_t randomIndex(std::size_t bound) { return this->random() % bound; }

    TimePoint now { 1h };
    Random random;

private:
    std::multimap<TimePoint, std::function<void()>> events;
};

/// Probability of each kind of log failure.
struct LogFaults {
    double answerLost = 0.1;
    double requestLost = 0.05;
    double late = 0.1;
    double duplicated = 0.05;
    double rateLimited = 0.1;
    double readLost = 0.05;
    bool isUnavailable = false;

    static LogFaults none() { return { 0, 0, 0, 0, 0, 0, false }; }
};

/// One stream of the platform's log.
class FakeLog {
public:
    explicit FakeLog(World& site)
        : world(site)
    {
    }

    void append(const std::vector<std::string>& batch, const std::function<void(AppendResult)>& done)
    {
        const auto arrival = this->world.randomDuration(3ms);
        const auto answer = arrival + this->world.randomDuration(3ms);
        auto respond = [&](Duration delay, const AppendResult& result) { this->world.after(delay, [=] { done(result); }); };
        const bool isRefused = this->world.chance(this->faults.rateLimited) || (this->faults.isUnavailable && this->world.chance(0.7));
        if (isRefused)
            return respond(answer, AppendRejected {});
        if (this->faults.isUnavailable || this->world.chance(this->faults.requestLost))
            return respond(this->world.randomDuration(2s), AppendUnknown {});
        if (this->world.chance(this->faults.late)) {
            this->storeAfter(batch, this->world.randomDuration(4s));
            return respond(this->world.randomDuration(1s), AppendUnknown {});
        }
        if (this->world.chance(this->faults.duplicated))
            this->storeAfter(batch, this->world.randomDuration(4s));
        if (this->world.chance(this->faults.answerLost)) {
            this->storeAfter(batch, arrival);
            return respond(this->world.randomDuration(2s), AppendUnknown {});
        }
        this->world.after(arrival, [=, this] {
            const auto first = this->store(batch);
            this->world.after(answer - arrival, [=] { done(AppendOk { first }); });
        });
    }

    void read(std::uint64_t from, std::uint32_t limit, const std::function<void(std::optional<LogRecords>)>& done)
    {
        const bool isLost = this->faults.isUnavailable || this->world.chance(this->faults.readLost);
        const auto wait = from < this->next() ? this->world.randomDuration(3ms) : 20ms + this->world.randomDuration(20ms);
        if (isLost)
            return this->world.after(wait, [=] { done(std::nullopt); });
        this->world.after(wait, [=, this] {
            LogRecords answer { this->firstRetained, this->next(), {} };
            const auto start = std::max(from, this->firstRetained);
            for (auto offset = start; offset < this->next() && answer.records.size() < limit; ++offset)
                answer.records.push_back({ offset, this->records[offset - this->firstRetained] });
            this->world.after(this->world.randomDuration(3ms), [=] { done(answer); });
        });
    }

    void expire(std::uint64_t before)
    {
        for (; this->firstRetained < std::min(before, this->next()); ++this->firstRetained)
            this->records.pop_front();
    }

    std::uint64_t first() const { return this->firstRetained; }
    std::uint64_t next() const { return this->firstRetained + this->records.size(); }

    LogFaults faults;

private:
    void storeAfter(const std::vector<std::string>& batch, Duration delay)
    {
        this->world.after(delay, [=, this] { this->store(batch); });
    }

    std::uint64_t store(const std::vector<std::string>& batch)
    {
        const auto first = this->next();
        this->records.insert(this->records.end(), batch.begin(), batch.end());
        return first;
    }

    World& world;
    std::deque<std::string> records;
    std::uint64_t firstRetained = 0;
};

/// A process that can crash, pause and restart.
class Process {
public:
    explicit Process(World& site)
        : world(site)
    {
    }

    /// Runs @p event after @p delay unless the process has crashed by then; a pause postpones it.
    void after(Duration delay, const std::function<void()>& event)
    {
        this->world.after(delay, [=, this, scheduledIn = this->incarnation] { this->run(scheduledIn, event); });
    }

    /// Wraps a callback for an external answer, which is discarded if the process has crashed in the meantime.
    template <typename Value>
    std::function<void(Value)> here(std::function<void(Value)> event)
    {
        return [=, this, scheduledIn = this->incarnation](const Value& value) { this->run(scheduledIn, [=] { event(value); }); };
    }

    void pause(Duration duration) { this->pausedUntil = this->world.now + duration; }
    void crash() { ++this->incarnation; }

    World& world;
    std::uint64_t incarnation = 1;

private:
    void run(std::uint64_t scheduledIn, const std::function<void()>& event)
    {
        if (scheduledIn != this->incarnation)
            return;
        if (this->world.now < this->pausedUntil)
            this->world.after(this->pausedUntil - this->world.now, [=, this] { this->run(scheduledIn, event); });
        else
            event();
    }

    TimePoint pausedUntil;
};

/// Runs the journal of one stream in a process. @p Fold must provide the members used below.
template <typename Fold>
class StreamRunner {
public:
    StreamRunner(Process& owner, FakeLog& stream, Fold& state, const JournalSettings& settings, const InstanceId& self)
        : journal(settings, self, owner.incarnation, Fold::kinds())
        , assembler(SnapshotSettings { .chunkBytes = 256 })
        , process(owner)
        , log(stream)
        , fold(state)
        , instance(self)
    {
    }

    void pump()
    {
        auto poll = this->journal.poll(this->process.world.now, this->process.world.random);
        this->complete(poll.completions);
        for (const auto& action : poll.actions) {
            if (const auto* append = std::get_if<AppendAction>(&action)) {
                this->log.append(append->records, this->process.template here<AppendResult>([this, exchange = append->exchange](const auto& result) {
                    auto& world = this->process.world;
                    this->complete(this->journal.onAppendResult(exchange, result, world.now, world.random));
                    this->pump();
                }));
            } else {
                const auto& read = std::get<ReadAction>(action);
                this->log.read(read.from, read.limit, this->process.template here<std::optional<LogRecords>>([this, exchange = read.exchange](const auto& result) {
                    this->onRead(exchange, result);
                    this->pump();
                }));
            }
        }
    }

    /// Pumps now and whenever the journal is due again.
    void keepGoing()
    {
        this->pump();
        this->process.after(std::clamp<Duration>(this->journal.nextWake() - this->process.world.now, 1ms, 50ms), [this] { this->keepGoing(); });
    }

    FoldState state() const { return { "", this->journal.next(), this->journal.state().writers, this->fold.parts() }; }

    void writeSnapshot(bool isCutShort)
    {
        auto chunks = makeChunks(this->state(), { this->instance, this->process.incarnation, ++this->snapshots }, SnapshotSettings { .chunkBytes = 256 });
        if (isCutShort)
            chunks.pop_back();
        std::vector<std::string> payloads(chunks.size());
        std::transform(chunks.begin(), chunks.end(), payloads.begin(), [](const auto& chunk) { return encode(chunk); });
        this->journal.submitBackground("SnapshotChunk", payloads);
    }

    /// @return Whether the fold is complete up to at least @p offset, so that it can continue from a log that begins there.
    bool holdsHistory(std::uint64_t offset) const { return !this->journal.needsState() && this->journal.next() >= offset; }

    bool adopt(const FoldState& state)
    {
        if (!this->gate.mayAdopt(state.next, this->journal.next(), this->journal.needsState()))
            return false;
        this->complete(this->journal.adopt({ state.next, state.writers }, this->process.world.now));
        this->fold.restore(state.parts);
        return true;
    }

    Journal journal;
    SnapshotAssembler assembler;
    StateGate gate;

private:
    void complete(const std::vector<Completion>& completions)
    {
        for (const auto& completion : completions)
            this->fold.complete(completion);
    }

    void onRead(std::uint64_t exchange, const std::optional<LogRecords>& result)
    {
        auto& world = this->process.world;
        if (!result)
            return this->journal.onReadFailed(exchange, world.now, world.random);
        const auto update = this->journal.onRecords(exchange, *result, world.now);
        for (const auto& record : update.applied) {
            if (record.kind != "SnapshotChunk") {
                this->fold.apply(record);
            } else if (const auto state = this->assembler.add(*decode<SnapshotChunk>(record.payload))) {
                this->adopt(*state);
            }
        }
        this->complete(update.completions);
        if (this->journal.needsState())
            return;
        this->gate.onFolded(this->journal.next());
        if (this->journal.lag() == 0)
            this->gate.onCaughtUp();
        this->fold.afterRead(this->journal.next());
    }

    Process& process;
    FakeLog& log;
    Fold& fold;
    InstanceId instance;
    std::uint64_t snapshots = 0;
};

/// @return Whether a daemon other than @p left could provide the history to the others if the log began at @p offset.
template <typename Daemons>
bool isHistoryHeld(const Daemons& daemons, std::uint64_t offset, const void* left = nullptr)
{
    return std::any_of(daemons.begin(), daemons.end(),
        [&](const auto& daemon) { return daemon.get() != left && daemon->runner->holdsHistory(offset); });
}

/// Transfers the state of a daemon that holds the history to each daemon that needs one.
template <typename Daemons>
void shareHistory(const Daemons& daemons, std::uint64_t offset)
{
    for (const auto& daemon : daemons) {
        for (const auto& peer : daemons) {
            if (daemon->runner->journal.needsState() && peer->runner->holdsHistory(offset))
                daemon->runner->adopt(peer->runner->state());
        }
    }
}

} // namespace goldcrestwood::simulation
