#include "edge/feed_exchange.h"

#include <algorithm>
#include <array>

#include "daemon/clock.h"
#include "edge/beliefs.h"
#include "edge/log.h"
#include "goldcrestwood/compression.h"

namespace goldcrestwood {

namespace {

    /// A peer is queried if it has been ahead for this long; the store itself delivers changes within milliseconds.
    constexpr Duration maxLag = std::chrono::milliseconds(250);
    /// Time until a peer begins to answer.
    constexpr Duration queryTimeout = std::chrono::milliseconds(800);
    /// Idle timeout of a query connection; a regular peer queries several times in this period.
    constexpr Duration queryIdleTimeout = std::chrono::seconds(5);
    constexpr std::size_t lengthBytes = 4;
    /// Fits a full answer at the largest site: 4,500 upstreams, 340 daemons and the parts of the cache stores.
    constexpr std::size_t maxFrameBytes = 8U << 20U;
    constexpr const char* overlongFrame = "a frame of ";
    /// A query has some numbers and flags, under 200 bytes.
    constexpr std::size_t maxQueryBytes = 4096;
    /// Answers with a configuration or all upstreams are larger; changes are smaller, and compressing those saves little.
    constexpr std::size_t minCompressedBytes = 16U << 10U;
    /// Memory is allocated as bytes arrive, regardless of the announced length.
    constexpr std::size_t frameReadBytes = 64U << 10U;
    /// A smaller piece shows progress earlier.
    constexpr std::size_t frameWriteBytes = 16U << 10U;

    std::vector<FeedRecord> toMessage(const std::vector<KeyedRecord>& records)
    {
        std::vector<FeedRecord> result;
        result.reserve(records.size());
        for (const auto& record : records)
            result.push_back({ record.key, !record.value.has_value(), record.value.value_or(""), record.offset,
                record.replaced ? std::optional(FeedRevision { record.replaced->first, record.replaced->second }) : std::nullopt });
        return result;
    }

    std::vector<KeyedRecord> fromMessage(const std::vector<FeedRecord>& records)
    {
        std::vector<KeyedRecord> result;
        result.reserve(records.size());
        for (const auto& record : records)
            result.push_back({ record.key, record.isRemoved ? std::nullopt : std::optional(record.value), record.offset,
                record.replaced ? std::optional(KeyRevision(record.replaced->high, record.replaced->low)) : std::nullopt });
        return result;
    }

    std::string encodeAnswer(const FeedAnswer& answer, bool mayCompress)
    {
        auto plain = encode(answer);
        if (!mayCompress || plain.size() < minCompressedBytes)
            return plain;
        FeedAnswer envelope;
        envelope.compressed = CompressedAnswer { plain.size(), compress(plain) };
        return encode(envelope);
    }

    tl::expected<FeedAnswer, DecodeError> decodeAnswer(const std::string& payload)
    {
        auto answer = decode<FeedAnswer>(payload);
        if (!answer || !answer->compressed)
            return answer;
        if (answer->compressed->size > maxFrameBytes)
            return tl::unexpected(DecodeError { "a compressed answer of " + std::to_string(answer->compressed->size) + " bytes" });
        return decompress(answer->compressed->content, answer->compressed->size).and_then([](const std::string& plain) { return decode<FeedAnswer>(plain); });
    }

    std::string framed(const std::string& payload)
    {
        std::string frame;
        for (int shift = 24; shift >= 0; shift -= 8)
            frame.push_back(static_cast<char>(payload.size() >> static_cast<unsigned>(shift) & 0xffU));
        return frame + payload;
    }

