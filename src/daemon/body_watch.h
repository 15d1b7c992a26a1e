#pragma once

/// @file
/// Ends connections whose bodies come too slowly.

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Both ends of a connection.
struct ConnectionEnds {
    std::string remoteAddress; ///< Numeric.
    int remotePort = 0;
    int localPort = 0;

    bool operator==(const ConnectionEnds&) const = default;
};

/// Load pattern: clients send a byte of a body now and then. CivetWeb reads a body on its caller's thread, gives out no handle of the socket,
/// and renews the time of a read at each byte, so a read can only be ended from another thread, by shutting its connection down.
class BodyWatch {
public:
    /// @param readTimeout Longest time of one read.
    explicit BodyWatch(Duration readTimeout);
    BodyWatch(const BodyWatch&) = delete;
    BodyWatch& operator=(const BodyWatch&) = delete;
    ~BodyWatch();

    /// A read in progress. Its connection stays open while it lives.
    class Read {
    public:
        Read(BodyWatch& owner, ConnectionEnds connectionEnds);
        Read(const Read&) = delete;
        Read& operator=(const Read&) = delete;
        ~Read();

    private:
        friend class BodyWatch;

        BodyWatch& watch;
        ConnectionEnds ends;
        TimePoint began;
    };

private:
    void run();

    Duration timeout;
    std::mutex mutex;
    std::condition_variable wake;
    std::set<Read*> reads;
    bool isStopping = false;
    std::thread thread;
};

} // namespace goldcrestwood
