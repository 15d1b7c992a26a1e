#include "daemon/permit_service.h"

#include <algorithm>

#include "daemon/clock.h"

namespace goldcrestwood {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    /// Minimum time between two contention messages to the holders of an upstream, which ask them to return unused permits.
    constexpr Duration contentionInterval = std::chrono::milliseconds(20);
    /// Number of upstreams per service at which a daemon requests permits before any request is placed there.
    constexpr std::size_t preparedPerService = 12;

    bool isPrepared(const InstanceId& self, const UpstreamId& upstream, std::size_t upstreams)
    {
        if (upstreams <= preparedPerService)
            return true;
        return stableHash(self.value + "\n" + upstream.value) % upstreams < preparedPerService;
    }

} // namespace

PermitService::PermitService(PeerMesh& peerMesh, PeerDirectory& peerDirectory)
    : mesh(peerMesh)
    , directory(peerDirectory)
{
    this->directory.handlePosted<PermitRequest>("PermitRequest", [this](const PermitRequest& request) { this->onRequest(request); });
    this->directory.handlePosted<PermitGrant>("PermitGrant", [this](const PermitGrant& grant) {
        const std::lock_guard lock(this->mutex);
        if (auto* entry = this->find(grant.upstream); entry && entry->holder)
            entry->holder->onGrant(grant, monotonicNow());
        this->granted.notify_all();
    });
    this->directory.handlePosted<PermitRevoke>("PermitRevoke", [this](const PermitRevoke& revoke) {
        const std::lock_guard lock(this->mutex);
        if (auto* entry = this->find(revoke.upstream); entry && entry->holder)
            entry->holder->onRevoke(revoke);
    });
    this->directory.handlePosted<PermitContention>("PermitContention", [this](const PermitContention& contention) {
        const std::lock_guard lock(this->mutex);
        if (auto* entry = this->find(contention.upstream); entry && entry->holder)
            entry->holder->onContention();
        this->tickRequested = true;
        this->wake.notify_all();
    });
    this->directory.handlePosted<PermitHandover>("PermitHandover", [this](const PermitHandover& handover) {
        const std::lock_guard lock(this->mutex);
        if (auto* entry = this->find(handover.upstream); entry && entry->issuer)
            entry->issuer->onHandover(handover, monotonicNow());
    });
}

PermitService::~PermitService()
{
    this->stop();
}

void PermitService::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void PermitService::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void PermitService::run()
{
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait_for(lock, tickInterval, [this] { return this->stopping || this->tickRequested; });
            if (this->stopping)
                return;
            this->tickRequested = false;
        }
        this->tick();
    }
}

void PermitService::configure(std::shared_ptr<const CatalogView> view)
{
    const std::lock_guard lock(this->mutex);
    const auto now = monotonicNow();
    std::map<UpstreamId, Entry> next;
    std::map<std::string, std::size_t> upstreamsOf;
    view->upstreams.forEach([&](const auto& row) { ++upstreamsOf[row.entry.service.value]; });
    view->upstreams.forEach([&](const auto& row) {
        const auto* service = view->service(row.entry.service);
        if (!service)
            return;
        const ConcurrencySettings limits { service->coldConcurrency, std::max(service->coldConcurrency, service->maxConcurrency) };
        const auto known = this->entries.find(row.entry.id);
        auto& entry = next[row.entry.id];
        if (known != this->entries.end() && known->second.limits == limits)
            entry = std::move(known->second);
        entry.id = row.entry.id;
        entry.service = row.entry.service;
        entry.limits = limits;
        entry.reportsLoad = service->kind == ServiceKind::Model;
        entry.key = upstreamKey(row.entry.id);
        if (isPrepared(this->mesh.self(), row.entry.id, upstreamsOf[row.entry.service.value]))
            this->findOrCreateHolder(entry, now);
    });
    this->entries = std::move(next);
    this->floorMembers.clear();
}

void PermitService::onOwnership(const std::vector<OwnershipChange>&)
{
    this->wake.notify_all();
}

PermitService::Entry* PermitService::find(const UpstreamId& upstream)
{
    const auto found = this->entries.find(upstream);
    return found == this->entries.end() ? nullptr : &found->second;
}

PermitHolder& PermitService::findOrCreateHolder(Entry& entry, TimePoint now)
{
    if (!entry.holder) {
        entry.holder.emplace(entry.id, this->mesh.self(), this->mesh.incarnation(), entry.limits, this->settings, now);
        entry.holder->setFloor(floorShare(entry.id, this->floorMembers, this->mesh.self(), entry.limits.cold, this->settings), now);
    }
    return *entry.holder;
}

