#pragma once

/// @file
/// Which of the requests that wait for a place is next, which one waits in vain, and when a refused one should come back.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct AdmissionSettings {
    /// Time over which the rate of placements is measured: long against one placement, short against a burst of seconds.
    Duration rateWindow = std::chrono::seconds(1);
    /// No rate is believed that was measured over less: a few placements of a busy service.
    Duration leastRateWindow = std::chrono::milliseconds(250);
    /// A request is refused at once only if it would wait in vain at this multiple of the rate that was measured: whoever is
    /// refused wrongly has lost a try, and whoever waits may see a failure domain come back.
    double doubt = 2;
    /// When to come back if no rate is known; and the soonest at all, about the time that an answer takes.
    Duration defaultComeBack = std::chrono::milliseconds(300);
    /// Nobody is told to stay away for longer: what is known now says nothing of a later load.
    Duration longestComeBack = std::chrono::seconds(5);
    /// Returns are spread by this share, so that what daemons tell at the same moment does not come back at the same moment.
    double spread = 0.2;
    /// Whoever comes back by so much of the time that he was told sooner, has not waited for his turn.
    double earlyShare = 0.1;
    /// Callers that were told to come back and are remembered, at most; and for how long after their time.
    std::size_t mostExpected = 4096;
    Duration expectedLifetime = std::chrono::seconds(10);
};

/// A place within this share of the time that an answer has is mostly soon enough: reading and the first token take the rest.
inline constexpr double placeShare = 0.5;

/// @param from When the request came, or came back from an upstream that did not serve it.
/// @param end When its answer is late, or when nobody waits for it any more.
/// @return Until when a place is soon enough.
constexpr TimePoint placeNeededBy(TimePoint from, TimePoint end)
{
    return end <= from ? from : from + std::chrono::duration_cast<Duration>((end - from) * placeShare);
}

/// A request that waits for a place at one of a service's upstreams.
struct Waiter {
    std::uint64_t id = 0; ///< Of the waiting, unique in one queue.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint64_t caller = 0; ///< The same for a caller's request when it comes back; 0 if that cannot be told.
    TimePoint arrived;
    TimePoint onTimeUntil; ///< With a place by then the answer can still be on time.
    TimePoint lastUse; ///< A place later than that serves nobody.

    bool operator==(const Waiter&) const = default;
};

/// The queue of one service at one daemon.
///
/// Load pattern: for some seconds a third more requests come than can be served, in a burst or because a failure domain is
/// away, and later fewer. In order of arrival with a short patience nearly all are late or refused, and those refused come back
/// together into the same load. Here whoever can still be on time goes first, whoever is late waits for the capacity that comes
/// after the burst, and whoever waits in vain is refused at once and told a time of his own at the rate that is served.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionSettings queueSettings = {})
        : settings(queueSettings)
    {
    }

    /// @return Whether @p waiter goes before all that wait.
    bool isNext(const Waiter& waiter, TimePoint now) const;
    /// @return Whether @p waiter would most likely find no place before its last use.
    bool isHopeless(const Waiter& waiter, TimePoint now) const;
    void add(const Waiter& waiter, TimePoint now);
    /// The waiter has a place, or waits no more.
    void remove(std::uint64_t id, bool isPlaced, TimePoint now);
    /// @return Those that wait, the next one first.
    std::vector<std::uint64_t> order(TimePoint now) const;
    std::size_t size() const { return this->waiters.size(); }

    /// A request is refused. Each gets a time of its own, one placement after the one before.
    /// @return When its caller should come back.
    Duration refuse(const Waiter& waiter, TimePoint now, Random& random);

private:
    /// How waiters of a rank go: lower first.
    enum class Turn : std::uint8_t {
        OnTime,
        Returned, ///< Came back when it was told to; its answer is late, but it has no further try.
        Late,
        Early, ///< Came back too soon.
    };

    Turn turnOf(const Waiter& waiter, TimePoint now) const;
    bool goesBefore(const Waiter& left, const Waiter& right, TimePoint now) const;
    /// @return Placements a second of those that waited, if enough of them are known.
    std::optional<double> rate(TimePoint now) const;
    void forget(TimePoint now);

    /// What a caller was told.
    struct Expected {
        TimePoint told;
        TimePoint due;
    };

    AdmissionSettings settings;
    std::map<std::uint64_t, Waiter> waiters;
    std::deque<TimePoint> placements; ///< Of the last window.
    TimePoint waitingSince; ///< Since when somebody has waited without a break.
    TimePoint lastReturn; ///< The latest time that was given to a refused caller.
    std::map<std::uint64_t, Expected> expected; ///< By caller.
    std::deque<std::pair<TimePoint, std::uint64_t>> expectedOrder; ///< Due times and callers, the first told first.
};

} // namespace goldcrestwood
