#pragma once

/// @file
/// HTTP calls with a timeout on a persistent connection, for the store and for control calls to upstreams.

#include <optional>
#include <string>

#include "edge/net.h"
#include "edge/upstream_pool.h"

namespace goldcrestwood {

/// Request of an HTTP call.
struct OutgoingCall {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    const char* contentType = nullptr;
    std::vector<std::pair<const char*, std::string>> headers;
};

/// Complete answer of an HTTP call.
struct HttpAnswer {
    unsigned status = 0;
    http::fields fields;
    std::string body;
};

/// Makes calls to one address, one at a time. A call that fails closes the connection.
class HttpCaller {
public:
    HttpCaller(asio::any_io_executor executor, std::string address);

    /// @param timeout Limit for the whole call, including connecting.
    /// @return The answer, or nothing on failure or timeout; the call may have been executed even then.
    Task<std::optional<HttpAnswer>> call(const OutgoingCall& call, Duration timeout);

    /// Aborts a call in progress.
    void abort();

private:
    Task<std::optional<HttpAnswer>> attempt(const OutgoingCall& call, Duration timeout);

    asio::any_io_executor executor;
    std::string address;
    ConnectionPtr connection;
};

} // namespace goldcrestwood
