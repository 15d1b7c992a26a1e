#include "edge/fact_reader.h"

#include <algorithm>
#include <utility>

#include "daemon/clock.h"
#include "edge/beliefs.h"
#include "edge/log.h"
#include "goldcrestwood/log_position.h"
#include "platform/store_calls.h"

namespace goldcrestwood {

namespace {

    /// How long the store holds a read: short enough to detect a dead connection before a change must be in force, long enough
    /// to keep calls rare.
    constexpr Duration readHold = std::chrono::seconds(4);
    /// The store begins to answer within milliseconds, or a few hundred when it is slow.
    constexpr Duration answerTimeout = std::chrono::milliseconds(900);
    /// How often a daemon that gets records from a feed reader checks whether it must read the store itself.
    constexpr Duration fedCheckInterval = std::chrono::milliseconds(250);
    constexpr Duration initialBackoff = std::chrono::milliseconds(60);
    constexpr Duration maxBackoff = std::chrono::milliseconds(500);

} // namespace

TopicReader::TopicReader(EdgeState& edgeState, const asio::any_io_executor& loop, std::string topicName, KeyedFeed& keyedFeed, TopicContact& topicContact, ApplyRecords onRecords, BatchPause pauseAfterRecords)
    : state(edgeState)
    , executor(loop)
    , topic(std::move(topicName))
    , feed(keyedFeed)
    , contact(topicContact)
    , applyRecords(onRecords)
    , batchPause(pauseAfterRecords)
    , caller(loop, edgeState.transferMemory, edgeState.settings.storeAddress)
{
}

Task<> TopicReader::run()
{
    while (true) {
        // A feed reader supplies the topic.
        if (this->feed.isKnown() && this->state.isSuppliedByReader(monotonicNow())) {
            co_await this->wait(fedCheckInterval);
            continue;
        }
        this->hadRecords = false;
        const bool isSettled = this->settlesAt && !this->isSettling();
        // A peer may have seen the store's return first; its records do not tell which keys the store has lost.
        this->needsListing = this->needsListing || isSettled || logEra(this->feed.end()) > this->listedEra;
        const bool answered = this->needsListing ? co_await this->list() : co_await this->readNext();
        this->updateContact(answered);
        if (answered) {
            const auto pause = this->hadRecords ? this->batchPause(this->state) : Duration(0);
            if (pause > Duration(0))
                co_await this->wait(pause);
            continue;
        }
        // Jitter, so that daemons do not all query a recovering store at once.
        const auto backoff = std::min(maxBackoff, initialBackoff * (1 << std::min(this->failures, 4)));
        co_await this->wait(std::chrono::duration_cast<Duration>(backoff * (0.5 + uniform(this->state.random) / 2)));
    }
}

Task<> TopicReader::wait(Duration pause)
{
    asio::steady_timer timer(this->executor);
    timer.expires_after(pause);
    ErrorCode ignored;
    co_await timer.async_wait(into(ignored));
}

void TopicReader::refresh()
{
    // The records that this daemon lacks may be arriving.
    if (!this->caller.isReceiving(monotonicNow()))
        this->caller.abort();
}

std::size_t TopicReader::applyPeerRecords(const std::vector<KeyedRecord>& records, std::uint64_t end, bool isListing)
{
    auto news = !isListing   ? this->feed.apply(records, end)
        : this->isSettling() ? this->feed.applyRestoredListing(records, end)
                             : this->feed.applyListing(records, end);
    this->applyRecords(this->state, news, RecordSource::Peer);
    return news.size();
}

bool TopicReader::isSettling() const
{
    return this->settlesAt && monotonicNow() < *this->settlesAt;
}

void TopicReader::updateContact(bool answered)
{
    this->failures = answered ? 0 : this->failures + 1;
    if (answered == this->contact.isReachable)
        return;
    this->contact.isReachable = answered;
    this->contact.since = monotonicNow();
    const auto readTo = static_cast<std::int64_t>(logOffset(this->feed.end()));
    const auto era = static_cast<std::int64_t>(logEra(this->feed.end()));
    if (answered)
        edge::log(edge::LogClass::Lifecycle, "store_regained", { { "topic", this->topic }, { "read_to", readTo }, { "era", era } });
    else
        edge::log(edge::LogClass::Lifecycle, "store_lost",
            { { "topic", this->topic }, { "read_to", readTo }, { "era", era }, { "reason", this->lastOutcome.reason },
                { "received_bytes", static_cast<std::int64_t>(this->lastOutcome.receivedBytes) }, { "after_ms", toMs(this->lastCallTime) } });
}

void TopicReader::noteOutcome(const tl::expected<HttpAnswer, CallFailure>& answer, TimePoint asked)
{
    this->lastOutcome = answer ? CallFailure { "status " + std::to_string(answer->status), answer->body.size() } : answer.error();
    this->lastCallTime = monotonicNow() - asked;
}

std::optional<std::uint64_t> TopicReader::eraOf(const HttpAnswer& answer) const
{
    const auto known = logEra(this->feed.end());
    const auto era = platform::decodeEra(answer, known);
    if (!era) {
        edge::log(edge::LogClass::Decision, "answer_rejected", { { "topic", this->topic }, { "finding", toString(era.error().front()) } });
        return std::nullopt;
    }
    return *era < known ? std::nullopt : std::optional(*era);
}

std::vector<KeyedRecord> TopicReader::applyListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo)
{
    const auto now = monotonicNow();
    const auto era = logEra(listedUpTo);
    if (era > std::exchange(this->listedEra, era) && this->feed.hasRecordBefore(logPosition(era, 0))) {
        this->settlesAt = now + reregistrationGrace;
        edge::log(edge::LogClass::Lifecycle, "store_restored",
            { { "topic", this->topic }, { "era", static_cast<std::int64_t>(era) }, { "end", static_cast<std::int64_t>(logOffset(listedUpTo)) },
                { "read_to", static_cast<std::int64_t>(logOffset(this->feed.end())) } });
    }
    if (this->isSettling())
        return this->feed.applyRestoredListing(records, listedUpTo);
    this->settlesAt.reset();
    return this->feed.applyListing(records, listedUpTo);
}

