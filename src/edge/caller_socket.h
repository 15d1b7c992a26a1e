#pragma once

/// @file
/// What the system knows of a caller's connection: that it was closed, and since when bytes wait to be read.

#include <functional>
#include <memory>
#include <optional>

#include "edge/net.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// @return Whether the peer has closed or reset the connection, also if bytes that were not read yet come before the close.
bool isClosedByPeer(tcp::socket& socket);

/// @return How long ago the newest bytes of the peer arrived, whether or not they were read yet; zero if the system does not tell.
Duration ageOfNewestBytes(tcp::socket& socket);

/// Calls back when the caller closes the connection while its request is served.
class CloseWatch {
public:
    CloseWatch(tcp::socket& socket, std::function<void()> onClose);
    CloseWatch(const CloseWatch&) = delete;
    CloseWatch& operator=(const CloseWatch&) = delete;
    ~CloseWatch();

private:
    void check();
    void waitForBytes();
    void waitBehindBytes();

    tcp::socket& watched;
    std::function<void()> action;
    asio::steady_timer timer;
    std::shared_ptr<bool> isOver = std::make_shared<bool>(false);
};

/// Cancels the operations of a socket when their time is over. Moving the end further away, as each read does, costs no timer operation.
class SocketDeadline {
public:
    explicit SocketDeadline(tcp::socket& socket);
    SocketDeadline(const SocketDeadline&) = delete;
    SocketDeadline& operator=(const SocketDeadline&) = delete;
    ~SocketDeadline();

    void expiresAfter(Duration timeout);
    void expiresNever() { this->end.reset(); }
    /// @return Whether the time that was set last is over.
    bool hasPassed() const { return this->isPassed; }

private:
    void wait(TimePoint until);

    tcp::socket& watched;
    asio::steady_timer timer;
    std::optional<TimePoint> end;
    std::optional<TimePoint> firesAt; ///< Set while the timer runs; not after the end.
    bool isPassed = false;
    std::shared_ptr<bool> isOver = std::make_shared<bool>(false);
};

} // namespace goldcrestwood
