#include "edge/client_session.h"

#include "daemon/clock.h"
#include "edge/caller_socket.h"
#include "edge/log.h"

namespace goldcrestwood {

namespace {

    /// Silence after which a caller's connection ends; tolerates temporary packet loss on poor links.
    constexpr Duration clientSilenceTimeout = std::chrono::seconds(5);
    /// Idle timeout of callers' connections on a stopping daemon.
    constexpr Duration stoppingIdleTimeout = std::chrono::milliseconds(1500);

    /// Retry-After of a request that found no memory: unfinished requests without progress end within the header timeout.
    constexpr const char* exhaustedRetryAfter = "1";

    /// Lists a request as in progress while it lives, also if an exception ends it.
    class ActiveExchange {
    public:
        ActiveExchange(std::set<ClientExchange*>& list, ClientExchange& exchange)
            : exchanges(list)
            , position(list.insert(&exchange).first)
        {
        }
        ActiveExchange(const ActiveExchange&) = delete;
        ActiveExchange& operator=(const ActiveExchange&) = delete;
        ~ActiveExchange() { this->exchanges.erase(this->position); }

    private:
        std::set<ClientExchange*>& exchanges;
        std::set<ClientExchange*>::iterator position;
    };

} // namespace

ClientLimits ClientSessions::limits() const
{
    return this->state.routes ? this->state.routes->configuration().limits : ClientLimits {};
}

Task<bool> ClientSessions::readRequest(beast::tcp_stream& stream, RequestReceiver& receiver, SocketDeadline& deadline, ConnectionLimit::Entry& place)
{
    const auto bounds = this->limits();
    bool isIdle = !receiver.hasUnparsed();
    std::size_t bodyAtProgress = 0;
    ErrorCode error;
    receiver.begin(bounds, monotonicNow());
    const auto idleTimeout = this->state.isStopping ? stoppingIdleTimeout : bounds.idleTimeout;
    deadline.expiresAfter(isIdle ? idleTimeout : bounds.headerTimeout);
    auto progress = ReceiveState::Head;
    if (!isIdle) {
        // Other connections get their turn between the requests of one.
        co_await asio::post(stream.get_executor(), asio::use_awaitable);
        if (!stream.socket().is_open())
            co_return false;
        progress = receiver.receive({}, monotonicNow());
    }
    while (progress == ReceiveState::Head || progress == ReceiveState::Body) {
        if (progress == ReceiveState::Body && receiver.takeExpectsContinue()) {
            http::response<http::empty_body> proceed { http::status::continue_, 11 };
            co_await http::async_write(stream, proceed, into(error));
        }
        if (isIdle)
            this->idle.insert(&stream);
        // Bytes are read once they are there, so that a waiting connection needs no buffer and can be freed at any time.
        if (!receiver.isGivenUp() && !deadline.hasPassed())
            co_await stream.socket().async_wait(tcp::socket::wait_read, into(error));
        if (isIdle)
            this->idle.erase(&stream);
        // Closed for a new connection, or by the stop, before this coroutine resumed: the request cannot be answered.
        if (!stream.socket().is_open())
            co_return false;
        if (receiver.isGivenUp()) {
            progress = ReceiveState::GivenUp;
            break;
        }
        if (deadline.hasPassed()) {
            const ReceiveRefusal late { 408, "the request took too long" };
            if (!isIdle)
                co_await this->answerUnreadable(stream, late);
            co_return false;
        }
        const auto count = stream.socket().read_some(asio::buffer(this->readBuffer, receiver.room()), error);
        if (error == asio::error::would_block)
            continue;
        if (error)
            co_return false;
        const auto now = monotonicNow();
        progress = receiver.receive({ this->readBuffer.data(), count }, now);
        // The header timeout covers a head, and each read of the body.
        if (isIdle || progress == ReceiveState::Body)
            deadline.expiresAfter(bounds.headerTimeout);
        if (const auto body = receiver.bodyBytes(); isIdle || body - bodyAtProgress >= RequestMemory::progressBytes) {
            bodyAtProgress = body;
            place.waits(now);
        }
        isIdle = false;
    }
    deadline.expiresNever();
    if (progress == ReceiveState::Refused)
        co_await this->answerUnreadable(stream, receiver.refusal());
    else if (progress == ReceiveState::GivenUp)
        co_await this->answerExhausted(stream, receiver.bodyBytes());
    co_return progress == ReceiveState::Complete;
}

void ClientSessions::closeIdle()
{
    for (auto* stream : this->idle) {
        ErrorCode ignored;
        stream->socket().close(ignored);
    }
}

void ClientSessions::endActive()
{
    for (auto* exchange : this->exchanges) {
        exchange->timedOut = true;
        exchange->interrupt();
    }
}

Task<> ClientSessions::answerUnreadable(beast::tcp_stream& stream, ReceiveRefusal refusal)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(refusal.status);
    response.keep_alive(false);
    response.set(http::field::content_type, "application/problem+json");
    response.body() = "{\"title\":\"" + refusal.reason + "\"}";
    response.prepare_payload();
    edge::log(edge::LogClass::Decision, "request_unreadable",
        { { "status", static_cast<std::int64_t>(response.result_int()) }, { "reason", refusal.reason } });
    stream.expires_after(std::chrono::seconds(1));
    ErrorCode ignored;
    co_await http::async_write(stream, response, into(ignored));
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

Task<> ClientSessions::answerExhausted(beast::tcp_stream& stream, std::size_t bodyBytes)
{
    edge::log(edge::LogClass::Decision, "request_given_up",
        { { "bytes", static_cast<std::int64_t>(bodyBytes) }, { "held_bytes", static_cast<std::int64_t>(this->state.requestMemory.used()) } });
    this->state.metrics.count("goldcrest_requests_given_up_total");
    http::response<http::string_body> response { http::status::service_unavailable, 11 };
    response.keep_alive(false);
    response.set(http::field::content_type, "application/problem+json");
    response.set(http::field::retry_after, exhaustedRetryAfter);
    response.body() = std::string("{\"title\":\"") + RequestMemory::exhausted + "\"}";
    response.prepare_payload();
    stream.expires_after(std::chrono::seconds(1));
    ErrorCode ignored;
    co_await http::async_write(stream, response, into(ignored));
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

Task<> ClientSessions::serve(tcp::socket socket, std::unique_ptr<ConnectionLimit::Entry> place)
{
    setSilenceTimeout(socket, clientSilenceTimeout);
    beast::tcp_stream stream(std::move(socket));
    ErrorCode ignored;
    stream.socket().non_blocking(true, ignored);
    SocketDeadline deadline(stream.socket());
    RequestReceiver receiver(this->state.requestMemory, [&stream] { stream.cancel(); });
    place->onEvicted([&stream] {
        ErrorCode closeError;
        stream.socket().close(closeError);
    });
    bool isOpen = true;
    while (isOpen) {
        place->waits(monotonicNow());
        const bool isRead = co_await this->readRequest(stream, receiver, deadline, *place);
        // A connection that was closed for a new one may hold a request that was just completed; it was not sent on.
        if (!isRead || !stream.socket().is_open())
            break;
        place->serves();
        stream.expires_never();
        ClientExchange exchange(stream);
        exchange.unread = ageOfNewestBytes(stream.socket());
        exchange.received = monotonicNow() - exchange.unread;
        this->state.metrics.observe("goldcrest_request_unread_seconds", "", exchange.unread);
        exchange.clientKeepAlive = receiver.keepsAlive();
        exchange.request = receiver.release();
        exchange.info = platform::decodeRequest(exchange.request.base());
        {
            const ActiveExchange active(this->exchanges, exchange);
            CloseWatch watch(stream.socket(), [&exchange] {
                exchange.clientLeftAt = monotonicNow();
                exchange.interrupt();
            });
            co_await this->pipeline.serve(exchange);
        }
        receiver.end();
        // A stream that began before the stop announced keep-alive, but another request would arrive too late.
        isOpen = exchange.clientKeepAlive && !exchange.hasClientLeft() && !this->state.isStopping && !(receiver.hasUnparsed() && place->yields());
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream.socket().close(ignored);
}

} // namespace goldcrestwood
