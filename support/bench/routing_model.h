#pragma once

/// @file
/// Simulation of engines, stores and links on which the routing policies run.

#include <functional>
#include <list>
#include <queue>
#include <unordered_map>

#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/time.h"
#include "routing_trace.h"

namespace goldcrestwood::bench {

inline TimePoint pointAt(double seconds)
{
    return TimePoint {} + fromSeconds(1e6 + seconds);
}

/// Set of blocks that evicts the least recently used one.
class LeastRecentlyUsed {
public:
    explicit LeastRecentlyUsed(std::size_t maxBlocks)
        : capacity(maxBlocks)
    {
    }

    bool contains(ChainHash hash) const { return this->positions.count(hash) != 0; }
    std::size_t size() const { return this->positions.size(); }

    void touch(ChainHash hash)
    {
        if (const auto found = this->positions.find(hash); found != this->positions.end())
            this->order.splice(this->order.begin(), this->order, found->second);
    }

    void erase(ChainHash hash)
    {
        if (const auto found = this->positions.find(hash); found != this->positions.end()) {
            this->order.erase(found->second);
            this->positions.erase(found);
        }
    }

    /// @return The evicted block, if any.
    std::optional<ChainHash> insert(ChainHash hash)
    {
        this->order.push_front(hash);
        this->positions[hash] = this->order.begin();
        if (this->order.size() <= this->capacity)
            return std::nullopt;
        const auto last = this->order.back();
        this->erase(last);
        return last;
    }

    void clear()
    {
        this->order.clear();
        this->positions.clear();
    }

private:
    std::size_t capacity;
    std::list<ChainHash> order;
    std::unordered_map<ChainHash, std::list<ChainHash>::iterator> positions;
};

/// Event stream of an engine or store that loses some events.
struct EventLog {
    std::uint64_t epoch = 1;
    std::uint64_t sequence = 0;
    double lossShare = 0.01;
    Random random { 5 };
    std::vector<HolderEvent> events;

    void add(HolderEventKind kind, Tier tier, ChainHash hash)
    {
        ++this->sequence;
        if (uniform(this->random) >= this->lossShare)
            this->events.push_back({ this->sequence, kind, tier, hash.value });
    }

    /// @return The events since the last call.
    HolderEvents take(const UpstreamId& holder, std::size_t held)
    {
        HolderEvents batch { holder, this->epoch, 0, this->sequence, std::move(this->events), held };
        this->events.clear();
        return batch;
    }

    void restart()
    {
        ++this->epoch;
        this->sequence = 0;
        this->events.clear();
    }
};

struct Engine {
    UpstreamId id;
    FailureDomain domain;
    LeastRecentlyUsed cache;
    EventLog log;
    /// Requests whose prefill has not started, in order of arrival.
    std::list<std::size_t> waiting;
    std::optional<std::size_t> current;
    double currentUntil = 0;

    void insert(ChainHash hash)
    {
        if (this->cache.contains(hash))
            return this->cache.touch(hash);
        const auto evicted = this->cache.insert(hash);
        this->log.add(HolderEventKind::Stored, Tier::EngineMemory, hash);
        if (evicted)
            this->log.add(HolderEventKind::Evicted, Tier::EngineMemory, *evicted);
    }

    std::uint32_t cachedPrefixBlocks(const std::vector<ChainHash>& chain) const
    {
        std::uint32_t blocks = 0;
        while (blocks < chain.size() && this->cache.contains(chain[blocks]))
            ++blocks;
        return blocks;
    }
};

struct Store {
    UpstreamId id;
    FailureDomain domain;
    LeastRecentlyUsed memory;
    LeastRecentlyUsed disk;
    EventLog log;
    double busyUntil = 0;
    double busySeconds = 0;
    double bytes = 0;

    void insert(ChainHash hash)
    {
        if (this->memory.contains(hash))
            return this->memory.touch(hash);
        if (this->disk.contains(hash)) {
            this->disk.erase(hash);
            this->log.add(HolderEventKind::Evicted, Tier::StoreDisk, hash);
        }
        const auto demoted = this->memory.insert(hash);
        this->log.add(HolderEventKind::Stored, Tier::StoreMemory, hash);
        if (!demoted)
            return;
        this->log.add(HolderEventKind::Evicted, Tier::StoreMemory, *demoted);
        const auto evicted = this->disk.insert(*demoted);
        this->log.add(HolderEventKind::Stored, Tier::StoreDisk, *demoted);
        if (evicted)
            this->log.add(HolderEventKind::Evicted, Tier::StoreDisk, *evicted);
    }

