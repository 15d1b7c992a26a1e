#pragma once

/// @file
/// Decides which failure domains and upstreams take new work, from recorded and provisional orders, and ramps up returning domains.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrestwood/configuration.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct DomainGateSettings {
    /// Share of normal traffic that a returning domain starts with.
    double initialRampShare = 0.1;
    /// Time without failures after which the share doubles.
    Duration rampDoublingTime = std::chrono::seconds(10);
    /// Maximum number of settled order ids kept to ignore late copies of an order.
    std::size_t maxSettledOrders = 4096;
};

/// An operator's order as recorded in the log.
struct RecordedDomainState {
    FailureDomain domain;
    DomainState state = DomainState::In;
    std::uint64_t offset = 0; ///< Offset of the record; an older record never replaces a newer one.
    std::string orderId; ///< Id of the provisional order that it records; empty if there was none.

    bool operator==(const RecordedDomainState&) const = default;
};

/// A drain order that is not recorded yet. Orders to return to service are never provisional.
struct ProvisionalOut {
    std::string orderId;
    FailureDomain domain; ///< Empty for an upstream.
    UpstreamId upstream; ///< Empty for a domain.

    bool operator==(const ProvisionalOut&) const = default;
};

enum class WorkGate : std::uint8_t {
    Open,
    DomainOut,
    DomainOutProvisional,
    UpstreamLeaving,
    Isolated,
};

/// @return The name of @p gate.
const char* toString(WorkGate gate);

/// A domain whose gate changed.
struct DomainChange {
    FailureDomain domain;
    WorkGate gate = WorkGate::Open;

    bool operator==(const DomainChange&) const = default;
};

/// Requests per second by priority.
struct PriorityRates {
    double important = 0;
    double normal = 0;
    double batch = 0;

    double total() const { return this->important + this->normal + this->batch; }
    bool operator==(const PriorityRates&) const = default;
};

/// Allocates the capacity to the priorities in order, the most important first.
/// @param capacity Requests per second that the open domains can serve.
/// @return The share of each priority's demand to admit, 0 to 1.
PriorityRates admissionShares(const PriorityRates& demand, double capacity);

/// Gates new work. Out overrides In until the log has recorded the order; from then on the log decides.
class DomainGate {
public:
    explicit DomainGate(DomainGateSettings settings);

    /// Applies a record of the log. Idempotent.
    std::vector<DomainChange> onRecorded(const RecordedDomainState& record, TimePoint now);
    /// Applies a provisional order from this daemon or from gossip; ignored if the order is already settled.
    std::vector<DomainChange> onProvisional(const ProvisionalOut& order, TimePoint now);
    /// Ends a provisional order that the log refused or holds as a record of another kind.
    std::vector<DomainChange> onOrderSettled(const std::string& orderId, TimePoint now);
    /// Sets whether an upstream is leaving according to the log.
    void onUpstreamLeaving(const UpstreamId& upstream, bool isLeaving);
    /// Sets whether this daemon is isolated.
    void setIsolated(bool value) { this->isolated = value; }
    /// Handles failures in a returning domain: halves its share and restarts the doubling time.
    void onFailures(const FailureDomain& domain, TimePoint now);

    /// @return Whether new work may go to the domain.
    WorkGate domainGate(const FailureDomain& domain) const;
    /// @return Whether new work may go to the upstream.
    WorkGate upstreamGate(const UpstreamId& upstream, const FailureDomain& domain) const;
    /// @return The share of normal traffic that the domain may take, 0 to 1.
    double rampShare(const FailureDomain& domain, TimePoint now) const;
    /// @return Provisional orders that are not yet in the log.
    std::vector<ProvisionalOut> unrecordedOrders() const;

private:
    struct Domain {
        DomainState recorded = DomainState::In;
        std::uint64_t offset = 0;
        double rampFrom = 1;
        TimePoint rampSince {};
    };

    DomainGateSettings settings;
    std::map<FailureDomain, Domain> domains;
    std::map<std::string, ProvisionalOut> provisional;
    std::set<UpstreamId> leavingUpstreams;
    std::set<std::string> settledOrders;
    std::deque<std::string> settledOrderQueue;
    bool isolated = false;

    void recordSettled(const std::string& orderId);
    WorkGate domainState(const FailureDomain& domain) const;
    std::vector<DomainChange> applyTransition(const FailureDomain& domain, WorkGate before, TimePoint now);
};

} // namespace goldcrestwood
