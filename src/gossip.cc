#include "goldcrestwood/gossip.h"

#include <algorithm>
#include <utility>

#include "gossip_lanes.h"

namespace goldcrestwood {
namespace {

    /// Maximum number of sends of urgent changes and notes per round.
    constexpr std::int64_t urgentPerRound = 4;

} // namespace

bool isLatch(Topic topic)
{
    return topic == Topic::DomainOut || topic == Topic::VersionTakeBack || topic == Topic::ProvisionalOrder;
}

bool isNote(Topic topic)
{
    return topic == Topic::PermitDemand || topic == Topic::PermitGrant;
}

bool isUrgent(Topic topic)
{
    return topic == Topic::Membership || topic == Topic::Suspicion || isLatch(topic);
}

Lane laneOf(Topic topic)
{
    switch (topic) {
    case Topic::RegionSummary:
        return Lane::Summary;
    case Topic::RolloutEvidence:
        return Lane::Evidence;
    case Topic::UpstreamLoad:
    case Topic::DaemonLoad:
        return Lane::Bulk;
    default:
        return Lane::Control;
    }
}

Gossip::Gossip(
    GossipSettings initialSettings, InstanceId self, std::uint64_t ownIncarnation, Region ownRegion, TimePoint now)
    : settings(initialSettings)
    , selfId(std::move(self))
    , incarnation(ownIncarnation)
    , region(std::move(ownRegion))
    , nextRound(now)
    , nextUrgent(now)
    , lastRefill(now)
    , tokens(static_cast<double>(initialSettings.bytesPerSecond))
{
    this->owners[this->selfId].incarnation = this->incarnation;
}

void Gossip::setPeers(std::vector<GossipPeer> peers, const std::vector<InstanceId>& silent)
{
    this->localPeers.clear();
    this->remotePeers.clear();
    this->silentPeers.clear();
    const std::set<InstanceId> silentIds(silent.begin(), silent.end());
    for (auto& peer : peers) {
        const bool remote = !peer.id.empty() && peer.region != this->region;
        auto& group = remote ? this->remotePeers : this->localPeers;
        (silentIds.contains(peer.id) ? this->silentPeers : group).push_back(std::move(peer));
    }
    this->shuffled = false;
}

void Gossip::set(Topic topic, const std::string& key, const std::string& payload, TimePoint now)
{
    const CellId id { topic, key };
    if (isLatch(topic)) {
        if (!this->latchSet.contains(id))
            this->holdLatch(id, { { topic, key, payload, false, Duration(0) }, now, this->settings.relayRounds });
        return;
    }
    const auto lane = laneOf(topic);
    if (lane != Lane::Evidence && lane != Lane::Bulk) {
        this->write(id, payload, now);
        return;
    }
    this->deferredWrites[id] = payload;
    this->writeDeferred(now);
}

void Gossip::write(const CellId& id, const std::string& payload, TimePoint now)
{
    auto& lane = this->owners[this->selfId].lanes[indexOf(laneOf(id.topic))];
    auto [position, added] = lane.cells.try_emplace(id);
    auto& held = position->second;
    const bool fresh = laneOf(id.topic) != Lane::Summary || now - held.since < this->settings.summaryRefresh;
    if (!added && !held.cell.removed && held.cell.payload == payload && fresh)
        return;
    lane.bySequence.erase(held.cell.sequence);
    held = { { id.topic, id.key, ++lane.reached, false, payload }, now };
    lane.bySequence[lane.reached] = id;
    this->urgent |= isUrgent(id.topic);
}

/// Writes the cells of one lane together, because each delta adds overhead.
void Gossip::writeDeferred(TimePoint now)
{
    for (const auto lane : { Lane::Evidence, Lane::Bulk }) {
        auto& last = this->lastWrite[indexOf(lane)];
        if (last && now - *last < this->writeInterval(lane))
            continue;
        for (auto position = this->deferredWrites.begin(); position != this->deferredWrites.end();) {
            if (laneOf(position->first.topic) != lane) {
                ++position;
                continue;
            }
            this->write(position->first, position->second, now);
            position = this->deferredWrites.erase(position);
            last = now;
        }
    }
}

/// @return Interval between two writes at which all owners fit the budget if each writes as much as this one.
Duration Gossip::writeInterval(Lane lane) const
{
    auto cost = this->selfId.value.size() + 2 * cellOverhead;
    for (const auto& [id, held] : this->owners.at(this->selfId).lanes[indexOf(lane)].cells)
        cost += costOf(held.cell);
    const auto rate = static_cast<double>(this->settings.bytesPerSecond) * this->settings.ownWriteShare;
    return fromSeconds(static_cast<double>(cost * this->owners.size()) / rate);
}

void Gossip::remove(Topic topic, const std::string& key, TimePoint now)
{
    auto& lane = this->owners[this->selfId].lanes[indexOf(laneOf(topic))];
    this->deferredWrites.erase({ topic, key });
    const auto found = lane.cells.find({ topic, key });
    if (found == lane.cells.end() || found->second.cell.removed)
        return;
    lane.bySequence.erase(found->second.cell.sequence);
    found->second = { { topic, key, ++lane.reached, true, {} }, now };
    lane.bySequence[lane.reached] = found->first;
    this->urgent |= isUrgent(topic);
}

void Gossip::retire(Topic topic, const std::string& key, TimePoint now)
{
    const auto found = this->latchSet.find({ topic, key });
    if (found != this->latchSet.end() && !found->second.latch.retired) {
        found->second.latch.retired = true;
        found->second.setAt = now;
    }
}

void Gossip::post(const InstanceId& peer, Topic topic, const std::string& key, const std::string& payload)
{
    auto& notes = this->notesFor[peer];
    const CellId id { topic, key };
    if (notes.size() >= this->settings.maxNotes && !notes.contains(id)) {
        ++this->counts.droppedNotes;
        return;
    }
    notes[id] = payload;
}

void Gossip::probeSoon(const InstanceId& peer)
{
    this->probes.insert(peer);
}

std::vector<OutgoingGossip> Gossip::poll(TimePoint now, Random& random)
{
    this->writeDeferred(now);
    const bool regular = now >= this->nextRound;
    const bool early = now >= this->nextUrgent && (this->urgent || !this->notesFor.empty() || !this->probes.empty());
    if (!regular && !early)
        return {};
    this->nextUrgent = now + this->settings.roundInterval / urgentPerRound;
    if (!regular && !this->urgent)
        return this->sendProbes(now);
    return this->runRound(regular, now, random);
}

std::vector<OutgoingGossip> Gossip::runRound(bool regular, TimePoint now, Random& random)
{
    std::vector<OutgoingGossip> out;
    if (regular) {
        // Jitter prevents daemons that started together from sending in sync.
        const auto jitter = std::chrono::duration_cast<Duration>(this->settings.roundInterval * (uniform(random) - 0.5) / 5);
        this->nextRound = now + this->settings.roundInterval + jitter;
        ++this->roundCount;
        this->purge(now);
    }
    bool digestDue = regular;
    for (const auto& peer : this->pickLocal(random)) {
        auto message = this->makeProbe(peer, now);
        if (std::exchange(digestDue, false)) {
            message.stage = GossipStage::Exchange;
            message.salt = static_cast<std::uint32_t>(random());
            this->addDigests(message, true);
        }
        this->probes.erase(peer.id);
        out.push_back({ peer.id, peer.address, std::move(message) });
    }
    if (const auto remote = this->pickRemote(this->urgent, random)) {
        auto message = this->header(GossipStage::Exchange);
        message.salt = static_cast<std::uint32_t>(random());
        this->addLatches(message, false, now);
        this->addDigests(message, false);
        out.push_back({ remote->id, remote->address, std::move(message) });
    }
    for (auto& extra : this->sendProbes(now))
        out.push_back(std::move(extra));
    this->finishRound();
    return out;
}

/// Sends messages to peers that are not due this round but need a probe or have notes waiting.
std::vector<OutgoingGossip> Gossip::sendProbes(TimePoint now)
{
    std::vector<OutgoingGossip> out;
    auto wanted = std::exchange(this->probes, {});
    for (const auto& [id, notes] : this->notesFor)
        wanted.insert(id);
    for (const auto& id : wanted) {
        const auto* peer = this->findPeer(id);
        if (peer)
            out.push_back({ id, peer->address, this->makeProbe(*peer, now) });
        else
            this->notesFor.erase(id);
    }
    return out;
}

GossipMessage Gossip::makeProbe(const GossipPeer& peer, TimePoint now)
{
    auto message = this->header(GossipStage::Probe);
    this->addLatches(message, false, now);
    this->addNotes(message, peer.id);
    if (!peer.id.empty() && peer.region != this->region)
        return message;
    auto budget = this->startBudget(now);
    this->addPushes(message, budget);
    this->addRelays(message, budget);
    this->endBudget(message, budget);
    return message;
}

void Gossip::onDead(const InstanceId& owner, TimePoint now)
{
    const auto found = this->owners.find(owner);
    if (found != this->owners.end() && !found->second.deadSince)
        found->second.deadSince = now;
    this->notesFor.erase(owner);
}

void Gossip::onAlive(const InstanceId& id)
{
    const auto found = this->owners.find(id);
    if (found == this->owners.end() || !found->second.deadSince)
        return;
    auto& owner = found->second;
    owner.deadSince.reset();
    if (std::exchange(owner.expired, false))
        owner.lanes = {};
}

void Gossip::forget(const InstanceId& owner)
{
    if (owner != this->selfId)
        this->owners.erase(owner);
    this->notesFor.erase(owner);
}

std::vector<ChangedCell> Gossip::cells(Topic topic) const
{
    std::vector<ChangedCell> found;
    for (const auto& [id, owner] : this->owners) {
        const auto& cells = owner.lanes[indexOf(laneOf(topic))].cells;
        for (auto position = cells.lower_bound({ topic, {} }); position != cells.end(); ++position) {
            if (position->first.topic != topic)
                break;
            if (!position->second.cell.removed)
                found.push_back({ id, owner.incarnation, position->second.cell });
        }
    }
    return found;
}

std::vector<GossipLatch> Gossip::latches(Topic topic, TimePoint now) const
{
    std::vector<GossipLatch> found;
    for (const auto& [id, held] : this->latchSet) {
        if (id.topic != topic || held.latch.retired)
            continue;
        found.push_back(held.latch);
        found.back().age = now - held.setAt;
    }
    return found;
}

std::size_t Gossip::memoryBytes() const
{
    constexpr std::size_t nodeOverhead = 48;
    std::size_t bytes = sizeof(*this);
    for (const auto& [id, owner] : this->owners) {
        bytes += sizeof(Owner) + id.value.size() + nodeOverhead;
        for (const auto& lane : owner.lanes) {
            for (const auto& [cellId, held] : lane.cells)
                bytes += 2 * (sizeof(CellId) + nodeOverhead) + sizeof(HeldCell) + 2 * costOf(held.cell);
        }
    }
    for (const auto& [id, held] : this->latchSet)
        bytes += sizeof(CellId) + sizeof(HeldLatch) + held.latch.payload.size() + nodeOverhead;
    return bytes;
}

GossipMessage Gossip::header(GossipStage stage) const
{
    GossipMessage message;
    message.from = this->selfId;
    message.incarnation = this->incarnation;
    message.region = this->region;
    message.stage = stage;
    message.latchHash = this->latchHash();
    return message;
}

const GossipPeer* Gossip::findPeer(const InstanceId& id) const
{
    for (const auto* peers : { &this->localPeers, &this->remotePeers, &this->silentPeers }) {
        const auto matches = [&](const GossipPeer& peer) { return peer.id == id; };
        if (const auto found = std::find_if(peers->begin(), peers->end(), matches); found != peers->end())
            return &*found;
    }
    return nullptr;
}

/// Contacts peers in turn, in shuffled order, so that each is reached within a bounded number of rounds.
std::vector<GossipPeer> Gossip::pickLocal(Random& random)
{
    const auto count = this->localPeers.size();
    const auto wanted = count <= this->settings.fullMesh ? count : this->settings.fanOut;
    std::vector<GossipPeer> picked;
    for (std::size_t i = 0; i < wanted; ++i) {
        if (!this->shuffled || this->nextLocal >= count) {
            std::shuffle(this->localPeers.begin(), this->localPeers.end(), random);
            this->shuffled = true;
            this->nextLocal = 0;
        }
        picked.push_back(this->localPeers[this->nextLocal++]);
    }
    return picked;
}

std::optional<GossipPeer> Gossip::pickRemote(bool always, Random& random) const
{
    if (this->remotePeers.empty())
        return std::nullopt;
    const auto daemons = static_cast<double>(this->localPeers.size() + 1);
    const auto chance = this->settings.remoteRate * toSeconds(this->settings.roundInterval) / daemons;
    if (!always && uniform(random) >= chance)
        return std::nullopt;
    return this->remotePeers[random() % this->remotePeers.size()];
}

/// Pushes own cells written since the last round to the peers of this round.
void Gossip::addPushes(GossipMessage& message, Budget& budget) const
{
    const auto& own = this->owners.at(this->selfId);
    for (const auto lane : allLanes) {
        if (own.lanes[indexOf(lane)].reached > this->pushed[indexOf(lane)])
            this->addDelta(message, this->selfId, own, lane, this->pushed[indexOf(lane)], budget);
    }
}

/// Relays urgent cells of other owners, latest first; the rest is left to the digests.
void Gossip::addRelays(GossipMessage& message, Budget& budget) const
{
    std::size_t used = 0;
    for (const auto& relay : this->relays) {
        const auto owner = this->owners.find(relay.owner);
        if (owner == this->owners.end())
            continue;
        const auto& cells = owner->second.lanes[indexOf(relay.lane)].cells;
        const auto found = cells.find(relay.id);
        if (found == cells.end())
            continue;
        const auto& cell = found->second.cell;
        const auto cost = costOf(cell) + relay.owner.value.size() + cellOverhead;
        if (used + cost > std::min(this->settings.relayBudget, budget.limit - budget.used))
            break;
        used += cost;
        message.deltas.push_back({ relay.owner, owner->second.incarnation, relay.lane, 0, 0, { cell } });
    }
    budget.used += used;
}

void Gossip::addNotes(GossipMessage& message, const InstanceId& peer)
{
    const auto found = this->notesFor.find(peer);
    if (found == this->notesFor.end())
        return;
    auto& waiting = found->second;
    std::size_t bytes = 0;
    while (!waiting.empty() && bytes < this->settings.noteBudget) {
        const auto first = waiting.begin();
        bytes += first->first.key.size() + first->second.size() + cellOverhead;
        message.notes.push_back({ first->first.topic, first->first.key, first->second });
        waiting.erase(first);
    }
    if (waiting.empty())
        this->notesFor.erase(found);
}

void Gossip::finishRound()
{
    this->urgent = false;
    const auto& own = this->owners.at(this->selfId);
    for (const auto lane : allLanes)
        this->pushed[indexOf(lane)] = own.lanes[indexOf(lane)].reached;
    for (auto& relay : this->relays)
        --relay.rounds;
    std::erase_if(this->relays, [](const Relay& relay) { return relay.rounds == 0; });
    for (auto& [id, held] : this->latchSet) {
        if (held.relayRounds > 0)
            --held.relayRounds;
    }
}

void Gossip::purge(TimePoint now)
{
    for (auto& [id, owner] : this->owners) {
        for (auto& lane : owner.lanes)
            purgeRemoved(lane, now - this->settings.removedLifetime);
        if (id != this->selfId)
            purgeSummaries(owner.lanes[indexOf(Lane::Summary)], now - this->settings.summaryLifetime);
        if (owner.expired || !owner.deadSince || now - *owner.deadSince < this->settings.deadCellLifetime)
            continue;
        owner.expired = true;
        for (auto& lane : owner.lanes) {
            lane.cells.clear();
            lane.bySequence.clear();
        }
    }
    const auto tooOld = [&](const auto& entry) { return now - entry.second.setAt > this->settings.latchLifetime; };
    std::erase_if(this->latchSet, tooOld);
}

void Gossip::purgeRemoved(LaneState& lane, TimePoint before)
{
    for (auto position = lane.cells.begin(); position != lane.cells.end();) {
        const auto& held = position->second;
        if (!held.cell.removed || held.since > before) {
            ++position;
            continue;
        }
        lane.bySequence.erase(held.cell.sequence);
        position = lane.cells.erase(position);
    }
}

/// Expires summaries by age, because the failure detector does not cover other regions.
void Gossip::purgeSummaries(LaneState& lane, TimePoint before)
{
    for (auto position = lane.cells.begin(); position != lane.cells.end();) {
        if (position->second.since > before) {
            ++position;
            continue;
        }
        lane.bySequence.erase(position->second.cell.sequence);
        position = lane.cells.erase(position);
    }
}

} // namespace goldcrestwood
