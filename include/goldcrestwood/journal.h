#pragma once

/// @file
/// Client of one stream of the platform's log: group commit, read-back and resolution of unknown append outcomes.

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

/// Limits and delays of a Journal.
struct JournalSettings {
    /// Maximum number of records per append.
    std::size_t batchRecords = 256;
    /// Maximum encoded bytes per append; a single larger record is rejected.
    std::size_t batchBytes = std::size_t(256) * 1024;
    /// Maximum number of queued records.
    std::size_t queueRecords = 4096;
    /// Maximum encoded bytes of queued records.
    std::size_t queueBytes = std::size_t(4) * 1024 * 1024;
    /// A record that is still queued after this time completes as NotAppended.
    Duration queueTimeout = std::chrono::seconds(5);
    /// Timeout of an append exchange.
    Duration appendDeadline = std::chrono::seconds(1);
    /// How long the log may hold a read while there are no records.
    Duration readWait = std::chrono::seconds(2);
    /// Timeout of a read exchange; must exceed readWait.
    Duration readDeadline = std::chrono::seconds(3);
    /// Maximum number of records per read.
    std::uint32_t readRecords = 512;
    /// How long an append of unknown outcome may take to appear in the log before a fence is appended.
    Duration fenceDelay = std::chrono::milliseconds(300);
    /// Wait after the first failed exchange; it doubles with each failure, with jitter.
    Duration backoffFloor = std::chrono::milliseconds(20);
    /// Maximum wait after a failed exchange.
    Duration backoffCeiling = std::chrono::seconds(2);
    /// A fold counts as current if it reached the end of the log within this time; must exceed twice readWait.
    Duration maxStaleness = std::chrono::seconds(5);
    /// Minimum interval between the starts of two appends after the first rejection; it doubles with each rejection.
    Duration spacingFloor = std::chrono::milliseconds(10);
    /// Upper bound of that interval; 0 disables it.
    Duration spacingCeiling = std::chrono::milliseconds(400);
    /// Increase of the append rate after each success, in appends per second, until the interval is lifted.
    double spacingRecovery = 0.5;
    /// The log counts as unavailable if exchanges have been failing for this long.
    Duration outageAfter = std::chrono::seconds(1);
    /// Maximum number of writers tracked by the fold; the one that has been silent longest is removed first.
    std::size_t maxWriters = 4096;
};

/// Append these encoded records as one ordered batch.
struct AppendAction {
    std::uint64_t exchange = 0; ///< Number to pass back with the result.
    std::vector<std::string> records;
    TimePoint deadline; ///< Abandon the exchange at this time and report AppendUnknown.

    bool operator==(const AppendAction&) const = default;
};

/// Read records from an offset.
struct ReadAction {
    std::uint64_t exchange = 0; ///< Number to pass back with the result.
    std::uint64_t from = 0;
    std::uint32_t limit = 0; ///< Maximum number of records.
    Duration wait = Duration(0); ///< How long the log may hold the read while there are no records.
    TimePoint deadline; ///< Abandon the exchange at this time and call onReadFailed().

    bool operator==(const ReadAction&) const = default;
};

using JournalAction = std::variant<AppendAction, ReadAction>;

/// The batch is in the log, starting at this offset.
struct AppendOk {
    std::uint64_t firstOffset = 0;
};

/// The batch is not in the log and never will be: the rate limit was exceeded or the log was unavailable.
struct AppendRejected {
    std::optional<Duration> retryAfter;
};

/// Timeout or lost connection: the batch may be in the log or may be appended later.
struct AppendUnknown { };

using AppendResult = std::variant<AppendOk, AppendRejected, AppendUnknown>;

/// A record as returned by the log.
struct StoredRecord {
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const StoredRecord&) const = default;
};

/// Result of a read.
struct LogRecords {
    std::uint64_t firstRetained = 0; ///< Earlier records have expired.
    std::uint64_t next = 0; ///< The end of the log: offset of the next record to be appended.
    std::vector<StoredRecord> records;

