#include "goldcrestwood/journal.h"

#include <algorithm>
#include <iterator>

namespace goldcrestwood {

namespace {

    constexpr std::string_view fenceKind = "FenceRecord";
    constexpr std::string_view snapshotKind = "SnapshotChunk";
    /// The sequences in between are reserved for fences.
    constexpr std::uint64_t sequenceStep = 2;
    constexpr std::uint32_t backoffDoublings = 16;

    std::string encodeRecord(const RecordId& id, std::string_view kind, std::string payload)
    {
        return encode(LogRecord { 1, id, std::string(kind), std::move(payload) });
    }

} // namespace

WriterTable::WriterTable(std::size_t writers)
    : limit(writers)
{
}

WriterTable::WriterTable(std::size_t writers, const std::vector<WriterMark>& marks)
    : limit(writers)
{
    for (const auto& mark : marks) {
        this->byInstance[mark.id.instance] = mark;
        this->byOffset[mark.offset] = mark.id.instance;
    }
}

bool WriterTable::accept(const RecordId& id, std::uint64_t offset)
{
    auto [entry, isNew] = this->byInstance.try_emplace(id.instance);
    auto& mark = entry->second;
    if (!isNew) {
        if (id <= mark.id)
            return false;
        this->byOffset.erase(mark.offset);
    }
    mark = { id, offset };
    this->byOffset[offset] = id.instance;
    this->forgetOldest();
    return true;
}

void WriterTable::forgetOldest()
{
    if (this->byInstance.size() <= this->limit)
        return;
    const auto oldest = this->byOffset.begin();
    this->byInstance.erase(oldest->second);
    this->byOffset.erase(oldest);
}

const WriterMark* WriterTable::find(const InstanceId& instance) const
{
    const auto entry = this->byInstance.find(instance);
    return entry == this->byInstance.end() ? nullptr : &entry->second;
}

std::vector<WriterMark> WriterTable::marks() const
{
    std::vector<WriterMark> marks;
    marks.reserve(this->byInstance.size());
    for (const auto& [instance, mark] : this->byInstance)
        marks.push_back(mark);
    return marks;
}

Journal::Journal(
    const JournalSettings& bounds, InstanceId instance, std::uint64_t ownIncarnation, std::set<std::string> kinds)
    : settings(bounds)
    , self(std::move(instance))
    , incarnation(ownIncarnation)
    , knownKinds(std::move(kinds))
    , writers(bounds.maxWriters)
{
}

tl::expected<RecordId, SubmitError> Journal::submit(std::string_view kind, std::string payload, TimePoint now)
{
    if (this->superseded)
        return tl::unexpected(SubmitError::Superseded);
    const auto id = this->nextId(now);
    auto bytes = encodeRecord(id, kind, std::move(payload));
    if (bytes.size() > this->settings.batchBytes)
        return tl::unexpected(SubmitError::TooLarge);
    const bool isFull = this->queue.size() >= this->settings.queueRecords
        || this->queuedBytes + bytes.size() > this->settings.queueBytes;
    if (isFull)
        return tl::unexpected(SubmitError::QueueFull);
    this->lastSequence = id.sequence;
    this->queuedBytes += bytes.size();
    this->queue.push_back({ id, std::move(bytes), now });
    return id;
}

RecordId Journal::nextId(TimePoint now)
{
    const auto clock = static_cast<std::uint64_t>(now.time_since_epoch().count()) * sequenceStep;
    return { this->self, this->incarnation, std::max(this->lastSequence + sequenceStep, clock) };
}

bool Journal::submitBackground(std::string_view kind, const std::vector<std::string>& payloads)
{
    if (!this->background.empty() || this->superseded)
        return false;
    for (const auto& payload : payloads)
        this->background.push_back({ std::string(kind), payload });
    return true;
}

bool Journal::cancel(const RecordId& id)
{
    const auto entry = std::find_if(
        this->queue.begin(), this->queue.end(), [&](const Queued& queued) { return queued.id == id; });
    if (entry == this->queue.end())
        return false;
    this->queuedBytes -= entry->bytes.size();
    this->queue.erase(entry);
    return true;
}

JournalPoll Journal::poll(TimePoint now, Random& random)
{
    JournalPoll result;
    if (this->append && now >= this->append->deadline)
        result.completions = this->onAppendResult(this->append->exchange, AppendUnknown(), now, random);
    if (this->read && now >= this->read->deadline)
        this->onReadFailed(this->read->exchange, now, random);
    this->expireQueue(now, result.completions);
    this->startAppend(now, result.actions);
    this->startRead(now, result.actions);
    return result;
}

void Journal::expireQueue(TimePoint now, std::vector<Completion>& completions)
{
    while (!this->queue.empty()) {
        const auto& oldest = this->queue.front();
        if (!this->superseded && now - oldest.since < this->settings.queueTimeout)
            return;
        completions.push_back({ oldest.id, RecordOutcome::NotAppended, 0 });
        this->queuedBytes -= oldest.bytes.size();
        this->queue.pop_front();
    }
}

void Journal::startAppend(TimePoint now, std::vector<JournalAction>& actions)
{
    if (this->append || this->superseded || now < this->nextAppend())
        return;
    const bool needsFence = this->unknownThrough != 0;
    if (needsFence ? now < this->fenceAt : this->queue.empty() && this->background.empty())
        return;
    this->appendingFence = needsFence;
    this->append = needsFence ? this->makeFence() : this->makeBatch(now);
    this->appendStarted = now;
    this->append->exchange = this->nextExchange++;
    this->append->deadline = now + this->settings.appendDeadline;
    actions.emplace_back(*this->append);
}

AppendAction Journal::makeBatch(TimePoint now)
{
    AppendAction batch;
    std::size_t bytes = 0;
    this->appending.clear();
    while (!this->queue.empty() && batch.records.size() < this->settings.batchRecords) {
        auto& next = this->queue.front();
        bytes += next.bytes.size();
        if (bytes > this->settings.batchBytes)
            break;
        this->queuedBytes -= next.bytes.size();
        batch.records.push_back(next.bytes);
        this->unresolved.push_back(next.id);
        this->appending.push_back(std::move(next));
        this->queue.pop_front();
    }
    // Ids must increase along the log, so a record that gets its id now must not overtake a queued one.
    if (this->queue.empty() && !this->background.empty())
        this->addBackground(batch, now);
    return batch;
}

void Journal::addBackground(AppendAction& batch, TimePoint now)
{
    const auto id = this->nextId(now);
    this->lastSequence = id.sequence;
    auto& [kind, payload] = this->background.front();
    Queued record { id, encodeRecord(id, kind, std::move(payload)), now };
    this->background.pop_front();
    batch.records.push_back(record.bytes);
    this->unresolved.push_back(id);
    this->appending.push_back(std::move(record));
}

AppendAction Journal::makeFence()
{
    AppendAction batch;
    const RecordId id { this->self, this->incarnation, this->unknownThrough + 1 };
    batch.records.push_back(encodeRecord(id, fenceKind, encode(FenceRecord { this->unresolved.front().sequence })));
    return batch;
}

void Journal::startRead(TimePoint now, std::vector<JournalAction>& actions)
{
    if (this->read || now < this->readBackoff.until)
        return;
    this->readStarted = now;
    this->read = ReadAction { this->nextExchange++, this->position, this->settings.readRecords,
        this->settings.readWait, now + this->settings.readDeadline };
    actions.emplace_back(*this->read);
}

void Journal::recordFailure(Backoff& backoff, TimePoint now, Random& random, std::optional<Duration> atLeast)
{
    if (backoff.failures == 0)
        backoff.failingSince = now;
    const auto doublings = std::min(backoff.failures, backoffDoublings);
    const Duration exponential = this->settings.backoffFloor * (1LL << doublings);
    const auto ceiling = std::min(this->settings.backoffCeiling, exponential);
    const auto wait = fromSeconds(toSeconds(ceiling) * (0.5 + 0.5 * uniform(random)));
    ++backoff.failures;
    backoff.lastFailure = now;
    backoff.until = now + std::max(wait, std::min(atLeast.value_or(Duration(0)), this->settings.backoffCeiling));
}

std::vector<Completion> Journal::onAppendResult(
    std::uint64_t exchange, const AppendResult& result, TimePoint now, Random& random)
{
    if (!this->append || this->append->exchange != exchange)
        return {};
    this->append.reset();
    if (std::holds_alternative<AppendOk>(result)) {
        this->appendBackoff = {};
        this->narrowSpacing();
        this->appending.clear();
        if (this->appendingFence)
            this->fenceAt = now + this->settings.appendDeadline;
        return {};
    }
    if (const auto* rejected = std::get_if<AppendRejected>(&result)) {
        this->recordFailure(this->appendBackoff, now, random, rejected->retryAfter);
        this->widenSpacing();
        this->requeue();
        return {};
    }
    this->recordFailure(this->appendBackoff, now, random, std::nullopt);
    return this->markUnknown(now);
}

TimePoint Journal::nextAppend() const
{
    return std::max(this->appendBackoff.until, this->appendStarted + this->spacing);
}

// Additive increase, multiplicative decrease: all writers share the log's rate limit, and their shares converge if each
// halves its rate after a rejection and raises it by a fixed step after a success. Batches grow meanwhile.
void Journal::widenSpacing()
{
    const Duration wider = this->spacing * 2;
    this->spacing = std::min(this->settings.spacingCeiling, std::max(this->settings.spacingFloor, wider));
}

void Journal::narrowSpacing()
{
    if (this->spacing == Duration(0))
        return;
    const auto rate = 1 / toSeconds(this->spacing) + this->settings.spacingRecovery;
    const auto narrower = fromSeconds(1 / rate);
    this->spacing = narrower < this->settings.spacingFloor / 2 ? Duration(0) : narrower;
}

void Journal::requeue()
{
    // Records that were read back meanwhile are in the log, despite the rejection.
    while (!this->appending.empty()) {
        auto last = std::move(this->appending.back());
        this->appending.pop_back();
        if (this->unresolved.empty() || this->unresolved.back() != last.id)
            continue;
        this->unresolved.pop_back();
        this->queuedBytes += last.bytes.size();
        this->queue.push_front(std::move(last));
    }
}

std::vector<Completion> Journal::markUnknown(TimePoint now)
{
    std::vector<Completion> completions;
    this->fenceAt = now + this->settings.fenceDelay;
    if (this->appendingFence || this->unresolved.empty())
        return completions;
    const auto first = std::find_if(this->unresolved.begin(), this->unresolved.end(),
        [&](const RecordId& id) { return id >= this->appending.front().id; });
    for (auto entry = first; entry != this->unresolved.end(); ++entry)
        completions.push_back({ *entry, RecordOutcome::Unknown, 0 });
    this->unknownThrough = completions.empty() ? 0 : this->unresolved.back().sequence;
    this->appending.clear();
    return completions;
}

JournalUpdate Journal::onRecords(std::uint64_t exchange, const LogRecords& answer, TimePoint now)
{
    JournalUpdate update;
    if (!this->read || this->read->exchange != exchange)
        return update;
    this->read.reset();
    this->readBackoff = {};
    if (!this->hasRead)
        this->missingState = this->position < answer.firstRetained;
    this->hasRead = true;
    this->firstRetained = answer.firstRetained;
    if (this->position < answer.firstRetained) {
        this->missingState = true;
        this->position = answer.firstRetained;
    }
    for (const auto& stored : answer.records) {
        if (stored.offset < this->position)
            continue;
        this->applyRecord(stored, update);
        this->position = stored.offset + 1;
    }
    this->end = std::max(this->position, answer.next);
    this->isEndKnown = true;
    if (this->position == this->end)
        this->confirmedEnd = std::min(now, this->readStarted);
    return update;
}

void Journal::applyRecord(const StoredRecord& stored, JournalUpdate& update)
{
    auto record = decode<LogRecord>(stored.bytes);
    if (!record) {
        ++this->skippedRecords;
        return;
    }
    const bool isChunk = record->kind == snapshotKind;
    if (this->missingState && !isChunk)
        return;
    const bool isEffective = this->missingState || this->writers.accept(record->id, stored.offset);
    if (!this->missingState && record->id.instance == this->self)
        this->resolve(record->id, stored.offset, isEffective, update.completions);
    if (!isEffective) {
        ++this->droppedRecords;
        return;
    }
    if (record->kind == fenceKind)
        return;
    if (!this->knownKinds.contains(record->kind) && !isChunk) {
        ++this->skippedRecords;
        return;
    }
    update.applied.push_back(
        { stored.offset, std::move(record->id), std::move(record->kind), std::move(record->payload) });
}

void Journal::resolve(
    const RecordId& seen, std::uint64_t offset, bool isEffective, std::vector<Completion>& completions)
{
    if (seen.incarnation > this->incarnation)
        this->superseded = true;
    // Every daemon drops records that follow a higher id of the same writer.
    while (!this->unresolved.empty() && this->unresolved.front() < seen) {
        completions.push_back({ this->unresolved.front(), RecordOutcome::NotAppended, 0 });
        this->unresolved.pop_front();
    }
    if (!this->unresolved.empty() && this->unresolved.front() == seen) {
        completions.push_back({ seen, isEffective ? RecordOutcome::Committed : RecordOutcome::NotAppended, offset });
        this->unresolved.pop_front();
    }
    if (this->unresolved.empty() || this->unresolved.front().sequence > this->unknownThrough)
        this->unknownThrough = 0;
}

void Journal::onReadFailed(std::uint64_t exchange, TimePoint now, Random& random)
{
    if (!this->read || this->read->exchange != exchange)
        return;
    this->read.reset();
    if (this->readBackoff.failures == 0)
        this->failedReadStarted = this->readStarted;
    this->recordFailure(this->readBackoff, now, random, std::nullopt);
}

std::vector<Completion> Journal::adopt(const JournalState& state, TimePoint now)
{
    std::vector<Completion> completions;
    this->position = state.next;
    this->end = std::max(this->end, state.next);
    this->isEndKnown = false;
    this->writers = WriterTable(this->settings.maxWriters, state.writers);
    this->missingState = false;
    this->hasRead = true;
    this->read.reset();
    this->readBackoff.until = now;
    const auto* mark = this->writers.find(this->self);
    if (!mark)
        return completions;
    this->superseded = mark->id.incarnation > this->incarnation;
    // The state does not show which of these records were effective and which were voided by a fence.
    while (!this->unresolved.empty() && this->unresolved.front() <= mark->id) {
        completions.push_back({ this->unresolved.front(), RecordOutcome::Unknown, 0 });
        this->unresolved.pop_front();
    }
    if (this->unresolved.empty() || this->unresolved.front().sequence > this->unknownThrough)
        this->unknownThrough = 0;
    return completions;
}

JournalState Journal::state() const
{
    if (this->missingState)
        return {};
    return { this->position, this->writers.marks() };
}

bool Journal::isOutage(TimePoint now) const
{
    const auto& [appendFailures, appendFailingSince, lastAppendFailure, appendUntil] = this->appendBackoff;
    const bool appendsFail = appendFailures > 0 && lastAppendFailure - appendFailingSince >= this->settings.outageAfter;
    if (appendsFail && (this->append || now < appendUntil))
        return true;
    return this->readBackoff.failures > 0 && now - this->readBackoff.failingSince >= this->settings.outageAfter;
}

Duration Journal::retryAfter(TimePoint now) const
{
    const auto until = std::max(this->appendBackoff.until, this->readBackoff.until);
    return std::max(this->settings.outageAfter, until - now);
}

std::uint64_t Journal::lag() const
{
    return std::max<std::uint64_t>(this->end - this->position, this->isEndKnown ? 0 : 1);
}

Duration Journal::staleness(TimePoint now) const
{
    return now - this->confirmedEnd;
}

bool Journal::isCurrent(TimePoint now) const
{
    const auto known = this->readBackoff.failures > 0 ? this->failedReadStarted : now;
    return this->hasRead && !this->missingState && known - this->confirmedEnd <= this->settings.maxStaleness;
}

TimePoint Journal::nextWake() const
{
    auto wake = this->read ? this->read->deadline : this->readBackoff.until;
    if (!this->queue.empty())
        wake = std::min(wake, this->queue.front().since + this->settings.queueTimeout);
    if (this->append)
        return std::min(wake, this->append->deadline);
    if (this->unknownThrough != 0)
        return std::min(wake, std::max(this->fenceAt, this->nextAppend()));
    const bool isIdle = this->queue.empty() && this->background.empty();
    return isIdle ? wake : std::min(wake, this->nextAppend());
}

} // namespace goldcrestwood
