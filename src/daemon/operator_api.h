#pragma once

/// @file
/// Operator HTTP API: status, state dump, configuration, drain orders.

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "daemon/claim_service.h"
#include "daemon/serving.h"
#include "goldcrestwood/shutdown.h"

namespace goldcrestwood {

class OperatorApi {
public:
    /// @param control, claims Must outlive the interface.
    OperatorApi(const Serving& serving, ControlJournal& control, ClaimService& claims);

    void serve(HttpExchange& exchange);

    /// @return The process's state for debugging, without secrets.
    nlohmann::json stateDump();

private:
    HttpResponse apply(HttpExchange& exchange);
    HttpResponse status();
    HttpResponse drain(DrainTarget target, const std::string& name, DomainState state);
    HttpResponse configuration();

    Serving serving;
    ControlJournal& control;
    ClaimService& claims;
    std::atomic<std::uint64_t> orderSequence = 0;
};

} // namespace goldcrestwood
