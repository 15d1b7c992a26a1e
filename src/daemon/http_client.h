#pragma once

/// @file
/// HTTP client: every exchange has a deadline, and a failed connection is never reused.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/http_server.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct HttpCall {
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
};

/// How an exchange failed, and so whether the server may have received the request.
enum class HttpFailure {
    NotSent, ///< No connection: the request was not sent.
    NoAnswer, ///< No valid response; the request may have taken effect.
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;

/// Calls @p address on a new connection.
/// @param timeout Limit for connecting and for each wait for data.
HttpResult httpCall(const std::string& address, const HttpCall& call, Duration timeout);

/// Receives a chunk of a streamed response; returns whether to continue.
using ChunkHandler = std::function<bool(std::string_view)>;

/// How a streamed response ended.
struct StreamEnd {
    /// Status of the response; 0 if there was none.
    int status = 0;
    /// Whether the stream ended normally, rather than by a timeout or a lost connection.
    bool complete = false;
    bool sent = false;
};

/// Calls @p address on a new connection and passes the body of a 200 response to @p onChunk as it arrives.
StreamEnd httpStream(const std::string& address, const HttpCall& call, Duration timeout, const ChunkHandler& onChunk);

/// A keep-alive connection that is replaced after any failure.
class HttpConnection {
public:
    HttpConnection(std::string peerAddress, Duration exchangeTimeout);
    HttpConnection(HttpConnection&&) noexcept;
    ~HttpConnection();

    HttpResult call(const HttpCall& call);

private:
    struct State;
    std::string address;
    Duration timeout;
    std::unique_ptr<State> state;
};

/// @return The host and port of `IP:PORT`.
std::pair<std::string, std::uint16_t> splitAddress(const std::string& address);

} // namespace goldcrestwood