    bool operator==(const LogRecords&) const = default;
};

/// An effective record: neither a duplicate nor voided by a fence.
struct AppliedRecord {
    std::uint64_t offset = 0;
    RecordId id;
    std::string kind;
    std::string payload;

    bool operator==(const AppliedRecord&) const = default;
};

/// Outcome of a submitted record.
enum class RecordOutcome : std::uint8_t {
    Committed, ///< Read back from the log as an effective record.
    NotAppended, ///< Is not effective and never will be.
    Unknown, ///< May still become effective; another completion follows unless the log's records expired unread.
};

/// Reports the outcome of a record to its submitter.
struct Completion {
    RecordId id;
    RecordOutcome outcome = RecordOutcome::Unknown;
    std::uint64_t offset = 0; ///< Offset in the log, if committed.

    bool operator==(const Completion&) const = default;
};

/// Result of poll().
struct JournalPoll {
    std::vector<JournalAction> actions;
    std::vector<Completion> completions;
};

/// Result of a processed read.
struct JournalUpdate {
    std::vector<AppliedRecord> applied; ///< Records to fold now, in this order.
    std::vector<Completion> completions; ///< Outcomes of own records that this read decided.
};

/// Why a record was not accepted.
enum class SubmitError : std::uint8_t {
    QueueFull,
    TooLarge,
    Superseded, ///< A later incarnation of this instance has written; this process must stop.
};

/// Position and writers of a stream's fold; identical on all daemons at the same offset.
struct JournalState {
    std::uint64_t next = 0;
    std::vector<WriterMark> writers;

    bool operator==(const JournalState&) const = default;
};

/// Tracks the highest id of each writer, so that every daemon that folds the stream drops the same duplicates, voided
/// records and records of earlier incarnations.
class WriterTable {
public:
    explicit WriterTable(std::size_t limit = JournalSettings().maxWriters);
    explicit WriterTable(std::size_t limit, const std::vector<WriterMark>& marks);

    /// @return Whether the record is effective.
    bool accept(const RecordId& id, std::uint64_t offset);
    /// @return The mark of @p instance, if it has written.
    const WriterMark* find(const InstanceId& instance) const;
    /// @return All marks, ordered by instance.
    std::vector<WriterMark> marks() const;

private:
    void forgetOldest();

    std::size_t limit;
    std::map<InstanceId, WriterMark> byInstance;
    std::map<std::uint64_t, InstanceId> byOffset;
};

/// Appends to and reads one stream. At most one append and one read are in flight; records that are submitted meanwhile
/// are batched into the next append. The caller carries out the actions and passes the results back.
class Journal {
public:
    /// @param settings Limits and delays.
    /// @param self This daemon.
    /// @param incarnation Number of this start; higher than those of all earlier starts of @p self.
    /// @param knownKinds Kinds to fold; records of other kinds are skipped and counted.
    Journal(const JournalSettings& settings, InstanceId self, std::uint64_t incarnation, std::set<std::string> knownKinds);

    /// Queues a record for the next append.
    /// @param now Ids are derived from it, so that a second journal of the same incarnation never reuses an id.
    /// @return The id of the record, which its completions carry.
    tl::expected<RecordId, SubmitError> submit(std::string_view kind, std::string payload, TimePoint now);

    /// Queues large low-priority records, such as the chunks of a snapshot: one joins each append that empties the
    /// queue. No ids are returned, and only the caller limits their number and size.
    /// @return Whether they were accepted; false while earlier ones are pending.
    bool submitBackground(std::string_view kind, const std::vector<std::string>& payloads);

    /// Removes a record that has not been sent yet.
    /// @return Whether it was removed; it will then never be appended and gets no completion.
    bool cancel(const RecordId& id);

    /// Call it after each event and at nextWake().
    JournalPoll poll(TimePoint now, Random& random);

