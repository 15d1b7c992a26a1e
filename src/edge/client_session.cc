#include "edge/client_session.h"

#include <algorithm>

#include "daemon/clock.h"
#include "daemon/framing.h"
#include "edge/caller_socket.h"
#include "edge/log.h"

namespace goldcrestwood {

namespace {

    /// Silence after which a caller's connection ends; tolerates temporary packet loss on poor links.
    constexpr Duration clientSilenceTimeout = std::chrono::seconds(5);
    /// Idle timeout of callers' connections on a stopping daemon.
    constexpr Duration stoppingIdleTimeout = std::chrono::milliseconds(1500);

    /// Bytes beyond a longest head that a connection buffers. The part of a request that must be buffered whole, a head, a chunk header or all
    /// trailers together, has no other bound.
    constexpr std::size_t readAheadBytes = 4096;

    /// Retry-After of a request that found no memory: unfinished requests without progress end within the header timeout.
    constexpr const char* exhaustedRetryAfter = "1";

    /// @return Bytes that the fields of a request take, for the caller's and the upstream's copy of them and for what is decoded from them.
    std::uint64_t fieldBytes(const http::fields& fields)
    {
        constexpr std::uint64_t copies = 2;
        constexpr std::uint64_t entryBytes = 96; // Each field is an allocation of its own.
        constexpr std::uint64_t itemBytes = 48; // An item of a list, such as the parts of a prompt: a string and a number.
        std::uint64_t result = 0;
        for (const auto& field : fields) {
            const auto value = field.value();
            const auto items = static_cast<std::uint64_t>(std::count(value.begin(), value.end(), ','));
            result += copies * (entryBytes + field.name_string().size() + value.size() + itemBytes * items);
        }
        return result;
    }

    /// @param body Bytes of the body received. They take up to twice their number while they grow and while they are sent on.
    std::uint64_t requestBytes(const beast::flat_buffer& buffer, std::uint64_t fields, std::size_t body)
    {
        return buffer.capacity() + fields + 2 * static_cast<std::uint64_t>(body);
    }

    unsigned statusOf(FramingFault fault)
    {
        return fault == FramingFault::UnsupportedCoding ? 501 : 400;
    }

    unsigned statusOf(ErrorCode error)
    {
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return 431;
        if (error == http::error::body_limit)
            return 413;
        if (error == beast::error::timeout)
            return 408;
        return 400;
    }

} // namespace

ClientLimits ClientSessions::limits() const
{
    return this->state.routes ? this->state.routes->configuration().limits : ClientLimits {};
}

Task<bool> ClientSessions::readRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser, RequestMemory::Share& memory, ConnectionLimit::Entry& place)
{
    const auto bounds = this->limits();
    ErrorCode error;
    // Requests behind the last one may already fill more, if the configuration has changed.
    buffer.max_size(std::max(buffer.size(), bounds.headerBytes + readAheadBytes));
    if (buffer.size() == 0) {
        stream.expires_after(this->state.isStopping ? stoppingIdleTimeout : bounds.idleTimeout);
        this->idle.insert(&stream);
        const auto received = co_await stream.async_read_some(buffer.prepare(readAheadBytes), into(error));
        this->idle.erase(&stream);
        // Closed before this coroutine resumed: drop the request, because it cannot be answered.
        if (!stream.socket().is_open())
            co_return false;
        if (error)
            co_return false;
        buffer.commit(received);
        place.waits(monotonicNow());
    }
    parser.header_limit(bounds.headerBytes);
    parser.body_limit(bounds.bodyBytes);
    stream.expires_after(bounds.headerTimeout);
    co_await http::async_read_header(stream, buffer, parser, into(error));
    if (!stream.socket().is_open())
        co_return false; // Closed for a new connection.
    const auto fields = error ? 0 : fieldBytes(parser.get());
    std::size_t bodyAtProgress = 0;
    if (!memory.resize(requestBytes(buffer, fields, 0), monotonicNow())) {
        co_await this->answerExhausted(stream, parser);
        co_return false;
    }
    if (!error) {
        const auto& head = parser.get();
        if (const auto fault = framingFault(head, head.version(), parser.chunked()); fault != FramingFault::None) {
            // Nothing after this head can be trusted to be a request.
            co_await this->answerUnreadable(stream, statusOf(fault), toString(fault));
            co_return false;
        }
    }
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed { http::status::continue_, 11 };
        co_await http::async_write(stream, proceed, into(error));
    }
    while (!error && !parser.is_done()) {
        // The header timeout also applies to each read of the body.
        stream.expires_after(bounds.headerTimeout);
        co_await http::async_read_some(stream, buffer, parser, into(error));
        if (!stream.socket().is_open())
            co_return false;
        if (const auto body = parser.get().body().size(); body - bodyAtProgress >= RequestMemory::progressBytes) {
            bodyAtProgress = body;
            place.waits(monotonicNow());
        }
        if (!memory.resize(requestBytes(buffer, fields, parser.get().body().size()), monotonicNow())) {
            co_await this->answerExhausted(stream, parser);
            co_return false;
        }
    }
    if (!error) {
        memory.complete();
        co_return true;
    }
    // g++ 12 destroys a temporary of a conditional inside co_await twice.
    const std::string reason = error == http::error::buffer_overflow ? "chunk header or trailers too long" : error.message();
    if (error != http::error::end_of_stream && error != asio::error::connection_reset && error != http::error::partial_message)
        co_await this->answerUnreadable(stream, statusOf(error), reason);
    co_return false;
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

