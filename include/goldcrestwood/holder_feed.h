#pragma once

/// @file
/// Splits one holder's event stream into batches for the owners of the affected chains.

#include <cstdint>
#include <map>
#include <vector>

#include "goldcrestwood/chain.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/sampled_map.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A batch and its receiver.
struct AddressedEvents {
    InstanceId to;
    HolderEvents events;

    bool operator==(const AddressedEvents&) const = default;
};

/// Maps a first block to the daemon that owns the chains starting with it.
template <typename T>
concept ChainOwners = requires(const T& ownerOf, ChainHash firstBlock)
{
    {
        ownerOf(firstBlock)
        } -> std::convertible_to<InstanceId>;
};

/// The subscriber side for one engine or store instance. An event names only its block, so the daemons that
/// place chains report to the subscriber which first block each hash belongs to.
class HolderFeed {
public:
    /// @param maxHashes Maximum number of blocks whose first block is remembered.
    explicit HolderFeed(UpstreamId holderId, std::size_t maxHashes = 16384);

    /// Records which chain the blocks belong to. Call it for each dispatch to an engine, and for the blocks of each
    /// import from a store or export to one.
    void recordPlacement(ChainHash firstBlock, const std::vector<ChainHash>& blocks, TimePoint now);

    /// Handles the holder's answer to a poll. The holder numbers its events without gaps.
    /// @param ownerOf Maps a first block to the owner of its chains.
    /// @return Batches to send; after a gap, each earlier receiver gets a batch that announces it.
    template <ChainOwners OwnerOf>
    std::vector<AddressedEvents> poll(const HolderEvents& answer, const OwnerOf& ownerOf)
    {
        if (!this->acceptEpoch(answer))
            return {};
        std::map<InstanceId, std::vector<HolderEvent>> batches;
        for (const auto& event : answer.events) {
            if (!this->advanceTo(event.sequence))
                continue;
            auto* known = this->firstBlocks.find(ChainHash { event.hash });
            if (!known) {
                ++this->unknown;
                continue;
            }
            known->evicted = event.kind == HolderEventKind::Evicted && event.tier != Tier::StoreMemory;
            batches[ownerOf(known->firstBlock)].push_back(event);
        }
        return this->buildBatches(answer, std::move(batches));
    }

    /// Forgets a daemon that has left, so that no more gaps are announced to it.
    void forget(const InstanceId& receiver) { this->receivers.erase(receiver); }

    /// @return The sequence after which to poll the holder next.
    std::uint64_t nextAfter() const { return this->lastSequence; }
    /// @return Number of events dropped because their chain is not known here.
    std::uint64_t unknownEvents() const { return this->unknown; }

private:
    struct Known {
        ChainHash firstBlock;
        TimePoint placedAt;
        bool evicted = false;

        TimePoint usefulness() const { return this->evicted ? TimePoint::min() : this->placedAt; }
    };

    bool acceptEpoch(const HolderEvents& answer);
    bool advanceTo(std::uint64_t sequence);
    std::vector<AddressedEvents> buildBatches(
        const HolderEvents& answer, std::map<InstanceId, std::vector<HolderEvent>> batches);

    UpstreamId holder;
    SampledMap<ChainHash, Known> firstBlocks;
    /// Per receiver, the sequence up to which it has all events of its chains.
    std::map<InstanceId, std::uint64_t> receivers;
    std::uint64_t epoch = 0;
    std::uint64_t lastSequence = 0;
    /// Events up to this sequence may have been lost.
    std::uint64_t lostUpTo = 0;
    std::uint64_t unknown = 0;
    /// Whether a gap or a new epoch must be announced to all receivers.
    bool gapPending = false;
};

} // namespace goldcrestwood
