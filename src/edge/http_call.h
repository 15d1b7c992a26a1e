#pragma once

/// @file
/// One HTTP call on a kept connection, with a time limit; for the store and for control calls to upstreams.

#include <optional>
#include <string>

#include "edge/net.h"
#include "edge/upstream_pool.h"

namespace goldcrestwood {

/// A call as its maker sees it.
struct OutgoingCall {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    const char* contentType = nullptr;
    std::vector<std::pair<const char*, std::string>> headers;
};

/// An answer; its body is whole.
struct HttpAnswer {
    unsigned status = 0;
    http::fields fields;
    std::string body;
};

/// Makes calls to one address, one at a time. A call that fails closes the connection.
class HttpCaller {
public:
    HttpCaller(asio::any_io_executor executor, std::string address);

    /// @param limit For the whole call, connecting included.
    /// @return The answer, or nothing if there was none within the limit: the call may have been carried out.
    Task<std::optional<HttpAnswer>> call(const OutgoingCall& call, Duration limit);

    /// Ends a call in progress.
    void abort();

private:
    Task<std::optional<HttpAnswer>> attempt(const OutgoingCall& call, Duration limit);

    asio::any_io_executor executor;
    std::string address;
    ConnectionPtr connection;
};

} // namespace goldcrestwood
