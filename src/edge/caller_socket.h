#pragma once

/// @file
/// What the system knows of a caller's connection: that it was closed, and since when bytes wait to be read.

#include <functional>
#include <memory>

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

} // namespace goldcrestwood