std::optional<Permit> PermitService::acquire(const UpstreamId& upstream, Duration timeout)
{
    std::unique_lock lock(this->mutex);
    const auto deadline = monotonicNow() + timeout;
    while (true) {
        const auto now = monotonicNow();
        auto* entry = this->find(upstream);
        if (!entry)
            return std::nullopt;
        if (auto permit = this->findOrCreateHolder(*entry, now).tryAcquire(now))
            return permit;
        if (now >= deadline)
            return std::nullopt;
        ++entry->queued;
        Outbox outbox;
        this->pollEntry(*entry, now, outbox);
        lock.unlock();
        this->deliver(outbox);
        lock.lock();
        this->granted.wait_for(lock, std::min(deadline - now, tickInterval), [&] { return this->free(this->find(upstream)) > 0; });
        if (entry = this->find(upstream); entry && entry->queued > 0)
            --entry->queued;
    }
}

void PermitService::release(const UpstreamId& upstream, const Permit& permit, PermitEnd end)
{
    const std::lock_guard lock(this->mutex);
    if (auto* entry = this->find(upstream); entry && entry->holder)
        entry->holder->release(permit, end);
    this->granted.notify_all();
}

void PermitService::onFirstToken(const UpstreamId& upstream, double slowdown)
{
    const std::lock_guard lock(this->mutex);
    if (auto* entry = this->find(upstream); entry && entry->holder)
        entry->holder->onFirstToken(0, slowdown);
}

std::uint32_t PermitService::free(const UpstreamId& upstream)
{
    const std::lock_guard lock(this->mutex);
    return this->free(this->find(upstream));
}

std::uint32_t PermitService::free(const Entry* entry)
{
    return entry && entry->holder ? entry->holder->free(monotonicNow()) : 0;
}

void PermitService::setWaiting(const ServiceName& service, std::uint32_t requests)
{
    const std::lock_guard lock(this->mutex);
    this->waiting[service] = requests;
}

bool PermitService::isWarm()
{
    const std::lock_guard lock(this->mutex);
    if (this->warm)
        return true;
    const auto isServed = [this](const auto& item) { return !item.second.reportsLoad || this->warmServices.contains(item.second.service); };
    this->warm = std::all_of(this->entries.begin(), this->entries.end(), isServed);
    return this->warm;
}

std::vector<ServiceCapacity> PermitService::capacities()
{
    const std::lock_guard lock(this->mutex);
    const auto now = monotonicNow();
    std::map<ServiceName, std::uint32_t> sums;
    for (const auto& [id, entry] : this->entries) {
        auto& sum = sums[entry.service];
        if (entry.holder)
            sum += entry.holder->inFlight() + entry.holder->free(now);
    }
    std::vector<ServiceCapacity> result;
    result.reserve(sums.size());
    for (const auto& [service, requests] : sums)
        result.push_back({ service, requests });
    return result;
}

void PermitService::onLoad(const UpstreamId& upstream, std::uint64_t epoch, std::uint32_t present)
{
    Outbox outbox;
    {
        const std::lock_guard lock(this->mutex);
        if (auto* entry = this->find(upstream)) {
            if (entry->holder)
                entry->holder->onEpoch(epoch);
            if (entry->issuer)
                outbox.messages = entry->issuer->onLoad(epoch, present, monotonicNow());
        }
    }
    this->deliver(outbox);
}

std::vector<InstanceId> PermitService::requestersOf(const UpstreamId& upstream)
{
    const std::lock_guard lock(this->mutex);
    auto* entry = this->find(upstream);
    return entry ? entry->requesters : std::vector<InstanceId>();
}

void PermitService::onRequest(const PermitRequest& request)
{
    Outbox outbox;
    {
        const std::lock_guard lock(this->mutex);
        auto* entry = this->find(request.upstream);
        if (!entry || !entry->issuer)
            return;
        entry->issuer->setAuthority(this->mesh.supportedUntil());
        outbox.messages = entry->issuer->onRequest(request, monotonicNow());
        if (std::find(entry->requesters.begin(), entry->requesters.end(), request.holder) == entry->requesters.end())
            entry->requesters.push_back(request.holder);
        this->reportContention(*entry, request, outbox);
    }
    this->deliver(outbox);
}

void PermitService::reportContention(Entry& entry, const PermitRequest& request, Outbox& outbox)
{
    std::uint32_t count = 0;
    for (const auto& message : outbox.messages) {
        if (const auto* grant = std::get_if<AddressedGrant>(&message); grant && grant->to == request.holder)
            count = grant->grant.count;
    }
    const auto now = monotonicNow();
    if (count >= request.wanted || now < entry.nextContention)
        return;
    entry.nextContention = now + contentionInterval;
    for (const auto& requester : entry.requesters) {
        if (requester != request.holder)
            outbox.contentionNotices.emplace_back(requester, PermitContention { entry.id });
    }
}

