#pragma once

/// @file
/// The policies that the routing benchmark compares: the production policy, an oracle and three simple policies.

#include <map>
#include <memory>

#include "goldcrestwood/export_policy.h"
#include "goldcrestwood/holder_feed.h"
#include "goldcrestwood/prefix_index.h"
#include "goldcrestwood/return_history.h"
#include "goldcrestwood/router.h"
#include "goldcrestwood/transfers.h"
#include "routing_model.h"

namespace goldcrestwood::bench {

/// Periods and delays of the information that daemons receive, in seconds.
constexpr double eventPeriod = 0.5;
constexpr double loadPeriod = 0.5;
constexpr double loadLag = 0.25;
constexpr double demandPeriod = 1;
constexpr double transferPeriod = 0.01;
constexpr double domainOutLag = 1;

/// The production code, run by several daemons with delayed and lossy views; or, as an oracle, by one daemon
/// with an exact view of all caches, queues and links.
class ProductionPolicy {
public:
    ProductionPolicy(Model& benchModel, bool exactView, const RouterSettings& routerSettings = {})
        : model(benchModel)
        , isExact(exactView)
        , service(benchModel.site.name)
        , random(17)
    {
        const auto count = exactView ? 1 : benchModel.site.daemons;
        for (std::size_t i = 0; i < count; ++i) {
            this->names.emplace_back("daemon-" + std::to_string(i));
            this->daemons.push_back(std::make_unique<Daemon>(this->settingsFor(routerSettings)));
            this->configure(*this->daemons.back(), count);
        }
        for (const auto& engine : benchModel.engines)
            this->feeds.try_emplace(engine.id, engine.id);
        for (std::size_t i = 0; i < benchModel.stores.size(); ++i) {
            this->feeds.try_emplace(benchModel.stores[i].id, benchModel.stores[i].id);
            this->storeNumbers[benchModel.stores[i].id] = i;
            this->brokers.emplace_back(TransferSettings {}, benchModel.site.linkBytesPerSecond, count, pointAt(0));
        }
        for (std::size_t i = 0; i < benchModel.engines.size(); ++i)
            this->engineNumbers[benchModel.engines[i].id] = i;
        benchModel.scheduleEvery(eventPeriod, [this] { this->deliverEvents(); });
        benchModel.scheduleEvery(loadPeriod, [this] { this->reportLoads(); });
        benchModel.scheduleEvery(demandPeriod, [this] { this->grantLinks(); });
        benchModel.scheduleEvery(transferPeriod, [this] { this->tickTransfers(); });
    }

    void onArrival(std::size_t number)
    {
        const auto& prompt = this->model.trace[number];
        auto& daemon = *this->daemons[this->random() % this->daemons.size()];
        auto& owner = this->ownerOf(prompt.blocks.front());
        owner.history.observe(prompt.account, prompt.blocks, this->time());

        RouteRequest request { this->service, VersionName("v1"), { {}, prompt.blocks, prompt.tokens, this->model.site.blockTokens },
            owner.index.lookUp(prompt.blocks, this->time()), true, this->model.site.blockBytes };
        request.coverage.returnChance = owner.history.returnChance(prompt.account);
        if (this->isExact)
            this->setExactState(daemon, request);
        auto allowed = [this](const RouteTarget& target) {
            const auto out = this->isDomainKnownOut && target.domain == this->model.domain(0);
            return UpstreamCheck { out ? Refusal::DomainOut : Refusal::None, {} };
        };
        auto links = [&](const UpstreamId& store) { return this->linkEstimate(daemon, store); };
        const auto decision = daemon.router.choose(request, allowed, links, this->time(), this->random);
        if (!decision)
            return;
        if (this->isExact)
            daemon.router.finish(decision->ticket);
        this->placements[number] = { &daemon, *decision, request.coverage, 0 };
        owner.index.expect({ decision->upstream, hashValues(prompt.blocks) }, this->time());
        this->feeds.at(decision->upstream).recordPlacement(prompt.blocks.front(), prompt.blocks, this->time());
        this->startImport(number);
    }

    void onFirstToken(std::size_t number)
    {
        const auto found = this->placements.find(number);
        auto& [daemon, decision, coverage, importsLeft] = found->second;
        const auto& prompt = this->model.trace[number];
        const auto& run = this->model.runs[number];
        const auto cached = run.cachedBlocks * this->model.site.blockTokens;
        daemon->router.onFirstToken(decision.ticket, { fromSeconds(run.firstTokenAt - prompt.at), cached });
        daemon->router.finish(decision.ticket);
        this->ownerOf(prompt.blocks.front()).index.observe({ decision.upstream, hashValues(prompt.blocks) }, this->time());

        std::vector<ExportTarget> targets;
        for (const auto& store : this->model.stores) {
            if (!(this->isDomainKnownOut && store.domain == this->model.domain(0)))
                targets.push_back({ store.id, store.domain, this->linkEstimate(*daemon, store.id), 0.5 });
        }
        for (const auto& order : planExports(this->exports, prompt.blocks, coverage, targets))
            this->startExport(number, order);
        this->placements.erase(found);
    }

