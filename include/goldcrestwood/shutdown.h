#pragma once

/// @file
/// Steps of a planned stop that cuts no request.

#include <optional>
#include <variant>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct ShutdownSettings {
    /// How long callers keep an answer; the same as the resolver's.
    Duration answerLifetime = std::chrono::seconds(5);
    /// Time until each peer knows that this daemon leaves.
    Duration gossipDelay = std::chrono::seconds(3);
    /// New requests must have stopped coming for this long before the door closes.
    Duration quietPeriod = std::chrono::seconds(1);
    /// Longest time that late requests keep the door open beyond lifetime and delay.
    Duration lateRequestLimit = std::chrono::seconds(10);
    /// Longest wait for the hand-over.
    Duration handOverLimit = std::chrono::seconds(5);
    /// Longest wait for streams to end; then they get an error event with a ticket.
    Duration streamLimit = std::chrono::minutes(10);
    /// Time for those error events to leave.
    Duration errorEventLimit = std::chrono::seconds(2);
};

enum class ShutdownPhase : std::uint8_t {
    Running,
    Announced, ///< Named to no caller; still accepts.
    Draining, ///< Accepts nothing; streams end.
    Cutting, ///< The limit passed; remaining streams get an error event.
    Ended,
};

/// @return The name of @p phase.
const char* toString(ShutdownPhase phase);

struct ShutdownAction {
    enum class Kind : std::uint8_t {
        AnnounceLeaving, ///< Tell peers, and leave resolver answers and readiness.
        HandOver, ///< Release the lease, permits, owned shards; report onHandedOver().
        StopAccepting, ///< Close the listening socket for callers.
        CutStreams, ///< End each stream by an error event with a resume ticket.
        AnnounceLeft, ///< Tell peers that this daemon has ended.
        Exit, ///< End the process with the code.
    };
    Kind kind = Kind::Exit;
    int exitCode = 0; ///< Of Exit.

    bool operator==(const ShutdownAction&) const = default;
};

/// What the daemon is doing at the time of a poll.
struct ShutdownView {
    std::size_t openRequests = 0; ///< Requests and streams under way.
    std::optional<TimePoint> lastRequestStart; ///< When a caller last began a request.
};

/// A second signal ends at once with exit code 1.
class Shutdown {
public:
    explicit Shutdown(ShutdownSettings settings);

    /// This daemon became ready, so that answers may name it.
    void onReady(TimePoint now);
    /// SIGTERM or SIGINT came.
    std::vector<ShutdownAction> onSignal(TimePoint now);
    /// The hand-over is done.
    void onHandedOver(TimePoint now);
    /// Moves the steps on; call a few times a second once stopping.
    std::vector<ShutdownAction> poll(const ShutdownView& view, TimePoint now);

    ShutdownPhase phase() const { return this->step; }
    /// @return Whether requests of callers are accepted.
    bool acceptsWork() const { return this->step == ShutdownPhase::Running || this->step == ShutdownPhase::Announced; }

private:
    ShutdownSettings settings;
    ShutdownPhase step = ShutdownPhase::Running;
    bool wasReady = false;
    bool handedOver = false;
    TimePoint announcedAt {};
    TimePoint drainingSince {};
    TimePoint cuttingSince {};

    bool mayClose(const ShutdownView& view, TimePoint now) const;
    bool handOverSettled(TimePoint now) const;
};

} // namespace goldcrestwood