    /// @param timeout Time until the frame begins.
    /// @return The payload of the next frame.
    Task<tl::expected<std::string, CallFailure>> readFrame(beast::tcp_stream& stream, Duration timeout, std::size_t maxBytes)
    {
        TransferDeadline deadline(monotonicNow(), timeout);
        std::array<unsigned char, lengthBytes> head {};
        ErrorCode error;
        stream.expires_at(deadline.end());
        co_await asio::async_read(stream, asio::buffer(head), into(error));
        if (error)
            co_return tl::unexpected(CallFailure { "no frame: " + error.message(), 0 });
        std::size_t length = 0;
        for (const auto byte : head)
            length = length << 8U | byte;
        if (length > maxBytes)
            co_return tl::unexpected(CallFailure { std::string(overlongFrame) + std::to_string(length) + " bytes", 0 });
        std::string payload;
        deadline.onBytes(head.size(), monotonicNow());
        while (payload.size() < length) {
            const auto begin = payload.size();
            payload.resize(std::min(length, begin + frameReadBytes));
            stream.expires_at(deadline.end());
            const auto received = co_await stream.async_read_some(asio::buffer(payload.data() + begin, payload.size() - begin), into(error));
            if (error)
                co_return tl::unexpected(CallFailure { "no whole frame: " + error.message(), begin });
            deadline.onBytes(received, monotonicNow());
            payload.resize(begin + received);
        }
        co_return payload;
    }

