#include "goldcrestwood/holder_feed.h"

#include <algorithm>
#include <utility>

namespace goldcrestwood {

HolderFeed::HolderFeed(UpstreamId holderId, std::size_t maxHashes)
    : holder(std::move(holderId))
    , firstBlocks(maxHashes)
{
}

void HolderFeed::recordPlacement(ChainHash firstBlock, const std::vector<ChainHash>& blocks, TimePoint now)
{
    for (const auto hash : blocks)
        this->firstBlocks.at(hash) = Known { firstBlock, now, false };
}

bool HolderFeed::acceptEpoch(const HolderEvents& answer)
{
    if (answer.epoch < this->epoch)
        return false;
    if (answer.epoch == this->epoch)
        return true;
    this->epoch = answer.epoch;
    this->lastSequence = 0;
    this->lostUpTo = 0;
    this->gapPending = true;
    for (auto& [receiver, sent] : this->receivers)
        sent = 0;
    return true;
}

bool HolderFeed::advanceTo(std::uint64_t sequence)
{
    if (sequence <= this->lastSequence)
        return false;
    if (sequence > this->lastSequence + 1) {
        this->lostUpTo = sequence - 1;
        this->gapPending = true;
    }
    this->lastSequence = sequence;
    return true;
}

std::vector<AddressedEvents> HolderFeed::buildBatches(
    const HolderEvents& answer, std::map<InstanceId, std::vector<HolderEvent>> batches)
{
    if (answer.last > this->lastSequence) {
        this->lastSequence = answer.last;
        this->lostUpTo = answer.last;
        this->gapPending = true;
    }
    if (std::exchange(this->gapPending, false)) {
        for (const auto& [receiver, sent] : this->receivers)
            batches.try_emplace(receiver);
    }
    std::vector<AddressedEvents> result;
    for (auto& [receiver, events] : batches) {
        auto& sent = this->receivers[receiver];
        const auto after = std::max(sent, this->lostUpTo);
        sent = this->lastSequence;
        result.push_back({ receiver, { this->holder, this->epoch, after, this->lastSequence, std::move(events), answer.heldBlocks } });
    }
    return result;
}

} // namespace goldcrestwood
