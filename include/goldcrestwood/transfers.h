#pragma once

/// @file
/// Divides the bandwidth of a store's link among daemons and schedules the transfers of one daemon on it.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/router.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Purpose of a transfer, in order of priority.
enum class TransferClass : std::uint8_t {
    FirstToken, ///< A request is waiting for the blocks.
    Prefetch, ///< A prompt is expected to return.
    Export, ///< Blocks are saved for later use.
};

constexpr std::size_t transferClassCount = 3;

/// Identifies a transfer within one daemon.
struct TransferId {
    std::uint64_t value = 0;

    auto operator<=>(const TransferId&) const = default;
};

/// A transfer of blocks between an engine and a store.
struct Transfer {
    TransferId id;
    UpstreamId store;
    TransferClass kind = TransferClass::FirstToken;
    std::uint64_t bytes = 0;
    /// The transfer is useless if it completes later.
    TimePoint deadline;

    bool operator==(const Transfer&) const = default;
};

/// Start the transfer now.
struct StartTransfer {
    TransferId id;
    bool operator==(const StartTransfer&) const = default;
};

/// Abandon the transfer: it cannot meet its deadline, its queue is full, or its link was removed.
struct DropTransfer {
    TransferId id;
    bool operator==(const DropTransfer&) const = default;
};

/// Actions that the daemon has to carry out.
struct TransferActions {
    std::vector<StartTransfer> start;
    std::vector<DropTransfer> drop;

    bool operator==(const TransferActions&) const = default;
};

struct TransferSettings {
    /// Share of a link that is reserved as a minimum rate, divided evenly among the daemons.
    double floorShare = 0.1;
    /// Validity of a grant.
    Duration grantLifetime = std::chrono::seconds(3);
    /// Time constant of the demand average.
    Duration demandWindow = std::chrono::seconds(2);
    /// Largest burst of a daemon, as time at the full capacity of the link.
    Duration burst = std::chrono::seconds(4);
    /// Maximum number of queued transfers per link and class.
    std::size_t maxWaiting = 256;
    /// Factor by which a grant may exceed the demand, so that growing demand becomes visible.
    double headroom = 1.25;
    /// Maximum number of concurrent prefetches and exports of a daemon on a link.
    std::size_t maxRunningBackground = 1;
    /// Weight of a new observation in the moving average of a link's speed.
    double learningWeight = 0.05;
    /// Validity of an observed speed.
    Duration observationLifetime = std::chrono::seconds(30);
    /// Share of a link's capacity that is assumed as the speed of a transfer without a grant.
    double ungrantedSpeedShare = 0.25;
};

/// Transfers of one class since startup.
struct TransferCounts {
    std::uint64_t started = 0;
    std::uint64_t startedBytes = 0;
    std::uint64_t dropped = 0;
    std::uint64_t droppedBytes = 0;

    bool operator==(const TransferCounts&) const = default;
};

/// Fits transfer times of a link as a fixed delay plus bytes / speed, weighted towards recent observations.
class LinkFit {
public:
    /// @param weight Weight of this observation against all earlier ones, 0 to 1.
    void add(double bytes, double seconds, double weight);

    bool empty() const { return this->meanBytes == 0; }
    /// @return Bytes per second after the initial delay, at most @p capacity.
    double speed(double capacity) const;
    /// @return Seconds before the first byte arrives.
    double delay(double capacity) const;

private:
    double meanBytes = 0;
    double meanSeconds = 0;
    double meanSquare = 0;
    double meanProduct = 0;
};

/// Used by the owner of a link: divides its capacity by demand, in class order and max-min fairly within a class.
class LinkBroker {
public:
    /// @param linkCapacity Bytes per second of the link.
    /// @param daemons Number of daemons that may use it; the floor is divided among them.
    /// @param start Time when all grants of an earlier owner have expired.
    LinkBroker(const TransferSettings& initialSettings, double linkCapacity, std::size_t daemons, TimePoint start);

    /// Updates the demand of a daemon.
    /// @return Its share; only the floor while grants of an earlier owner may still be valid.
    LinkShare demand(const InstanceId& daemon, const LinkDemand& demand, TimePoint now);

