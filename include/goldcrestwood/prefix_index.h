#pragma once

/// @file
/// Tracks which engines and stores hold which cache blocks, from holder events that may be delayed or lost.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/chain.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/sampled_map.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct PrefixIndexSettings {
    /// Maximum number of tracked blocks; the least useful ones are evicted first.
    std::size_t maxBlocks = 65536;
    /// Maximum number of tracked holders per block.
    std::size_t maxHoldersPerBlock = 16;
    /// Maximum number of engines in a lookup result.
    std::size_t maxEngines = 8;
    /// Maximum number of runs of store blocks in a lookup result.
    std::size_t maxStoreRuns = 8;
    /// Lower bound of the confidence in a block reported before an event gap; a small gap lowers it less.
    double gapConfidence = 0.6;
    /// Confidence in a memory block reported before its holder restarted.
    double restartConfidence = 0.05;
    /// Confidence in a disk block reported before its holder restarted.
    double diskRestartConfidence = 0.6;
    /// Confidence in a block that is expected after a routing decision but not yet reported.
    double expectedConfidence = 0.8;
    /// Maximum number of consecutive unreported blocks that are assumed held because the next block is: holders
    /// evict the end of a chain first, so a hole is more likely a lost event.
    std::uint32_t maxBridgedBlocks = 2;
    /// Confidence in a block that is assumed held this way.
    double bridgeConfidence = 0.8;
    /// Time by which each earlier touch extends the retention of a block.
    Duration touchBonus = std::chrono::minutes(10);
};

/// Counts since startup.
struct PrefixIndexCounts {
    std::uint64_t events = 0;
    std::uint64_t staleEvents = 0;
    std::uint64_t gaps = 0;
    std::uint64_t restarts = 0;
    std::uint64_t evictions = 0;

    bool operator==(const PrefixIndexCounts&) const = default;
};

/// Entries are hints: readers verify each block, so a wrong entry only costs time.
/// The cost of an operation depends on the length of the chain, not on the number of upstreams.
class PrefixIndex {
public:
    explicit PrefixIndex(const PrefixIndexSettings& initialSettings = {});

    /// Applies a batch of a holder's changes. Changes of old epochs and duplicates are dropped; a sequence gap
    /// or a new epoch lowers the confidence in all earlier entries of the holder.
    void apply(const HolderEvents& batch, TimePoint now);

    /// Confirms the listed blocks of a holder; all others get a low confidence.
    void apply(const HolderSnapshot& snapshot, TimePoint now);

    /// Records a routing decision: the upstream is expected to hold the chain soon.
    void expect(const ChainPlaced& placed, TimePoint now);

    /// Records that an engine has answered a prompt and therefore holds its chain.
    void observe(const ChainUsed& used, TimePoint now);

    /// Records what an import or export found, which compensates for lost events.
    void observe(const BlocksSeen& seen, TimePoint now);

    /// Removes all entries of a holder, for example after it left.
    void forget(const UpstreamId& holder);

    /// @param chain Blocks of the prompt; the lookup counts as a touch of each.
    /// @return The best holders, up to the configured limits. `returnChance` is left at 0.
    ChainCoverage lookUp(const std::vector<ChainHash>& chain, TimePoint now);

    std::size_t blocks() const { return this->entries.size(); }
    PrefixIndexCounts counts() const;
    /// @return Estimated bytes of memory.
    std::size_t memoryBytes() const;

private:
    using Slot = std::uint32_t;

    enum class HoldingState : std::uint8_t {
        Reported, ///< Reported by the holder or a reader.
        Expected, ///< Inferred from a routing decision or from the demotion of stores.
        Gone, ///< Evicted by the holder or found absent.
    };

    struct Holding {
        std::uint64_t generation = 0;
        Slot slot = 0;
        Tier tier = Tier::EngineMemory;
        HoldingState state = HoldingState::Reported;

        bool isSameLocation(const Holding& other) const { return this->slot == other.slot && this->tier == other.tier; }
    };

    struct Block {
        TimePoint lastTouch;
        Duration bonus = Duration(0);
        std::uint16_t touches = 0;
        std::vector<Holding> holdings;

        TimePoint usefulness() const { return this->lastTouch + this->bonus; }
    };

    struct Holder {
        UpstreamId id;
        std::uint64_t epoch = 0;
        std::uint64_t lastSequence = 0;
        /// Grows with each gap by the ratio of lost changes to held blocks, in millionths. Entries of earlier
        /// generations have a reduced confidence.
        std::uint64_t generation = 1;
        /// First generation of the epoch or snapshot; entries of earlier ones have the restart confidence.
        std::uint64_t epochGeneration = 1;
        /// Entries of earlier generations belong to a removed holder that used this slot before.
        std::uint64_t firstGeneration = 1;
        bool epochKnown = false;
        bool sequenceKnown = false;
    };

    Slot slotOf(const UpstreamId& id);
    bool advanceEpoch(Holder& holder, std::uint64_t epoch);
    std::uint64_t recordGap(Holder& holder, std::uint64_t lost, std::uint64_t held);
    double confidence(const Holding& holding) const;
    void put(ChainHash hash, const Holding& holding, TimePoint now);
    void remove(ChainHash hash, Slot slot, Tier tier);
    void evict(ChainHash hash, const Holding& evicted, TimePoint now);
    void touch(const std::vector<ChainHash>& chain, TimePoint now);
    struct Run {
        Slot slot = 0;
        Tier tier = Tier::EngineMemory;
        std::uint32_t first = 0;
        std::uint32_t blocks = 0;
        double confidence = 0;

        std::uint32_t end() const { return this->first + this->blocks; }
    };

    using Blocks = std::vector<const Block*>;

    bool canBridge(const Run& run, const Blocks& found, std::uint32_t position) const;
    std::vector<Run> findRuns(const Blocks& found, bool inEngines) const;
    void extend(std::vector<Run>& runs, const Holding& holding, const Blocks& found, std::uint32_t position) const;
    void addEngines(const Blocks& found, ChainCoverage& coverage) const;
    void addStores(const Blocks& found, ChainCoverage& coverage) const;

    PrefixIndexSettings settings;
    SampledMap<ChainHash, Block> entries;
    std::vector<Holder> holders;
    std::vector<Slot> freeSlots;
    std::unordered_map<UpstreamId, Slot> slots;
    PrefixIndexCounts total;
};

/// @return The hashes as plain integers, for messages.
std::vector<std::uint64_t> hashValues(const std::vector<ChainHash>& chain);
/// @return The chain hashes for the integers of a message.
std::vector<ChainHash> chainHashes(const std::vector<std::uint64_t>& values);

} // namespace goldcrestwood