Task<> ClientSessions::answerUnreadable(beast::tcp_stream& stream, unsigned status, std::string reason)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(status);
    response.keep_alive(false);
    response.set(http::field::content_type, "application/problem+json");
    response.body() = "{\"title\":\"" + reason + "\"}";
    response.prepare_payload();
    edge::log(edge::LogClass::Decision, "request_unreadable",
        { { "status", static_cast<std::int64_t>(response.result_int()) }, { "reason", reason } });
    stream.expires_after(std::chrono::seconds(1));
    ErrorCode ignored;
    co_await http::async_write(stream, response, into(ignored));
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

Task<> ClientSessions::answerExhausted(beast::tcp_stream& stream, RequestParser& parser)
{
    edge::log(edge::LogClass::Decision, "request_given_up",
        { { "bytes", static_cast<std::int64_t>(parser.get().body().size()) }, { "held_bytes", static_cast<std::int64_t>(this->state.requestMemory.used()) } });
    this->state.metrics.count("goldcrest_requests_given_up_total");
    // Its memory already counts as free.
    std::string().swap(parser.get().body());
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
    beast::flat_buffer buffer;
    place->onEvicted([&stream] {
        ErrorCode ignored;
        stream.socket().close(ignored);
    });
    bool isOpen = true;
    while (isOpen) {
        RequestMemory::Share memory(
            this->state.requestMemory, [&stream] { stream.cancel(); }, monotonicNow());
        RequestParser parser;
        place->waits(monotonicNow());
        const bool isRead = co_await this->readRequest(stream, buffer, parser, memory, *place);
        // A connection that was closed for a new one may hold a request that was just completed; it was not sent on.
        if (!isRead || !stream.socket().is_open())
            break;
        place->serves();
        stream.expires_never();
        ClientExchange exchange(stream);
        exchange.unread = ageOfNewestBytes(stream.socket());
        exchange.received = monotonicNow() - exchange.unread;
        this->state.metrics.observe("goldcrest_request_unread_seconds", "", exchange.unread);
        exchange.clientKeepAlive = parser.keepsAlive();
        exchange.request = parser.release();
        exchange.info = platform::decodeRequest(exchange.request.base());
        this->exchanges.insert(&exchange);
        {
            CloseWatch watch(stream.socket(), [&exchange] {
                exchange.clientLeftAt = monotonicNow();
                exchange.interrupt();
            });
            co_await this->pipeline.serve(exchange);
        }
        this->exchanges.erase(&exchange);
        // An idle connection keeps no buffer.
        buffer.shrink_to_fit();
        // A stream that began before the stop announced keep-alive, but another request would arrive too late.
        isOpen = exchange.clientKeepAlive && !exchange.hasClientLeft() && !this->state.isStopping;
    }
    ErrorCode ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream.socket().close(ignored);
}

} // namespace goldcrestwood
