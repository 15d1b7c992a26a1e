#include "edge/peer_link.h"

#include <algorithm>
#include <array>

#include "daemon/clock.h"
#include "edge/beliefs.h"
#include "edge/log.h"

namespace goldcrestwood {

namespace {

    /// Heartbeats of a small site are frequent; at a large one the sum of all daemons' would grow with the square.
    constexpr Duration shortestInterval = std::chrono::milliseconds(200);
    constexpr Duration longestInterval = std::chrono::milliseconds(1000);
    constexpr Duration intervalPerPeer = std::chrono::milliseconds(20);
    /// A daemon with many requests in flight tells of them more often: once as often for each so many, up to a bound.
    constexpr int requestsPerHaste = 4;
    constexpr int mostHaste = 4;
    /// The store tells a change in milliseconds; a peer that knows more for so long is asked.
    constexpr Duration behindLimit = std::chrono::milliseconds(250);
    constexpr Duration queryLimit = std::chrono::milliseconds(800);
    /// A peer that asks regularly does so several times in this period.
    constexpr Duration queryIdle = std::chrono::seconds(5);
    /// Larger datagrams are split on the way and lost more often.
    constexpr std::size_t largestDatagram = 8192;
    constexpr std::size_t lengthBytes = 4;
    /// Addresses of peers told in one heartbeat, at most.
    constexpr std::size_t mostToldAddresses = 12;
    constexpr std::size_t largestFrame = 32U << 20U;

    std::vector<FeedRecord> toMessage(const std::vector<KeyedRecord>& records)
    {
        std::vector<FeedRecord> result;
        result.reserve(records.size());
        for (const auto& record : records)
            result.push_back({ record.key, !record.value.has_value(), record.value.value_or(""), record.offset });
        return result;
    }

    std::vector<KeyedRecord> fromMessage(const std::vector<FeedRecord>& records)
    {
        std::vector<KeyedRecord> result;
        result.reserve(records.size());
        for (const auto& record : records)
            result.push_back({ record.key, record.isRemoved ? std::nullopt : std::optional(record.value), record.offset });
        return result;
    }

    std::string framed(const std::string& payload)
    {
        std::string frame;
        for (int shift = 24; shift >= 0; shift -= 8)
            frame.push_back(static_cast<char>(payload.size() >> static_cast<unsigned>(shift) & 0xffU));
        return frame + payload;
    }

