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
    /// The store tells a change in milliseconds; a peer that knows more for so long is asked.
    constexpr Duration behindLimit = std::chrono::milliseconds(250);
    constexpr Duration queryLimit = std::chrono::milliseconds(800);
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
{
    for (const auto& seed : edgeState.settings.seeds)
        this->addresses.insert(seed);
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

void PeerLink::addPeerAddress(const std::string& address)
{
    if (address != this->state.settings.peerAddress && parseEndpoint(address))
        this->addresses.insert(address);
}

Duration PeerLink::interval() const
{
    return std::clamp<Duration>(intervalPerPeer * static_cast<int>(this->daemons.known()), shortestInterval, longestInterval);
}

EdgeHeartbeat PeerLink::heartbeat()
{
    EdgeHeartbeat message;
    message.instance = this->state.settings.instance;
    message.incarnation = this->state.incarnation;
    message.sequence = ++this->sequence;
    message.intervalMs = static_cast<std::uint32_t>(this->interval().count() / 1000);
    message.domain = this->state.settings.domain;
    message.frontAddress = this->state.settings.frontAddress;
    message.peerAddress = this->state.settings.peerAddress;
    message.isReady = this->state.isReady();
    message.readsStore = this->state.readsStore();
    message.operatorEnd = this->state.operatorFeed.end();
    message.registryEnd = this->state.registryFeed.end();
    message.uses = this->state.board.ownUses();
    for (const auto* report : this->daemons.live(monotonicNow()))
        if (message.peers.size() < mostToldAddresses)
            message.peers.push_back(report->heartbeat.peerAddress);
    return message;
}

void PeerLink::announce()
{
    const auto bytes = encode(this->heartbeat());
    for (const auto& address : this->addresses) {
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
        this->state.board.setDaemons(this->daemons.known() + 1);
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
    }
}

void PeerLink::onHeartbeat(const EdgeHeartbeat& message)
{
    const auto now = monotonicNow();
    if (message.instance == this->state.settings.instance || !this->daemons.onHeartbeat(message, now))
        return;
    this->addPeerAddress(message.peerAddress);
    for (const auto& address : message.peers)
        this->addPeerAddress(address);
    this->state.board.onPeerUse(message.instance, message.uses, now);
    this->queues.dispatchAll();
}

std::string PeerLink::pickAhead(TimePoint now) const
{
    std::string best;
    auto most = this->state.operatorFeed.end() + this->state.registryFeed.end();
    for (const auto* report : this->daemons.live(now)) {
        const auto& told = report->heartbeat;
        if (told.operatorEnd <= this->state.operatorFeed.end() && told.registryEnd <= this->state.registryFeed.end())
            continue;
        if (best.empty() || told.operatorEnd + told.registryEnd > most) {
            most = told.operatorEnd + told.registryEnd;
            best = told.peerAddress;
        }
    }
    return best;
}

Task<> PeerLink::catchUp()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        timer.expires_after(behindLimit / 2);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto now = monotonicNow();
        const auto ahead = this->pickAhead(now);
        if (ahead.empty()) {
            this->isBehind = false;
            continue;
        }
        if (!this->isBehind) {
            this->isBehind = true;
            this->behindSince = now;
        }
        if (now - this->behindSince < behindLimit)
            continue;
        // The held reads may wait on connections that have gone silent.
        this->operatorReader.refresh();
        this->registryReader.refresh();
        if (co_await this->query(ahead))
            this->isBehind = false;
    }
}

Task<bool> PeerLink::query(const std::string& address)
{
    beast::tcp_stream stream(this->executor);
    const auto endpoint = parseEndpoint(address);
    ErrorCode error;
    stream.expires_after(queryLimit);
    co_await stream.async_connect(*endpoint, into(error));
    if (error)
        co_return false;
    const auto request = framed(encode(FeedQuery { this->state.operatorFeed.end(), this->state.registryFeed.end() }));
    co_await asio::async_write(stream, asio::buffer(request), into(error));
    if (error)
        co_return false;
    const auto payload = co_await readFrame(stream);
    if (!payload)
        co_return false;
    const auto answer = decode<FeedAnswer>(*payload);
    if (!answer) {
        edge::log(edge::LogClass::Decision, "peer_answer_rejected", { { "peer", address }, { "reason", answer.error().message } });
        co_return false;
    }
    edge::log(edge::LogClass::Decision, "records_from_peer",
        { { "peer", address }, { "operator_records", static_cast<std::int64_t>(answer->operatorRecords.size()) },
            { "registry_records", static_cast<std::int64_t>(answer->registryRecords.size()) } });
    believeOperator(this->state, this->state.operatorFeed.apply(fromMessage(answer->operatorRecords), answer->operatorEnd), "peer");
    believeRegistry(this->state, this->state.registryFeed.apply(fromMessage(answer->registryRecords), answer->registryEnd), "peer");
    this->queues.dispatchAll();
    co_return true;
}

Task<> PeerLink::acceptQueries()
{
    while (true) {
        ErrorCode error;
        auto socket = co_await this->acceptor.async_accept(into(error));
        if (!error)
            asio::co_spawn(this->executor, this->answerQuery(std::move(socket)), asio::detached);
    }
}

Task<> PeerLink::answerQuery(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(queryLimit);
    const auto payload = co_await readFrame(stream);
    if (!payload)
        co_return;
    const auto query = decode<FeedQuery>(*payload);
    if (!query)
        co_return;
    const FeedAnswer answer { toMessage(this->state.operatorFeed.since(query->operatorFrom)), this->state.operatorFeed.end(),
        toMessage(this->state.registryFeed.since(query->registryFrom)), this->state.registryFeed.end() };
    const auto bytes = framed(encode(answer));
    ErrorCode ignored;
    co_await asio::async_write(stream, asio::buffer(bytes), into(ignored));
}

} // namespace goldcrestwood