    bool contains(ChainHash hash) const { return this->memory.contains(hash) || this->disk.contains(hash); }
};

/// State of a request in the simulation.
struct RequestState {
    std::size_t engine = 0;
    bool ready = true;
    double expectedPrefill = 0;
    double firstTokenAt = 0;
    std::uint32_t cachedBlocks = 0;
    bool done = false;
};

/// Results of one policy on one trace; times to first token in seconds.
struct PolicyMetrics {
    std::string policy;
    double p50 = 0;
    double p95 = 0;
    double returningP50 = 0;
    double returningP95 = 0;
    /// Share of the previously seen blocks that were computed again.
    double recomputedShare = 0;
    double gigabytes = 0;
    double linkShare = 0;
    double domainOutP95 = 0;
};

inline double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

class Model {
public:
    /// Part of the time to first token, in seconds, that is not queueing, import or prefill.
    static constexpr double fixedOverhead = 0.02;

    Model(const Site& benchSite, const std::vector<TraceRequest>& requests)
        : site(benchSite)
        , trace(requests)
        , runs(requests.size())
    {
        for (std::size_t i = 0; i < benchSite.replicas; ++i) {
            this->engines.push_back({ UpstreamId(benchSite.name + "-" + std::to_string(i)), this->domain(i),
                LeastRecentlyUsed(benchSite.engineBlocks), {}, {}, {}, 0 });
            this->engines.back().log.random.seed(100 + i);
        }
        for (std::size_t i = 0; i < benchSite.stores; ++i)
            this->stores.push_back({ UpstreamId("store-" + std::to_string(i)), this->domain(i + 1),
                LeastRecentlyUsed(benchSite.storeMemoryBlocks / benchSite.stores),
                LeastRecentlyUsed(benchSite.storeDiskBlocks / benchSite.stores), {}, 0, 0, 0 });
    }

    FailureDomain domain(std::size_t number) const { return FailureDomain("domain-" + std::to_string(number % 3)); }
    bool isOut(const FailureDomain& name) const { return this->domainOut && name == this->domain(0); }

    void schedule(double time, std::function<void()> action)
    {
        this->eventQueue.push({ std::max(time, this->now), this->nextOrder++, std::move(action) });
    }

    void scheduleEvery(double period, const std::function<void()>& action)
    {
        this->schedule(this->now + period, [this, period, action] {
            action();
            if (this->now < this->site.length)
                this->scheduleEvery(period, action);
        });
    }

    /// Sends a request to an engine; if @p ready is false, the prefill waits for makeReady().
    void dispatch(std::size_t request, std::size_t engine, bool ready, double expectedPrefill)
    {
        auto& run = this->runs[request];
        run.engine = engine;
        run.ready = ready;
        run.expectedPrefill = expectedPrefill;
        this->engines[engine].waiting.push_back(request);
        this->startNext(engine);
    }

    void makeReady(std::size_t request)
    {
        this->runs[request].ready = true;
        this->startNext(this->runs[request].engine);
    }

    /// Transfers bytes over a store's link, which carries one transfer at a time, and then calls @p done.
    void transfer(std::size_t storeIndex, double bytes, double factor, std::function<void()> done)
    {
        auto& store = this->stores[storeIndex];
        const auto seconds = bytes * factor / this->site.linkBytesPerSecond;
        store.busyUntil = std::max(store.busyUntil, this->now) + seconds;
        if (this->now >= this->site.warmUp) {
            store.busySeconds += seconds;
            store.bytes += bytes;
        }
        this->schedule(store.busyUntil, std::move(done));
    }

    /// @return Expected seconds until an engine has worked off its queue.
    double queueSeconds(std::size_t engine) const
    {
        const auto& entry = this->engines[engine];
        auto seconds = entry.current ? entry.currentUntil - this->now : 0;
        for (const auto request : entry.waiting)
            seconds += this->runs[request].expectedPrefill;
        return seconds;
    }

