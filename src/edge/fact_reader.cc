#include "edge/fact_reader.h"

#include <algorithm>

#include "daemon/clock.h"
#include "edge/log.h"
#include "platform/store_calls.h"

namespace goldcrestwood {

namespace {

    /// How long the store holds a read. Short enough that a connection gone silent is found within the
    /// time in which a change must be in force, long enough that calls stay few.
    constexpr Duration readHold = std::chrono::seconds(4);
    /// The store answers in milliseconds; while slow, in a few hundred.
    constexpr Duration answerLimit = std::chrono::milliseconds(900);
    /// How soon a daemon that was told by a reader notices that it must read itself.
    constexpr Duration restInterval = std::chrono::milliseconds(250);
    constexpr Duration firstPause = std::chrono::milliseconds(60);
    constexpr Duration longestPause = std::chrono::milliseconds(500);

} // namespace

FactReader::FactReader(EdgeState& edgeState, const asio::any_io_executor& loop, std::string topicName, KeyedFeed& keyedFeed, TopicContact& topicContact, Believe onNews, Pace newsPace)
    : state(edgeState)
    , executor(loop)
    , topic(std::move(topicName))
    , feed(keyedFeed)
    , contact(topicContact)
    , believe(onNews)
    , pace(newsPace)
    , caller(loop, edgeState.settings.storeAddress)
{
}

Task<> FactReader::run()
{
    while (true) {
        // What a reader tells need not be read again.
        if (this->feed.isKnown() && this->state.isFed(monotonicNow())) {
            co_await this->wait(restInterval);
            continue;
        }
        this->hadNews = false;
        const bool answered = this->needsListing ? co_await this->list() : co_await this->readOn();
        this->onAnswer(answered);
        if (answered) {
            const auto pause = this->hadNews ? this->pace(this->state) : Duration(0);
            if (pause > Duration(0))
                co_await this->wait(pause);
            continue;
        }
        // Random, so that the daemons do not ask a store that comes back all at once.
        const auto longest = std::min(longestPause, firstPause * (1 << std::min(this->failures, 4)));
        co_await this->wait(std::chrono::duration_cast<Duration>(longest * (0.5 + uniform(this->state.random) / 2)));
    }
}

Task<> FactReader::wait(Duration pause)
{
    asio::steady_timer timer(this->executor);
    timer.expires_after(pause);
    ErrorCode ignored;
    co_await timer.async_wait(into(ignored));
}

void FactReader::refresh()
{
    this->caller.abort();
}

void FactReader::onAnswer(bool answered)
{
    this->failures = answered ? 0 : this->failures + 1;
    if (answered == this->contact.isReachable)
        return;
    this->contact = { answered, monotonicNow() };
    edge::log(edge::LogClass::Lifecycle, answered ? "store_regained" : "store_lost",
        { { "topic", this->topic }, { "read_to", static_cast<std::int64_t>(this->feed.end()) } });
}

Task<bool> FactReader::list()
{
    std::vector<KeyedRecord> records;
    std::optional<std::uint64_t> listedUpTo;
    std::string after;
    while (true) {
        const auto call = platform::newestCall(this->topic, after);
        const auto answer = co_await this->caller.call(call, answerLimit);
        if (!answer || answer->status != 200)
            co_return false;
        auto page = platform::decodeListing(answer->body);
        if (!page) {
            edge::log(edge::LogClass::Decision, "listing_rejected", { { "topic", this->topic }, { "finding", toString(page.error().front()) } });
            co_return false;
        }
        // Records that come while the pages are read lie after the end of the first page.
        if (!listedUpTo)
            listedUpTo = page->end;
        records.insert(records.end(), page->records.begin(), page->records.end());
        if (!page->hasMore || page->records.empty())
            break;
        after = page->records.back().key;
    }
    this->onAnswer(true);
    this->believe(this->state, this->feed.applyListing(records, *listedUpTo), "store");
    this->needsListing = false;
    co_return true;
}

Task<bool> FactReader::readOn()
{
    const auto from = this->feed.end();
    // A held read that is sent into an outage would be given up long after the store's return.
    const auto hold = this->contact.isReachable ? readHold : Duration(0);
    const auto call = platform::readCall(this->topic, from, hold);
    const auto answer = co_await this->caller.call(call, hold + answerLimit);
    if (!answer)
        co_return false;
    if (answer->status == 410) {
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
    this->onAnswer(true);
    std::vector<KeyedRecord> records;
    auto offset = from;
    for (const auto& raw : slice->records) {
        if (auto record = platform::decodeKeyed(raw, offset))
            records.push_back(std::move(*record));
        ++offset;
    }
    this->hadNews = !slice->records.empty();
    this->believe(this->state, this->feed.apply(records, offset), "store");
    co_return true;
}

} // namespace goldcrestwood
