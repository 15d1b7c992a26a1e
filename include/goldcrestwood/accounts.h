#pragma once

/// @file
/// Admission control: rate limits of accounts, a bounded fair queue, early refusal.

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "goldcrestwood/configuration.h"
#include "goldcrestwood/fair_queue.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/rate_limit.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Bounds of the queue and of the capacity that each priority may use.
struct AdmissionSettings {
    /// Maximum queued requests of one service.
    std::size_t maxQueued = 1000;
    /// Share of a service's capacity that Normal and Batch requests may fill while Important requests arrive; the rest is
    /// reserved for those as far as their rate needs it.
    double normalCapacity = 0.9;
    /// Share of a service's capacity that Batch requests may use.
    double batchCapacity = 0.7;
    /// Minimum retry-after time of a refused caller.
    Duration shortestRetryAfter = std::chrono::seconds(1);
    /// Maximum retry-after time of a refused caller.
    Duration longestRetryAfter = std::chrono::minutes(2);
    /// Assumed service time until the first request has ended.
    Duration initialServiceTime = std::chrono::milliseconds(500);
    FairQueueSettings queue;
    RateSettings rate;

    bool operator==(const AdmissionSettings&) const = default;
};

/// A request that asks to be admitted.
struct AdmissionRequest {
    ClientAccount account;
    ServiceName service;
    /// Expected use of the upstream relative to other requests; 1 for a typical one.
    double cost = 1;
    /// Latest time of admission that is still useful to the caller.
    TimePoint deadline;

    bool operator==(const AdmissionRequest&) const = default;
};

/// The request may start now; call `release` when it has ended.
struct Admitted {
    AdmissionId id = 0;

    bool operator==(const Admitted&) const = default;
};

/// The request waits; `poll` reports its outcome.
struct Queued {
    AdmissionId id = 0;
    /// Estimated wait.
    Duration wait = Duration(0);

    bool operator==(const Queued&) const = default;
};

/// Why a request is refused. A refused request has not run.
enum class AdmissionRefusal : std::uint8_t {
    UnknownAccount, ///< The client account does not exist.
    RateLimited, ///< The account exceeds its rate limit.
    QueueFull, ///< The queue is full and this account uses its share.
    TooLate, ///< It would not be admitted before its deadline.
};

const char* toString(AdmissionRefusal refusal);

/// The final answer to a refused request, to be sent at once.
struct Refused {
    AdmissionId id = 0;
    AdmissionRefusal reason = AdmissionRefusal::TooLate;
    /// Estimated time after which a retry can succeed, from the present queue.
    Duration retryAfter = Duration(0);

    bool operator==(const Refused&) const = default;
};

using AdmissionDecision = std::variant<Admitted, Queued, Refused>;

/// Outcome of queued requests.
struct AdmissionOutcome {
    std::vector<AdmissionId> admitted;
    std::vector<Refused> refused;

    bool empty() const { return this->admitted.empty() && this->refused.empty(); }
    bool operator==(const AdmissionOutcome&) const = default;
};

/// Demands for the rates of accounts, each to be sent to the account's owner.
using RateDemands = std::vector<RateDemand>;

/// Admission control of one daemon.
class Admission {
public:
    explicit Admission(InstanceId id, AdmissionSettings bounds = {});

    /// Adds and updates accounts and drops those that are gone; queued requests stay.
    void configure(const std::vector<AccountEntry>& entries, std::size_t daemonCount, TimePoint now);

    /// @param requests Maximum requests in flight of this daemon for the service: those in flight now plus free permits.
    void setCapacity(const ServiceName& name, std::uint32_t requests);

    AdmissionDecision offer(const AdmissionRequest& request, TimePoint now);

    /// An admitted request has ended.
    void release(AdmissionId id, TimePoint now);

    /// The caller of a queued request is gone.
    void withdraw(AdmissionId id);

    /// Call after `release` and `setCapacity`, and at `wakeAt`.
    /// @return Queued requests that are admitted or refused now.
    AdmissionOutcome poll(TimePoint now);

    /// @return The earliest time at which `poll` will refuse a request.
    std::optional<TimePoint> wakeAt() const;

    /// Call about once a second.
    /// @return Due demands, at most @p most.
    RateDemands demands(TimePoint now, std::size_t most);

    void onShare(const RateShare& share, TimePoint now);

    /// @return Queued requests of the service.
    std::size_t waiting(const ServiceName& name) const;

    /// @return Admitted requests of the service that have not ended.
    std::uint32_t inFlight(const ServiceName& name) const;

private:
    struct Account {
        Priority priority = Priority::Normal;
        double weight = 1;
        AccountBucket bucket;
        bool demanding = false;
    };

    struct Running {
        ServiceName service;
        std::size_t rank = 0;
        double cost = 1;
        TimePoint since;
    };

    struct Service {
        FairQueue queue;
        std::uint32_t capacity = 0;
        std::array<std::uint32_t, priorityCount> running {};
        std::array<double, priorityCount> admitRate {};
        std::array<TimePoint, priorityCount> admitAt {};
        double serviceSeconds = 0;

        std::uint32_t inFlight() const;
    };

    void noteDemand(const ClientAccount& name, Account& account, TimePoint now);
    std::uint32_t capacityFor(const Service& service, std::size_t rank) const;
    double serviceSeconds(const Service& service) const;
    std::uint32_t headroom(const Service& service, TimePoint now) const;
    bool mayRun(const Service& service, std::size_t rank, TimePoint now) const;
    std::array<bool, priorityCount> allowed(const Service& service, TimePoint now) const;
    void start(Service& service, const ServiceName& name, AdmissionId id, std::size_t rank, double cost, TimePoint now);
    Duration waitFor(const Service& service, std::size_t rank, double costAhead, TimePoint now) const;
    Duration wait(const Service& service, const Account& account, const ClientAccount& name, double cost, TimePoint now) const;
    Refused refuse(AdmissionId id, AdmissionRefusal reason, Duration wait) const;
    bool makeRoom(Service& service, const Account& account, const AdmissionRequest& request, TimePoint now);
    Refused giveUp(Service& service, AdmissionId id, AdmissionRefusal reason, TimePoint now);
    void refuseLate(Service& service, std::vector<Refused>& out, TimePoint now);

    InstanceId self;
    AdmissionSettings settings;
    std::unordered_map<ClientAccount, Account> accounts;
    std::unordered_map<ServiceName, Service> services;
    std::unordered_map<AdmissionId, Running> running;
    std::unordered_map<AdmissionId, ServiceName> queuedAt;
    std::vector<ClientAccount> demanding;
    std::vector<Refused> evicted;
    AdmissionId lastId = 0;
};

} // namespace goldcrestwood
