#pragma once

/// @file
/// Places prompts, with one router and one lock per service.

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/peer_directory.h"
#include "daemon/permit_service.h"
#include "daemon/prefix_service.h"
#include "daemon/transfer_service.h"
#include "goldcrestwood/catalog.h"
#include "goldcrestwood/daemon_messages.h"
#include "goldcrestwood/router.h"

namespace goldcrestwood {

/// A prompt to place.
struct PlaceRequest {
    ClientAccount account;
    ServiceName service;
    VersionName version;
    std::string prompt;
    /// Upstreams to exclude: they failed this request or gave it no permit in time.
    std::set<UpstreamId> excludedUpstreams;
};

/// Chosen upstream of a prompt, with the prompt's chain and its known coverage.
struct Placement {
    RouteDecision decision;
    PromptChain chain;
    ChainCoverage coverage;
    /// Prefill time saved by the blocks in the upstream's own cache.
    Duration savedPrefillTime = Duration(0);
};

class RouteService {
public:
    /// @param mesh, directory, permits, prefixes, transfers Must outlive the service.
    RouteService(PeerMesh& mesh, PeerDirectory& directory, PermitService& permits, PrefixService& prefixes, TransferService& transfers);

    void configure(std::shared_ptr<const CatalogView> view);
    /// Applies the versions that an owner read from its upstreams.
    void onVersions(const OwnedVersions& versions);

    /// @return The version reported by the most upstreams of a service; empty if none is known.
    VersionName reportedVersion(const ServiceName& service);
    tl::expected<Placement, RouteError> place(const PlaceRequest& request);
    void onFirstToken(const ServiceName& service, RouteTicket ticket, const FirstTokenObservation& observation);
    void finish(const ServiceName& service, RouteTicket ticket);
    std::size_t memoryBytes();

private:
    struct Shard {
        std::mutex mutex;
        Router router;
        std::vector<RouteTarget> targets;
        Random random;
    };

    std::shared_ptr<Shard> shardOf(const ServiceName& service);
    void onLoad(const UpstreamLoadReport& report);
    UpstreamCheck check(const CatalogView& view, const RouteTarget& target, const std::set<UpstreamId>& excludedUpstreams);

    PeerMesh& mesh;
    PermitService& permits;
    PrefixService& prefixes;
    TransferService& transfers;
    std::mutex mutex;
    std::shared_ptr<const CatalogView> view;
    std::map<ServiceName, std::shared_ptr<Shard>> shards;
    std::map<UpstreamId, VersionName> versions;
};

} // namespace goldcrestwood
