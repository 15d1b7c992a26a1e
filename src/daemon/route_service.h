#pragma once

/// @file
/// Places prompts: one router for each service, each under its own lock.

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
    /// Upstreams that have failed this request already.
    std::set<UpstreamId> avoid;
};

/// Where a prompt goes, and what was known of its chain.
struct Placement {
    RouteDecision decision;
    PromptChain chain;
    ChainCoverage coverage;
    /// Prefill time that the upstream's own cache saves.
    Duration saved = Duration(0);
};

class RouteService {
public:
    /// @param mesh, directory, permits, prefixes, transfers Must outlive the service.
    RouteService(PeerMesh& mesh, PeerDirectory& directory, PermitService& permits, PrefixService& prefixes, TransferService& transfers);

    void configure(std::shared_ptr<const CatalogView> view);
    /// Takes the versions that an owner has read off its upstreams.
    void onVersions(const OwnedVersions& versions);

    /// @return The version that most upstreams of a service report; empty when none is known.
    VersionName reportedVersion(const ServiceName& service);
    tl::expected<Placement, RouteError> place(const PlaceRequest& request);
    void firstToken(const ServiceName& service, RouteTicket ticket, const FirstTokenSeen& seen);
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
    UpstreamCheck check(const CatalogView& view, const RouteTarget& target, const std::set<UpstreamId>& avoid);

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
