#include "daemon/http_server.h"

#include <algorithm>
#include <array>
#include <span>

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include "daemon/body_watch.h"
#include "daemon/framing.h"

namespace goldcrestwood {

namespace {

    /// A body must bring as much within the receive timeout, so that a byte now and then does not keep a thread.
    constexpr std::size_t readChunkSize = std::size_t { 4 } * 1024;

    const char* toString(Executed executed)
    {
        switch (executed) {
        case Executed::No:
            return "no";
        case Executed::Unknown:
            return "unknown";
        case Executed::Yes:
            return "yes";
        }
        return "unknown";
    }

} // namespace

HttpResponse problemResponse(const Problem& problem)
{
    nlohmann::json body = {
        { "type", "about:blank" },
        { "title", problem.title },
        { "status", problem.status },
        { "detail", problem.detail },
        { "executed", toString(problem.executed) },
    };
    HttpResponse response { problem.status, "application/problem+json", "", {} };
    if (problem.retryAfter > Duration(0)) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter).count();
        body["retry_after_seconds"] = seconds;
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

HttpExchange::HttpExchange(mg_connection* peer, BodyWatch& watch)
    : connection(peer)
    , bodyWatch(watch)
{
    // Null for a request that could not be parsed.
    if (const auto* request = mg_get_request_info(this->connection))
        this->hasUnreadBody = request->content_length > 0 || mg_get_header(this->connection, "Transfer-Encoding") != nullptr;
}

std::string_view HttpExchange::method() const
{
    return mg_get_request_info(this->connection)->request_method;
}

std::string_view HttpExchange::path() const
{
    return mg_get_request_info(this->connection)->local_uri;
}

std::string HttpExchange::query(const char* name) const
{
    const auto* text = mg_get_request_info(this->connection)->query_string;
    if (!text)
        return {};
    std::array<char, 1024> value {};
    const std::string_view all(text);
    const auto length = mg_get_var(all.data(), all.size(), name, value.data(), value.size());
    return length > 0 ? std::string(value.data(), static_cast<std::size_t>(length)) : std::string();
}

std::string_view HttpExchange::header(const char* name) const
{
    const auto* value = mg_get_header(this->connection, name);
    return value ? value : std::string_view();
}

tl::expected<std::string, Problem> HttpExchange::readBody(std::uint64_t limit)
{
    const auto contentLength = mg_get_request_info(this->connection)->content_length;
    const Problem tooLarge { 413, "Body too large", "the body may have at most " + std::to_string(limit) + " bytes" };
    if (contentLength > 0 && static_cast<std::uint64_t>(contentLength) > limit)
        return tl::unexpected(tooLarge);
    std::string body;
    std::array<char, readChunkSize> chunk {};
    const auto read = [&] {
        const auto& request = *mg_get_request_info(this->connection);
        const BodyWatch::Read watched(this->bodyWatch, { request.remote_addr, request.remote_port, request.server_port });
        return mg_read(this->connection, chunk.data(), chunk.size());
    };
    int count = 0;
    while ((count = read()) > 0) {
        if (body.size() + static_cast<std::size_t>(count) > limit)
            return tl::unexpected(tooLarge);
        body.append(chunk.data(), static_cast<std::size_t>(count));
    }
    // A broken chunk is an error; a body of known length that breaks off is not.
    if (count < 0 || (contentLength > 0 && body.size() < static_cast<std::size_t>(contentLength)))
        return tl::unexpected(Problem { 400, "Body incomplete", "the connection ended or stalled within the body" });
    this->hasUnreadBody = false;
    return body;
}

void HttpExchange::begin(int responseStatus)
{
    this->status = responseStatus;
    // CivetWeb reads what is left of a body before the next request, however long that takes.
    if (this->hasUnreadBody)
        mg_disable_connection_keep_alive(this->connection);
}

void HttpExchange::respond(const HttpResponse& response)
{
    this->begin(response.status);
    mg_response_header_start(this->connection, response.status);
    mg_response_header_add(this->connection, "Content-Type", response.contentType.c_str(), -1);
    mg_response_header_add(this->connection, "Content-Length", std::to_string(response.body.size()).c_str(), -1);
    for (const auto& [name, value] : response.headers)
        mg_response_header_add(this->connection, name.c_str(), value.c_str(), -1);
    mg_response_header_send(this->connection);
    mg_write(this->connection, response.body.data(), response.body.size());
}

void HttpExchange::beginEvents()
{
    this->begin(200);
    mg_response_header_start(this->connection, 200);
    mg_response_header_add(this->connection, "Content-Type", "text/event-stream", -1);
    mg_response_header_add(this->connection, "Cache-Control", "no-store", -1);
    mg_response_header_add(this->connection, "Transfer-Encoding", "chunked", -1);
    mg_response_header_send(this->connection);
}

bool HttpExchange::writeChunk(std::string_view text)
{
    return mg_send_chunk(this->connection, text.data(), static_cast<unsigned>(text.size())) > 0;
}

void HttpExchange::endEvents()
{
    mg_send_chunk(this->connection, "", 0);
}

struct HttpServer::State {
    State(HttpHandler requestHandler, Duration receiveTimeout)
        : handler(std::move(requestHandler))
        , bodyWatch(receiveTimeout)
    {
    }

