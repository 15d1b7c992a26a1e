#include "goldcrestwood/load/request_memory.h"

#include <utility>

namespace goldcrestwood {

namespace {

    /// Added to the time without progress, so that requests that have all just made progress compare by their bytes. With 100 ms, a largest
    /// request that made progress was given up before a small one that had stopped half a second ago.
    constexpr Duration progressGrace = std::chrono::milliseconds(10);

} // namespace

RequestMemory::Share::Share(RequestMemory& owner, std::function<void()> evicted, TimePoint now)
    : memory(owner)
    , onEvicted(std::move(evicted))
    , progressed(now)
    , position(owner.shares.insert(owner.shares.end(), this))
{
}

RequestMemory::Share::~Share()
{
    this->memory.usedBytes -= this->bytes;
    this->memory.shares.erase(this->position);
}

bool RequestMemory::Share::resize(std::uint64_t next, TimePoint now)
{
    if (this->isEvicted)
        return false;
    auto& owner = this->memory;
    owner.usedBytes = owner.usedBytes - this->bytes + next;
    this->bytes = next;
    if (next < this->bytesAtProgress || next - this->bytesAtProgress >= progressBytes) {
        this->bytesAtProgress = next;
        this->progressed = now;
    }
    while (owner.usedBytes > owner.limitBytes) {
        auto* victim = owner.leastUseful(now);
        if (victim == nullptr || victim == this) {
            owner.evict(*this);
            return false;
        }
        victim->onEvicted();
        owner.evict(*victim);
    }
    return true;
}

RequestMemory::Share* RequestMemory::leastUseful(TimePoint now) const
{
    const auto cost = [now](const Share& share) { return static_cast<double>(share.bytes) * toSeconds(now - share.progressed + progressGrace); };
    Share* result = nullptr;
    for (auto* share : this->shares)
        if (share->bytes > 0 && !share->isComplete && !share->isEvicted && (result == nullptr || cost(*share) > cost(*result)))
            result = share;
    return result;
}

void RequestMemory::evict(Share& share)
{
    this->usedBytes -= std::exchange(share.bytes, 0);
    share.isEvicted = true;
    ++this->evictionCount;
}

} // namespace goldcrestwood