    /// @return Transfer counts of one class, summed over all daemons.
    TransferCounts transferCounts(TransferClass kind) const
    {
        TransferCounts sum;
        for (const auto& daemon : this->daemons) {
            const auto& counts = daemon->transfers.counts(kind);
            sum.started += counts.started;
            sum.startedBytes += counts.startedBytes;
            sum.dropped += counts.dropped;
            sum.droppedBytes += counts.droppedBytes;
        }
        return sum;
    }

private:
    struct Daemon {
        explicit Daemon(const RouterSettings& settings)
            : router(settings)
        {
        }

        PrefixIndex index;
        ReturnHistory history;
        Router router;
        TransferQueue transfers;
        std::map<TransferId, std::function<void(bool)>> startCallbacks;
    };

    struct Placement {
        Daemon* daemon = nullptr;
        RouteDecision decision;
        ChainCoverage coverage;
        std::size_t importsLeft = 0;
    };

    TimePoint time() const { return pointAt(this->model.now); }

    RouterSettings settingsFor(RouterSettings settings) const
    {
        settings.initialPrefillRate = this->model.site.prefillRate;
        if (!this->isExact)
            return settings;
        settings.noise = 0;
        settings.hysteresis = 0;
        settings.randomPicks = settings.maxCandidates = this->model.site.replicas;
        settings.maxDraws = 20 * this->model.site.replicas;
        return settings;
    }

    void configure(Daemon& daemon, std::size_t count) const
    {
        std::vector<RouteTarget> targets;
        for (const auto& engine : this->model.engines)
            targets.push_back({ engine.id, engine.domain, VersionName("v1") });
        daemon.router.setTargets(this->service, targets);
        for (const auto& store : this->model.stores)
            daemon.transfers.setLink(store.id, this->model.site.linkBytesPerSecond, count, pointAt(0));
    }

    std::size_t ownerNumber(ChainHash firstBlock)
    {
        const auto [found, isNew] = this->owners.try_emplace(firstBlock, 0);
        if (isNew)
            found->second = rendezvousRank(firstBlock.value, this->names, 1).front();
        return found->second;
    }

    Daemon& ownerOf(ChainHash firstBlock) { return *this->daemons[this->ownerNumber(firstBlock)]; }

    LinkEstimate linkEstimate(const Daemon& daemon, const UpstreamId& id) const
    {
        const auto& store = this->model.stores[this->storeNumbers.at(id)];
        if (this->isDomainKnownOut && store.domain == this->model.domain(0))
            return {};
        if (!this->isExact)
            return daemon.transfers.estimate(id, this->time());
        const auto rate = this->model.site.linkBytesPerSecond;
        return { rate, std::max(0.0, store.busyUntil - this->model.now) * rate };
    }

    void setExactState(Daemon& daemon, RouteRequest& request)
    {
        request.coverage.engines.clear();
        request.coverage.stores.clear();
        for (std::size_t i = 0; i < this->model.engines.size(); ++i) {
            const auto& engine = this->model.engines[i];
            if (const auto blocks = engine.cachedPrefixBlocks(request.chain.blocks); blocks > 0)
                request.coverage.engines.push_back({ engine.id, blocks, 1 });
            const auto queue = fromSeconds(this->model.queueSeconds(i));
            daemon.router.reportLoad(engine.id, { 0, 0, queue, Duration(0) }, this->time());
        }
        for (const auto& store : this->model.stores) {
            for (std::uint32_t i = 0; i < request.chain.blocks.size(); ++i) {
                const auto hash = request.chain.blocks[i];
                if (!store.contains(hash))
                    continue;
                const auto tier = store.memory.contains(hash) ? Tier::StoreMemory : Tier::StoreDisk;
                request.coverage.stores.push_back({ store.id, tier, i, 1, 1 });
            }
        }
    }

