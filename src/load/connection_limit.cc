#include "goldcrestwood/load/connection_limit.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    /// Listeners, timers, the log, calls to the store and to cache stores: 18 at a small site.
    constexpr std::uint64_t ownDescriptors = 32;
    /// Part of the descriptors for the control listeners together, and for the peers' port.
    constexpr std::uint64_t listenerDivisor = 8;
    /// Peers that query a feed reader at the largest site: 340 daemons with 8 readers have 43 each, and more while readers are missing.
    constexpr std::uint64_t ordinaryPeers = 64;
    /// The peers' port has no more than this part of the descriptors for them.
    constexpr std::uint64_t maxPeersDivisor = 4;
    /// Listeners with a budget for control calls.
    constexpr std::uint64_t controlListeners = 3;
    /// Each request in progress may need a connection to an upstream as well.
    constexpr std::uint64_t descriptorsPerClient = 2;
    /// Memory of an idle connection: its coroutine, socket and first buffer, 12.5 KiB measured.
    constexpr std::uint64_t bytesPerConnection = 16U << 10U;
    /// Part of the memory for idle connections.
    constexpr std::uint64_t memoryDivisor = 8;
    constexpr std::uint64_t minConnections = 4;

} // namespace

ConnectionBudget connectionBudget(std::uint64_t maxDescriptors, std::uint64_t memoryBytes)
{
    const auto perListener = std::max(minConnections, maxDescriptors / listenerDivisor);
    const auto control = std::max(minConnections, perListener / controlListeners);
    const auto peers = std::max(perListener, std::min(ordinaryPeers, maxDescriptors / maxPeersDivisor));
    const auto others = ownDescriptors + peers + controlListeners * control;
    auto clients = maxDescriptors > others ? (maxDescriptors - others) / descriptorsPerClient : 0;
    if (memoryBytes > 0)
        clients = std::min(clients, memoryBytes / memoryDivisor / bytesPerConnection);
    return { std::max(minConnections, clients), control, peers };
}

ConnectionLimit::Entry::Entry(ConnectionLimit& owner, TimePoint now)
    : limit(owner)
    , since(now)
    , position(owner.entries.insert(owner.entries.end(), this))
{
}

ConnectionLimit::Entry::~Entry()
{
    if (this->isClosing)
        --this->limit.closing;
    else
        this->limit.owesPlace = false;
    this->limit.entries.erase(this->position);
}

void ConnectionLimit::Entry::waits(TimePoint now)
{
    this->isServing = false;
    this->since = now;
}

std::unique_ptr<ConnectionLimit::Entry> ConnectionLimit::admit(TimePoint now)
{
    if (this->size() >= this->maxConnections) {
        auto* victim = this->longestWaiting();
        if (victim == nullptr) {
            ++this->refusalCount;
            this->owesPlace = true;
            return nullptr;
        }
        victim->isClosing = true;
        ++this->closing;
        ++this->evictionCount;
        victim->closeConnection();
    }
    return std::make_unique<Entry>(*this, now);
}

ConnectionLimit::Entry* ConnectionLimit::longestWaiting() const
{
    Entry* result = nullptr;
    for (auto* entry : this->entries)
        if (!entry->isServing && !entry->isClosing && entry->closeConnection && (result == nullptr || entry->since < result->since))
            result = entry;
    return result;
}

} // namespace goldcrestwood
