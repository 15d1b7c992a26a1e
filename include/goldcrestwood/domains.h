#pragma once

/// @file
/// Which failure domains and upstreams take new work, recorded or provisional, and how fast they come back.

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
    /// Share of normal traffic that a domain gets when it comes back.
    double rampFloor = 0.1;
    /// The share doubles after each such time without trouble.
    Duration rampStep = std::chrono::seconds(10);
    /// Ids of recorded orders that are remembered, so that a late copy does not act again.
    std::size_t rememberedOrders = 4096;
};

/// An operator's order as the log has it.
struct RecordedDomainState {
    FailureDomain domain;
    DomainState state = DomainState::In;
    std::uint64_t offset = 0; ///< Of the record; an older one never replaces a newer one.
    std::string orderId; ///< Of the provisional order that it records; empty when there was none.

    bool operator==(const RecordedDomainState&) const = default;
};

/// A take-out that is not recorded yet. There is no provisional way back in.
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

/// A domain that opened or closed.
struct DomainChange {
    FailureDomain domain;
    WorkGate gate = WorkGate::Open;

    bool operator==(const DomainChange&) const = default;
};

/// Requests a second by priority.
struct PriorityRates {
    double important = 0;
    double normal = 0;
    double batch = 0;

    double total() const { return this->important + this->normal + this->batch; }
    bool operator==(const PriorityRates&) const = default;
};

/// Shares of the demand to admit when capacity is short: the most important first.
/// @param capacity Requests a second that the open domains carry.
/// @return For each priority a share from 0 to 1.
PriorityRates admissionShares(const PriorityRates& demand, double capacity);

/// Out wins over in until the log has recorded the order; from then on the log decides.
class DomainGate {
public:
    explicit DomainGate(DomainGateSettings settings);

    /// Takes a record of the log, also when read again.
    std::vector<DomainChange> onRecorded(const RecordedDomainState& record, TimePoint now);
    /// Takes a provisional order, own or by gossip; a copy that comes after its record does nothing.
    std::vector<DomainChange> onProvisional(const ProvisionalOut& order, TimePoint now);
    /// The log holds the order, as a record of another kind, or refused it.
    std::vector<DomainChange> onOrderSettled(const std::string& orderId, TimePoint now);
    /// The log says whether an upstream leaves.
    void onUpstreamLeaving(const UpstreamId& upstream, bool isLeaving);
    /// This daemon became isolated, or is no longer.
    void setIsolated(bool value) { this->isolated = value; }
    /// Trouble in a domain that is coming back halves its share and starts the step anew.
    void onTrouble(const FailureDomain& domain, TimePoint now);

    /// @return Whether new work may go to the domain.
    WorkGate domainGate(const FailureDomain& domain) const;
    /// @return Whether new work may go to the upstream.
    WorkGate upstreamGate(const UpstreamId& upstream, const FailureDomain& domain) const;
    /// @return The share of its normal traffic that the domain may take, 0 to 1.
    double rampShare(const FailureDomain& domain, TimePoint now) const;
    /// @return Provisional orders that the log does not hold yet.
    std::vector<ProvisionalOut> unrecorded() const;

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
    std::set<UpstreamId> leaving;
    std::set<std::string> settledOrders;
    std::deque<std::string> settledSequence;
    bool isolated = false;

    void rememberSettled(const std::string& orderId);
    WorkGate domainState(const FailureDomain& domain) const;
    std::vector<DomainChange> changeOf(const FailureDomain& domain, WorkGate before, TimePoint now);
};

} // namespace goldcrestwood
