#pragma once

/// @file
/// Decides when and how much a daemon sends to upstreams outside its own failure domain.

#include <algorithm>
#include <cstdint>
#include <optional>

#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Why a request leaves its failure domain.
enum class LeaveReason : std::uint8_t {
    None, ///< It stays, or its service does not distinguish domains.
    NoneUsable, ///< No upstream of the own domain can take it: all are gone, excluded, tried or avoided.
    Cached, ///< Much of its prompt is cached elsewhere, and reading it again takes longer than the crossing.
    Shortage, ///< The expected wait elsewhere is shorter by more than the crossing costs; bounded by the daemon's share.
};

/// @return The name of @p reason in logs and metrics; empty for None.
const char* toString(LeaveReason reason);

/// Expected waits of a request at the best upstream of each side, milliseconds.
struct DomainWaits {
    bool hasUsableLocal = true; ///< Whether an upstream of the own domain could take the request if it had capacity.
    std::optional<double> localMs; ///< Nothing if all local upstreams are at capacity.
    std::optional<double> elsewhereMs; ///< Without the crossing; nothing if no upstream elsewhere takes the request.
    double crossingMs = 0; ///< Delay of the crossing, and the price of its bytes.
    double savedReadMs = 0; ///< Reading and transfer time that the cache elsewhere saves, compared with the local one.

    bool operator==(const DomainWaits&) const = default;
};

/// @return Why the request should leave, or None. With Shortage it may leave only within the daemon's share.
LeaveReason leaveReason(const DomainWaits& waits);

/// @param limitMs Wait up to which the upstream may be filled.
/// @param waitMs Its expected wait now.
/// @param requestMs By how much one request increases it.
/// @param freeRequests Requests for which it has slots and memory.
/// @return Requests that can be added at an upstream before its wait reaches the limit.
double roomAt(double limitMs, double waitMs, double requestMs, double freeRequests);

/// One daemon's share of the room elsewhere.
///
/// All daemons of a domain see the same room, and see what the others sent there only after a load report. Within the time that
/// a report takes each therefore sends at most its share, so that together they do not exceed the room.
class OverflowShare {
public:
    /// @param share Requests that this daemon may send until the others' requests are known.
    /// @return Whether a request may leave now.
    bool mayLeave(double share, Random& random, TimePoint now);

    /// Records a request that left.
    void onSent() { this->credit -= 1; }

private:
    double credit = 0; ///< Requests that may leave.
    std::optional<TimePoint> updated;
};

/// Moving minimum of the connect times to one failure domain: the link without the load of the machines at its ends.
class LinkDelay {
public:
    void onConnected(Duration time, TimePoint now);

    /// @return The shortest connect time of the last seconds in milliseconds, or nothing.
    std::optional<double> ms(TimePoint now) const;

private:
    struct Period {
        TimePoint began;
        std::optional<Duration> shortest;
    };
    Period current;
    Period before;
};

} // namespace goldcrestwood
