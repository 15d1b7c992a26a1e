#pragma once

/// @file
/// Weighted fair queue over client accounts within each priority.

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/configuration.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Identifies a queued or running request within one daemon.
using AdmissionId = std::uint64_t;

constexpr std::size_t priorityCount = 3;

/// @return The order of service of the priority; 0 is served first.
std::size_t serviceRank(Priority priority);

/// A request that waits.
struct QueuedRequest {
    AdmissionId id = 0;
    ClientAccount account;
    Priority priority = Priority::Normal;
    /// Weight among the accounts of the priority.
    double weight = 1;
    /// Expected use of the upstream relative to other requests, for example its prompt length.
    double cost = 1;
    /// Latest time of admission.
    TimePoint deadline;

    bool operator==(const QueuedRequest&) const = default;
};

/// Guaranteed turns of lower priorities while higher ones have requests waiting.
struct FairQueueSettings {
    /// One turn in this many goes to Normal.
    std::uint32_t normalEvery = 8;
    /// One turn in this many goes to Batch.
    std::uint32_t batchEvery = 32;

    bool operator==(const FairQueueSettings&) const = default;
};

/// Start-time fair queueing by account within each priority. Each operation costs O(log n) in the number of queued accounts
/// and requests.
class FairQueue {
public:
    explicit FairQueue(FairQueueSettings queueSettings = {});

    void push(const QueuedRequest& request);

    /// @param allowed For each service rank, whether it may be served now.
    /// @return The next request to serve.
    std::optional<QueuedRequest> pop(const std::array<bool, priorityCount>& allowed);

    /// @return The removed request, or nothing if it is not queued.
    std::optional<QueuedRequest> remove(AdmissionId id);

    /// @return The newest request of the account with the largest backlog, or null.
    const QueuedRequest* newestOfLargestBacklog(std::size_t rank) const;

    /// @return A request whose deadline has passed.
    std::optional<AdmissionId> overdue(TimePoint now) const;

    /// @return The earliest deadline of all queued requests.
    std::optional<TimePoint> nextDeadline() const;

    /// @return Cost served before a new request of the account within its own rank.
    double costAhead(const ClientAccount& account, std::size_t rank, double weight, double cost) const;

    /// @return Queued cost of the account in the rank, divided by its weight.
    double backlog(const ClientAccount& account, std::size_t rank) const;

    /// @return Queued cost of a service rank.
    double costWaiting(std::size_t rank) const { return this->classes[rank].cost; }

    std::size_t size() const { return this->requests.size(); }
    std::size_t size(std::size_t rank) const { return this->classes[rank].count; }

private:
    struct Flow {
        std::list<QueuedRequest> requests;
        double start = 0;
        double cost = 0;
        double weight = 1;
    };

    struct Class {
        std::unordered_map<ClientAccount, Flow> flows;
        std::set<std::pair<double, ClientAccount>> byStart;
        std::set<std::pair<double, ClientAccount>> byBacklog;
        /// Finish tags of accounts whose queue ran empty while they were ahead of the virtual time.
        std::map<ClientAccount, double> ahead;
        std::set<std::pair<double, ClientAccount>> aheadByTag;
        double virtualTime = 0;
        double cost = 0;
        double activeWeight = 0;
        std::size_t count = 0;

        void changeBacklog(const ClientAccount& account, Flow& flow, double change);
        void closeFlow(const ClientAccount& account, Flow& flow);
    };

    struct Place {
        std::size_t rank = 0;
        ClientAccount account;
        std::list<QueuedRequest>::iterator position;
    };

    std::optional<std::size_t> pickRank(const std::array<bool, priorityCount>& allowed);
    QueuedRequest take(AdmissionId id);

    FairQueueSettings settings;
    std::array<Class, priorityCount> classes;
    std::unordered_map<AdmissionId, Place> requests;
    std::set<std::pair<TimePoint, AdmissionId>> byDeadline;
    std::uint32_t sinceNormal = 0;
    std::uint32_t sinceBatch = 0;
};

} // namespace goldcrestwood
