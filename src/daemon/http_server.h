#pragma once

/// @file
/// HTTP server: bounded requests, whole or streamed answers, problem answers.

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

/// Whether the work that a caller asked for took effect.
enum class Executed {
    No,
    Unknown,
    Yes,
};

/// An error for a caller.
struct Problem {
    int status = 500;
    std::string title;
    std::string detail;
    Executed executed = Executed::No;
    /// When to ask again; zero where that does not help.
    Duration retryAfter = Duration(0);

    bool operator==(const Problem&) const = default;
};

/// @return @p problem as an `application/problem+json` answer.
HttpResponse problemResponse(const Problem& problem);

/// One request and the connection to answer it on.
class HttpExchange {
public:
    explicit HttpExchange(mg_connection* peer);

    std::string_view method() const;
    std::string_view path() const;
    /// @return The value of a query parameter, or an empty text.
    std::string query(const char* name) const;
    /// @return The value of a header, or an empty text.
    std::string_view header(const char* name) const;

    /// Reads the whole body.
    /// @param limit Largest size in bytes.
    /// @return The body, or 413 when it is larger and 400 when the caller stopped sending.
    tl::expected<std::string, Problem> readBody(std::uint64_t limit);

    void respond(const HttpResponse& response);
    /// Begins a chunked answer of server-sent events.
    void beginEvents();
    /// @return Whether the caller still takes data.
    bool writeChunk(std::string_view text);
    void endEvents();

    /// @return The status that was sent; 0 before an answer.
    int sentStatus() const { return this->status; }

private:
    mg_connection* connection;
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