void PermitService::refreshFloors()
{
    auto members = this->mesh.regionMembers();
    std::sort(members.begin(), members.end());
    const std::lock_guard lock(this->mutex);
    if (members == this->floorMembers)
        return;
    const auto now = monotonicNow();
    this->floorMembers = std::move(members);
    for (auto& [id, entry] : this->entries) {
        if (entry.holder)
            entry.holder->setFloor(floorShare(id, this->floorMembers, this->mesh.self(), entry.limits.cold, this->settings), now);
        if (entry.issuer)
            entry.issuer->setFloors(floorHolders(entry.id, this->floorMembers, entry.limits.cold, this->settings), now);
    }
}

void PermitService::tick()
{
    this->refreshFloors();
    const auto supported = this->mesh.supportedUntil();
    const bool unanimous = this->mesh.isUnanimous();
    Outbox outbox;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = monotonicNow();
        for (auto& [id, entry] : this->entries) {
            if (entry.issuer)
                entry.issuer->setAuthority(supported);
            if (entry.issuer && unanimous && !entry.reportsLoad)
                entry.issuer->onUnanimous(now);
            this->pollEntry(entry, now, outbox);
        }
    }
    this->deliver(outbox);
    this->granted.notify_all();
}

void PermitService::pollEntry(Entry& entry, TimePoint now, Outbox& outbox)
{
    const auto owner = this->mesh.ownersOf(entry.key).owner;
    if (owner != entry.owner) {
        entry.owner = owner;
        if (entry.holder)
            entry.holder->onOwnerChange();
        entry.requesters.clear();
        entry.issuer.reset();
        if (owner == this->mesh.self()) {
            entry.issuer.emplace(entry.id, entry.limits, this->settings, now);
            entry.issuer->setFloors(floorHolders(entry.id, this->floorMembers, entry.limits.cold, this->settings), now);
        }
    }
    if (entry.issuer) {
        const auto messages = entry.issuer->poll(now);
        outbox.messages.insert(outbox.messages.end(), messages.begin(), messages.end());
    }
    if (!entry.holder || entry.owner.empty())
        return;
    const auto share = (this->waiting[entry.service] + preparedPerService - 1) / preparedPerService;
    const bool probing = !this->warm && entry.reportsLoad && !this->warmServices.contains(entry.service);
    entry.holder->setWaiting(std::max(entry.queued + static_cast<std::uint32_t>(share), probing ? 1U : 0U));
    if (!this->warm && entry.holder->inFlight() + entry.holder->free(now) > 0)
        this->warmServices.insert(entry.service);
    if (const auto request = entry.holder->poll(now))
        outbox.requests.emplace_back(entry.owner, *request);
}

void PermitService::deliver(const Outbox& outbox)
{
    for (const auto& [owner, request] : outbox.requests)
        this->directory.post(owner, "PermitRequest", request);
    for (const auto& [holder, contention] : outbox.contentionNotices)
        this->directory.post(holder, "PermitContention", contention);
    for (const auto& message : outbox.messages) {
        if (const auto* grant = std::get_if<AddressedGrant>(&message))
            this->directory.post(grant->to, "PermitGrant", grant->grant);
        else if (const auto* revoke = std::get_if<AddressedRevoke>(&message))
            this->directory.post(revoke->to, "PermitRevoke", revoke->revoke);
    }
}

void PermitService::handOver()
{
    std::vector<std::pair<InstanceId, PermitHandover>> handovers;
    {
        const std::lock_guard lock(this->mutex);
        for (auto& [id, entry] : this->entries) {
            if (!entry.issuer)
                continue;
            auto account = entry.issuer->handOver(monotonicNow());
            if (const auto successor = this->mesh.ownersOf(entry.key).owner; !successor.empty() && successor != this->mesh.self())
                handovers.emplace_back(successor, std::move(account));
        }
    }
    for (const auto& [successor, handover] : handovers)
        this->directory.post(successor, "PermitHandover", handover);
}

std::vector<PermitStatus> PermitService::status()
{
    const std::lock_guard lock(this->mutex);
    const auto now = monotonicNow();
    std::vector<PermitStatus> result;
    for (const auto& [id, entry] : this->entries) {
        PermitStatus status { id };
        if (entry.holder) {
            status.inFlight = entry.holder->inFlight();
            status.free = entry.holder->free(now);
            status.isFloorOnly = entry.holder->isFloorOnly(now);
        }
        if (entry.issuer) {
            status.owned = true;
            status.ownedLimit = entry.issuer->limit();
            status.ownedCharge = entry.issuer->charged();
        }
        result.push_back(status);
    }
    return result;
}

} // namespace goldcrestwood
