#pragma once

/// @file
/// Serves calls to plain services; calls that must not be repeated run at most once.

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
    /// A parsed call; the path is the part of the URL after the service name.
    struct Call {
        ServiceEntry service;
        std::string path;
        std::string body;
        std::string contentType;
    };

    tl::expected<Call, Problem> readCall(HttpExchange& exchange) const;
    HttpResponse serveRepeatable(const Call& call);
    HttpResponse serveOnce(const Call& call, const ClientAccount& account, const std::string& idempotencyKey);
    std::optional<UpstreamEntry> pickUpstream(const ServiceName& service, const std::vector<UpstreamId>& excludedUpstreams);
    DispatchResult dispatch(const Call& call, const ClaimKey& key, const ClaimId& id);
    std::optional<ClaimOutcome> queryStatus(const Call& call, const ClaimKey& key, const ClaimId& holder);

    Serving serving;
    ClaimService& claims;
    std::mutex mutex;
    Random random;
};

} // namespace goldcrestwood
