#pragma once

/// @file
/// Shares a store's limited link among daemons and orders one daemon's transfers on it.

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

/// What a transfer is for; earlier classes go first.
enum class TransferClass : std::uint8_t {
    FirstToken, ///< A request waits for it.
    Prefetch, ///< A prompt is due to return.
    Export, ///< Blocks are kept for later.
};

constexpr std::size_t transferClasses = 3;

/// Identifies a transfer within a daemon.
struct TransferId {
    std::uint64_t value = 0;

    auto operator<=>(const TransferId&) const = default;
};

/// A move of blocks between an engine and a store.
struct Transfer {
    TransferId id;
    UpstreamId store;
    TransferClass kind = TransferClass::FirstToken;
    std::uint64_t bytes = 0;
    /// After this it is of no use.
    TimePoint deadline;

    bool operator==(const Transfer&) const = default;
};

/// Start the transfer now.
struct StartTransfer {
    TransferId id;
    bool operator==(const StartTransfer&) const = default;
};

/// Give the transfer up: it can't arrive in time, or the queue is full.
struct DropTransfer {
    TransferId id;
    bool operator==(const DropTransfer&) const = default;
};

/// What the daemon has to do with its transfers.
struct TransferActions {
    std::vector<StartTransfer> start;
    std::vector<DropTransfer> drop;

    bool operator==(const TransferActions&) const = default;
};

struct TransferSettings {
    /// Share of a link that is kept for daemons without a grant.
    double floorShare = 0.1;
    /// How long a grant holds.
    Duration grantLifetime = std::chrono::seconds(3);
    /// Time over which demand is averaged.
    Duration demandWindow = std::chrono::seconds(2);
    /// Time at the link's full capacity that a daemon may use in one burst.
    Duration burst = std::chrono::seconds(4);
    /// Waiting transfers of one link and class.
    std::size_t maxWaiting = 256;
    /// What a grant holds above the demand, so that demand can show that it grows.
    double headroom = 1.25;
    /// Prefetches and exports of a daemon that use a link at once.
    std::size_t maxRunningBackground = 1;
    /// Weight of a new observation of a link's speed.
    double learningWeight = 0.05;
    /// How long an observed speed counts.
    Duration observationLifetime = std::chrono::seconds(30);
    /// Share of a link's capacity that a transfer is taken to get while there is no grant.
    double ungrantedSpeed = 0.25;
};

/// Transfers of one class since the start.
struct TransferCounts {
    std::uint64_t started = 0;
    std::uint64_t startedBytes = 0;
    std::uint64_t dropped = 0;
    std::uint64_t droppedBytes = 0;

    bool operator==(const TransferCounts&) const = default;
};

/// Fits the time of a link's transfers as a delay and a speed, over the latest observations.
class LinkFit {
public:
    /// @param weight Weight of this observation against all before.
    void add(double bytes, double seconds, double weight);

    bool empty() const { return this->meanBytes == 0; }
    /// @return Bytes a second once bytes flow, at most @p capacity.
    double speed(double capacity) const;
    /// @return Seconds before bytes flow.
    double delay(double capacity) const;

private:
    double meanBytes = 0;
    double meanSeconds = 0;
    double meanSquare = 0;
    double meanProduct = 0;
};

/// The owner's side: splits one link by demand, classes in order, evenly within a class.
class LinkBroker {
public:
    /// @param linkCapacity Bytes a second of the link.
    /// @param daemons Daemons that may use it; the floor is split among them.
    /// @param start When the grants of an earlier owner have lapsed for certain.
    LinkBroker(const TransferSettings& initialSettings, double linkCapacity, std::size_t daemons, TimePoint start);

    /// Takes a daemon's demand.
    /// @return Its share; just the floor while grants of an earlier owner may be in use.
    LinkShare demand(const InstanceId& daemon, const LinkDemand& demand, TimePoint now);

    /// @return Bytes a second that grants in force add up to, floors included.
    double granted(TimePoint now) const;

private:
    using ClassBytes = std::array<double, transferClasses>;

    struct HeldShare {
        double bytesPerSecond = 0;
        TimePoint until;
    };

    struct Grant {
        ClassBytes demand {};
        /// Shares that the daemon may use, since a later, smaller one may have been lost.
        std::vector<HeldShare> held;

        double inForce(TimePoint now) const;
        void add(const HeldShare& share);
    };

    void dropLapsed(TimePoint now);
    double fairShare(const InstanceId& daemon, double left) const;
    double totalDemand() const;

    TransferSettings settings;
    double capacity;
    double floor;
    std::size_t daemonCount;
    TimePoint startsAt;
    std::map<InstanceId, Grant> grants;
};

/// A daemon's side of all links.
class TransferQueue {
public:
    explicit TransferQueue(const TransferSettings& initialSettings = {});

    /// Announces a link.
    /// @param capacity Bytes a second of the link.
    /// @param daemons Daemons that may use it.
    void setLink(const UpstreamId& store, double capacity, std::size_t daemons, TimePoint now);

    /// Forgets a link and drops what waits for it.
    TransferActions removeLink(const UpstreamId& store);

    /// Takes the owner's grant.
    void grant(const LinkShare& share, TimePoint now);

    /// Queues a transfer; it is dropped at once where it can't arrive in time.
    TransferActions submit(const Transfer& transfer, TimePoint now);

    /// Starts what the budget allows and drops what is late. Call it each few milliseconds while
    /// anything waits, or at `nextStart`.
    TransferActions tick(TimePoint now);

    /// The transfer ended, well or not, or nobody wants it any more.
    /// @param movedBytes Bytes that used the link.
    void finish(TransferId id, std::uint64_t movedBytes, TimePoint now);

    /// @return What the router needs to price an import from @p store.
    LinkEstimate estimate(const UpstreamId& store, TimePoint now) const;

    /// @return Demand to report to the link's owner.
    LinkDemand demand(const UpstreamId& store, TimePoint now) const;

    /// @return Counts of one class over all links.
    const TransferCounts& counts(TransferClass kind) const { return this->total[static_cast<std::size_t>(kind)]; }

    /// @return When `tick` may start something, if anything waits.
    std::optional<TimePoint> nextStart(TimePoint now) const;

private:
    struct Link {
        double capacity = 0;
        double floor = 0;
        LinkShare share;
        TimePoint shareUntil;
        /// Bytes that may be started; below zero after a large transfer.
        double allowance = 0;
        TimePoint refilledAt;
        /// How fast first-token transfers were lately.
        LinkFit observed;
        TimePoint observedAt;
        std::size_t runningBackground = 0;
        std::array<std::vector<Transfer>, transferClasses> waiting;
        std::array<double, transferClasses> demand {};
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
    bool arrivesInTime(const Link& link, const Transfer& transfer, double bytesAhead, TimePoint now) const;
    bool mayStart(const Link& link, const Transfer& transfer) const;
    void observeSpeed(Link& link, const Running& transfer, TimePoint now) const;
    void startAllowed(Link& link, TimePoint now, TransferActions& actions);
    void dropLate(Link& link, TimePoint now, TransferActions& actions);
    void drop(const Transfer& transfer, TransferActions& actions);

    TransferSettings settings;
    std::unordered_map<UpstreamId, Link> links;
    std::map<TransferId, Running> running;
    std::array<TransferCounts, transferClasses> total {};
};

} // namespace goldcrestwood
