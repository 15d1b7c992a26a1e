#pragma once

/// @file
/// Phases of a graceful shutdown that aborts no request.

#include <optional>
#include <variant>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct ShutdownSettings {
    /// How long callers cache a resolver answer; the same as the resolver's setting.
    Duration answerLifetime = std::chrono::seconds(5);
    /// Time until every peer knows that this daemon is leaving.
    Duration gossipDelay = std::chrono::seconds(3);
    /// No new request may arrive for this long before the daemon stops accepting.
    Duration quietPeriod = std::chrono::seconds(1);
    /// Maximum time by which late requests postpone the end of accepting beyond lifetime and delay.
    Duration maxLateRequestTime = std::chrono::seconds(10);
    /// Maximum wait for the hand-over.
    Duration handOverTimeout = std::chrono::seconds(5);
    /// Maximum wait for streams to end; then they get an error event with a resume ticket.
    Duration streamTimeout = std::chrono::minutes(10);
    /// Maximum wait for those error events to be sent.
    Duration errorEventTimeout = std::chrono::seconds(2);
};

enum class ShutdownPhase : std::uint8_t {
    Running,
    Announced, ///< No longer named to callers; still accepts requests.
    Draining, ///< Accepts no requests; open ones finish.
    Cutting, ///< The stream limit has passed; remaining streams get an error event.
    Ended,
};

const char* toString(ShutdownPhase phase);

struct ShutdownAction {
    enum class Kind : std::uint8_t {
        AnnounceLeaving, ///< Notify peers, leave resolver answers and report not ready.
        HandOver, ///< Release the lease, permits and owned shards, then call onHandedOver().
        StopAccepting, ///< Close the listening socket for callers.
        CutStreams, ///< End each stream with an error event and a resume ticket.
        AnnounceLeft, ///< Notify peers that this daemon has stopped.
        Exit, ///< End the process with the exit code.
    };
    Kind kind = Kind::Exit;
    int exitCode = 0; ///< For Kind::Exit.

    bool operator==(const ShutdownAction&) const = default;
};

/// Load of the daemon at the time of a poll.
struct ShutdownView {
    std::size_t openRequests = 0; ///< Requests and streams in flight.
    std::optional<TimePoint> lastRequestStart; ///< When a caller last started a request.
};

/// State machine of a graceful shutdown. A second signal ends the process at once with exit code 1.
class Shutdown {
public:
    explicit Shutdown(ShutdownSettings settings);

    /// This daemon became ready, so resolver answers may name it.
    void onReady(TimePoint now);
    /// SIGTERM or SIGINT arrived.
    std::vector<ShutdownAction> onSignal(TimePoint now);
    /// The hand-over is done.
    void onHandedOver(TimePoint now);
    /// Advances the phase; call a few times a second once stopping.
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

    bool mayStopAccepting(const ShutdownView& view, TimePoint now) const;
    bool handOverSettled(TimePoint now) const;
};

} // namespace goldcrestwood
