#include "daemon/upstream_monitor.h"

#include <algorithm>

#include "daemon/clock.h"

namespace goldcrestwood {

namespace {

    constexpr std::size_t monitorThreads = 4;
    constexpr Duration pollInterval = std::chrono::milliseconds(300);
    constexpr Duration refreshInterval = std::chrono::milliseconds(500);
    constexpr Duration idleWait = std::chrono::milliseconds(100);
    /// Interval at which an unchanged load is reported again.
    constexpr Duration reportInterval = std::chrono::seconds(2);
    constexpr Duration exchangeTimeout = std::chrono::milliseconds(500);

    HolderEvents toHolderEvents(const UpstreamId& holder, std::uint64_t after, bool isStore, const CacheEvents& read)
    {
        HolderEvents events;
        events.holder = holder;
        events.epoch = read.epoch;
        events.after = after;
        events.last = read.last;
        for (const auto& event : read.events) {
            const auto tier = isStore ? (event.onDisk ? Tier::StoreDisk : Tier::StoreMemory) : Tier::EngineMemory;
            events.events.push_back({ event.sequence, event.stored ? HolderEventKind::Stored : HolderEventKind::Evicted, tier, event.hash });
        }
        return events;
    }

} // namespace

UpstreamMonitor::UpstreamMonitor(PeerMesh& peerMesh, PeerDirectory& peerDirectory, PermitService& permitService,
    PrefixService& prefixService, Metrics& processMetrics)
    : mesh(peerMesh)
    , directory(peerDirectory)
    , permits(permitService)
    , prefixes(prefixService)
    , metrics(processMetrics)
{
    this->directory.handlePosted<ChainPlaced>("ChainKnown", [this](const ChainPlaced& placed) {
        const std::lock_guard lock(this->mutex);
        const auto found = this->targets.find(placed.upstream);
        if (found != this->targets.end() && found->second.feed && !placed.hashes.empty())
            found->second.feed->recordPlacement(ChainHash { placed.hashes.front() }, chainHashes(placed.hashes), monotonicNow());
    });
}

UpstreamMonitor::~UpstreamMonitor()
{
    this->stop();
}

void UpstreamMonitor::start()
{
    for (std::size_t i = 0; i < monitorThreads; ++i)
        this->threads.emplace_back([this] { this->run(); });
}

void UpstreamMonitor::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void UpstreamMonitor::configure(std::shared_ptr<const CatalogView> view)
{
    const std::lock_guard lock(this->mutex);
    std::map<UpstreamId, Target> next;
    const auto add = [&](const UpstreamId& id, const std::string& address, bool isStore) {
        Target entry;
        entry.id = id;
        entry.address = address;
        entry.key = upstreamKey(id);
        entry.isStore = isStore;
        const auto known = this->targets.find(entry.id);
        if (known != this->targets.end() && known->second.address == entry.address)
            entry = known->second;
        else
            entry.feed = std::make_shared<HolderFeed>(entry.id);
        next.emplace(entry.id, std::move(entry));
    };
    view->upstreams.forEach([&](const auto& row) {
        const auto* service = view->service(row.entry.service);
        if (service && service->kind == ServiceKind::Model)
            add(row.entry.id, row.entry.address, false);
    });
    view->stores.forEach([&](const auto& row) { add(row.entry.id, row.entry.address, true); });
    this->targets = std::move(next);
    this->nextRefresh = TimePoint();
}

std::map<UpstreamId, UpstreamMonitor::Target>::iterator UpstreamMonitor::nextDue(TimePoint now)
{
    if (now >= this->nextRefresh) {
        this->nextRefresh = now + refreshInterval;
        this->refreshOwned();
    }
    const auto isDue = [&](const UpstreamId& id) {
        const auto found = this->targets.find(id);
        return found != this->targets.end() && !found->second.isBeingPolled && found->second.nextPollAt <= now;
    };
    const auto due = std::find_if(this->owned.begin(), this->owned.end(), isDue);
    return due == this->owned.end() ? this->targets.end() : this->targets.find(*due);
}

void UpstreamMonitor::refreshOwned()
{
    this->owned.clear();
    for (const auto& [id, entry] : this->targets) {
        if (this->mesh.ownersOf(entry.key).owner == this->mesh.self())
            this->owned.push_back(id);
    }
}

void UpstreamMonitor::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const auto due = this->nextDue(monotonicNow());
        if (due == this->targets.end()) {
            this->wake.wait_for(lock, idleWait);
            continue;
        }
        due->second.isBeingPolled = true;
        const auto entry = due->second;
        lock.unlock();
        this->poll(entry);
        lock.lock();
        if (const auto found = this->targets.find(entry.id); found != this->targets.end()) {
            found->second.isBeingPolled = false;
            found->second.nextPollAt = monotonicNow() + pollInterval;
        }
    }
}

void UpstreamMonitor::poll(const Target& entry)
{
    this->pollEvents(entry);
    if (!entry.isStore)
        this->pollLoad(entry);
}

void UpstreamMonitor::pollEvents(const Target& entry)
{
    std::uint64_t after = 0;
    {
        const std::lock_guard lock(this->mutex);
        after = entry.feed->nextAfter();
    }
    const auto read = readCacheEvents(entry.address, after, exchangeTimeout);
    if (!read) {
        this->metrics.count("goldcrestwood_event_read_failures_total");
        return;
    }
    std::vector<AddressedEvents> batches;
    {
        const std::lock_guard lock(this->mutex);
        batches = entry.feed->poll(toHolderEvents(entry.id, after, entry.isStore, *read),
            [this](ChainHash firstBlock) { return this->prefixes.ownerOf(firstBlock); });
    }
    for (const auto& [to, events] : batches)
        this->directory.post(to, "HolderEvents", events);
}

void UpstreamMonitor::pollLoad(const Target& entry)
{
    const auto load = readLoad(entry.address, exchangeTimeout);
    if (!load) {
        this->metrics.count("goldcrestwood_load_read_failures_total");
        return;
    }
    this->permits.onLoad(entry.id, load->epoch, load->running + load->waiting);
    const UpstreamLoadReport report { entry.id, load->epoch, load->running, load->waiting, load->version, Duration(0) };
    const auto now = monotonicNow();
    bool isReportDue = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->targets.find(entry.id);
        if (found == this->targets.end())
            return;
        auto& known = found->second;
        known.version = load->version;
        isReportDue = known.lastReport != report || now >= known.nextReportAt;
        if (isReportDue) {
            known.lastReport = report;
            known.nextReportAt = now + reportInterval;
        }
    }
    if (isReportDue) {
        for (const auto& daemon : this->permits.requestersOf(entry.id))
            this->directory.post(daemon, "UpstreamLoadReport", report);
    }
    this->publishVersions();
}

void UpstreamMonitor::publishVersions()
{
    OwnedVersions versions;
    std::string encoded;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& id : this->owned) {
            const auto entry = this->targets.find(id);
            if (entry != this->targets.end() && !entry->second.version.empty())
                versions.upstreams.push_back({ id, entry->second.version });
        }
        encoded = encode(versions);
        if (encoded == this->publishedVersions)
            return;
        this->publishedVersions = encoded;
    }
    this->mesh.setCell(Topic::UpstreamLoad, "versions", encoded);
}

} // namespace goldcrestwood
