#pragma once

/// @file
/// Pool of reusable connections to upstreams.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/net.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Connecting to a live upstream takes one or two milliseconds; TCP retries a dropped SYN only after seconds.
inline constexpr Duration upstreamConnectTimeout = std::chrono::milliseconds(200);

/// An HTTP connection that serves one request at a time.
struct UpstreamConnection {
    /// Bound on bytes read but not yet parsed: heads and chunk lines are far shorter, and bodies are consumed as they arrive.
    static constexpr std::size_t maxBufferBytes = 256U << 10U;

    UpstreamConnection(const asio::any_io_executor& executor, std::string target)
        : stream(executor)
        , address(std::move(target))
    {
    }

    /// Closes the connection and cancels all pending operations.
    void abort()
    {
        ErrorCode ignored;
        this->stream.socket().close(ignored);
    }

    /// @return Whether the peer has neither closed the connection nor sent unexpected bytes.
    bool isOpenAndQuiet();

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxBufferBytes };
    std::string address;
    /// The peer closes a connection that is idle for this long.
    Duration idleTimeout = std::chrono::seconds(4);
    TimePoint idleSince;
    std::uint64_t requests = 0; ///< Requests that were sent on it.
    std::uint64_t serial = 0; ///< Unique in a pool; for the log.
};

using ConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// Makes unacknowledged data and unanswered keep-alive probes end the connection.
/// @param timeout Silence after which the connection ends.
void setSilenceTimeout(tcp::socket& socket, Duration timeout);

/// Idle connections by address; the most recently used one is taken first.
class UpstreamPool {
public:
    explicit UpstreamPool(asio::any_io_executor executor);

    /// @return An idle connection, or null.
    ConnectionPtr takeIdle(const std::string& address, TimePoint now);

    /// @return A new connection that is not connected yet.
    ConnectionPtr create(const std::string& address);

    /// Keeps @p connection for reuse if it is open and has no unread bytes.
    void returnIdle(ConnectionPtr connection, TimePoint now);

    /// Closes the idle connections to @p address.
    void close(const std::string& address) { this->idle.erase(address); }

    /// Closes connections whose idle timeout is near.
    void sweep(TimePoint now);

private:
    asio::any_io_executor executor;
    std::map<std::string, std::vector<ConnectionPtr>> idle;
    std::uint64_t created = 0;
};

/// @return Whether the connection was established within @p timeout.
Task<bool> connect(UpstreamConnection& connection, Duration timeout);
/// @param error Set to the reason if not.
Task<bool> connect(UpstreamConnection& connection, Duration timeout, ErrorCode& error);

} // namespace goldcrestwood
