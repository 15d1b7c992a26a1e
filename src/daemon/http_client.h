#pragma once

/// @file
/// HTTP client: every exchange has a deadline, and a failed connection is never used again.

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

/// How an exchange failed; tells whether the other side can have seen the request.
enum class HttpFailure {
    NotSent, ///< No connection: the request did not leave.
    NoAnswer, ///< The request may have taken effect.
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;

/// Calls @p address on a new connection.
/// @param timeout Bound on connecting and on each wait for data.
HttpResult httpCall(const std::string& address, const HttpCall& call, Duration timeout);

/// Receives a piece of a streamed answer; returns whether to go on.
using PieceHandler = std::function<bool(std::string_view)>;

/// How a streamed answer ended.
struct StreamEnd {
    /// Status of the answer; 0 where none came.
    int status = 0;
    /// Whether the stream ended by itself, and not by a timeout or a lost connection.
    bool complete = false;
    bool sent = false;
};

/// Calls @p address on a new connection and passes on the body of a 200 answer as it comes.
StreamEnd httpStream(const std::string& address, const HttpCall& call, Duration timeout, const PieceHandler& onPiece);

/// A connection that is kept between calls and replaced after any failure.
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
