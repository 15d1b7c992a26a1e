#include <algorithm>
#include <utility>

#include "goldcrestwood/gossip.h"
#include "goldcrestwood/hash.h"
#include "gossip_lanes.h"

namespace goldcrestwood {

/// @param all Whether to add all latches that fit, latest first, or only those still being relayed.
void Gossip::addLatches(GossipMessage& message, bool all, TimePoint now) const
{
    std::vector<const HeldLatch*> held;
    for (const auto& [id, entry] : this->latchSet) {
        if (all || entry.relayRounds > 0)
            held.push_back(&entry);
    }
    std::sort(held.begin(), held.end(), [](const auto* a, const auto* b) { return a->setAt > b->setAt; });
    // The latest latches always go first; the others rotate by round, so that each is sent eventually.
    const auto fresh = std::min<std::size_t>(held.size(), 4);
    if (held.size() > fresh) {
        const auto offset = this->roundCount * 7 % (held.size() - fresh);
        const auto rest = held.begin() + static_cast<std::ptrdiff_t>(fresh);
        std::rotate(rest, rest + static_cast<std::ptrdiff_t>(offset), held.end());
    }
    std::size_t bytes = 0;
    for (const auto* entry : held) {
        bytes += entry->latch.key.size() + entry->latch.payload.size() + cellOverhead;
        if (bytes > this->settings.latchBudget && !message.latches.empty()) {
            message.dropped.push_back({ entry->latch.topic, 1 });
            return;
        }
        message.latches.push_back(entry->latch);
        message.latches.back().age = now - entry->setAt;
    }
}

void Gossip::applyLatch(const GossipLatch& latch, GossipResult& result, TimePoint now)
{
    if (!isLatch(latch.topic) || latch.age > this->settings.latchLifetime)
        return;
    const CellId id { latch.topic, latch.key };
    const auto found = this->latchSet.find(id);
    if (found == this->latchSet.end()) {
        this->holdLatch(id, { latch, now - std::max(latch.age, Duration(0)), this->settings.relayRounds });
        result.latches.push_back(latch);
        return;
    }
    auto& held = found->second.latch;
    const bool retires = latch.retired && !held.retired;
    // If two daemons set the same latch with different payloads, all daemons keep the larger payload.
    if (!retires && (held.retired || latch.payload <= held.payload))
        return;
    held.retired = held.retired || latch.retired;
    held.payload = std::max(held.payload, latch.payload);
    result.latches.push_back(latch);
}

void Gossip::holdLatch(const CellId& id, HeldLatch held)
{
    if (this->latchSet.size() >= this->settings.maxLatches)
        this->evictLatch();
    this->urgent |= !held.latch.retired;
    this->latchSet.emplace(id, std::move(held));
}

/// Evicts a retired latch if there is one, otherwise the oldest.
void Gossip::evictLatch()
{
    const auto worse = [](const auto& a, const auto& b) {
        if (a.second.latch.retired != b.second.latch.retired)
            return a.second.latch.retired;
        return a.second.setAt < b.second.setAt;
    };
    const auto victim = std::min_element(this->latchSet.begin(), this->latchSet.end(), worse);
    this->counts.droppedLatches += victim->second.latch.retired ? 0 : 1;
    this->latchSet.erase(victim);
}

std::uint64_t Gossip::latchHash() const
{
    std::uint64_t hash = 0;
    for (const auto& [id, held] : this->latchSet) {
        const auto seed = static_cast<std::uint64_t>(id.topic) * 2 + (held.latch.retired ? 1 : 0);
        hash ^= stableHash(held.latch.payload, stableHash(id.key, seed));
    }
    return hash;
}

} // namespace goldcrestwood