    /// Handles the result of an append.
    /// @param exchange Number of the AppendAction; results of abandoned exchanges are ignored.
    std::vector<Completion> onAppendResult(std::uint64_t exchange, const AppendResult& result, TimePoint now, Random& random);

    /// Handles the result of a read.
    /// @param exchange Number of the ReadAction; results of abandoned exchanges are ignored.
    JournalUpdate onRecords(std::uint64_t exchange, const LogRecords& read, TimePoint now);

    /// Handles a failed read.
    /// @param exchange Number of the ReadAction.
    void onReadFailed(std::uint64_t exchange, TimePoint now, Random& random);

    /// Replaces position and writers with those of a snapshot or of a peer that is ahead. The caller must restore the
    /// folds from the state at the same offset; the next read starts there at once.
    /// @return Completions of own records that @p state covers.
    std::vector<Completion> adopt(const JournalState& state, TimePoint now);

    /// @return Position and writers, for a snapshot or a peer; while needsState(), an empty state that nobody adopts.
    JournalState state() const;

    /// @return Whether records expired unread or nothing has been read yet, so that a snapshot or a peer's state is
    /// required. Until one is adopted, `applied` contains only snapshot chunks.
    bool needsState() const { return this->missingState; }

    /// @return Whether the log has been failing for outageAfter, so that a record submitted now may be delayed.
    bool isOutage(TimePoint now) const;

    /// @return How long the submitter of a rejected record should wait before a retry.
    Duration retryAfter(TimePoint now) const;

    /// @return Number of records between the fold and the last known end of the log; at least 1 while the end is unknown.
    std::uint64_t lag() const;

    /// @return Time since a read last confirmed that the fold had reached the end of the log; newer records may exist.
    Duration staleness(TimePoint now) const;

    /// @return Whether the fold had reached the end of the log recently, counted back from the first failed read while reads
    /// fail, and from now otherwise.
    bool isCurrent(TimePoint now) const;

    /// @return Whether a later incarnation of this instance has written to the stream.
    bool isSuperseded() const { return this->superseded; }

    /// @return Offset of the first record that is not folded yet; while needsState(), the lowest offset of a state whose
    /// later records can still be read.
    std::uint64_t next() const { return this->missingState ? this->firstRetained : this->position; }

    /// @return Number of skipped records, which had an unknown kind or could not be decoded.
    std::uint64_t skipped() const { return this->skippedRecords; }

    /// @return Number of dropped duplicates and voided records.
    std::uint64_t dropped() const { return this->droppedRecords; }

    /// @return Latest time of the next poll().
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

    /// Consecutive failures of one kind of exchange.
    struct Backoff {
        std::uint32_t failures = 0;
        TimePoint failingSince;
        TimePoint lastFailure;
        TimePoint until;
    };

    TimePoint nextAppend() const;
    void recordFailure(Backoff& backoff, TimePoint now, Random& random, std::optional<Duration> atLeast);
    void expireQueue(TimePoint now, std::vector<Completion>& completions);
    void startAppend(TimePoint now, std::vector<JournalAction>& actions);
    void startRead(TimePoint now, std::vector<JournalAction>& actions);
    AppendAction makeBatch(TimePoint now);
    void addBackground(AppendAction& batch, TimePoint now);
    RecordId nextId(TimePoint now);
    AppendAction makeFence();
    std::vector<Completion> markUnknown(TimePoint now);
    void requeue();
    void widenSpacing();
    void narrowSpacing();
    void applyRecord(const StoredRecord& stored, JournalUpdate& update);
    void resolve(const RecordId& seen, std::uint64_t offset, bool isEffective, std::vector<Completion>& completions);

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
    bool hasRead = false;
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
    std::uint64_t unknownThrough = 0;
    TimePoint fenceAt;
    Duration spacing = Duration(0);
    TimePoint appendStarted;
    std::optional<ReadAction> read;
    Backoff appendBackoff;
    Backoff readBackoff;
};

} // namespace goldcrestwood
