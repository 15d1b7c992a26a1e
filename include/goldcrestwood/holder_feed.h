#pragma once

/// @file
/// Turns one holder's event stream into batches for the owners of the chains that it concerns.

#include <cstdint>
#include <map>
#include <vector>

#include "goldcrestwood/chain.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/sampled_map.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A batch and the daemon that it goes to.
struct AddressedEvents {
    InstanceId to;
    HolderEvents events;

    bool operator==(const AddressedEvents&) const = default;
};

/// Gives the daemon that owns the chains with a first block.
template <typename T>
concept ChainOwners = requires(const T& ownerOf, ChainHash firstBlock)
{
    {
        ownerOf(firstBlock)
        } -> std::convertible_to<InstanceId>;
};

/// The subscriber's side for one engine or store instance. An event names only its block, so the
/// daemons that place chains tell the subscriber which first block each hash belongs to.
class HolderFeed {
public:
    /// @param maxHashes Blocks whose first block is remembered.
    explicit HolderFeed(UpstreamId holderId, std::size_t maxHashes = 16384);

    /// Learns which chain blocks belong to; call it for each dispatch to an engine, and for the blocks
    /// of each import from a store and export to it.
    void place(ChainHash firstBlock, const std::vector<ChainHash>& blocks, TimePoint now);

    /// Takes what the holder answered to a poll; numbers are dense at the holder.
    /// @param ownerOf Gives the owner of a chain by its first block.
    /// @return Batches to send; all earlier receivers hear of a hole at once.
    template <ChainOwners OwnerOf>
    std::vector<AddressedEvents> poll(const HolderEvents& answer, const OwnerOf& ownerOf)
    {
        if (!this->enter(answer))
            return {};
        std::map<InstanceId, std::vector<HolderEvent>> concerned;
        for (const auto& event : answer.events) {
            if (!this->advance(event.sequence))
                continue;
            auto* known = this->firstBlocks.find(ChainHash { event.hash });
            if (!known) {
                ++this->unknown;
                continue;
            }
            known->gone = event.kind == HolderEventKind::Evicted && event.tier != Tier::StoreMemory;
            concerned[ownerOf(known->firstBlock)].push_back(event);
        }
        return this->address(answer, std::move(concerned));
    }

    /// Forgets a daemon that has left, so that it hears of no more holes.
    void forget(const InstanceId& receiver) { this->receivers.erase(receiver); }

    /// @return The sequence after which to ask the holder next.
    std::uint64_t nextAfter() const { return this->lastSequence; }
    /// @return Events dropped since their chain is not known here.
    std::uint64_t unknownEvents() const { return this->unknown; }

private:
    struct Known {
        ChainHash firstBlock;
        TimePoint placedAt;
        bool gone = false;

        TimePoint usefulness() const { return this->gone ? TimePoint::min() : this->placedAt; }
    };

    bool enter(const HolderEvents& answer);
    bool advance(std::uint64_t sequence);
    std::vector<AddressedEvents> address(
        const HolderEvents& answer, std::map<InstanceId, std::vector<HolderEvent>> concerned);

    UpstreamId holder;
    SampledMap<ChainHash, Known> firstBlocks;
    /// For each receiver the sequence up to which it has all that concerns it.
    std::map<InstanceId, std::uint64_t> receivers;
    std::uint64_t epoch = 0;
    std::uint64_t lastSequence = 0;
    /// Nothing up to here can be vouched for.
    std::uint64_t lostUpTo = 0;
    std::uint64_t unknown = 0;
    /// Whether all receivers have to hear of a hole or a new epoch.
    bool announce = false;
};

} // namespace goldcrestwood
