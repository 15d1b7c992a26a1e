#include <algorithm>
#include <utility>

#include "goldcrestwood/gossip.h"
#include "goldcrestwood/hash.h"
#include "gossip_lanes.h"

namespace goldcrestwood {
namespace {

    /// Maximum number of relays kept; older ones are left to the digests.
    constexpr std::size_t maxRelays = 128;

} // namespace

GossipResult Gossip::onMessage(const GossipMessage& message, TimePoint now)
{
    GossipResult result;
    if (message.from == this->selfId || message.from.empty())
        return result;
    for (const auto& latch : message.latches)
        this->applyLatch(latch, result, now);
    for (const auto& delta : message.deltas)
        this->applyDelta(delta, result, now);
    result.notes = message.notes;
    if (message.stage == GossipStage::Final)
        return result;

    const bool opens = message.stage != GossipStage::Answer;
    auto reply = this->header(opens ? GossipStage::Answer : GossipStage::Final);
    reply.salt = message.salt;
    auto budget = this->startBudget(now);
    for (const auto& digest : message.digests) {
        if (message.region != this->region && digest.lane != Lane::Summary)
            continue;
        if (opens)
            this->answerDigest(digest, message.salt, reply, budget);
        else
            this->answerWants(digest, message.salt, reply, budget);
    }
    if (reply.latchHash != message.latchHash)
        this->addLatches(reply, true, now);
    this->addNotes(reply, message.from);
    this->endBudget(reply, budget);
    const bool idle = reply.deltas.empty() && reply.latches.empty() && reply.notes.empty();
    if (opens || !idle)
        result.reply = std::move(reply);
    return result;
}

void Gossip::addDigests(GossipMessage& message, bool local) const
{
    const auto slices = this->sliceCount();
    for (const auto lane : allLanes) {
        const bool due = lane == Lane::Summary || (local && this->isLaneDue(lane));
        if (!due)
            continue;
        LaneDigest digest { lane, static_cast<std::uint32_t>(this->roundCount / 2 % slices), slices, {} };
        for (const auto& [id, owner] : this->owners) {
            const auto reached = owner.lanes[indexOf(lane)].reached;
            if (reached > 0 && this->isInSlice(id, digest))
                digest.entries.push_back({ this->saltedHash(id, owner.incarnation, message.salt), reached });
        }
        message.digests.push_back(std::move(digest));
    }
}

Gossip::Budget Gossip::startBudget(TimePoint now)
{
    const auto rate = static_cast<double>(this->settings.bytesPerSecond);
    const auto gained = rate * toSeconds(now - std::exchange(this->lastRefill, now));
    this->tokens = std::min(this->tokens + std::max(gained, 0.0), 2 * rate);
    const auto saved = static_cast<std::size_t>(std::max(this->tokens, 0.0));
    return { std::min(this->settings.exchangeBudget, saved), 0, {} };
}

void Gossip::endBudget(GossipMessage& message, const Budget& budget)
{
    this->tokens -= static_cast<double>(budget.used);
    for (const auto& [topic, cells] : budget.dropped) {
        message.dropped.push_back({ topic, cells });
        this->counts.droppedCells += cells;
    }
}

void Gossip::applyDelta(const GossipDelta& delta, GossipResult& result, TimePoint now)
{
    if (delta.owner == this->selfId && delta.incarnation > this->incarnation)
        this->counts.newerOwnIncarnation = std::max(this->counts.newerOwnIncarnation, delta.incarnation);
    if (delta.owner == this->selfId || delta.owner.empty() || indexOf(delta.lane) >= laneCount)
        return;
    auto& owner = this->owners[delta.owner];
    if (delta.incarnation < owner.incarnation || (owner.expired && delta.incarnation == owner.incarnation)) {
        ++this->counts.staleDeltas;
        return;
    }
    if (delta.incarnation > owner.incarnation) {
        const auto previous = owner.incarnation;
        owner = {};
        owner.incarnation = delta.incarnation;
        owner.previousIncarnation = previous;
    }
    for (const auto& cell : delta.cells) {
        if (laneOf(cell.topic) == delta.lane && !isLatch(cell.topic) && !isNote(cell.topic))
            this->applyCell(owner, delta, cell, result, now);
    }
    auto& reached = owner.lanes[indexOf(delta.lane)].reached;
    if (delta.base <= reached)
        reached = std::max(reached, delta.upTo);
}

void Gossip::applyCell(
    Owner& owner, const GossipDelta& delta, const GossipCell& cell, GossipResult& result, TimePoint now)
{
    auto& lane = owner.lanes[indexOf(delta.lane)];
    const CellId id { cell.topic, cell.key };
    const auto found = lane.cells.find(id);
    if (found != lane.cells.end() && found->second.cell.sequence >= cell.sequence)
        return;
    if (found != lane.cells.end())
        lane.bySequence.erase(found->second.cell.sequence);
    else if (cell.removed && cell.sequence <= lane.reached)
        return; // A removal whose tombstone has already been purged here.
    lane.cells[id] = { cell, now };
    lane.bySequence[cell.sequence] = id;
    result.changed.push_back({ delta.owner, delta.incarnation, cell });
    if (!isUrgent(cell.topic))
        return;
    this->relays.push_front({ delta.owner, delta.lane, id, this->settings.relayRounds });
    if (this->relays.size() > maxRelays)
        this->relays.pop_back();
}

/// The salt differs per exchange, so that a hash collision between two ids does not persist.
std::uint32_t Gossip::saltedHash(const InstanceId& id, std::uint64_t ownerIncarnation, std::uint32_t salt) const
{
    const auto seed = ownerIncarnation ^ (static_cast<std::uint64_t>(salt) << 32);
    return static_cast<std::uint32_t>(stableHash(id.value, seed));
}

bool Gossip::isInSlice(const InstanceId& id, const LaneDigest& digest) const
{
    return digest.slices <= 1 || stableHash(id.value) % digest.slices == digest.slice;
}

/// Adds the cells that the digest's sender lacks, and requests those that it has beyond ours.
void Gossip::answerDigest(
    const LaneDigest& digest, std::uint32_t salt, GossipMessage& reply, Budget& budget) const
{
    std::map<std::uint32_t, std::uint64_t> theirs;
    for (const auto& entry : digest.entries)
        theirs[entry.owner] = entry.sequence;
    LaneDigest wants { digest.lane, digest.slice, digest.slices, {} };
    for (const auto& [id, owner] : this->owners) {
        if (!this->isInSlice(id, digest))
            continue;
        theirs.erase(this->saltedHash(id, owner.previousIncarnation, salt));
        const auto hash = this->saltedHash(id, owner.incarnation, salt);
        const auto found = theirs.find(hash);
        const auto sequence = found == theirs.end() ? 0 : found->second;
        const auto reached = owner.lanes[indexOf(digest.lane)].reached;
        if (reached > sequence)
            this->addDelta(reply, id, owner, digest.lane, sequence, budget);
        if (reached < sequence)
            wants.entries.push_back({ hash, reached });
        if (found != theirs.end())
            theirs.erase(found);
    }
    for (const auto& [hash, sequence] : theirs)
        wants.entries.push_back({ hash, 0 });
    if (!wants.entries.empty())
        reply.digests.push_back(std::move(wants));
}

void Gossip::answerWants(const LaneDigest& digest, std::uint32_t salt, GossipMessage& reply, Budget& budget) const
{
    std::map<std::uint32_t, std::uint64_t> wanted;
    for (const auto& entry : digest.entries)
        wanted[entry.owner] = entry.sequence;
    for (const auto& [id, owner] : this->owners) {
        const auto found = wanted.find(this->saltedHash(id, owner.incarnation, salt));
        if (found != wanted.end())
            this->addDelta(reply, id, owner, digest.lane, found->second, budget);
    }
}

/// Adds cells in ascending sequence while they fit, so that the receiver has no gap up to the last one.
void Gossip::addDelta(GossipMessage& message, const InstanceId& id, const Owner& owner, Lane lane, std::uint64_t base,
    Budget& budget) const
{
    const auto& state = owner.lanes[indexOf(lane)];
    if (owner.expired)
        return;
    GossipDelta delta { id, owner.incarnation, lane, base, state.reached, {} };
    const auto headerCost = id.value.size() + 2 * cellOverhead;
    auto cost = headerCost;
    auto position = state.bySequence.upper_bound(base);
    for (; position != state.bySequence.end() && position->first <= state.reached; ++position) {
        const auto& cell = state.cells.at(position->second).cell;
        if (budget.used + cost + costOf(cell) > budget.limit)
            break;
        cost += costOf(cell);
        delta.cells.push_back(cell);
    }
    const bool whole = position == state.bySequence.end() || position->first > state.reached;
    if (!whole)
        delta.upTo = delta.cells.empty() ? base : delta.cells.back().sequence;
    for (; position != state.bySequence.end() && position->first <= state.reached; ++position)
        ++budget.dropped[position->second.topic];
    if (delta.upTo <= base)
        return;
    budget.used += cost;
    message.deltas.push_back(std::move(delta));
}

/// Summary and bulk digests are sent in each round; with many owners, control and evidence alternate.
bool Gossip::isLaneDue(Lane lane) const
{
    const bool few = this->owners.size() <= this->settings.allLanesOwners;
    if (few || lane == Lane::Summary || lane == Lane::Bulk)
        return true;
    return (lane == Lane::Control) == (this->roundCount % 2 == 0);
}

std::uint32_t Gossip::sliceCount() const
{
    const auto slices = (this->owners.size() + this->settings.digestOwners - 1) / this->settings.digestOwners;
    return static_cast<std::uint32_t>(std::max<std::size_t>(slices, 1));
}

} // namespace goldcrestwood
