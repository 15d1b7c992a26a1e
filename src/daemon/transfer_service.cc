#include "daemon/transfer_service.h"

#include <algorithm>

#include "daemon/clock.h"
#include "daemon/upstream_client.h"
#include "goldcrestwood/daemon_messages.h"

namespace goldcrestwood {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    constexpr Duration demandInterval = std::chrono::seconds(1);
    constexpr std::size_t backgroundThreads = 2;

    const char* labelOf(TransferClass kind)
    {
        switch (kind) {
        case TransferClass::FirstToken:
            return "class=\"import\"";
        case TransferClass::Prefetch:
            return "class=\"prefetch\"";
        case TransferClass::Export:
            return "class=\"export\"";
        }
        return "";
    }

} // namespace

TransferService::TransferService(PeerMesh& peerMesh, PeerDirectory& peerDirectory, Metrics& processMetrics)
    : mesh(peerMesh)
    , directory(peerDirectory)
    , metrics(processMetrics)
{
    this->directory.handlePosted<AddressedLinkDemand>("LinkDemand",
        [this](const AddressedLinkDemand& demand) { this->onDemand(demand.from, demand.demand); });
    this->directory.handlePosted<LinkShare>("LinkShare", [this](const LinkShare& share) {
        const std::lock_guard lock(this->mutex);
        this->transfers.grant(share, monotonicNow());
    });
}

TransferService::~TransferService()
{
    this->stop();
}

void TransferService::start()
{
    this->threads.emplace_back([this] { this->runTicks(); });
    for (std::size_t i = 0; i < backgroundThreads; ++i)
        this->threads.emplace_back([this] { this->runBackgroundTransfers(); });
}

void TransferService::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void TransferService::configure(const std::shared_ptr<const CatalogView>& view)
{
    const auto daemons = std::max<std::size_t>(1, this->mesh.regionMembers().size());
    const std::lock_guard lock(this->mutex);
    view->stores.forEach([&](const auto& row) {
        const auto capacity = static_cast<double>(row.entry.linkBytesPerSecond);
        this->capacities[row.entry.id] = capacity;
        this->transfers.setLink(row.entry.id, capacity, daemons, monotonicNow());
    });
}

LinkEstimate TransferService::estimate(const UpstreamId& store)
{
    const std::lock_guard lock(this->mutex);
    return this->transfers.estimate(store, monotonicNow());
}

TransferId TransferService::submit(const BlockTransfer& transfer, bool background)
{
    const TransferId id { ++this->lastId };
    auto& job = this->jobs[id];
    job.transfer = transfer;
    job.background = background;
    const auto now = monotonicNow();
    this->changed.notify_all();
    this->apply(this->transfers.submit({ id, transfer.store, transfer.kind, transfer.bytes, now + transfer.timeout }, now));
    return id;
}

void TransferService::apply(const TransferActions& actions)
{
    for (const auto& [id] : actions.start) {
        auto& job = this->jobs[id];
        job.stage = Stage::Started;
        if (job.background)
            this->ready.push_back(id);
    }
    for (const auto& [id] : actions.drop) {
        auto& job = this->jobs[id];
        job.stage = Stage::Dropped;
        this->metrics.count("goldcrestwood_transfers_dropped_total", labelOf(job.transfer.kind));
        if (job.background)
            this->jobs.erase(id);
    }
    if (!actions.start.empty() || !actions.drop.empty())
        this->changed.notify_all();
}

std::optional<std::vector<std::uint64_t>> TransferService::import(const BlockTransfer& transfer)
{
    std::unique_lock lock(this->mutex);
    const auto id = this->submit(transfer, false);
    const auto hasOutcome = [&] { return this->stopping || this->jobs[id].stage != Stage::Waiting; };
    this->changed.wait_for(lock, transfer.timeout, hasOutcome);
    const auto stage = this->jobs[id].stage;
    this->jobs.erase(id);
    if (stage != Stage::Started) {
        this->transfers.finish(id, 0, monotonicNow());
        return std::nullopt;
    }
    lock.unlock();
    return this->runTransfer(id, transfer);
}

std::optional<std::vector<std::uint64_t>> TransferService::runTransfer(TransferId id, const BlockTransfer& transfer)
{
    const bool isExport = transfer.kind == TransferClass::Export;
    const auto transferred = isExport
        ? exportBlocks(transfer.engineAddress, transfer.hashes, transfer.storeAddress, transfer.timeout)
        : importBlocks(transfer.engineAddress, transfer.hashes, transfer.storeAddress, transfer.timeout);
    const auto blocks = std::max<std::size_t>(1, transfer.hashes.size());
    const auto bytes = transferred ? transfer.bytes * transferred->size() / blocks : transfer.bytes;
    this->metrics.count("goldcrestwood_transfer_bytes_total", labelOf(transfer.kind), bytes);
    {
        const std::lock_guard lock(this->mutex);
        this->transfers.finish(id, bytes, monotonicNow());
    }
    if (!transferred)
        return std::nullopt;
    return *transferred;
}

void TransferService::queue(const BlockTransfer& transfer, TransferHandler onTransferred)
{
    const std::lock_guard lock(this->mutex);
    const auto id = this->submit(transfer, true);
    if (const auto job = this->jobs.find(id); job != this->jobs.end())
        job->second.onTransferred = std::move(onTransferred);
}

void TransferService::runTicks()
{
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            const auto wait = this->jobs.empty() ? demandInterval : tickInterval;
            this->changed.wait_for(lock, wait, [this, wait] { return this->stopping || (wait == demandInterval && !this->jobs.empty()); });
            if (this->stopping)
                return;
            if (!this->jobs.empty())
                this->apply(this->transfers.tick(monotonicNow()));
        }
        this->reportDemands();
    }
}

void TransferService::runBackgroundTransfers()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || !this->ready.empty(); });
        if (this->stopping)
            return;
        const auto id = this->ready.front();
        this->ready.pop_front();
        const auto job = this->jobs[id];
        this->jobs.erase(id);
        lock.unlock();
        const auto transferred = this->runTransfer(id, job.transfer);
        if (transferred && job.onTransferred)
            job.onTransferred(*transferred);
        lock.lock();
    }
}

void TransferService::reportDemands()
{
    const auto now = monotonicNow();
    if (now < this->nextDemands)
        return;
    this->nextDemands = now + demandInterval;
    std::vector<LinkDemand> demands;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [store, capacity] : this->capacities)
            demands.push_back(this->transfers.demand(store, now));
    }
    for (const auto& demand : demands) {
        const auto owner = this->mesh.ownersOf(upstreamKey(demand.store)).owner;
        const bool idle = demand.firstToken == 0 && demand.prefetches == 0 && demand.exports == 0;
        if (!owner.empty() && !idle)
            this->directory.post(owner, "LinkDemand", AddressedLinkDemand { this->mesh.self(), demand });
    }
}

void TransferService::onDemand(const InstanceId& daemon, const LinkDemand& demand)
{
    const auto daemons = std::max<std::size_t>(1, this->mesh.regionMembers().size());
    LinkShare share;
    {
        const std::lock_guard lock(this->mutex);
        const auto capacity = this->capacities.find(demand.store);
        if (capacity == this->capacities.end())
            return;
        const auto now = monotonicNow();
        const TransferSettings settings;
        auto& broker = this->brokers.try_emplace(demand.store, settings, capacity->second, daemons, now + settings.grantLifetime).first->second;
        share = broker.demand(daemon, demand, now);
    }
    this->directory.post(daemon, "LinkShare", share);
}

} // namespace goldcrestwood