    /// @return The payload of the next frame, or nothing.
    Task<std::optional<std::string>> readFrame(beast::tcp_stream& stream)
    {
        std::array<unsigned char, lengthBytes> head {};
        ErrorCode error;
        co_await asio::async_read(stream, asio::buffer(head), into(error));
        if (error)
            co_return std::nullopt;
        std::size_t length = 0;
        for (const auto byte : head)
            length = length << 8U | byte;
        if (length > largestFrame)
            co_return std::nullopt;
        std::string payload(length, '\0');
        co_await asio::async_read(stream, asio::buffer(payload), into(error));
        if (error)
            co_return std::nullopt;
        co_return payload;
    }

} // namespace

PeerLink::PeerLink(EdgeState& edgeState, const asio::any_io_executor& loop, ServiceQueues& serviceQueues, FactReader& operators, FactReader& registry)
    : state(edgeState)
    , executor(loop)
    , queues(serviceQueues)
    , operatorReader(operators)
    , registryReader(registry)
    , datagrams(loop)
    , acceptor(loop)
    , addresses(edgeState.settings.seeds)
{
}

void PeerLink::start()
{
    const auto endpoint = parseEndpoint(this->state.settings.peerAddress).value();
    this->datagrams.open(udp::v4());
    this->datagrams.bind(udp::endpoint(endpoint.address(), endpoint.port()));
    this->acceptor.open(tcp::v4());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
}

void PeerLink::hearOf(const std::string& address, TimePoint now)
{
    if (address != this->state.settings.peerAddress && parseEndpoint(address))
        this->addresses.hear(address, now);
}

Duration PeerLink::interval() const
{
    const auto plain = std::clamp<Duration>(intervalPerPeer * static_cast<int>(this->daemons.known()), shortestInterval, longestInterval);
    // Peers place by what the busy daemons have in flight.
    const auto haste = std::clamp(static_cast<int>(this->state.board.ownRequests()) / requestsPerHaste, 1, mostHaste);
    return std::max<Duration>(plain / haste, shortestInterval);
}

EdgeHeartbeat PeerLink::describe() const
{
    EdgeHeartbeat message;
    message.instance = this->state.settings.instance;
    message.incarnation = this->state.incarnation;
    message.intervalMs = static_cast<std::uint32_t>(this->interval().count() / 1000);
    message.domain = this->state.settings.domain;
    message.frontAddress = this->state.settings.frontAddress;
    message.peerAddress = this->state.settings.peerAddress;
    message.isReady = this->state.isReady();
    message.capacity = capacityOf(this->state.settings);
    message.readsStore = this->state.readsStore();
    message.operatorEnd = this->state.operatorFeed.end();
    message.registryEnd = this->state.registryFeed.end();
    return message;
}

EdgeHeartbeat PeerLink::heartbeat()
{
    auto message = this->describe();
    message.sequence = ++this->sequence;
    message.uses = this->state.board.ownUses();
    message.upstreams = this->state.board.takeUpstreamExperience();
    message.sources = this->state.board.takeSourceExperience();
    const auto now = monotonicNow();
    for (const auto& [model, targets] : this->state.weightTargets)
        if (const auto naming = targets.witnessed())
            message.weights.push_back({ model, naming->version, static_cast<std::uint64_t>((now - naming->since) / std::chrono::milliseconds(1)) });
    for (const auto* report : this->daemons.live(now))
        if (message.peers.size() < mostToldAddresses)
            message.peers.push_back(report->heartbeat.peerAddress);
    return message;
}

void PeerLink::announce()
{
    const auto bytes = encode(this->heartbeat());
    for (const auto& address : this->addresses.all()) {
        const auto endpoint = parseEndpoint(address);
        ErrorCode ignored; // A datagram may be lost anyway; the next heartbeat follows.
        this->datagrams.send_to(asio::buffer(bytes), udp::endpoint(endpoint->address(), endpoint->port()), 0, ignored);
    }
}

Task<> PeerLink::sendHeartbeats()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        this->announce();
        const auto now = monotonicNow();
        this->daemons.sweep(now);
        this->addresses.sweep(now);
        this->chooseReaders(now);
        this->judgeStore(now);
        auto all = this->daemons.instances();
        all.push_back(this->state.settings.instance);
        this->state.board.setDaemons(std::move(all));
        for (auto& [service, budget] : this->state.sendBudgets)
            budget.setDaemons(this->daemons.known() + 1);
        timer.expires_after(std::chrono::duration_cast<Duration>(this->interval() * (0.9 + 0.2 * uniform(this->state.random))));
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
    }
}

Task<> PeerLink::receiveHeartbeats()
{
    std::string buffer(largestDatagram, '\0');
    while (true) {
        udp::endpoint sender;
        ErrorCode error;
        const auto size = co_await this->datagrams.async_receive_from(asio::buffer(buffer), sender, into(error));
        if (error)
            continue; // Such as a port that a peer has just closed.
        const auto message = decode<EdgeHeartbeat>(std::string_view(buffer.data(), size));
        if (message)
            this->onHeartbeat(*message);
        else
            edge::log(edge::LogClass::Decision, "heartbeat_rejected",
                { { "peer", sender.address().to_string() }, { "bytes", static_cast<std::int64_t>(size) }, { "reason", message.error().message } });
    }
}

void PeerLink::onHeartbeat(const EdgeHeartbeat& message)
{
    const auto now = monotonicNow();
    if (message.instance == this->state.settings.instance || !this->daemons.onHeartbeat(message, now))
        return;
    this->hearOf(message.peerAddress, now);
    for (const auto& address : message.peers)
        this->hearOf(address, now);
    for (const auto& told : message.weights)
        if (const auto targets = this->state.weightTargets.find(told.model); targets != this->state.weightTargets.end())
            targets->second.witness(told.version, now - std::chrono::milliseconds(told.ageMs));
    this->state.board.onPeerUse(message.instance, message.uses, now);
    this->state.board.onPeerExperience(message.upstreams, message.sources, now);
    this->queues.dispatchAll();
}

