#include "goldcrestwood/transfer_memory.h"

#include <utility>

namespace goldcrestwood {

TransferMemory::Share::Share(TransferMemory& owner, std::function<void()> evicted)
    : memory(owner)
    , onEvicted(std::move(evicted))
    , position(owner.shares.insert(owner.shares.end(), this))
{
}

TransferMemory::Share::~Share()
{
    this->memory.usedBytes -= this->bytes;
    this->memory.shares.erase(this->position);
}

bool TransferMemory::Share::resize(std::uint64_t next)
{
    if (this->isEvicted)
        return false;
    auto& owner = this->memory;
    owner.usedBytes = owner.usedBytes - this->bytes + next;
    this->bytes = next;
    while (owner.usedBytes > owner.limitBytes) {
        auto* largest = owner.largestUnfinished();
        if (largest == nullptr || largest == this) {
            owner.evict(*this);
            return false;
        }
        owner.evict(*largest);
        largest->onEvicted();
    }
    return true;
}

TransferMemory::Share* TransferMemory::largestUnfinished() const
{
    Share* largest = nullptr;
    for (auto* share : this->shares)
        if (!share->isComplete && !share->isEvicted && (largest == nullptr || share->bytes > largest->bytes))
            largest = share;
    return largest;
}

void TransferMemory::evict(Share& share)
{
    // Its transfer ends now, and with it the memory that it holds.
    this->usedBytes -= std::exchange(share.bytes, 0);
    share.isEvicted = true;
    ++this->evictionCount;
}

} // namespace goldcrestwood
