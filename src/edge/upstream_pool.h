#pragma once

/// @file
/// Connections to upstreams, kept and used again.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/net.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// An HTTP connection that serves one request at a time.
struct UpstreamConnection {
    /// Bytes read and not yet understood: heads and chunk lines are far shorter, bodies are taken out as they come.
    static constexpr std::size_t largestBuffer = 256U << 10U;

    UpstreamConnection(const asio::any_io_executor& executor, std::string target)
        : stream(executor)
        , address(std::move(target))
    {
    }

    /// Ends whatever waits on the connection; it cannot be used again.
    void abort()
    {
        ErrorCode ignored;
        this->stream.socket().close(ignored);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { largestBuffer };
    std::string address;
    /// An idle connection is not used after this time.
    Duration idleLimit = std::chrono::seconds(4);
    TimePoint idleSince;
    bool wasUsed = false;
};

using ConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// Sets what makes a silent peer show: unacknowledged data and unanswered probes end the connection.
/// @param limit Silence after which the connection ends.
void limitSilence(tcp::socket& socket, Duration limit);

/// @return The endpoint in IP:PORT, or nothing.
std::optional<tcp::endpoint> parseEndpoint(const std::string& address);

/// Idle connections by address, the last used first.
class UpstreamPool {
public:
    explicit UpstreamPool(asio::any_io_executor executor);

    /// @return An idle connection, or null.
    ConnectionPtr takeIdle(const std::string& address, TimePoint now);

    /// @return A new connection that is not connected yet.
    ConnectionPtr create(const std::string& address);

    /// Keeps @p connection for the next request if it is clean.
    void giveBack(ConnectionPtr connection, TimePoint now);

    /// Closes the idle connections to @p address.
    void close(const std::string& address) { this->idle.erase(address); }

    /// Closes connections that have been idle for too long.
    void sweep(TimePoint now);

private:
    asio::any_io_executor executor;
    std::map<std::string, std::vector<ConnectionPtr>> idle;
};

/// Connects within @p limit.
Task<bool> connect(UpstreamConnection& connection, Duration limit);

} // namespace goldcrestwood
