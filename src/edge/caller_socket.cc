#include "edge/caller_socket.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "daemon/clock.h"

namespace goldcrestwood {

namespace {

    /// Bytes that wait behind a request keep the socket readable, so that a close behind them is only found by looking again.
    constexpr Duration closeCheckInterval = std::chrono::milliseconds(100);

} // namespace

bool isClosedByPeer(tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0)
        return true;
    if (received < 0)
        return errno != EAGAIN && errno != EWOULDBLOCK;
    pollfd state { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0;
}

Duration ageOfNewestBytes(tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return Duration(0);
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

CloseWatch::CloseWatch(tcp::socket& socket, std::function<void()> onClose)
    : watched(socket)
    , action(std::move(onClose))
    , timer(socket.get_executor())
{
    this->waitForBytes();
}

CloseWatch::~CloseWatch()
{
    *this->isOver = true;
    ErrorCode ignored;
    this->watched.cancel(ignored);
}

void CloseWatch::check()
{
    if (isClosedByPeer(this->watched))
        this->action();
    else if (ErrorCode error; this->watched.available(error) > 0)
        this->waitBehindBytes();
    else
        this->waitForBytes();
}

void CloseWatch::waitForBytes()
{
    this->watched.async_wait(tcp::socket::wait_read, [this, over = this->isOver](ErrorCode error) {
        if (!*over && !error)
            this->check();
    });
}

void CloseWatch::waitBehindBytes()
{
    this->timer.expires_after(closeCheckInterval);
    this->timer.async_wait([this, over = this->isOver](ErrorCode error) {
        if (!*over && !error)
            this->check();
    });
}

SocketDeadline::SocketDeadline(tcp::socket& socket)
    : watched(socket)
    , timer(socket.get_executor())
{
}

SocketDeadline::~SocketDeadline()
{
    *this->isOver = true;
}

void SocketDeadline::expiresAfter(Duration timeout)
{
    this->isPassed = false;
    this->end = monotonicNow() + timeout;
    if (!this->firesAt || *this->end < *this->firesAt)
        this->wait(*this->end);
}

void SocketDeadline::wait(TimePoint until)
{
    this->firesAt = until;
    this->timer.expires_at(until);
    this->timer.async_wait([this, over = this->isOver](ErrorCode error) {
        if (*over || error)
            return;
        this->firesAt.reset();
        if (!this->end)
            return;
        if (monotonicNow() < *this->end)
            return this->wait(*this->end);
        this->isPassed = true;
        ErrorCode ignored;
        this->watched.cancel(ignored);
    });
}

} // namespace goldcrestwood
