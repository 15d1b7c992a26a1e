/// @file
/// Stand-in for a store instance: cache blocks in memory and on disk behind a link of limited bandwidth.

#include <algorithm>
#include <condition_variable>
#include <list>
#include <map>
#include <thread>

#include "cache_events.h"
#include "standin.h"

#include "goldcrestwood/hash.h"

using namespace goldcrestwood;
using namespace goldcrestwood::standin;

namespace {

struct StoreOptions {
    std::uint64_t memoryBytes = 64ULL << 20U;
    std::uint64_t diskBytes = 256ULL << 20U;
    double linkBytesPerSecond = 64.0 * (1U << 20U);
    double diskSlowdown = 3;
    int eventLagMs = 300;
};

struct StoreFaults {
    /// Factor on the transfer time of the link.
    double linkSlowdown = 1;
    /// Every write fails with 507.
    bool full = false;
    /// Share of reads whose block is corrupted in transfer.
    double damageShare = 0;
    /// Share of reads during which the block is replaced.
    double replaceShare = 0;
    /// Share of cache events that are never published.
    double dropEventShare = 0;
};

void visitFields(StoreFaults& faults, const auto& visit)
{
    visit("link_slowdown", faults.linkSlowdown);
    visit("full", faults.full);
    visit("damage_share", faults.damageShare);
    visit("replace_share", faults.replaceShare);
    visit("drop_event_share", faults.dropEventShare);
}

/// A link that carries one transfer at a time.
class Link {
public:
    explicit Link(double capacity)
        : bytesPerSecond(capacity)
    {
    }

    /// Blocks until the link has transferred @p bytes.
    void transfer(std::uint64_t bytes, double slowdown)
    {
        const std::chrono::duration<double> time(static_cast<double>(bytes) / this->bytesPerSecond * slowdown);
        std::unique_lock guard(this->lock);
        this->idleAt = std::max(this->idleAt, Clock::now()) + std::chrono::duration_cast<Clock::duration>(time);
        this->transferred += bytes;
        const auto done = this->idleAt;
        guard.unlock();
        std::this_thread::sleep_until(done);
    }

    std::uint64_t transferredBytes() const
    {
        const std::lock_guard guard(this->lock);
        return this->transferred;
    }

private:
    double bytesPerSecond;
    mutable std::mutex lock;
    Clock::time_point idleAt;
    std::uint64_t transferred = 0;
};

struct StoredBlock {
    std::string content;
    std::string checksum;
    std::uint64_t bytes = 0;
    std::uint64_t generation = 0;
    bool inMemory = true;
};

/// Blocks in two LRU tiers: the least recently used blocks are demoted from memory to disk, then evicted.
class BlockStore {
public:
    BlockStore(const StoreOptions& storeOptions, FaultSwitch<StoreFaults>& faultSwitch)
        : options(storeOptions)
        , faults(faultSwitch)
        , events(std::chrono::milliseconds(options.eventLagMs))
    {
    }

    bool put(const std::string& hash, StoredBlock block)
    {
        const std::lock_guard guard(this->lock);
        if (block.bytes > this->options.memoryBytes)
            return false;
        this->erase(hash);
        block.generation = ++this->lastGeneration;
        this->memoryUsed += block.bytes;
        this->blocks[hash] = std::move(block);
        this->order.push_front(hash);
        this->record("stored", hash, "memory");
        this->makeRoom();
        return true;
    }

    /// @return The block, or a block with generation 0 if it is absent.
    StoredBlock get(const std::string& hash)
    {
        const std::lock_guard guard(this->lock);
        const auto found = this->blocks.find(hash);
        if (found == this->blocks.end())
            return {};
        this->order.remove(hash);
        this->order.push_front(hash);
        return found->second;
    }

    void replace(const std::string& hash)
    {
        const std::lock_guard guard(this->lock);
        if (auto found = this->blocks.find(hash); found != this->blocks.end())
            found->second.generation = ++this->lastGeneration;
    }

    nlohmann::json eventsAfter(std::uint64_t sequence) { return this->events.eventsAfter(sequence); }

    nlohmann::json load(const Link& link) const
    {
        const std::lock_guard guard(this->lock);
        return { { "epoch", this->events.epoch }, { "memory_bytes", this->memoryUsed }, { "disk_bytes", this->diskUsed },
            { "memory_capacity", this->options.memoryBytes }, { "disk_capacity", this->options.diskBytes },
            { "link_bytes_per_second", this->options.linkBytesPerSecond }, { "carried_bytes", link.transferredBytes() } };
    }

private:
    void record(const char* kind, const std::string& hash, const char* tier)
    {
        this->events.add({ { "kind", kind }, { "hash", hash }, { "tier", tier } },
            this->faults.draw(this->faults.own().dropEventShare));
    }

    void erase(const std::string& hash)
    {
        const auto found = this->blocks.find(hash);
        if (found == this->blocks.end())
            return;
        (found->second.inMemory ? this->memoryUsed : this->diskUsed) -= found->second.bytes;
        this->blocks.erase(found);
        this->order.remove(hash);
    }