    /// @return Whether the whole frame was sent.
    Task<bool> writeFrame(beast::tcp_stream& stream, const std::string& frame)
    {
        TransferDeadline deadline(monotonicNow(), queryTimeout);
        ErrorCode error;
        for (std::size_t sent = 0; sent < frame.size() && !error;) {
            stream.expires_at(deadline.end());
            const auto written = co_await stream.async_write_some(asio::buffer(frame.data() + sent, std::min(frame.size() - sent, frameWriteBytes)), into(error));
            deadline.onBytes(written, monotonicNow());
            sent += written;
        }
        co_return !error;
    }

} // namespace

FeedExchange::FeedExchange(EdgeState& edgeState, const asio::any_io_executor& loop, ServiceQueues& serviceQueues, PeerLink& peerLink, TopicReader& operators, TopicReader& registry)
    : state(edgeState)
    , executor(loop)
    , queues(serviceQueues)
    , peers(peerLink)
    , operatorReader(operators)
    , registryReader(registry)
    , peerConnections(edgeState.connections.peers)
    , acceptor(loop)
{
}

void FeedExchange::start()
{
    const auto endpoint = parseEndpoint(this->state.settings.peerAddress).value();
    this->acceptor.open(tcp::v4());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
}

Task<> FeedExchange::queryReaders()
{
    asio::steady_timer timer(this->executor);
    QueryLink link;
    std::size_t failures = 0;
    while (true) {
        timer.expires_after(std::chrono::duration_cast<Duration>(queryInterval(this->peers.siteSize()) * (0.8 + 0.4 * uniform(this->state.random))));
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        // At a small site every daemon hears all others and reads the store itself.
        if (this->state.isSiteKnown && this->state.readerRank() && this->state.aggregators.isMesh())
            continue;
        const auto address = this->peers.readerAddress(failures);
        if (address.empty()) {
            failures = 0;
            continue;
        }
        // Only daemons that place requests need the cache contents, and feed readers follow the stores themselves.
        const bool wantsCache = !this->state.readerRank() && this->state.isSiteKnown;
        const bool isAnswered = co_await this->query(link, address, wantsCache);
        failures = isAnswered ? 0 : failures + 1;
    }
}

Task<> FeedExchange::keepRemovals()
{
    constexpr Duration askInterval = std::chrono::milliseconds(100);
    constexpr Duration forgetInterval = std::chrono::seconds(1);
    asio::steady_timer timer(this->executor);
    QueryLink link;
    auto forgotten = monotonicNow();
    while (true) {
        timer.expires_after(this->state.removalMemory.needsPeers(monotonicNow()) || !this->state.registryFeed.isKnown() ? askInterval : forgetInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto now = monotonicNow();
        if (this->state.registryFeed.isKnown())
            this->state.removalMemory.onKnown(this->state.registryFeed.end(), now);
        if (this->state.removalMemory.needsPeers(now))
            co_await this->askForRemovals(link);
        else
            link.stream = nullptr;
        if (now - forgotten >= forgetInterval) {
            forgotten = now;
            this->state.registryFeed.forgetRemovals(now, RemovalMemory::removalLifetime);
        }
    }
}

Task<> FeedExchange::askForRemovals(QueryLink& link)
{
    std::vector<RemovalMemory::Peer> candidates;
    std::vector<std::string> candidateAddresses;
    for (const auto* report : this->peers.view().live(monotonicNow())) {
        const auto& heartbeat = report->heartbeat;
        const auto& readers = this->state.feedReaders;
        candidates.push_back({ heartbeat.incarnation, std::find(readers.begin(), readers.end(), heartbeat.instance) != readers.end() });
        candidateAddresses.push_back(heartbeat.peerAddress);
    }
    const auto picked = this->state.removalMemory.pickPeer(candidates);
    if (!picked)
        co_return;
    FeedQuery query;
    query.acceptsCompressed = query.removalsOnly = true;
    const auto answer = co_await this->ask(link, candidateAddresses[*picked], query);
    // A peer that has read less than this daemon may lack a removal, and is asked again.
    auto& memory = this->state.removalMemory;
    const bool reachesStart = answer && memory.reachesStart(answer->registryEnd);
    memory.onAsked(candidates[*picked], reachesStart);
    if (!answer)
        co_return;
    applyRegistryRecords(this->state, this->state.registryFeed.apply(fromMessage(answer->removals), 0), RecordSource::PeerMemory);
    memory.onAnswer(fromAgeMs(answer->rememberedMs), answer->registryEnd, monotonicNow());
    this->queues.dispatchAll();
    edge::log(edge::LogClass::Decision, "removals_learned",
        { { "peer", candidateAddresses[*picked] }, { "removals", static_cast<std::int64_t>(answer->removals.size()) }, { "reaches_start", reachesStart },
            { "remembered_ms", toMs(memory.remembered(monotonicNow())) } });
}

FeedExchange::AheadPeer FeedExchange::pickAheadPeer(std::uint64_t EdgeHeartbeat::*reportedEnd, std::uint64_t knownEnd, TimePoint now)
{
    // Picks a random daemon that is ahead, so that daemons that are behind do not all query the same one.
    AheadPeer result;
    std::size_t count = 0;
    for (const auto* report : this->peers.view().live(now)) {
        const auto end = report->heartbeat.*reportedEnd;
        if (end <= knownEnd)
            continue;
        result.end = std::max(result.end, end);
        ++count;
        if (uniform(this->state.random) * static_cast<double>(count) < 1)
            result.address = report->heartbeat.peerAddress;
    }
    return result;
}

Task<> FeedExchange::catchUp()
{
    asio::steady_timer timer(this->executor);
    QueryLink link;
    while (true) {
        timer.expires_after(maxLag / 2);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto now = monotonicNow();
        const auto aheadOperator = this->pickAheadPeer(&EdgeHeartbeat::operatorEnd, this->state.operatorFeed.end(), now);
        const auto aheadRegistry = this->pickAheadPeer(&EdgeHeartbeat::registryEnd, this->state.registryFeed.end(), now);
        // A daemon that is not a feed reader gets registry records only with its queries to a reader.
        const bool isReader = this->state.readerRank().has_value();
        const auto maxRegistryLag = isReader ? maxLag : 3 * queryInterval(this->peers.siteSize());
        const bool lacksOperator = this->operatorLag.isOverdue(this->state.operatorFeed.end(), aheadOperator.end, now, maxLag);
        const bool lacksRegistry = this->registryLag.isOverdue(this->state.registryFeed.end(), aheadRegistry.end, now, maxRegistryLag);
        // The long polls may be waiting on dead connections.
        if (lacksOperator)
            this->operatorReader.refresh();
        if (lacksRegistry && isReader)
            this->registryReader.refresh();
        if (lacksOperator || lacksRegistry)
            // If the peer does not answer, the next iteration still lags and picks another one.
            static_cast<void>(co_await this->query(link, lacksOperator ? aheadOperator.address : aheadRegistry.address, false));
    }
}

Task<tl::expected<std::string, CallFailure>> FeedExchange::exchange(QueryLink& link, const std::string& request)
{
    ErrorCode error;
    link.stream->expires_after(queryTimeout);
    if (!link.stream->socket().is_open()) {
        const auto endpoint = parseEndpoint(link.address);
        co_await link.stream->async_connect(*endpoint, into(error));
        if (error)
            co_return tl::unexpected(CallFailure { "no connection: " + error.message(), 0 });
    }
    co_await asio::async_write(*link.stream, asio::buffer(request), into(error));
    if (error)
        co_return tl::unexpected(CallFailure { "not sent: " + error.message(), 0 });
    co_return co_await readFrame(*link.stream, queryTimeout, maxFrameBytes);
}

Task<std::optional<FeedAnswer>> FeedExchange::ask(QueryLink& link, std::string address, FeedQuery query)
{
    if (link.address != address || !link.stream) {
        link.address = address;
        link.stream = std::make_unique<beast::tcp_stream>(this->executor);
    }
    const auto asked = monotonicNow();
    const auto payload = co_await this->exchange(link, framed(encode(query)));
    if (!payload) {
        edge::log(edge::LogClass::Decision, "peer_query_failed",
            { { "peer", address }, { "reason", payload.error().reason }, { "received_bytes", static_cast<std::int64_t>(payload.error().receivedBytes) },
                { "after_ms", toMs(monotonicNow() - asked) } });
        link.stream = nullptr;
        co_return std::nullopt;
    }
    auto answer = decodeAnswer(*payload);
    if (!answer) {
        edge::log(edge::LogClass::Decision, "peer_answer_rejected", { { "peer", address }, { "reason", answer.error().message } });
        link.stream = nullptr;
        co_return std::nullopt;
    }
    co_return std::move(*answer);
}

Task<bool> FeedExchange::query(QueryLink& link, std::string address, bool wantsCache)
{
    const FeedQuery query { this->hasPeerRecords ? this->state.operatorFeed.end() : 0, this->state.registryFeed.end(), wantsCache, this->cacheSource, this->cacheFrom, this->daemonsSource, this->daemonsFrom, true, false, this->state.operatorFeed.end() };
    const auto asked = monotonicNow();
    const auto answer = co_await this->ask(link, std::move(address), query);
    if (!answer)
        co_return false;
    this->hasPeerRecords = true;
    this->applyAnswer(*answer, asked);
    co_return this->isAuthoritative(*answer);
}

bool FeedExchange::isAuthoritative(const FeedAnswer& answer) const
{
    return answer.hearsAll && (answer.isReading || this->state.storeOutage.isActive());
}

void FeedExchange::applyReaderState(const FeedAnswer& answer, TimePoint now)
{
    // A connected reader replaces the store; during an outage for all daemons there is no better source.
    if (this->state.readerRank() || !isAuthoritative(answer))
        return;
    this->state.lastReaderAnswer = now;
    if (answer.isReading) {
        this->state.registryContact.isReachable = true;
        this->state.registryContact.since = now - fromAgeMs(answer.readingMs);
    }
    if (answer.duty && (!this->state.duty || answer.duty->record != this->state.duty->first))
        applyDutyRecord(this->state, answer.duty->record, now - fromAgeMs(answer.duty->ageMs));
}

void FeedExchange::applyAnswer(const FeedAnswer& answer, TimePoint asked)
{
    this->applyReaderState(answer, monotonicNow());
    if (const auto news = this->operatorReader.applyPeerRecords(fromMessage(answer.operatorRecords), answer.operatorEnd, answer.isOperatorListing); news > 0)
        edge::log(edge::LogClass::Decision, "records_from_peer",
            { { "operator_records", static_cast<std::int64_t>(news) }, { "end", static_cast<std::int64_t>(answer.operatorEnd) }, { "is_listing", answer.isOperatorListing } });
    this->registryReader.applyPeerRecords(fromMessage(answer.registryRecords), answer.registryEnd, answer.isRegistryListing);
    if (answer.cache) {
        const bool follows = this->state.parts.applyChanges(*answer.cache, asked);
        this->cacheSource = answer.cache->source;
        this->cacheFrom = follows ? answer.cache->end : 0;
    }
    // An incomplete daemon list helps only while this daemon does not know the site yet.
    if (answer.hearsAll || !this->state.isSiteKnown) {
        this->daemonsSource = answer.daemons.source;
        this->daemonsFrom = answer.daemons.end;
        this->peers.onNews(answer.daemons, answer.hearsAll);
    }
    if (answer.crashes)
        this->state.crashSuspects.onNotice(*answer.crashes, monotonicNow());
    if (answer.limits)
        applyPeerLimits(this->state, *answer.limits);
    this->queues.dispatchAll();
}

Task<> FeedExchange::acceptQueries()
{
    asio::steady_timer pause(this->executor);
    while (true) {
        ErrorCode error;
        auto socket = co_await this->acceptor.async_accept(into(error));
        if (error) {
            // Out of file descriptors: closing connections free some.
            constexpr Duration acceptPause = std::chrono::milliseconds(20);
            pause.expires_after(acceptPause);
            co_await pause.async_wait(into(error));
        } else if (auto place = this->peerConnections.admit(monotonicNow()))
            asio::co_spawn(this->executor, this->answerQueries(std::move(socket), std::move(place)), asio::detached);
    }
}

FeedAnswer FeedExchange::answerTo(const FeedQuery& query) const
{
    const auto now = monotonicNow();
    const auto& operators = this->state.operatorFeed;
    const auto& registry = this->state.registryFeed;
    FeedAnswer answer;
    answer.registryEnd = registry.end();
    if (query.removalsOnly) {
        answer.removals = toMessage(registry.removals());
        answer.rememberedMs = static_cast<std::uint64_t>(this->state.removalMemory.remembered(now) / std::chrono::milliseconds(1));
        return answer;
    }
    answer.isOperatorListing = operators.lacksRemovalsSince(query.operatorEnd);
    answer.operatorRecords = toMessage(operators.since(answer.isOperatorListing ? 0 : query.operatorFrom));
    answer.operatorEnd = operators.end();
    answer.isRegistryListing = registry.lacksRemovalsSince(query.registryFrom);
    answer.registryRecords = toMessage(registry.since(answer.isRegistryListing ? 0 : query.registryFrom));
    if (query.wantsCache) {
        answer.cache = this->state.parts.changesSince(query.cacheSource == this->state.incarnation ? query.cacheFrom : 0, now);
        answer.cache->source = this->state.incarnation;
    }
    answer.daemons = this->peers.newsFor(query.daemonsSource, query.daemonsFrom);
    if (this->state.duty)
        answer.duty = DutyNotice { this->state.duty->first, ageMs(this->state.duty->second, now) };
    answer.hearsAll = this->state.hasFullView(now);
    answer.isReading = this->state.readsStore();
    answer.readingMs = ageMs(this->state.registryContact.since, now);
    answer.crashes = this->state.crashSuspects.notice(true, now);
    answer.limits = this->state.board.limitNotice(true, now);
    return answer;
}

Task<> FeedExchange::answerQueries(tcp::socket socket, std::unique_ptr<ConnectionLimit::Entry> place)
{
    beast::tcp_stream stream(std::move(socket));
    place->onEvicted([&stream] {
        ErrorCode ignored;
        stream.socket().close(ignored);
    });
    while (true) {
        place->waits(monotonicNow());
        const auto payload = co_await readFrame(stream, queryIdleTimeout, maxQueryBytes);
        if (!payload) {
            if (payload.error().reason.starts_with(overlongFrame)) {
                edge::log(edge::LogClass::Decision, "peer_query_refused", { { "reason", payload.error().reason } });
                this->state.metrics.count("goldcrest_peer_queries_refused_total");
            }
            co_return;
        }
        const auto query = decode<FeedQuery>(*payload);
        if (!query)
            co_return;
        place->serves();
        const auto bytes = framed(encodeAnswer(this->answerTo(*query), query->acceptsCompressed));
        if (!co_await writeFrame(stream, bytes))
            co_return;
    }
}

} // namespace goldcrestwood
