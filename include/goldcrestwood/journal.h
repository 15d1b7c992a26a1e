#pragma once

/// @file
/// One stream of the platform's log: group commit, read-back, and certainty after unknown outcomes.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrestwood/journal_messages.h"
#include "goldcrestwood/log_record.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Bounds and delays of a Journal.
struct JournalSettings {
    /// Records in one append at most.
    std::size_t batchRecords = 256;
    /// Encoded bytes in one append at most; a single larger record is refused.
    std::size_t batchBytes = std::size_t(256) * 1024;
    /// Records that wait for an append at most.
    std::size_t queueRecords = 4096;
    /// Encoded bytes that wait for an append at most.
    std::size_t queueBytes = std::size_t(4) * 1024 * 1024;
    /// A record that waited this long unsent completes as not appended.
    Duration queueLimit = std::chrono::seconds(5);
    /// Bound on one append exchange.
    Duration appendDeadline = std::chrono::seconds(1);
    /// Time that a read may wait at the log for a first record.
    Duration readWait = std::chrono::seconds(2);
    /// Bound on one read exchange; above readWait.
    Duration readDeadline = std::chrono::seconds(3);
    /// Records that one read asks for.
    std::uint32_t readRecords = 512;
    /// Time that an append of unknown outcome is given to show up before a fence is appended.
    Duration fenceDelay = std::chrono::milliseconds(300);
    /// First wait after a failed exchange; it doubles with each failure, with jitter.
    Duration backoffFloor = std::chrono::milliseconds(20);
    /// Longest wait after a failed exchange.
    Duration backoffCeiling = std::chrono::seconds(2);
    /// A fold that had reached the end of the log this long ago counts as current; above twice readWait.
    Duration freshness = std::chrono::seconds(5);
    /// Wait between the starts of two appends after the first refusal; it doubles with each refusal.
    Duration spacingFloor = std::chrono::milliseconds(10);
    /// Longest such wait; 0 for none.
    Duration spacingCeiling = std::chrono::milliseconds(400);
    /// Appends a second that each success adds, until nothing limits them.
    double spacingRecovery = 0.5;
    /// The log counts as down when an exchange has been failing for this long.
    Duration outageAfter = std::chrono::seconds(1);
    /// Writers that the fold remembers; the one silent for longest is forgotten first.
    std::size_t writers = 4096;
};

/// Append these encoded records as one batch, in order.
struct AppendAction {
    std::uint64_t exchange = 0; ///< Number to pass back with the result.
    std::vector<std::string> records;
    TimePoint deadline; ///< Give the exchange up then, with AppendUnknown.

    bool operator==(const AppendAction&) const = default;
};

/// Read records from an offset.
struct ReadAction {
    std::uint64_t exchange = 0; ///< Number to pass back with the result.
    std::uint64_t from = 0;
    std::uint32_t limit = 0; ///< Records at most.
    Duration wait = Duration(0); ///< How long the log may wait for a first record.
    TimePoint deadline; ///< Give the exchange up then, with onReadFailed().

    bool operator==(const ReadAction&) const = default;
};

using JournalAction = std::variant<AppendAction, ReadAction>;

/// The batch is in the log from this offset on.
struct AppendOk {
    std::uint64_t firstOffset = 0;
};

/// The batch is certainly not in the log and never will be: over the rate, or refused in an outage.
struct AppendRejected {
    std::optional<Duration> retryAfter;
};

/// Timeout or lost connection: the batch may be in the log, or land there later.
struct AppendUnknown { };

using AppendResult = std::variant<AppendOk, AppendRejected, AppendUnknown>;

/// A record as the log gives it.
struct StoredRecord {
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const StoredRecord&) const = default;
};

/// Answer of a read.
struct LogRecords {
    std::uint64_t firstRetained = 0; ///< Earlier records have expired.
    std::uint64_t next = 0; ///< The end of the log: offset of the next record to be appended.
    std::vector<StoredRecord> records;

    bool operator==(const LogRecords&) const = default;
};

/// A record that counts: not a repeat, not voided by a fence.
struct AppliedRecord {
    std::uint64_t offset = 0;
    RecordId id;
    std::string kind;
    std::string payload;

