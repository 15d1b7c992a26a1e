#include "goldcrestwood/prefix_index.h"

#include <algorithm>
#include <limits>

namespace goldcrestwood {

namespace {

    constexpr std::uint16_t maxTouches = std::numeric_limits<std::uint16_t>::max();
    /// Growth of a holder's generation after a gap that may affect all of its blocks.
    constexpr std::uint64_t fullUncertainty = 1'000'000;
    /// Touches beyond this number do not extend the retention of a block.
    constexpr std::uint16_t maxCountedTouches = 6;

} // namespace

std::vector<std::uint64_t> hashValues(const std::vector<ChainHash>& chain)
{
    std::vector<std::uint64_t> values;
    values.reserve(chain.size());
    for (const auto hash : chain)
        values.push_back(hash.value);
    return values;
}

std::vector<ChainHash> chainHashes(const std::vector<std::uint64_t>& values)
{
    std::vector<ChainHash> chain;
    chain.reserve(values.size());
    for (const auto value : values)
        chain.push_back(ChainHash { value });
    return chain;
}

PrefixIndex::PrefixIndex(const PrefixIndexSettings& initialSettings)
    : settings(initialSettings)
    , entries(initialSettings.maxBlocks)
{
}

PrefixIndex::Slot PrefixIndex::slotOf(const UpstreamId& id)
{
    if (const auto found = this->slots.find(id); found != this->slots.end())
        return found->second;
    auto slot = static_cast<Slot>(this->holders.size());
    if (this->freeSlots.empty()) {
        this->holders.emplace_back();
    } else {
        slot = this->freeSlots.back();
        this->freeSlots.pop_back();
    }
    // A reused slot keeps its generations, so entries of its former holder stay invalid.
    this->holders[slot].id = id;
    this->slots.emplace(id, slot);
    return slot;
}

std::uint64_t PrefixIndex::recordGap(Holder& holder, std::uint64_t lost, std::uint64_t held)
{
    const auto share = held > 0 ? std::min(lost * fullUncertainty / held + 1, fullUncertainty) : fullUncertainty;
    const auto before = holder.generation;
    holder.generation += share;
    ++this->total.gaps;
    return before;
}

bool PrefixIndex::advanceEpoch(Holder& holder, std::uint64_t epoch)
{
    if (!holder.epochKnown) {
        holder.epochKnown = true;
        holder.epoch = epoch;
        return true;
    }
    if (epoch < holder.epoch)
        return false;
    if (epoch > holder.epoch) {
        holder.epoch = epoch;
        holder.lastSequence = 0;
        holder.sequenceKnown = false;
        holder.epochGeneration = ++holder.generation;
        ++this->total.restarts;
    }
    return true;
}

void PrefixIndex::apply(const HolderEvents& batch, TimePoint now)
{
    const auto slot = this->slotOf(batch.holder);
    auto& holder = this->holders[slot];
    if (!this->advanceEpoch(holder, batch.epoch) || (holder.sequenceKnown && batch.last <= holder.lastSequence)) {
        this->total.staleEvents += batch.events.size();
        return;
    }
    const auto hasUncertain = !batch.events.empty() && batch.events.front().sequence <= batch.after;
    auto uncertainGeneration = holder.generation;
    if (batch.after > holder.lastSequence && (holder.sequenceKnown || hasUncertain))
        uncertainGeneration = this->recordGap(holder, batch.after - holder.lastSequence, batch.heldBlocks);
    for (const auto& event : batch.events) {
        if (holder.sequenceKnown && event.sequence <= holder.lastSequence) {
            ++this->total.staleEvents;
            continue;
        }
        ++this->total.events;
        // A lost event may have changed the same block later.
        const auto generation = event.sequence <= batch.after ? uncertainGeneration : holder.generation;
        if (event.kind == HolderEventKind::Stored)
            this->put(ChainHash { event.hash }, { generation, slot, event.tier, HoldingState::Reported }, now);
        else
            this->evict(ChainHash { event.hash }, { generation, slot, event.tier, HoldingState::Gone }, now);
    }
    holder.lastSequence = batch.last;
    holder.sequenceKnown = true;
}

void PrefixIndex::apply(const HolderSnapshot& snapshot, TimePoint now)
{
    const auto slot = this->slotOf(snapshot.holder);
    auto& holder = this->holders[slot];
    if (!this->advanceEpoch(holder, snapshot.epoch))
        return;
    if (holder.sequenceKnown && snapshot.sequence < holder.lastSequence)
        return;
    // Blocks that are missing in the snapshot were most likely evicted.
    holder.epochGeneration = ++holder.generation;
    for (const auto& block : snapshot.blocks)
        this->put(ChainHash { block.hash }, { holder.generation, slot, block.tier, HoldingState::Reported }, now);
    holder.lastSequence = snapshot.sequence;
    holder.sequenceKnown = true;
}

void PrefixIndex::expect(const ChainPlaced& placed, TimePoint now)
{
    const auto slot = this->slotOf(placed.upstream);
    const auto generation = this->holders[slot].generation;
    for (const auto hash : placed.hashes)
        this->put(ChainHash { hash }, { generation, slot, Tier::EngineMemory, HoldingState::Expected }, now);
}

void PrefixIndex::observe(const ChainUsed& used, TimePoint now)
{
    const auto slot = this->slotOf(used.upstream);
    const auto generation = this->holders[slot].generation;
    // After its answer the engine holds the whole chain, whether cached or computed.
    for (const auto hash : used.hashes)
        this->put(ChainHash { hash }, { generation, slot, Tier::EngineMemory, HoldingState::Reported }, now);
}

void PrefixIndex::observe(const BlocksSeen& seen, TimePoint now)
{
    const auto slot = this->slotOf(seen.store);
    const auto generation = this->holders[slot].generation;
    const auto otherTier = seen.tier == Tier::StoreDisk ? Tier::StoreMemory : Tier::StoreDisk;
    for (const auto hash : seen.held) {
        this->remove(ChainHash { hash }, slot, otherTier);
        this->put(ChainHash { hash }, { generation, slot, seen.tier, HoldingState::Reported }, now);
    }
    for (const auto hash : seen.absent) {
        for (const auto tier : { Tier::StoreMemory, Tier::StoreDisk })
            this->put(ChainHash { hash }, { generation, slot, tier, HoldingState::Gone }, now);
    }
}

void PrefixIndex::forget(const UpstreamId& id)
{
    const auto found = this->slots.find(id);
    if (found == this->slots.end())
        return;
    auto& holder = this->holders[found->second];
    const auto next = holder.generation + 1;
    holder = Holder {};
    holder.generation = holder.epochGeneration = holder.firstGeneration = next;
    this->freeSlots.push_back(found->second);
    this->slots.erase(found);
}

double PrefixIndex::confidence(const Holding& holding) const
{
    const auto& holder = this->holders[holding.slot];
    if (holding.generation < holder.firstGeneration || holding.state == HoldingState::Gone)
        return 0;
    if (holding.generation < holder.epochGeneration)
        return holding.tier == Tier::StoreDisk ? this->settings.diskRestartConfidence : this->settings.restartConfidence;
    const auto baseConfidence = holding.state == HoldingState::Expected ? this->settings.expectedConfidence : 1.0;
    const auto uncertainty = static_cast<double>(holder.generation - holding.generation) / fullUncertainty;
    return baseConfidence * std::max(1 - uncertainty, this->settings.gapConfidence);
}

void PrefixIndex::put(ChainHash hash, const Holding& holding, TimePoint now)
{
    auto* block = this->entries.find(hash);
    if (!block) {
        block = &this->entries.at(hash);
        block->lastTouch = now;
    }
    auto& holdings = block->holdings;
    auto same = [&](const Holding& other) { return other.isSameLocation(holding); };
    if (const auto found = std::find_if(holdings.begin(), holdings.end(), same); found != holdings.end()) {
        const auto weakerEvidence = holding.state == HoldingState::Expected && found->state == HoldingState::Reported
            && found->generation == holding.generation;
        if (!weakerEvidence)
            *found = holding;
        return;
    }
    if (holdings.size() < this->settings.maxHoldersPerBlock) {
        holdings.push_back(holding);
        return;
    }
    auto lessConfident = [this](const Holding& left, const Holding& right) { return this->confidence(left) < this->confidence(right); };
    if (const auto least = std::min_element(holdings.begin(), holdings.end(), lessConfident); this->confidence(*least) < this->confidence(holding))
        *least = holding;
}

void PrefixIndex::remove(ChainHash hash, Slot slot, Tier tier)
{
    auto* block = this->entries.find(hash);
    if (!block)
        return;
    for (auto& holding : block->holdings) {
        if (holding.slot == slot && holding.tier == tier)
            holding.state = HoldingState::Gone;
    }
}

void PrefixIndex::evict(ChainHash hash, const Holding& evicted, TimePoint now)
{
    auto* block = this->entries.find(hash);
    if (!block)
        return;
    auto same = [&](const Holding& holding) { return holding.isSameLocation(evicted); };
    const auto found = std::find_if(block->holdings.begin(), block->holdings.end(), same);
    if (found == block->holdings.end())
        return;
    *found = evicted;
    if (evicted.tier != Tier::StoreMemory)
        return;
    // A store demotes blocks from memory to disk, and the event for the disk block may be lost.
    auto demoted = evicted;
    demoted.tier = Tier::StoreDisk;
    demoted.state = HoldingState::Expected;
    this->put(hash, demoted, now);
}

ChainCoverage PrefixIndex::lookUp(const std::vector<ChainHash>& chain, TimePoint now)
{
    ChainCoverage coverage;
    Blocks found;
    found.reserve(chain.size());
    coverage.touches.reserve(chain.size());
    for (const auto hash : chain) {
        found.push_back(this->entries.find(hash));
        coverage.touches.push_back(found.back() ? found.back()->touches : std::uint16_t { 0 });
    }
    this->addEngines(found, coverage);
    this->addStores(found, coverage);
    this->touch(chain, now);
    return coverage;
}

void PrefixIndex::touch(const std::vector<ChainHash>& chain, TimePoint now)
{
    auto at = now;
    for (const auto hash : chain) {
        auto& block = this->entries.at(hash);
        // A later block is useless without the earlier ones, so it must be evicted first.
        block.lastTouch = at;
        at -= Duration(1);
        block.touches = static_cast<std::uint16_t>(std::min(block.touches + 1, int { maxTouches }));
        const auto counted = std::min<int>(block.touches - 1, maxCountedTouches);
        block.bonus = counted * this->settings.touchBonus;
    }
}

bool PrefixIndex::canBridge(const Run& run, const Blocks& found, std::uint32_t position) const
{
    if (run.end() > position || run.end() + this->settings.maxBridgedBlocks < position)
        return false;
    auto isGone = [&](const Holding& holding) {
        return holding.state == HoldingState::Gone && holding.slot == run.slot && holding.tier == run.tier;
    };
    for (auto hole = run.end(); hole < position; ++hole) {
        const auto* block = found[hole];
        if (block && std::any_of(block->holdings.begin(), block->holdings.end(), isGone))
            return false;
    }
    return true;
}

void PrefixIndex::extend(std::vector<Run>& runs, const Holding& holding, const Blocks& found, std::uint32_t position) const
{
    const auto blockConfidence = this->confidence(holding);
    if (blockConfidence == 0)
        return;
    auto canExtend = [&](const Run& run) {
        return run.slot == holding.slot && run.tier == holding.tier && this->canBridge(run, found, position);
    };
    auto run = std::find_if(runs.begin(), runs.end(), canExtend);
    if (run == runs.end()) {
        // An engine can only use blocks from the start of the chain.
        const auto inEngine = holding.tier == Tier::EngineMemory;
        const Run newRun { holding.slot, holding.tier, inEngine ? 0 : position, 0, 0 };
        if (inEngine && !this->canBridge(newRun, found, position))
            return;
        run = runs.insert(run, newRun);
    }
    run->confidence += blockConfidence + (position - run->end()) * this->settings.bridgeConfidence;
    run->blocks = position + 1 - run->first;
}

std::vector<PrefixIndex::Run> PrefixIndex::findRuns(const Blocks& found, bool inEngines) const
{
    std::vector<Run> runs;
    for (std::uint32_t position = 0; position < found.size(); ++position) {
        if (!found[position])
            continue;
        for (const auto& holding : found[position]->holdings) {
            if ((holding.tier == Tier::EngineMemory) == inEngines)
                this->extend(runs, holding, found, position);
        }
    }
    return runs;
}

void PrefixIndex::addEngines(const Blocks& found, ChainCoverage& coverage) const
{
    auto runs = this->findRuns(found, true);
    std::sort(runs.begin(), runs.end(), [](const Run& left, const Run& right) { return left.confidence > right.confidence; });
    for (const auto& run : runs) {
        if (coverage.engines.size() >= this->settings.maxEngines)
            break;
        coverage.engines.push_back({ this->holders[run.slot].id, run.blocks, run.confidence / run.blocks });
    }
}

void PrefixIndex::addStores(const Blocks& found, ChainCoverage& coverage) const
{
    auto runs = this->findRuns(found, false);
    if (runs.size() > this->settings.maxStoreRuns) {
        std::stable_sort(runs.begin(), runs.end(), [](const Run& left, const Run& right) { return left.blocks > right.blocks; });
        runs.resize(this->settings.maxStoreRuns);
    }
    std::stable_sort(runs.begin(), runs.end(), [](const Run& left, const Run& right) { return left.first < right.first; });
    for (const auto& run : runs)
        coverage.stores.push_back({ this->holders[run.slot].id, run.tier, run.first, run.blocks, run.confidence / run.blocks });
}

PrefixIndexCounts PrefixIndex::counts() const
{
    auto counts = this->total;
    counts.evictions = this->entries.evictions();
    return counts;
}

std::size_t PrefixIndex::memoryBytes() const
{
    // A map node with its bucket, the entry and two holdings.
    constexpr auto blockBytes = sizeof(ChainHash) + sizeof(Block) + 2 * sizeof(Holding) + 48;
    constexpr auto holderBytes = sizeof(Holder) + sizeof(Slot) + 96;
    return this->entries.size() * blockBytes + this->holders.size() * holderBytes;
}

} // namespace goldcrestwood