Task<bool> TopicReader::list()
{
    const auto asked = monotonicNow();
    std::vector<KeyedRecord> records;
    std::optional<std::uint64_t> listedUpTo;
    std::optional<std::uint64_t> pageEra;
    std::string after;
    while (true) {
        const auto call = platform::listingCall(this->topic, after);
        const auto sent = monotonicNow();
        const auto answer = co_await this->caller.call(call, answerTimeout);
        this->noteOutcome(answer, sent);
        if (!answer || answer->status != 200)
            co_return false;
        const auto era = this->eraOf(*answer);
        if (!era || (pageEra && *era != *pageEra))
            co_return false;
        pageEra = era;
        auto page = platform::decodeListing(answer->body);
        if (!page) {
            edge::log(edge::LogClass::Decision, "listing_rejected", { { "topic", this->topic }, { "finding", toString(page.error().front()) } });
            co_return false;
        }
        // Records written while the pages are read have offsets after the first page's end.
        if (!listedUpTo)
            listedUpTo = logPosition(*era, page->endOffset);
        for (auto& record : page->records) {
            record.offset = logPosition(*era, record.offset);
            records.push_back(record);
        }
        if (!page->hasMore || page->records.empty())
            break;
        after = page->records.back().key;
    }
    this->updateContact(true);
    this->applyRecords(this->state, this->applyListing(records, *listedUpTo), RecordSource::Listing);
    this->contact.confirmed = asked;
    this->needsListing = false;
    co_return true;
}

Task<bool> TopicReader::readNext()
{
    const auto from = this->feed.end();
    // A long poll sent during an outage would time out only long after the store's return.
    auto hold = this->contact.isReachable ? readHold : Duration(0);
    if (this->settlesAt)
        hold = std::clamp(*this->settlesAt - monotonicNow(), Duration(0), hold);
    const auto call = platform::readCall(this->topic, from, hold);
    const auto asked = monotonicNow();
    const auto answer = co_await this->caller.call(call, hold + answerTimeout);
    this->noteOutcome(answer, asked);
    if (!answer)
        co_return false;
    const auto era = this->eraOf(*answer);
    if (!era)
        co_return false;
    if (answer->status == 410 || *era != logEra(from)) {
        this->needsListing = true;
        co_return true;
    }
    if (answer->status != 200)
        co_return false;
    const auto slice = platform::decodeSlice(answer->body);
    if (!slice) {
        edge::log(edge::LogClass::Decision, "records_rejected", { { "topic", this->topic }, { "finding", toString(slice.error().front()) } });
        this->needsListing = true;
        co_return false;
    }
    this->updateContact(true);
    std::vector<KeyedRecord> records;
    auto offset = from;
    for (const auto& raw : slice->records) {
        if (auto record = platform::decodeKeyed(raw, offset))
            records.push_back(std::move(*record));
        ++offset;
    }
    this->hadRecords = !slice->records.empty();
    this->applyRecords(this->state, this->feed.apply(records, offset), RecordSource::Log);
    // An answer may be held up on the way. Without records the store has waited for the whole hold time.
    if (logOffset(offset) >= slice->endOffset)
        this->contact.confirmed = slice->records.empty() ? std::min(asked + hold, monotonicNow()) : asked;
    co_return true;
}

} // namespace goldcrestwood