std::vector<std::string> PeerLink::frontsFor(const std::string& caller, const FailureDomain& domain)
{
    return this->daemons.frontsFor(caller, domain, this->describe(), monotonicNow());
}

void PeerLink::judgeStore(TimePoint now)
{
    const auto live = this->daemons.live(now);
    const auto reading = std::count_if(live.begin(), live.end(), [](const auto* report) { return report->heartbeat.readsStore; });
    this->state.storeOutage.onView(static_cast<std::size_t>(reading) + (this->state.readsStore() ? 1 : 0), live.size() + 1, now);
}

void PeerLink::chooseReaders(TimePoint now)
{
    std::vector<FeedCandidate> reading;
    std::vector<FeedCandidate> others;
    const auto consider = [&](const EdgeHeartbeat& daemon) {
        (daemon.readsStore && daemon.isReady ? reading : others).push_back({ daemon.instance, daemon.capacity });
    };
    for (const auto* report : this->daemons.live(now))
        consider(report->heartbeat);
    consider(this->describe());
    // While nobody reaches the store, the cache stores may still answer.
    this->state.feedReaders = feedReaders(reading.empty() ? others : reading);
}

std::string PeerLink::readerAddress(std::size_t failures) const
{
    auto readers = this->state.feedReaders;
    std::string result;
    for (std::size_t skipped = 0; skipped <= failures && !readers.empty(); ++skipped) {
        const auto reader = readerFor(this->state.settings.instance, readers);
        for (const auto* report : this->daemons.live(monotonicNow()))
            if (report->heartbeat.instance == reader)
                result = report->heartbeat.peerAddress;
        std::erase(readers, reader);
    }
    return result;
}

Task<> PeerLink::askReaders()
{
    asio::steady_timer timer(this->executor);
    QueryLink link;
    std::size_t failures = 0;
    while (true) {
        timer.expires_after(askInterval(this->daemons.known() + 1));
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        if (this->state.readerRank())
            continue;
        const auto address = this->readerAddress(failures);
        if (address.empty()) {
            failures = 0;
            continue;
        }
        const bool isAnswered = co_await this->query(link, address, true);
        failures = isAnswered ? 0 : failures + 1;
    }
}

PeerLink::Ahead PeerLink::pickAhead(std::uint64_t EdgeHeartbeat::*told, std::uint64_t known, TimePoint now)
{
    // Any of those that know more, so that the daemons that are behind do not all ask the same one.
    Ahead result;
    std::size_t count = 0;
    for (const auto* report : this->daemons.live(now)) {
        const auto end = report->heartbeat.*told;
        if (end <= known)
            continue;
        result.end = std::max(result.end, end);
        ++count;
        if (uniform(this->state.random) * static_cast<double>(count) < 1)
            result.address = report->heartbeat.peerAddress;
    }
    return result;
}

Task<> PeerLink::catchUp()
{
    asio::steady_timer timer(this->executor);
    QueryLink link;
    while (true) {
        timer.expires_after(behindLimit / 2);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto now = monotonicNow();
        const auto byOperator = this->pickAhead(&EdgeHeartbeat::operatorEnd, this->state.operatorFeed.end(), now);
        const auto byRegistry = this->pickAhead(&EdgeHeartbeat::registryEnd, this->state.registryFeed.end(), now);
        // The registry of a daemon that does not read it moves on with its questions to a reader.
        const bool isReader = this->state.readerRank().has_value();
        const auto registryLimit = isReader ? behindLimit : 3 * askInterval(this->daemons.known() + 1);
        const bool lacksOperator = this->operatorLag.isOverdue(this->state.operatorFeed.end(), byOperator.end, now, behindLimit);
        const bool lacksRegistry = this->registryLag.isOverdue(this->state.registryFeed.end(), byRegistry.end, now, registryLimit);
        // The held reads may wait on connections that have gone silent.
        if (lacksOperator)
            this->operatorReader.refresh();
        if (lacksRegistry && isReader)
            this->registryReader.refresh();
        if (lacksOperator || lacksRegistry)
            // A peer that does not answer is followed by another: the topic still stands at the next look.
            static_cast<void>(co_await this->query(link, lacksOperator ? byOperator.address : byRegistry.address, false));
    }
}

