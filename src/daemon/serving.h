#pragma once

/// @file
/// Dependencies and helpers shared by the request handlers.

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "daemon/admission_gate.h"
#include "daemon/clock.h"
#include "daemon/control_plane.h"
#include "daemon/http_server.h"
#include "daemon/metrics.h"
#include "daemon/peer_mesh.h"
#include "daemon/permit_service.h"
#include "daemon/prefix_service.h"
#include "daemon/route_service.h"
#include "daemon/run_reaper.h"
#include "daemon/transfer_service.h"
#include "goldcrestwood/keys.h"
#include "goldcrestwood/settings.h"
#include "goldcrestwood/ticket.h"

namespace goldcrestwood {

/// References to the components that serve requests; all must outlive the handlers.
struct Serving {
    const Settings& settings;
    Metrics& metrics;
    PeerMesh& mesh;
    PermitService& permits;
    AdmissionGate& admission;
    PrefixService& prefixes;
    TransferService& transfers;
    RouteService& routes;
    RunReaper& reaper;
    const TicketSigner& tickets;
    /// The configuration in force.
    std::atomic<std::shared_ptr<const CatalogView>>& view;
    /// Set when a graceful shutdown times out: open streams then end with an error event.
    std::atomic<bool>& cutStreams;
};

/// @return The account of the caller, or a 401 problem.
inline tl::expected<ClientAccount, Problem> authenticate(const Serving& serving, const HttpExchange& exchange)
{
    const auto key = parseBearer(exchange.header("Authorization"));
    const auto view = serving.view.load();
    const auto* entry = key ? view->account(key->account) : nullptr;
    const auto checked = key ? checkKey(entry, key->secret) : tl::expected<void, KeyError>(tl::unexpected(key.error()));
    if (!checked)
        return tl::unexpected(Problem { 401, "Not authorized", toString(checked.error()) });
    return key->account;
}

/// @return The problem response for a request that admission refused.
inline Problem refusalProblem(const Refused& refused)
{
    const bool overRate = refused.reason == AdmissionRefusal::RateLimited;
    return { overRate ? 429 : 503, overRate ? "Too many requests" : "Overloaded", toString(refused.reason), Executed::No, refused.retryAfter };
}

} // namespace goldcrestwood