    /// @return Sum of all valid grants in bytes per second, including the floors.
    double granted(TimePoint now) const;

private:
    using ClassBytes = std::array<double, transferClassCount>;

    struct HeldShare {
        double bytesPerSecond = 0;
        TimePoint until;
    };

    struct Grant {
        ClassBytes demand {};
        /// Unexpired shares; the daemon may still use a larger one if the message with a later one was lost.
        std::vector<HeldShare> held;

        double activeRate(TimePoint now) const;
        void add(const HeldShare& share);
    };

    void dropExpired(TimePoint now);
    double fairShare(const InstanceId& daemon, double left) const;
    double totalDemand() const;

    TransferSettings settings;
    double capacity;
    double floor;
    std::size_t daemonCount;
    TimePoint startsAt;
    std::map<InstanceId, Grant> grants;
};

/// Schedules the transfers of one daemon on all links.
class TransferQueue {
public:
    explicit TransferQueue(const TransferSettings& initialSettings = {});

    /// Adds or updates a link.
    /// @param capacity Bytes per second of the link.
    /// @param daemons Number of daemons that may use it.
    void setLink(const UpstreamId& store, double capacity, std::size_t daemons, TimePoint now);

    /// Removes a link and drops its queued transfers.
    TransferActions removeLink(const UpstreamId& store);

    /// Applies a grant of the link's owner.
    void grant(const LinkShare& share, TimePoint now);

    /// Queues a transfer; it is dropped at once if it cannot meet its deadline.
    TransferActions submit(const Transfer& transfer, TimePoint now);

    /// Starts transfers within the allowance and drops those that cannot meet their deadlines. Call it every few
    /// milliseconds while transfers are queued, or at `nextStart`.
    TransferActions tick(TimePoint now);

    /// Ends a transfer that completed, failed or was cancelled.
    /// @param movedBytes Bytes that were sent over the link.
    void finish(TransferId id, std::uint64_t movedBytes, TimePoint now);

    /// @return Speed and backlog of the link, for the router's cost estimate of an import from @p store.
    LinkEstimate estimate(const UpstreamId& store, TimePoint now) const;

    /// @return The demand to report to the link's owner.
    LinkDemand demand(const UpstreamId& store, TimePoint now) const;

    /// @return Counts of one class, summed over all links.
    const TransferCounts& counts(TransferClass kind) const { return this->total[static_cast<std::size_t>(kind)]; }

    /// @return When `tick` may start a transfer, if any is queued.
    std::optional<TimePoint> nextStart(TimePoint now) const;

private:
    struct Link {
        double capacity = 0;
        double floor = 0;
        LinkShare share;
        TimePoint shareUntil;
        /// Token bucket in bytes; negative after a large transfer started.
        double allowance = 0;
        TimePoint refilledAt;
        /// Fit over recent first-token transfers.
        LinkFit observed;
        TimePoint observedAt;
        std::size_t runningBackground = 0;
        std::array<std::vector<Transfer>, transferClassCount> waiting;
        std::array<double, transferClassCount> demand {};
        TimePoint demandAt;
    };

    struct Running {
        UpstreamId store;
        TransferClass kind = TransferClass::FirstToken;
        std::uint64_t bytes = 0;
        TimePoint startedAt;
    };

    static double rate(const Link& link, TimePoint now);
    double speed(const Link& link, TimePoint now) const;
    double delay(const Link& link, TimePoint now) const;
    bool isObserved(const Link& link, TimePoint now) const;
    double allowance(const Link& link, TimePoint now) const;
    double decay(const Link& link, TimePoint now) const;
    bool meetsDeadline(const Link& link, const Transfer& transfer, double bytesAhead, TimePoint now) const;
    bool mayStart(const Link& link, const Transfer& transfer) const;
    void observeSpeed(Link& link, const Running& transfer, TimePoint now) const;
    void startAllowed(Link& link, TimePoint now, TransferActions& actions);
    void dropInfeasible(Link& link, TimePoint now, TransferActions& actions);
    void drop(const Transfer& transfer, TransferActions& actions);

    TransferSettings settings;
    std::unordered_map<UpstreamId, Link> links;
    std::map<TransferId, Running> running;
    std::array<TransferCounts, transferClassCount> total {};
};

} // namespace goldcrestwood
