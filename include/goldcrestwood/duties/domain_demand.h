#pragma once

/// @file
/// Demand for the replicas of one service, by failure domain.

#include <cstdint>
#include <vector>

#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// Demand for a service's replicas in one failure domain, over all daemons.
struct DomainDemand {
    FailureDomain domain;
    std::uint32_t ready = 0; ///< Replicas that take requests.
    std::uint32_t impaired = 0; ///< Those of them that are cold, failing or loading weights.
    std::uint32_t leaving = 0; ///< Replicas that drain.
    std::uint32_t requests = 0; ///< Requests in flight at the ready replicas.
    double used = 0; ///< Capacity that these requests use, in replicas.
    std::uint32_t waiting = 0; ///< Requests that wait at the domain's daemons.

    bool operator==(const DomainDemand&) const = default;
};

/// Demand for a service's replicas.
struct ServiceDemand {
    std::vector<DomainDemand> domains;
    bool isWhole = true; ///< The figures of all daemons are included; otherwise the demand may be higher.

    bool operator==(const ServiceDemand&) const = default;
};

} // namespace goldcrestwood