    /// Runs the trace; calls @p onArrival to place a request and @p onAnswer at its first token.
    PolicyMetrics run(const std::string& policy, const std::function<void(std::size_t)>& onArrival,
        const std::function<void(std::size_t)>& onAnswer)
    {
        this->onFirstToken = onAnswer;
        for (std::size_t i = 0; i < this->trace.size(); ++i)
            this->schedule(this->trace[i].at, [&onArrival, i] { onArrival(i); });
        this->schedule(this->site.domainOutFrom, [this] { this->domainOut = true; });
        this->schedule(this->site.domainBackAt, [this] { this->restoreDomain(); });
        while (!this->eventQueue.empty()) {
            const auto next = this->eventQueue.top();
            this->eventQueue.pop();
            this->now = next.time;
            next.action();
        }
        return this->collectMetrics(policy);
    }

    const Site& site;
    const std::vector<TraceRequest>& trace;
    std::vector<RequestState> runs;
    std::vector<Engine> engines;
    std::vector<Store> stores;
    double now = 0;
    bool domainOut = false;

private:
    struct ScheduledAction {
        double time = 0;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const ScheduledAction& other) const
        {
            return std::pair(other.time, other.order) < std::pair(this->time, this->order);
        }
    };

    void restoreDomain()
    {
        this->domainOut = false;
        for (auto& engine : this->engines) {
            if (engine.domain != this->domain(0))
                continue;
            engine.cache.clear();
            engine.log.restart();
        }
    }

    void startNext(std::size_t index)
    {
        auto& engine = this->engines[index];
        if (engine.current)
            return;
        const auto next = std::find_if(engine.waiting.begin(), engine.waiting.end(),
            [this](std::size_t request) { return this->runs[request].ready; });
        if (next == engine.waiting.end())
            return;
        const auto request = *next;
        engine.waiting.erase(next);
        const auto& prompt = this->trace[request];
        auto& run = this->runs[request];
        run.cachedBlocks = engine.cachedPrefixBlocks(prompt.blocks);
        const auto tokens = prompt.tokens - run.cachedBlocks * this->site.blockTokens;
        engine.current = request;
        engine.currentUntil = this->now + tokens / this->site.prefillRate;
        this->schedule(engine.currentUntil, [this, index] { this->finishPrefill(index); });
    }

    void finishPrefill(std::size_t index)
    {
        auto& engine = this->engines[index];
        const auto request = *engine.current;
        engine.current.reset();
        const auto& blocks = this->trace[request].blocks;
        std::for_each(blocks.rbegin(), blocks.rend(), [&engine](ChainHash block) { engine.insert(block); });
        auto& run = this->runs[request];
        run.done = true;
        run.firstTokenAt = this->now + fixedOverhead;
        this->onFirstToken(request);
        this->startNext(index);
    }

    PolicyMetrics collectMetrics(const std::string& policy) const
    {
        PolicyMetrics result;
        result.policy = policy;
        std::vector<double> all;
        std::vector<double> returning;
        std::vector<double> whileOut;
        auto seen = 0.0;
        auto recomputed = 0.0;
        auto run = this->runs.begin();
        for (const auto& request : this->trace) {
            const auto& outcome = *run++;
            if (request.at < this->site.warmUp)
                continue;
            const auto seconds = outcome.done ? outcome.firstTokenAt - request.at : 1e9;
            all.push_back(seconds);
            if (request.isReturning)
                returning.push_back(seconds);
            if (request.at >= this->site.domainOutFrom && request.at < this->site.domainBackAt + 60)
                whileOut.push_back(seconds);
            seen += request.seenBlocks;
            recomputed += request.seenBlocks - std::min(outcome.cachedBlocks, request.seenBlocks);
        }
        result.p50 = quantile(all, 0.5);
        result.p95 = quantile(all, 0.95);
        result.returningP50 = quantile(returning, 0.5);
        result.returningP95 = quantile(returning, 0.95);
        result.domainOutP95 = quantile(whileOut, 0.95);
        result.recomputedShare = seen > 0 ? recomputed / seen : 0;
        for (const auto& store : this->stores) {
            result.gigabytes += store.bytes / 1e9;
            result.linkShare += store.busySeconds / (this->site.length - this->site.warmUp) / static_cast<double>(this->stores.size());
        }
        return result;
    }

    std::priority_queue<ScheduledAction> eventQueue;
    std::uint64_t nextOrder = 0;
    std::function<void(std::size_t)> onFirstToken;
};

} // namespace goldcrestwood::bench