    bool operator==(const AppliedRecord&) const = default;
};

/// What became of a submitted record.
enum class RecordFate : std::uint8_t {
    Committed, ///< Read back as a record that counts.
    NotAppended, ///< Certainly does not count and never will.
    Unknown, ///< May still count; another completion follows unless the stream's records expired unread.
};

/// Tells the submitter of a record what became of it.
struct Completion {
    RecordId id;
    RecordFate fate = RecordFate::Unknown;
    std::uint64_t offset = 0; ///< Where it stands, if committed.

    bool operator==(const Completion&) const = default;
};

/// What poll() wants done and reports.
struct JournalPoll {
    std::vector<JournalAction> actions;
    std::vector<Completion> completions;
};

/// What a read brought.
struct JournalUpdate {
    std::vector<AppliedRecord> applied; ///< In order; to be folded now.
    std::vector<Completion> completions; ///< For records whose folding is in `applied`.
};

/// Why a record was not taken.
enum class SubmitError : std::uint8_t {
    QueueFull,
    TooLarge,
    Superseded, ///< A later incarnation of this instance has written; this process must not go on.
};

/// Position and writers of a stream's fold; equal for all daemons at equal offsets.
struct JournalState {
    std::uint64_t next = 0;
    std::vector<WriterMark> writers;

    bool operator==(const JournalState&) const = default;
};

/// Remembers for each writer the highest id seen: repeats, voided records and records of a
/// writer's earlier incarnations are dropped alike by every daemon that folds the stream.
class WriterTable {
public:
    explicit WriterTable(std::size_t limit = JournalSettings().writers);
    explicit WriterTable(std::size_t limit, const std::vector<WriterMark>& marks);

    /// @return Whether the record counts.
    bool accept(const RecordId& id, std::uint64_t offset);
    /// @return The mark of @p instance, if it has written.
    const WriterMark* find(const InstanceId& instance) const;
    /// @return All marks in order of their ids.
    std::vector<WriterMark> marks() const;

private:
    void forgetOldest();

    std::size_t limit;
    std::map<InstanceId, WriterMark> byInstance;
    std::map<std::uint64_t, InstanceId> byOffset;
};

/// Appends to and reads one stream. One append and one read are in flight at most; all that waits
/// meanwhile goes into the next append. The caller carries out the actions and passes results back.
class Journal {
public:
    /// @param settings Bounds and delays.
    /// @param self This daemon.
    /// @param incarnation Number of this start; above those of all earlier starts of @p self.
    /// @param knownKinds Kinds to fold; records of other kinds are counted and skipped.
    Journal(const JournalSettings& settings, InstanceId self, std::uint64_t incarnation, std::set<std::string> knownKinds);

    /// Queues a record for the next append.
    /// @param now Ids follow it, so that a second journal of the same incarnation repeats no id of the first.
    /// @return The record's id, which its completions name.
    tl::expected<RecordId, SubmitError> submit(std::string_view kind, std::string payload, TimePoint now);

    /// Queues large records that may wait, such as the chunks of a snapshot: each goes along when nothing else waits.
    /// They have no completions and no bound but the caller's.
    /// @return Whether they were taken; not while earlier ones wait.
    bool submitBackground(std::string_view kind, const std::vector<std::string>& payloads);

    /// Takes back a record that has not been sent.
    /// @return Whether it is certain that the record will never be appended; there is no completion then.
    bool cancel(const RecordId& id);

    /// Call after each event and when nextWake() has come.
    JournalPoll poll(TimePoint now, Random& random);

    /// @param exchange Number of the AppendAction; results of abandoned exchanges are ignored.
    std::vector<Completion> onAppendResult(std::uint64_t exchange, const AppendResult& result, TimePoint now, Random& random);

    /// @param exchange Number of the ReadAction; results of abandoned exchanges are ignored.
    JournalUpdate onRecords(std::uint64_t exchange, const LogRecords& read, TimePoint now);

    /// @param exchange Number of the ReadAction that brought no records.
    void onReadFailed(std::uint64_t exchange, TimePoint now, Random& random);

    /// Replaces position and writers by those of a snapshot or of a peer that is ahead. The caller sees to it that the
    /// folds take the state of the same offset; a read starts there at once.
    /// @return Completions of own records that @p state decides.
    std::vector<Completion> adopt(const JournalState& state, TimePoint now);