    void makeRoom()
    {
        while (this->memoryUsed > this->options.memoryBytes)
            this->demoteOldest();
        while (this->diskUsed > this->options.diskBytes)
            this->evictOldest();
    }

    void demoteOldest()
    {
        const auto oldest = std::find_if(this->order.rbegin(), this->order.rend(),
            [&](const auto& hash) { return this->blocks.at(hash).inMemory; });
        auto& block = this->blocks.at(*oldest);
        block.inMemory = false;
        this->memoryUsed -= block.bytes;
        this->diskUsed += block.bytes;
        this->record("stored", *oldest, "disk");
    }

    void evictOldest()
    {
        const auto oldest = std::find_if(this->order.rbegin(), this->order.rend(),
            [&](const auto& hash) { return !this->blocks.at(hash).inMemory; });
        const auto hash = *oldest;
        this->erase(hash);
        this->record("evicted", hash, "disk");
    }

    StoreOptions options;
    FaultSwitch<StoreFaults>& faults;
    mutable std::mutex lock;
    CacheEvents events;
    std::map<std::string, StoredBlock> blocks;
    std::list<std::string> order;
    std::uint64_t memoryUsed = 0;
    std::uint64_t diskUsed = 0;
    std::uint64_t lastGeneration = 0;
};

void answerBlock(const httplib::Request& request, httplib::Response& response, FaultSwitch<StoreFaults>& faults,
    BlockStore& store, Link& link, double diskSlowdown)
{
    const std::string hash = request.matches[1];
    auto block = store.get(hash);
    if (block.generation == 0)
        return answerJson(response, { { "error", "absent" } }, 404);
    const auto own = faults.own();
    if (request.method == "GET")
        link.transfer(block.bytes, own.linkSlowdown * (block.inMemory ? 1 : diskSlowdown));
    if (request.method == "GET" && faults.draw(own.replaceShare))
        store.replace(hash);
    if (!block.content.empty() && faults.draw(own.damageShare))
        block.content.back() = static_cast<char>(block.content.back() ^ 1);
    response.set_header("X-Checksum", block.checksum);
    response.set_header("X-Generation", std::to_string(block.generation));
    response.set_header("X-Bytes", std::to_string(block.bytes));
    response.set_header("X-Tier", block.inMemory ? "memory" : "disk");
    response.set_content(block.content, "application/octet-stream");
}

void storeBlock(const httplib::Request& request, httplib::Response& response, FaultSwitch<StoreFaults>& faults,
    BlockStore& store, Link& link)
{
    const auto own = faults.own();
    if (own.full)
        return answerJson(response, { { "error", "full" } }, 507);
    const auto checksum = request.get_header_value("X-Checksum");
    if (checksum != toHex(stableHash(request.body)))
        return answerJson(response, { { "error", "checksum" } }, 400);
    StoredBlock block { request.body, checksum, std::strtoull(request.get_header_value("X-Bytes").c_str(), nullptr, 10) };
    link.transfer(block.bytes, own.linkSlowdown);
    if (!store.put(request.matches[1], std::move(block)))
        return answerJson(response, { { "error", "full" } }, 507);
    answerJson(response, nlohmann::json::object(), 201);
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    StoreOptions options;
    po::options_description description("store_standin");
    description.add_options()("memory-bytes", po::value(&options.memoryBytes)->default_value(options.memoryBytes),
        "memory tier")("disk-bytes", po::value(&options.diskBytes)->default_value(options.diskBytes), "disk tier")(
        "link-bytes-per-second", po::value(&options.linkBytesPerSecond)->default_value(options.linkBytesPerSecond),
        "link capacity")("disk-slowdown", po::value(&options.diskSlowdown)->default_value(3),
        "factor on the time of a read from disk")(
        "event-lag-ms", po::value(&options.eventLagMs)->default_value(300), "delay of cache events");
    const auto common = parseCommandLine(argc, argv, description);

    httplib::Server server;
    FaultSwitch<StoreFaults> faults(server, common.seed);
    BlockStore store(options, faults);
    Link link(options.linkBytesPerSecond);
    server.Get(R"(/v1/blocks/([0-9a-f]{16}))", faults.guarded([&](const auto& request, auto& response) {
        answerBlock(request, response, faults, store, link, options.diskSlowdown);
    }));
    server.Put(R"(/v1/blocks/([0-9a-f]{16}))", faults.guarded([&](const auto& request, auto& response) {
        storeBlock(request, response, faults, store, link);
    }));
    server.Get("/v1/events", faults.guarded([&](const auto& request, auto& response) {
        answerJson(response,
            store.eventsAfter(std::strtoull(request.get_param_value("after").c_str(), nullptr, 10)));
    }));
    server.Get("/v1/load", faults.guarded([&](const auto&, auto& response) { answerJson(response, store.load(link)); }));
    return serve(server, common.listen);
}
