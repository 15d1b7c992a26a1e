#include "edge/upstream_pool.h"

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace goldcrestwood {

namespace {

    /// An idle connection is dropped this long before the peer would close it.
    constexpr Duration idleMargin = std::chrono::milliseconds(700);
    /// Silence after which a connection to an upstream ends; longer than any delay on a healthy link.
    constexpr Duration upstreamSilenceTimeout = std::chrono::milliseconds(1000);

} // namespace

bool UpstreamConnection::isOpenAndQuiet()
{
    char byte = 0;
    const auto received = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return this->buffer.size() == 0 && received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void setSilenceTimeout(tcp::socket& socket, Duration timeout)
{
    const int handle = socket.native_handle();
    const auto set = [&](int level, int option, int value) {
        // Errors are ignored: the request's timeout then detects a dead peer later.
        static_cast<void>(::setsockopt(handle, level, option, &value, sizeof(value)));
    };
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count() / 1000));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, 1);
    set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set(IPPROTO_TCP, TCP_KEEPCNT, 2);
    set(IPPROTO_TCP, TCP_NODELAY, 1);
}

UpstreamPool::UpstreamPool(asio::any_io_executor loop)
    : executor(std::move(loop))
{
}

ConnectionPtr UpstreamPool::takeIdle(const std::string& address, TimePoint now)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now - connection->idleSince < connection->idleTimeout - idleMargin && connection->isOpenAndQuiet())
            return connection;
    }
    return nullptr;
}

ConnectionPtr UpstreamPool::create(const std::string& address)
{
    auto connection = std::make_unique<UpstreamConnection>(this->executor, address);
    connection->serial = ++this->created;
    return connection;
}

void UpstreamPool::returnIdle(ConnectionPtr connection, TimePoint now)
{
    if (connection->buffer.size() > 0 || !connection->stream.socket().is_open())
        return;
    connection->idleSince = now;
    connection->stream.expires_never();
    this->idle[connection->address].push_back(std::move(connection));
}

void UpstreamPool::sweep(TimePoint now)
{
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second, [&](const auto& connection) { return now - connection->idleSince >= connection->idleTimeout - idleMargin; });
        entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

Task<bool> connect(UpstreamConnection& connection, Duration timeout)
{
    ErrorCode error;
    co_return co_await connect(connection, timeout, error);
}

Task<bool> connect(UpstreamConnection& connection, Duration timeout, ErrorCode& error)
{
    const auto endpoint = parseEndpoint(connection.address);
    if (!endpoint) {
        error = asio::error::invalid_argument;
        co_return false;
    }
    connection.stream.expires_after(timeout);
    co_await connection.stream.async_connect(*endpoint, into(error));
    connection.stream.expires_never();
    if (error)
        co_return false;
    setSilenceTimeout(connection.stream.socket(), upstreamSilenceTimeout);
    co_return true;
}

} // namespace goldcrestwood