    /// @return Position and writers, for a snapshot or a peer; while needsState(), an empty one that nobody adopts.
    JournalState state() const;

    /// @return Whether records expired unread or nothing has been read: only a snapshot or a peer's state helps.
    /// Until then `applied` brings nothing but snapshot chunks.
    bool needsState() const { return this->missingState; }

    /// @return Whether the log has been failing for outageAfter, so that a record submitted now may take long.
    bool isOutage(TimePoint now) const;

    /// @return How long the caller of a refused record should wait before it tries again.
    Duration retryAfter(TimePoint now) const;

    /// @return Records between the fold and the end of the log as last read; at least 1 until a read has told the end.
    std::uint64_t lag() const;

    /// @return Time since a read last confirmed the end of the log; what happened since is not known here.
    Duration staleness(TimePoint now) const;

    /// @return Whether the fold had reached the end of the log when the reads began to fail, or just now if they do not.
    bool isCurrent(TimePoint now) const;

    /// @return Whether a later incarnation of this instance has written to the stream.
    bool isSuperseded() const { return this->superseded; }

    /// @return Offset of the first record that is not folded in; while needsState(), the lowest that a state may have
    /// so that the records after it can still be read.
    std::uint64_t next() const { return this->missingState ? this->firstRetained : this->position; }

    /// @return Records of unknown kinds and undecodable ones, skipped so far.
    std::uint64_t skipped() const { return this->skippedRecords; }

    /// @return Repeated and voided records dropped so far.
    std::uint64_t dropped() const { return this->droppedRecords; }

    /// @return Latest time for the next poll().
    TimePoint nextWake() const;

private:
    struct Queued {
        RecordId id;
        std::string bytes;
        TimePoint since;
    };

    struct Background {
        std::string kind;
        std::string payload;
    };

    /// Failures in a row of one kind of exchange.
    struct Backoff {
        std::uint32_t failures = 0;
        TimePoint failingSince;
        TimePoint lastFailure;
        TimePoint until;
    };

    TimePoint nextAppend() const;
    void fail(Backoff& backoff, TimePoint now, Random& random, std::optional<Duration> atLeast);
    void expireQueue(TimePoint now, std::vector<Completion>& completions);
    void startAppend(TimePoint now, std::vector<JournalAction>& actions);
    void startRead(TimePoint now, std::vector<JournalAction>& actions);
    AppendAction makeBatch(TimePoint now);
    void addBackground(AppendAction& batch, TimePoint now);
    RecordId nextId(TimePoint now);
    AppendAction makeFence();
    std::vector<Completion> lose(TimePoint now);
    void putBack();
    void widenSpacing();
    void narrowSpacing();
    void applyRecord(const StoredRecord& stored, JournalUpdate& update);
    void resolve(const RecordId& seen, std::uint64_t offset, bool counts, std::vector<Completion>& completions);

    JournalSettings settings;
    InstanceId self;
    std::uint64_t incarnation;
    std::set<std::string> knownKinds;
    WriterTable writers;

    std::uint64_t position = 0;
    std::uint64_t firstRetained = 0;
    std::uint64_t end = 0;
    bool isEndKnown = false;
    bool missingState = true;
    bool everRead = false;
    bool superseded = false;
    TimePoint readStarted;
    TimePoint failedReadStarted;
    TimePoint confirmedEnd;
    std::uint64_t skippedRecords = 0;
    std::uint64_t droppedRecords = 0;

    std::uint64_t lastSequence = 0;
    std::uint64_t nextExchange = 1;
    std::deque<Queued> queue;
    std::size_t queuedBytes = 0;
    std::deque<Background> background;

    std::optional<AppendAction> append;
    std::vector<Queued> appending;
    bool appendingFence = false;
    std::deque<RecordId> unresolved;
    std::uint64_t lostThrough = 0;
    TimePoint fenceAt;
    Duration spacing = Duration(0);
    TimePoint appendStarted;
    std::optional<ReadAction> read;
    Backoff appendBackoff;
    Backoff readBackoff;
};

} // namespace goldcrestwood
