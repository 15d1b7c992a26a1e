#pragma once

/// @file
/// Which engines and stores hold which cache blocks, learnt from late events with gaps.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/chain.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/sampled_map.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct PrefixIndexSettings {
    /// Blocks remembered at most; the least useful go first.
    std::size_t maxBlocks = 65536;
    /// Holders remembered of one block.
    std::size_t maxHoldersPerBlock = 16;
    /// Engines in an answer.
    std::size_t maxEngines = 8;
    /// Runs of store blocks in an answer.
    std::size_t maxStoreRuns = 8;
    /// Least confidence in a block whose holder's events have had a gap since; a small gap costs less.
    double gapConfidence = 0.6;
    /// Confidence in a memory block whose holder has restarted since.
    double restartConfidence = 0.05;
    /// Confidence in a disk block whose holder has restarted since.
    double diskRestartConfidence = 0.6;
    /// Confidence in a block that was promised by a route decision and not yet reported.
    double expectedConfidence = 0.8;
    /// Unreported blocks in a row that are taken as held when the next one is: holders drop the end of a
    /// chain first, so that a hole is more likely a lost event.
    std::uint32_t maxBridge = 2;
    /// Confidence in such a block.
    double bridgeConfidence = 0.8;
    /// Time that each earlier touch adds to a block's usefulness.
    Duration touchBonus = std::chrono::minutes(10);
};

/// Counts since the start.
struct PrefixIndexCounts {
    std::uint64_t events = 0;
    std::uint64_t staleEvents = 0;
    std::uint64_t gaps = 0;
    std::uint64_t restarts = 0;
    std::uint64_t evictions = 0;

    bool operator==(const PrefixIndexCounts&) const = default;
};

/// Hints only: a wrong entry costs time, since the reader of a block verifies it.
/// The cost of each operation depends on the chain's length, never on the number of upstreams.
class PrefixIndex {
public:
    explicit PrefixIndex(const PrefixIndexSettings& initialSettings = {});

    /// Takes a batch of a holder's changes. Old epochs and doubled changes are dropped; a hole in
    /// the sequence or a new epoch makes all earlier entries of the holder doubtful.
    void apply(const HolderEvents& batch, TimePoint now);

    /// Confirms the listed blocks of a holder; its others are taken as gone, most likely.
    void apply(const HolderSnapshot& snapshot, TimePoint now);

    /// Takes a route decision as a promise that the upstream will hold the chain.
    void expect(const ChainPlaced& placed, TimePoint now);

    /// Takes that an engine has answered a prompt.
    void observe(const ChainUsed& used, TimePoint now);

    /// Takes what an import or export showed, which fills in for lost events.
    void observe(const BlocksSeen& seen, TimePoint now);

    /// Forgets what a holder holds, for example once it has left.
    void forget(const UpstreamId& holder);

    /// @param chain Blocks of the prompt; each counts as touched.
    /// @return A handful of holders. `returnChance` is left at 0.
    ChainCoverage lookUp(const std::vector<ChainHash>& chain, TimePoint now);

    std::size_t blocks() const { return this->entries.size(); }
    PrefixIndexCounts counts() const;
    /// @return Estimated bytes of memory.
    std::size_t memoryBytes() const;

private:
    using Slot = std::uint32_t;

    enum class HoldingState : std::uint8_t {
        Reported, ///< The holder or a reader said so.
        Expected, ///< It follows from a route decision or from how holders work.
        Gone, ///< The holder dropped it.
    };

    struct Holding {
        std::uint64_t generation = 0;
        Slot slot = 0;
        Tier tier = Tier::EngineMemory;
        HoldingState state = HoldingState::Reported;

        bool samePlace(const Holding& other) const { return this->slot == other.slot && this->tier == other.tier; }
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
        /// Grows with each gap, by the lost changes in millionths of the blocks held. Entries of earlier
        /// generations are doubtful, those before the epoch's first more so.
        std::uint64_t generation = 1;
        std::uint64_t epochGeneration = 1;
        /// Entries of earlier generations belong to a holder that was forgotten.
        std::uint64_t firstGeneration = 1;
        bool epochKnown = false;
        bool sequenceKnown = false;
    };

    Slot slotOf(const UpstreamId& id);
    bool enterEpoch(Holder& holder, std::uint64_t epoch);
    std::uint64_t raiseDoubt(Holder& holder, std::uint64_t lost, std::uint64_t held);
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

    bool canBridge(const Run& run, const Blocks& found, std::uint32_t place) const;
    std::vector<Run> findRuns(const Blocks& found, bool inEngines) const;
    void extend(std::vector<Run>& runs, const Holding& holding, const Blocks& found, std::uint32_t place) const;
    void addEngines(const Blocks& found, ChainCoverage& coverage) const;
    void addStores(const Blocks& found, ChainCoverage& coverage) const;

    PrefixIndexSettings settings;
    SampledMap<ChainHash, Block> entries;
    std::vector<Holder> holders;
    std::vector<Slot> freeSlots;
    std::unordered_map<UpstreamId, Slot> slots;
    PrefixIndexCounts total;
};

/// @return The hashes as they travel in messages.
std::vector<std::uint64_t> hashValues(const std::vector<ChainHash>& chain);
/// @return The hashes of a message.
std::vector<ChainHash> chainHashes(const std::vector<std::uint64_t>& values);

} // namespace goldcrestwood
