#pragma once

/// @file
/// Runs the journal of one log stream on two threads and maintains the state folded from its records.

#include <algorithm>
#include <concepts>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemon/clock.h"
#include "daemon/platform_client.h"
#include "goldcrestwood/hash.h"
#include "goldcrestwood/journal.h"
#include "goldcrestwood/settings.h"
#include "goldcrestwood/snapshot.h"

namespace goldcrestwood {

/// State built from the records of a stream.
template <typename Fold>
concept LogFold = requires(Fold fold, const AppliedRecord& record, const std::vector<FoldPart>& parts)
{
    {
        Fold::kinds()
        } -> std::same_as<std::set<std::string>>;
    fold.apply(record);
    fold.restore(parts);
    {
        fold.parts()
        } -> std::same_as<std::vector<FoldPart>>;
};

/// Identity under which a process writes to the log.
struct JournalWriter {
    InstanceId instance;
    std::uint64_t incarnation = 0;
};

/// Status of a stream in the state dump.
struct JournalStatus {
    std::uint64_t next = 0;
    std::uint64_t lag = 0;
    std::uint64_t skipped = 0;
    std::uint64_t dropped = 0;
    bool outage = false;
    bool ready = false;
    bool superseded = false;
    double stalenessSeconds = 0;
};

template <LogFold Fold>
class JournalDriver {
public:
    JournalDriver(std::string streamName, const JournalWriter& writer, const PlatformSettings& platform, Fold initial)
        : stream(std::move(streamName))
        , self(writer)
        , log(platform.log, platform.timeout, platform.readWait)
        , reader(platform.log, platform.timeout, platform.readWait)
        , fold(std::move(initial))
        , journal(journalSettings(platform), writer.instance, writer.incarnation, knownKinds())
        , assembler(snapshotSettings)
        , schedule(snapshotSettings)
        , random(stableHash(this->stream) ^ writer.incarnation)
    {
    }

    JournalDriver(const JournalDriver&) = delete;
    JournalDriver& operator=(const JournalDriver&) = delete;

    ~JournalDriver() { this->stop(); }

    /// @param callback Called under the stream's lock after each change; must not call the driver.
    void onUpdate(std::function<void(Fold&)> callback) { this->updateCallback = std::move(callback); }

    void start()
    {
        this->appendThread = std::thread([this] { this->runAppends(); });
        this->readThread = std::thread([this] { this->runReads(); });
    }

    void stop()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_all();
        if (this->appendThread.joinable())
            this->appendThread.join();
        if (this->readThread.joinable())
            this->readThread.join();
    }

    /// Queues a record without waiting for it.
    template <typename Message>
    tl::expected<RecordId, SubmitError> submit(const char* kind, const Message& message)
    {
        const std::lock_guard lock(this->mutex);
        auto id = this->journal.submit(kind, encode(message), monotonicNow());
        this->changed.notify_all();
        return id;
    }

    /// Queues a record and waits until its outcome is known or @p timeout has passed.
    /// @return The outcome; a record that could still be cancelled after the timeout counts as not appended.
    template <typename Message>
    Completion submitAndWait(const char* kind, const Message& message, Duration timeout)
    {
        std::unique_lock lock(this->mutex);
        const auto id = this->journal.submit(kind, encode(message), monotonicNow());
        if (!id)
            return { {}, RecordOutcome::NotAppended, 0 };
        this->pendingOutcomes.emplace(*id, std::nullopt);
        this->changed.notify_all();
        const auto isOutcomeKnown = [&] {
            const auto& completion = this->pendingOutcomes.at(*id);
            return completion && completion->outcome != RecordOutcome::Unknown;
        };
        this->completed.wait_for(lock, timeout, isOutcomeKnown);
        auto completion = this->pendingOutcomes.at(*id).value_or(Completion { *id, RecordOutcome::Unknown, 0 });
        if (!isOutcomeKnown() && this->journal.cancel(*id))
            completion.outcome = RecordOutcome::NotAppended;
        this->pendingOutcomes.erase(*id);
        return completion;
    }