Task<std::optional<std::string>> PeerLink::exchange(QueryLink& link, const std::string& request)
{
    ErrorCode error;
    link.stream->expires_after(queryLimit);
    if (!link.stream->socket().is_open()) {
        const auto endpoint = parseEndpoint(link.address);
        co_await link.stream->async_connect(*endpoint, into(error));
        if (error)
            co_return std::nullopt;
    }
    co_await asio::async_write(*link.stream, asio::buffer(request), into(error));
    if (error)
        co_return std::nullopt;
    co_return co_await readFrame(*link.stream);
}

Task<bool> PeerLink::query(QueryLink& link, std::string address, bool wantsCache)
{
    if (link.address != address || !link.stream) {
        link.address = address;
        link.stream = std::make_unique<beast::tcp_stream>(this->executor);
    }
    const auto request = framed(encode(FeedQuery { this->state.operatorFeed.end(), this->state.registryFeed.end(), wantsCache, this->cacheSource, this->cacheFrom }));
    const auto payload = co_await this->exchange(link, request);
    if (!payload) {
        link.stream = nullptr;
        co_return false;
    }
    const auto answer = decode<FeedAnswer>(*payload);
    if (!answer) {
        edge::log(edge::LogClass::Decision, "peer_answer_rejected", { { "peer", address }, { "reason", answer.error().message } });
        link.stream = nullptr;
        co_return false;
    }
    this->believe(*answer);
    co_return true;
}

void PeerLink::believe(const FeedAnswer& answer)
{
    const auto operatorNews = this->state.operatorFeed.apply(fromMessage(answer.operatorRecords), answer.operatorEnd);
    if (!operatorNews.empty())
        edge::log(edge::LogClass::Decision, "records_from_peer",
            { { "operator_records", static_cast<std::int64_t>(operatorNews.size()) }, { "end", static_cast<std::int64_t>(answer.operatorEnd) } });
    believeOperator(this->state, operatorNews, "peer");
    believeRegistry(this->state, this->state.registryFeed.apply(fromMessage(answer.registryRecords), answer.registryEnd), "peer");
    if (answer.cache) {
        const bool follows = this->state.parts.applyNews(*answer.cache, monotonicNow());
        this->cacheSource = answer.cache->source;
        this->cacheFrom = follows ? answer.cache->end : 0;
    }
    this->queues.dispatchAll();
}

Task<> PeerLink::acceptQueries()
{
    while (true) {
        ErrorCode error;
        auto socket = co_await this->acceptor.async_accept(into(error));
        if (!error)
            asio::co_spawn(this->executor, this->answerQueries(std::move(socket)), asio::detached);
    }
}

FeedAnswer PeerLink::answerTo(const FeedQuery& query) const
{
    FeedAnswer answer { toMessage(this->state.operatorFeed.since(query.operatorFrom)), this->state.operatorFeed.end(),
        toMessage(this->state.registryFeed.since(query.registryFrom)), this->state.registryFeed.end(), std::nullopt };
    if (query.wantsCache) {
        answer.cache = this->state.parts.newsSince(query.cacheSource == this->state.incarnation ? query.cacheFrom : 0, monotonicNow());
        answer.cache->source = this->state.incarnation;
    }
    return answer;
}

Task<> PeerLink::answerQueries(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    while (true) {
        stream.expires_after(queryIdle);
        const auto payload = co_await readFrame(stream);
        if (!payload)
            co_return;
        const auto query = decode<FeedQuery>(*payload);
        if (!query)
            co_return;
        const auto bytes = framed(encode(this->answerTo(*query)));
        stream.expires_after(queryLimit);
        ErrorCode error;
        co_await asio::async_write(stream, asio::buffer(bytes), into(error));
        if (error)
            co_return;
    }
}

} // namespace goldcrestwood
