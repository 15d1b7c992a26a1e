#include "goldcrestwood/peers.h"

#include <algorithm>
#include <utility>

namespace goldcrestwood {
namespace {

    template <typename... Visitors>
    struct Overloaded : Visitors... {
        using Visitors::operator()...;
    };
    template <typename... Visitors>
    Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace

Peers::Peers(PeersSettings initialSettings, InstanceId self, std::uint64_t incarnation, const MemberInfo& info, TimePoint now)
    : settings(initialSettings)
    , members(initialSettings.membership, self, incarnation, info, now)
    , cells(initialSettings.gossip, std::move(self), incarnation, info.region, now)
    , nextRetry(now)
{
}

void Peers::onInstances(const std::vector<ListedInstance>& instances, TimePoint now)
{
    this->members.onInstances(instances, now);
    this->seeds.clear();
    for (const auto& listed : instances) {
        if (listed.id.empty() && !listed.address.empty())
            this->seeds.push_back({ {}, listed.address, listed.region });
    }
    this->peersChanged = true;
}

void Peers::setPhase(MemberPhase phase)
{
    this->members.setPhase(phase);
}

PeersOutput Peers::poll(TimePoint now, Random& random)
{
    PeersOutput out;
    this->applyMembership(out, now);
    if (std::exchange(this->peersChanged, false))
        this->refreshPeers();
    this->probeSilentPeer(now, random);
    out.messages = this->cells.poll(now, random);
    for (const auto& message : out.messages) {
        if (!message.peer.empty())
            this->members.onProbeSent(message.peer, now);
    }
    return out;
}

PeersOutput Peers::onMessage(const GossipMessage& message, TimePoint now)
{
    PeersOutput out;
    this->members.onHeard(message.from, message.incarnation, now);
    auto result = this->cells.onMessage(message, now);
    for (const auto& changed : result.changed)
        this->applyCell(changed, now);
    out.reply = std::move(result.reply);
    out.cells = std::move(result.changed);
    out.latches = std::move(result.latches);
    out.notes = std::move(result.notes);
    this->applyMembership(out, now);
    return out;
}

void Peers::applyCell(const ChangedCell& changed, TimePoint now)
{
    if (changed.cell.removed) {
        if (changed.cell.topic == Topic::Suspicion)
            this->members.onSuspicionWithdrawn(changed.owner, InstanceId(changed.cell.key));
        return;
    }
    if (changed.cell.topic == Topic::Membership) {
        if (const auto info = decode<MemberInfo>(changed.cell.payload))
            this->members.onInfo(changed.owner, changed.incarnation, *info, now);
    } else if (changed.cell.topic == Topic::Suspicion) {
        if (const auto suspicion = decode<SuspicionInfo>(changed.cell.payload))
            this->members.onSuspicion(changed.owner, InstanceId(changed.cell.key), *suspicion, now);
    }
}

void Peers::applyMembership(PeersOutput& out, TimePoint now)
{
    const auto apply = Overloaded {
        [&](const AnnounceSelf& action) { this->cells.set(Topic::Membership, {}, encode(action.info), now); },
        [&](const PublishSuspicion& action) {
            this->cells.set(Topic::Suspicion, action.peer.value, encode(action.info), now);
        },
        [&](const WithdrawSuspicion& action) { this->cells.remove(Topic::Suspicion, action.peer.value, now); },
        [&](const MemberChanged& action) {
            if (action.member.state == MemberState::Dead)
                this->cells.onDead(action.member.id, now);
            else
                this->cells.onAlive(action.member.id);
            this->peersChanged = true;
            out.members.push_back(action.member);
        },
        [&](const MemberForgotten& action) {
            this->cells.forget(action.id);
            this->peersChanged = true;
            out.forgotten.push_back(action.id);
        },
        [&](const ProbePeer& action) { this->cells.probeSoon(action.peer); },
    };
    for (const auto& action : this->members.poll(now))
        std::visit(apply, action);
}

/// Live peers are contacted in turn; dead peers and those that no daemon has heard are only probed occasionally.
void Peers::refreshPeers()
{
    std::vector<GossipPeer> live;
    this->silent.clear();
    const auto& own = this->members.self().info;
    for (const auto& [id, member] : this->members.peers()) {
        if (member.info.peerAddress.empty() || member.info.phase == MemberPhase::Left)
            continue;
        const bool remote = member.info.region != own.region;
        const bool isLive = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (!isLive && !remote)
            this->silent.push_back(id);
        live.push_back({ id, member.info.peerAddress, member.info.region });
    }
    auto known = [&](const GossipPeer& seed) {
        return seed.address == own.peerAddress
            || std::any_of(live.begin(), live.end(), [&](const auto& peer) { return peer.address == seed.address; });
    };
    for (const auto& seed : this->seeds) {
        if (!known(seed))
            live.push_back(seed);
    }
    this->cells.setPeers(std::move(live), this->silent);
}

void Peers::probeSilentPeer(TimePoint now, Random& random)
{
    if (now < this->nextRetry)
        return;
    this->nextRetry = now + this->settings.gossip.roundInterval * this->settings.retryEveryRounds;
    if (!this->silent.empty())
        this->cells.probeSoon(this->silent[random() % this->silent.size()]);
}

} // namespace goldcrestwood