    HttpHandler handler;
    BodyWatch bodyWatch;
    mg_context* context = nullptr;

    ~State()
    {
        if (this->context)
            mg_stop(this->context);
    }
};

namespace {

    /// CivetWeb takes a body under the transfer coding "identity" for empty and reads only the first of several header lines.
    FramingFault framingFaultOf(const mg_request_info& request)
    {
        boost::beast::http::fields fields;
        for (const auto& header : std::span(request.http_headers).first(static_cast<std::size_t>(request.num_headers)))
            if (mg_strcasecmp(header.name, "Content-Length") == 0 || mg_strcasecmp(header.name, "Transfer-Encoding") == 0)
                fields.insert(header.name, header.value);
        const bool isChunked = boost::beast::iequals(fields[boost::beast::http::field::transfer_encoding], "chunked");
        return framingFault(fields, std::string_view(request.http_version) == "1.1" ? 11 : 10, isChunked);
    }

    template <typename State>
    int handleRequest(mg_connection* connection)
    {
        auto* state = static_cast<State*>(mg_get_user_data(mg_get_context(connection)));
        HttpExchange exchange(connection, state->bodyWatch);
        if (const auto fault = framingFaultOf(*mg_get_request_info(connection)); fault != FramingFault::None) {
            mg_disable_connection_keep_alive(connection);
            exchange.respond(problemResponse({ 400, "Bad request", toString(fault) }));
            return exchange.sentStatus();
        }
        try {
            state->handler(exchange);
        } catch (const std::exception& error) {
            if (exchange.sentStatus() == 0)
                exchange.respond(problemResponse({ 500, "Internal error", error.what(), Executed::Unknown }));
        }
        return exchange.sentStatus() == 0 ? 500 : exchange.sentStatus();
    }

    template <typename State>
    int handleError(mg_connection* connection, int status, const char* message)
    {
        HttpExchange exchange(connection, static_cast<State*>(mg_get_user_data(mg_get_context(connection)))->bodyWatch);
        exchange.respond(problemResponse({ status, mg_get_response_code_text(connection, status), message }));
        return 0;
    }

} // namespace

HttpServer::HttpServer(std::unique_ptr<State> running)
    : state(std::move(running))
{
}

HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer& HttpServer::operator=(HttpServer&&) noexcept = default;
HttpServer::~HttpServer() = default;

tl::expected<HttpServer, std::string> HttpServer::start(const HttpServerSettings& settings, HttpHandler handler)
{
    auto state = std::make_unique<State>(std::move(handler), settings.receiveTimeout);
    const auto threads = std::to_string(settings.threads);
    const auto headerSize = std::to_string(settings.maxHeaderSize);
    const auto timeout = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(settings.receiveTimeout).count());
    const std::array<const char*, 13> options {
        "listening_ports", settings.address.c_str(), "num_threads", threads.c_str(),
        "max_request_size", headerSize.c_str(), "request_timeout_ms", timeout.c_str(),
        "enable_keep_alive", "yes", "tcp_nodelay", "1", nullptr
    };
    mg_callbacks callbacks {};
    callbacks.begin_request = handleRequest<State>;
    callbacks.http_error = handleError<State>;
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    state->context = mg_start(&callbacks, state.get(), const_cast<const char**>(options.data()));
    if (!state->context)
        return tl::unexpected("cannot listen on " + settings.address);
    return HttpServer(std::move(state));
}

} // namespace goldcrestwood
