#include "daemon/body_watch.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <utility>

#include <netdb.h>
#include <sys/socket.h>

#include "daemon/clock.h"
#include "daemon/json_log.h"

namespace goldcrestwood {

namespace {

    using NameGetter = int (*)(int, sockaddr*, socklen_t*);

    /// @param getName Gets the address of one end of a socket.
    /// @return The address and port, or nothing if the descriptor is no connected socket.
    std::optional<std::pair<std::string, int>> endOf(int descriptor, NameGetter getName)
    {
        sockaddr_storage address {};
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        if (getName(descriptor, generic, &size) != 0)
            return std::nullopt;
        std::array<char, NI_MAXHOST> host {};
        std::array<char, NI_MAXSERV> port {};
        if (::getnameinfo(generic, size, host.data(), host.size(), port.data(), port.size(), NI_NUMERICHOST | NI_NUMERICSERV) != 0)
            return std::nullopt;
        return std::pair(std::string(host.data()), std::atoi(port.data()));
    }

    /// @return The descriptor of the connection, or nothing if the process has none.
    std::optional<int> findSocket(const ConnectionEnds& ends)
    {
        std::error_code ignored;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
            const int descriptor = std::atoi(entry.path().filename().c_str());
            const auto remote = endOf(descriptor, &::getpeername);
            if (!remote || *remote != std::pair(ends.remoteAddress, ends.remotePort))
                continue;
            if (const auto local = endOf(descriptor, &::getsockname); local && local->second == ends.localPort)
                return descriptor;
        }
        return std::nullopt;
    }

} // namespace

BodyWatch::Read::Read(BodyWatch& owner, ConnectionEnds connectionEnds)
    : watch(owner)
    , ends(std::move(connectionEnds))
    , began(monotonicNow())
{
    const std::lock_guard lock(this->watch.mutex);
    this->watch.reads.insert(this);
}

BodyWatch::Read::~Read()
{
    const std::lock_guard lock(this->watch.mutex);
    this->watch.reads.erase(this);
}

BodyWatch::BodyWatch(Duration readTimeout)
    : timeout(readTimeout)
    , thread([this] { this->run(); })
{
}

BodyWatch::~BodyWatch()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
    }
    this->wake.notify_all();
    this->thread.join();
}

void BodyWatch::run()
{
    constexpr int checksPerTimeout = 4;
    std::unique_lock lock(this->mutex);
    while (!this->wake.wait_for(lock, this->timeout / checksPerTimeout, [this] { return this->isStopping; })) {
        const auto now = monotonicNow();
        for (auto* read : this->reads) {
            if (now - read->began < this->timeout)
                continue;
            // The reader needs the lock to go on, so the descriptor cannot be closed and reused meanwhile.
            if (const auto descriptor = findSocket(read->ends)) {
                ::shutdown(*descriptor, SHUT_RDWR);
                logEvent("body_too_slow", { { "caller", read->ends.remoteAddress } });
            }
            // Not again before it ends.
            read->began = now;
        }
    }
}

} // namespace goldcrestwood
