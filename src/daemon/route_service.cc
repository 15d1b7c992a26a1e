#include "daemon/route_service.h"

#include <algorithm>

#include "daemon/clock.h"

namespace goldcrestwood {

namespace {

    /// Cost added to an upstream at which this daemon has no free permit and must first request one.
    constexpr Duration permitPenalty = std::chrono::milliseconds(30);

} // namespace

RouteService::RouteService(PeerMesh& peerMesh, PeerDirectory& directory, PermitService& permitService,
    PrefixService& prefixService, TransferService& transferService)
    : mesh(peerMesh)
    , permits(permitService)
    , prefixes(prefixService)
    , transfers(transferService)
    , view(std::make_shared<const CatalogView>())
{
    directory.handlePosted<UpstreamLoadReport>("UpstreamLoadReport", [this](const UpstreamLoadReport& report) { this->onLoad(report); });
}

void RouteService::configure(std::shared_ptr<const CatalogView> newView)
{
    std::map<ServiceName, std::vector<RouteTarget>> targets;
    const std::lock_guard lock(this->mutex);
    this->view = std::move(newView);
    this->view->upstreams.forEach([&](const auto& row) {
        const auto reported = this->versions.find(row.entry.id);
        const auto version = reported == this->versions.end() ? VersionName() : reported->second;
        targets[row.entry.service].push_back({ row.entry.id, row.entry.domain, version });
    });
    for (auto& [service, list] : targets) {
        auto& shard = this->shards[service];
        if (!shard) {
            shard = std::make_shared<Shard>();
            shard->random.seed(this->mesh.incarnation() ^ stableHash(service.value));
        }
        const std::lock_guard shardLock(shard->mutex);
        if (shard->targets == list)
            continue;
        shard->targets = list;
        shard->router.setTargets(service, std::move(list));
    }
}

void RouteService::onVersions(const OwnedVersions& owned)
{
    const std::lock_guard lock(this->mutex);
    for (const auto& [upstream, version] : owned.upstreams) {
        auto& known = this->versions[upstream];
        if (known == version)
            continue;
        known = version;
        const auto* entry = this->view->upstream(upstream);
        const auto shard = entry ? this->shards.find(entry->service) : this->shards.end();
        if (shard == this->shards.end())
            continue;
        const std::lock_guard shardLock(shard->second->mutex);
        shard->second->router.setVersion(upstream, version);
        for (auto& target : shard->second->targets) {
            if (target.id == upstream)
                target.version = version;
        }
    }
}

std::shared_ptr<RouteService::Shard> RouteService::shardOf(const ServiceName& service)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->shards.find(service);
    return found == this->shards.end() ? nullptr : found->second;
}

VersionName RouteService::reportedVersion(const ServiceName& service)
{
    const auto shard = this->shardOf(service);
    if (!shard)
        return {};
    const std::lock_guard lock(shard->mutex);
    std::map<VersionName, std::size_t> counts;
    for (const auto& target : shard->targets) {
        if (!target.version.empty())
            ++counts[target.version];
    }
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    return most == counts.end() ? VersionName() : most->first;
}

UpstreamCheck RouteService::check(const CatalogView& current, const RouteTarget& target, const std::set<UpstreamId>& excludedUpstreams)
{
    if (excludedUpstreams.contains(target.id))
        return { Refusal::Unhealthy, Duration(0) };
    if (!current.isInService(target.domain))
        return { Refusal::DomainOut, Duration(0) };
    if (current.drainedUpstreams.contains(target.id.value))
        return { Refusal::Leaving, Duration(0) };
    const auto penalty = this->permits.free(target.id) > 0 ? Duration(0) : permitPenalty;
    return { Refusal::None, penalty };
}

tl::expected<Placement, RouteError> RouteService::place(const PlaceRequest& request)
{
    std::shared_ptr<const CatalogView> current;
    {
        const std::lock_guard lock(this->mutex);
        current = this->view;
    }
    const auto shard = this->shardOf(request.service);
    const auto* service = current->service(request.service);
    if (!shard || !service)
        return tl::unexpected(RouteError {});

    Placement placement;
    const ChainScope scope { request.account, request.service, request.version, service->tokenizer };
    placement.chain = makeChain(WhitespaceTokenizer(), scope, request.prompt, service->blockTokens);
    auto answer = this->prefixes.coverage(request.account, placement.chain);
    placement.coverage = std::move(answer.coverage);

    RouteRequest route;
    route.service = request.service;
    route.version = request.version;
    route.chain = placement.chain;
    route.coverage = placement.coverage;
    route.coverageKnown = answer.known;
    route.blockBytes = std::uint64_t { service->blockTokens } * service->bytesPerToken;
    const auto allowed = [&](const RouteTarget& target) { return this->check(*current, target, request.excludedUpstreams); };
    const auto links = [this](const UpstreamId& store) { return this->transfers.estimate(store); };
    const std::lock_guard lock(shard->mutex);
    auto decision = shard->router.choose(route, allowed, links, monotonicNow(), shard->random);
    if (!decision)
        return tl::unexpected(decision.error());
    placement.decision = std::move(*decision);
    const auto cached = static_cast<double>(placement.decision.blocksCovered) * service->blockTokens;
    placement.savedPrefillTime = fromSeconds(cached / shard->router.prefillRate(placement.decision.upstream));
    return placement;
}

void RouteService::onFirstToken(const ServiceName& service, RouteTicket ticket, const FirstTokenObservation& observation)
{
    if (const auto shard = this->shardOf(service)) {
        const std::lock_guard lock(shard->mutex);
        shard->router.onFirstToken(ticket, observation);
    }
}

void RouteService::finish(const ServiceName& service, RouteTicket ticket)
{
    if (const auto shard = this->shardOf(service)) {
        const std::lock_guard lock(shard->mutex);
        shard->router.finish(ticket);
    }
}

void RouteService::onLoad(const UpstreamLoadReport& report)
{
    std::shared_ptr<Shard> shard;
    {
        const std::lock_guard lock(this->mutex);
        const auto* entry = this->view->upstream(report.upstream);
        const auto found = entry ? this->shards.find(entry->service) : this->shards.end();
        if (found == this->shards.end())
            return;
        shard = found->second;
    }
    const std::lock_guard lock(shard->mutex);
    shard->router.reportLoad(report.upstream, { report.running, report.waiting, std::nullopt, report.age }, monotonicNow());
}

std::size_t RouteService::memoryBytes()
{
    const std::lock_guard lock(this->mutex);
    std::size_t bytes = 0;
    for (const auto& [service, shard] : this->shards) {
        const std::lock_guard shardLock(shard->mutex);
        bytes += shard->router.memoryBytes();
    }
    return bytes;
}

} // namespace goldcrestwood