    void startImport(std::size_t number)
    {
        auto& [daemon, decision, coverage, importsLeft] = this->placements.at(number);
        const auto engine = this->engineNumbers.at(decision.upstream);
        const auto prefill = toSeconds(decision.expectedFirstToken - std::max(decision.expectedQueue, decision.import.duration));
        importsLeft = decision.import.runs.size();
        this->model.dispatch(number, engine, importsLeft == 0, prefill);
        const auto deadline = this->time() + decision.import.usefulFor;
        const auto& blocks = this->model.trace[number].blocks;
        for (const auto& run : decision.import.runs) {
            const std::vector<ChainHash> imported(blocks.begin() + run.firstBlock, blocks.begin() + run.firstBlock + run.blocks);
            this->feeds.at(run.store).recordPlacement(blocks.front(), imported, this->time());
            const auto bytes = run.blocks * this->model.site.blockBytes;
            const auto factor = run.tier == Tier::StoreDisk ? this->model.site.diskFactor : 1;
            this->submit(*daemon, { {}, run.store, TransferClass::FirstToken, bytes, deadline }, factor,
                [this, number, run, engine](bool moved) { this->finishImport(number, engine, run, moved); });
        }
    }

    void finishImport(std::size_t number, std::size_t engine, const ImportRun& run, bool moved)
    {
        auto& store = this->model.stores[this->storeNumbers.at(run.store)];
        const auto& blocks = this->model.trace[number].blocks;
        BlocksSeen seen { run.store, Tier::StoreMemory, {}, {} };
        for (auto i = run.firstBlock; moved && i < run.firstBlock + run.blocks; ++i) {
            const auto isHeld = store.contains(blocks[i]);
            (isHeld ? seen.held : seen.absent).push_back(blocks[i].value);
            if (!isHeld)
                continue;
            store.insert(blocks[i]);
            this->model.engines[engine].insert(blocks[i]);
        }
        this->ownerOf(blocks.front()).index.observe(seen, this->time());
        const auto found = this->placements.find(number);
        if (found != this->placements.end() && --found->second.importsLeft == 0)
            this->model.makeReady(number);
    }

    void startExport(std::size_t number, const ExportOrder& order)
    {
        auto& [daemon, decision, coverage, importsLeft] = this->placements.at(number);
        const auto engine = this->engineNumbers.at(decision.upstream);
        const auto storeNumber = this->storeNumbers.at(order.store);
        const auto& blocks = this->model.trace[number].blocks;
        for (const auto block : order.blocks) {
            const auto hash = blocks[block];
            this->feeds.at(order.store).recordPlacement(blocks.front(), { hash }, this->time());
            const Transfer transfer { {}, order.store, TransferClass::Export, this->model.site.blockBytes,
                this->time() + std::chrono::seconds(20) };
            const auto first = blocks.front();
            this->submit(*daemon, transfer, 1, [this, hash, first, engine, storeNumber](bool moved) {
                auto& store = this->model.stores[storeNumber];
                BlocksSeen seen { store.id, Tier::StoreMemory, {}, {} };
                const auto done = moved && this->model.engines[engine].cache.contains(hash);
                if (done)
                    store.insert(hash);
                (done ? seen.held : seen.absent).push_back(hash.value);
                this->ownerOf(first).index.observe(seen, this->time());
            });
        }
    }

    void submit(Daemon& daemon, Transfer transfer, double factor, std::function<void(bool)> done)
    {
        transfer.id = { ++this->lastTransfer };
        transfer.bytes = static_cast<std::uint64_t>(static_cast<double>(transfer.bytes) * factor);
        const auto storeNumber = this->storeNumbers.at(transfer.store);
        daemon.startCallbacks[transfer.id] = [this, &daemon, transfer, storeNumber, done = std::move(done)](bool started) {
            if (!started)
                return done(false);
            this->model.transfer(storeNumber, static_cast<double>(transfer.bytes), 1, [this, &daemon, transfer, done] {
                daemon.transfers.finish(transfer.id, transfer.bytes, this->time());
                done(true);
            });
        };
        this->applyActions(daemon, daemon.transfers.submit(transfer, this->time()));
    }

    void applyActions(Daemon& daemon, const TransferActions& actions)
    {
        for (const auto& [id] : actions.start)
            this->takeCallback(daemon, id)(true);
        for (const auto& [id] : actions.drop)
            this->takeCallback(daemon, id)(false);
    }

    std::function<void(bool)> takeCallback(Daemon& daemon, TransferId id)
    {
        const auto found = daemon.startCallbacks.find(id);
        auto callback = std::move(found->second);
        daemon.startCallbacks.erase(found);
        return callback;
    }

