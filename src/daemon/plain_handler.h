#pragma once

/// @file
/// Serves calls of plain services; those that may not be repeated run at most once.

#include <mutex>
#include <string>

#include "daemon/claim_service.h"
#include "daemon/http_client.h"
#include "daemon/serving.h"

namespace goldcrestwood {

class PlainHandler {
public:
    PlainHandler(const Serving& serving, ClaimService& claims);

    /// Serves `POST /v1/services/NAME/PATH`.
    void serve(HttpExchange& exchange);

private:
    /// The service, the path behind its name, and the caller's body.
    struct Call {
        ServiceEntry service;
        std::string path;
        std::string body;
        std::string contentType;
    };

    tl::expected<Call, Problem> readCall(HttpExchange& exchange) const;
    HttpResponse serveRepeatable(const Call& call);
    HttpResponse serveOnce(const Call& call, const ClientAccount& account, const std::string& idempotencyKey);
    std::optional<UpstreamEntry> pick(const ServiceName& service, const std::vector<UpstreamId>& avoid);
    DispatchResult dispatch(const Call& call, const ClaimKey& key, const ClaimId& id);
    std::optional<ClaimOutcome> askStatus(const Call& call, const ClaimKey& key, const ClaimId& holder);

    Serving serving;
    ClaimService& claims;
    std::mutex mutex;
    Random random;
};

} // namespace goldcrestwood
