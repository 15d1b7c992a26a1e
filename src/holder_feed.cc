#include "goldcrestwood/holder_feed.h"

#include <algorithm>

namespace goldcrestwood {

HolderFeed::HolderFeed(UpstreamId holderId, std::size_t maxHashes)
    : holder(std::move(holderId))
    , firstBlocks(maxHashes)
{
}

void HolderFeed::place(const std::vector<ChainHash>& chain, TimePoint now)
{
    for (const auto hash : chain)
        this->firstBlocks.at(hash) = Known { chain.front(), now };
}

bool HolderFeed::enter(const HolderEvents& answer)
{
    if (answer.epoch < this->epoch)
        return false;
    if (answer.epoch > this->epoch || !this->started) {
        this->epoch = answer.epoch;
        this->lastSequence = 0;
        this->lostUpTo = 0;
        for (auto& [receiver, sent] : this->receivers)
            sent = 0;
    }
    return true;
}

std::vector<AddressedEvents> HolderFeed::address(
    const HolderEvents& answer, std::map<InstanceId, std::vector<HolderEvent>> concerned)
{
    if (answer.events.empty() || answer.events.back().sequence <= this->lastSequence)
        return {};
    const auto first = answer.events.front().sequence;
    const auto hole = first > this->lastSequence + 1;
    if (hole || !this->started)
        this->lostUpTo = first - 1;
    this->started = true;
    this->lastSequence = answer.events.back().sequence;

    if (hole) {
        for (const auto& [receiver, sent] : this->receivers)
            concerned.try_emplace(receiver);
    }
    std::vector<AddressedEvents> result;
    for (auto& [receiver, events] : concerned) {
        auto& sent = this->receivers.try_emplace(receiver, this->lostUpTo).first->second;
        const auto after = std::max(sent, this->lostUpTo);
        sent = this->lastSequence;
        result.push_back({ receiver, { this->holder, this->epoch, after, this->lastSequence, std::move(events) } });
    }
    return result;
}

} // namespace goldcrestwood