    void deliverEvents()
    {
        auto forward = [this](const HolderEvents& events) {
            auto ownerName = [this](ChainHash first) { return this->names[this->ownerNumber(first)]; };
            for (const auto& message : this->feeds.at(events.holder).poll(events, ownerName)) {
                const auto position = std::find(this->names.begin(), this->names.end(), message.to) - this->names.begin();
                this->daemons[static_cast<std::size_t>(position)]->index.apply(message.events, this->time());
            }
        };
        for (auto& engine : this->model.engines)
            forward(engine.log.take(engine.id, engine.cache.size()));
        for (auto& store : this->model.stores)
            forward(store.log.take(store.id, store.memory.size() + store.disk.size()));
    }

    void reportLoads()
    {
        this->model.schedule(this->model.now + domainOutLag, [this, out = this->model.domainOut] { this->isDomainKnownOut = out; });
        if (this->isExact)
            return;
        for (const auto& engine : this->model.engines) {
            Duration sum(0);
            for (const auto& daemon : this->daemons)
                sum += daemon->router.outstandingPrefill(engine.id);
            for (auto& daemon : this->daemons) {
                const LoadReport report { engine.current ? 1U : 0U, static_cast<std::uint32_t>(engine.waiting.size()),
                    sum - daemon->router.outstandingPrefill(engine.id), fromSeconds(loadLag) };
                this->model.schedule(this->model.now + loadLag,
                    [this, &daemon, id = engine.id, report] { daemon->router.reportLoad(id, report, this->time()); });
            }
        }
    }

    void grantLinks()
    {
        for (std::size_t i = 0; i < this->model.stores.size(); ++i) {
            for (std::size_t j = 0; j < this->daemons.size(); ++j) {
                auto& transfers = this->daemons[j]->transfers;
                const auto demand = transfers.demand(this->model.stores[i].id, this->time());
                transfers.grant(this->brokers[i].demand(this->names[j], demand, this->time()), this->time());
            }
        }
    }

    void tickTransfers()
    {
        for (auto& daemon : this->daemons) {
            if (daemon->transfers.nextStart(this->time()))
                this->applyActions(*daemon, daemon->transfers.tick(this->time()));
        }
    }

    Model& model;
    bool isExact;
    ServiceName service;
    Random random;
    ExportSettings exports;
    std::vector<InstanceId> names;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::unordered_map<ChainHash, std::size_t> owners;
    std::map<UpstreamId, HolderFeed> feeds;
    std::map<UpstreamId, std::size_t> storeNumbers;
    std::map<UpstreamId, std::size_t> engineNumbers;
    std::vector<LinkBroker> brokers;
    std::map<std::size_t, Placement> placements;
    std::uint64_t lastTransfer = 0;
    bool isDomainKnownOut = false;
};

inline PolicyMetrics runProduction(const Site& site, const std::vector<TraceRequest>& trace, bool exact)
{
    Model model(site, trace);
    ProductionPolicy project(model, exact);
    return model.run(
        exact ? "oracle" : "goldcrestwood", [&](std::size_t i) { project.onArrival(i); }, [&](std::size_t i) { project.onFirstToken(i); });
}

/// Policies without a store. Each knows at once which domain is out.
enum class SimplePolicy : std::uint8_t {
    RoundRobin,
    LeastLoad, ///< The engine with the shortest queue, known without delay.
    PrefixAffinity, ///< By the hash of the prompt's blocks up to the first one that is not shared.
};

inline PolicyMetrics runSimple(const Site& site, const std::vector<TraceRequest>& trace, SimplePolicy policy)
{
    Model model(site, trace);
    std::size_t next = 0;
    auto onArrival = [&](std::size_t number) {
        std::vector<std::size_t> usable;
        std::vector<InstanceId> names;
        for (std::size_t i = 0; i < model.engines.size(); ++i) {
            if (model.isOut(model.engines[i].domain))
                continue;
            usable.push_back(i);
            names.emplace_back(model.engines[i].id.value);
        }
        auto chosen = usable[next++ % usable.size()];
        if (policy == SimplePolicy::LeastLoad)
            chosen = *std::min_element(usable.begin(), usable.end(),
                [&](std::size_t left, std::size_t right) { return model.queueSeconds(left) < model.queueSeconds(right); });
        if (policy == SimplePolicy::PrefixAffinity)
            chosen = usable[rendezvousRank(trace[number].blocks[site.sharedBlocks].value, names, 1).front()];
        const auto covered = model.engines[chosen].cachedPrefixBlocks(trace[number].blocks);
        model.dispatch(number, chosen, true, (trace[number].tokens - covered * site.blockTokens) / site.prefillRate);
    };
    static const char* const titles[] = { "round robin", "least load", "prefix affinity" };
    return model.run(titles[static_cast<std::size_t>(policy)], onArrival, [](std::size_t) {});
}

} // namespace goldcrestwood::bench