    /// Calls @p use with the fold while holding the stream's lock.
    template <typename Use>
    auto withFold(const Use& use)
    {
        const std::lock_guard lock(this->mutex);
        return use(this->fold);
    }

    /// Calls @p use with the fold and the journal while holding the stream's lock, then wakes the threads to run the journal's actions.
    template <typename Use>
    auto withJournal(const Use& use)
    {
        const std::lock_guard lock(this->mutex);
        auto result = use(this->fold, this->journal);
        this->changed.notify_all();
        return result;
    }

    /// Waits until @p condition holds for the fold or @p timeout has passed.
    /// @return Whether the condition holds.
    template <typename Condition>
    bool waitForFold(const Condition& condition, Duration timeout)
    {
        std::unique_lock lock(this->mutex);
        return this->completed.wait_for(lock, timeout, [&] { return condition(this->fold); });
    }

    /// @return The state to send to a peer.
    FoldState foldState()
    {
        const std::lock_guard lock(this->mutex);
        return this->currentState();
    }

    /// Replaces the fold with a peer's state if that state is ahead.
    /// @return Whether the state was replaced.
    bool adoptFromPeer(const FoldState& state)
    {
        const std::lock_guard lock(this->mutex);
        if (state.stream != this->stream || !this->adopt(state))
            return false;
        this->gate.onCaughtUp();
        return true;
    }

    /// Writes a snapshot if one is due.
    /// @param holdsLease Whether this daemon is responsible for the snapshots of the stream.
    void writeSnapshotIfDue(bool holdsLease)
    {
        const std::lock_guard lock(this->mutex);
        const auto now = monotonicNow();
        if (!this->gate.isReady() || !this->schedule.isDue(holdsLease, now))
            return;
        const RecordId writer { this->self.instance, this->self.incarnation, ++this->snapshotCount };
        const auto chunks = makeChunks(this->currentState(), writer, snapshotSettings);
        std::vector<std::string> payloads(chunks.size());
        std::transform(chunks.begin(), chunks.end(), payloads.begin(), [](const SnapshotChunk& chunk) { return encode(chunk); });
        this->journal.submitBackground("SnapshotChunk", payloads);
        this->changed.notify_all();
    }

    JournalStatus status()
    {
        const std::lock_guard lock(this->mutex);
        const auto now = monotonicNow();
        return { this->journal.next(), this->journal.lag(), this->journal.skipped(), this->journal.dropped(),
            this->journal.isOutage(now), this->gate.isReady(), this->journal.isSuperseded(), toSeconds(this->journal.staleness(now)) };
    }

    /// @return Whether the fold may be used to answer requests.
    bool isReady()
    {
        const std::lock_guard lock(this->mutex);
        return this->gate.isReady();
    }

    bool isOutage()
    {
        const std::lock_guard lock(this->mutex);
        return this->journal.isOutage(monotonicNow());
    }

    /// @return Time after which a caller whose record was refused should retry.
    Duration retryAfter()
    {
        const std::lock_guard lock(this->mutex);
        return this->journal.retryAfter(monotonicNow());
    }

    /// @return Time at which a read last reached the end of the log.
    TimePoint lastReadToEnd()
    {
        const std::lock_guard lock(this->mutex);
        const auto now = monotonicNow();
        return now - this->journal.staleness(now);
    }

    const std::string& name() const { return this->stream; }

private:
    static JournalSettings journalSettings(const PlatformSettings& platform)
    {
        JournalSettings settings;
        settings.appendDeadline = platform.timeout;
        settings.readWait = platform.readWait;
        settings.readDeadline = platform.timeout + platform.readWait;
        return settings;
    }

    static std::set<std::string> knownKinds()
    {
        auto kinds = Fold::kinds();
        kinds.insert("SnapshotChunk");
        return kinds;
    }

    FoldState currentState() const
    {
        const auto state = this->journal.state();
        return { this->stream, state.next, state.writers, this->fold.parts() };
    }

