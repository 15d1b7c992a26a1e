#pragma once

/// @file
/// HTTP server with bounded requests, buffered or streamed responses, and problem responses.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrestwood/error.h"
#include "goldcrestwood/time.h"

struct mg_connection;

namespace goldcrestwood {

class BodyWatch;

struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader&) const = default;
};

struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;

    bool operator==(const HttpResponse&) const = default;
};

/// Whether the requested work took effect.
enum class Executed {
    No,
    Unknown,
    Yes,
};

/// An error response to a caller.
struct Problem {
    int status = 500;
    std::string title;
    std::string detail;
    Executed executed = Executed::No;
    /// Delay before a retry; zero if a retry does not help.
    Duration retryAfter = Duration(0);

    bool operator==(const Problem&) const = default;
};

/// @return @p problem as an `application/problem+json` response.
HttpResponse problemResponse(const Problem& problem);

/// One request and the connection for its response.
class HttpExchange {
public:
    HttpExchange(mg_connection* peer, BodyWatch& watch);

    std::string_view method() const;
    std::string_view path() const;
    /// @return The value of a query parameter, or an empty string.
    std::string query(const char* name) const;
    /// @return The value of a header, or an empty string.
    std::string_view header(const char* name) const;

    /// Reads the whole body.
    /// @param limit Maximum size in bytes.
    /// @return The body, 413 if it exceeds the limit, or 400 if the caller stopped sending or sends less than 4 KiB within the receive timeout.
    tl::expected<std::string, Problem> readBody(std::uint64_t limit);

    void respond(const HttpResponse& response);
    /// Begins a chunked response of server-sent events.
    void beginEvents();
    /// @return Whether the chunk was sent; false if the caller has disconnected.
    bool writeChunk(std::string_view text);
    void endEvents();

    /// @return The status that was sent, or 0 before the response.
    int sentStatus() const { return this->status; }

private:
    /// Ends the connection after the response if a part of the request's body was not read.
    void begin(int responseStatus);

    mg_connection* connection;
    BodyWatch& bodyWatch;
    bool hasUnreadBody = false;
    int status = 0;
};

using HttpHandler = std::function<void(HttpExchange&)>;

struct HttpServerSettings {
    std::string address;
    std::uint32_t threads = 8;
    std::uint64_t maxHeaderSize = 16384;
    Duration receiveTimeout = std::chrono::seconds(10);
};

/// A listening server; stops and joins its threads when destroyed.
class HttpServer {
public:
    /// @param handler Called from several threads.
    /// @return The server, or why it cannot listen.
    static tl::expected<HttpServer, std::string> start(const HttpServerSettings& settings, HttpHandler handler);

    HttpServer(HttpServer&&) noexcept;
    HttpServer& operator=(HttpServer&&) noexcept;
    ~HttpServer();

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> running);

    std::unique_ptr<State> state;
};

} // namespace goldcrestwood