    bool adopt(const FoldState& state)
    {
        if (!this->gate.mayAdopt(state.next, this->journal.next(), this->journal.needsState()))
            return false;
        this->complete(this->journal.adopt({ state.next, state.writers }, monotonicNow()));
        this->fold.restore(state.parts);
        this->gate.onFolded(this->journal.next());
        this->notifyUpdate();
        return true;
    }

    /// Polls the journal and assigns its actions to the append and read threads.
    void pollJournal()
    {
        auto poll = this->journal.poll(monotonicNow(), this->random);
        this->complete(poll.completions);
        for (auto& action : poll.actions) {
            if (auto* append = std::get_if<AppendAction>(&action))
                this->pendingAppend = std::move(*append);
            else
                this->pendingRead = std::get<ReadAction>(action);
        }
        if (!poll.actions.empty())
            this->changed.notify_all();
    }

    void complete(const std::vector<Completion>& completions)
    {
        for (const auto& completion : completions) {
            if constexpr (requires { this->fold.onCompletion(completion, Duration()); })
                this->fold.onCompletion(completion, this->journal.retryAfter(monotonicNow()));
            if (const auto found = this->pendingOutcomes.find(completion.id); found != this->pendingOutcomes.end())
                found->second = completion;
        }
        if (!completions.empty())
            this->notifyUpdate();
    }

    void runAppends()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            this->pollJournal();
            if (!this->pendingAppend) {
                this->changed.wait_until(lock, this->journal.nextWake());
                continue;
            }
            const auto action = std::move(*this->pendingAppend);
            this->pendingAppend.reset();
            lock.unlock();
            const auto result = this->log.append(this->stream, action.records);
            lock.lock();
            this->complete(this->journal.onAppendResult(action.exchange, result, monotonicNow(), this->random));
            this->changed.notify_all();
        }
    }

    void runReads()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            this->pollJournal();
            if (!this->pendingRead) {
                this->changed.wait_until(lock, this->journal.nextWake());
                continue;
            }
            const auto action = *this->pendingRead;
            this->pendingRead.reset();
            lock.unlock();
            const auto result = this->reader.read(this->stream, action.from, action.limit);
            lock.lock();
            this->onReadResult(action, result);
            this->changed.notify_all();
        }
    }

    void onReadResult(const ReadAction& action, const tl::expected<LogRecords, HttpFailure>& result)
    {
        const auto now = monotonicNow();
        if (!result) {
            this->journal.onReadFailed(action.exchange, now, this->random);
            return;
        }
        const auto update = this->journal.onRecords(action.exchange, *result, now);
        for (const auto& record : update.applied)
            this->applyRecord(record, now);
        if (!this->journal.needsState()) {
            this->gate.onFolded(this->journal.next());
            if (this->journal.lag() == 0)
                this->gate.onCaughtUp();
        }
        this->complete(update.completions);
        this->notifyUpdate();
    }

    void applyRecord(const AppliedRecord& record, TimePoint now)
    {
        if (record.kind != "SnapshotChunk") {
            this->fold.apply(record);
            return;
        }
        const auto chunk = decode<SnapshotChunk>(record.payload);
        const auto state = chunk ? this->assembler.add(*chunk) : std::nullopt;
        if (!state)
            return;
        this->schedule.onSnapshotRead(now);
        this->adopt(*state);
    }

    void notifyUpdate()
    {
        if (this->updateCallback)
            this->updateCallback(this->fold);
        this->completed.notify_all();
    }

    static inline const SnapshotSettings snapshotSettings {};

    std::string stream;
    JournalWriter self;
    LogClient log;
    LogClient reader;
    std::mutex mutex;
    std::condition_variable changed;
    std::condition_variable completed;
    Fold fold;
    Journal journal;
    SnapshotAssembler assembler;
    SnapshotSchedule schedule;
    StateGate gate;
    Random random;
    std::optional<AppendAction> pendingAppend;
    std::optional<ReadAction> pendingRead;
    std::map<RecordId, std::optional<Completion>> pendingOutcomes;
    std::function<void(Fold&)> updateCallback;
    std::uint64_t snapshotCount = 0;
    bool stopping = false;
    std::thread appendThread;
    std::thread readThread;
};

} // namespace goldcrestwood
