#include "daemon/peer_mesh.h"

#include <algorithm>

#include "daemon/clock.h"
#include "daemon/platform_client.h"

namespace goldcrestwood {

namespace {

    constexpr Duration stepInterval = std::chrono::milliseconds(100);
    constexpr Duration instancesInterval = std::chrono::seconds(2);
    constexpr Duration viewReportInterval = std::chrono::milliseconds(500);
    constexpr Duration viewSupportTerm = std::chrono::seconds(2);

    MemberInfo initialInfo(const Settings& settings)
    {
        MemberInfo info;
        info.peerAddress = settings.listen.peers;
        info.callerAddress = settings.listen.callers;
        info.domain = settings.instance.domain;
        info.region = settings.instance.region;
        info.phase = MemberPhase::Starting;
        return info;
    }

    GossipSettings gossipSettings(const Settings& settings)
    {
        GossipSettings gossip;
        gossip.roundInterval = settings.peers.gossipInterval;
        return gossip;
    }

    OwnerCandidate candidateOf(const Member& member)
    {
        return { member.id, member.info.domain, member.info.region };
    }

} // namespace

PeerMesh::PeerMesh(const Settings& daemonSettings, std::uint64_t incarnation, Metrics& processMetrics)
    : settings(daemonSettings)
    , selfId(daemonSettings.instance.id)
    , incarnationNumber(incarnation)
    , metrics(processMetrics)
    , membership(MembershipSettings(), this->selfId, incarnation, initialInfo(daemonSettings), monotonicNow())
    , gossip(gossipSettings(daemonSettings), this->selfId, incarnation, daemonSettings.instance.region, monotonicNow())
    , isolation(IsolationSettings(), monotonicNow())
    , ownership(OwnershipSettings(), this->selfId)
    , quorum(this->selfId, incarnation, viewSupportTerm)
    , random(incarnation)
{
}

PeerMesh::~PeerMesh()
{
    this->stop();
}

void PeerMesh::start(PeerTransport& peerTransport, MeshListener meshListener)
{
    this->transport = &peerTransport;
    this->listener = std::move(meshListener);
    this->thread = std::thread([this] { this->run(); });
}

void PeerMesh::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void PeerMesh::run()
{
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait_for(lock, stepInterval, [this] { return this->stopping || this->urgent; });
            if (this->stopping)
                return;
            this->urgent = false;
        }
        this->refreshInstances();
        this->step();
    }
}

void PeerMesh::refreshInstances()
{
    const auto now = monotonicNow();
    if (now < this->nextInstances)
        return;
    this->nextInstances = now + instancesInterval;
    const auto listed = listInstances(this->settings.platform.instances, this->settings.platform.timeout);
    if (!listed)
        this->metrics.count("goldcrestwood_instance_list_failures_total");
    std::vector<ListedInstance> instances = listed.value_or(std::vector<ListedInstance>());
    for (const auto& seed : this->settings.peers.seeds) {
        if (seed != this->settings.listen.peers)
            instances.push_back({ {}, seed, {}, this->settings.instance.region, false });
    }
    const std::lock_guard lock(this->mutex);
    this->membership.onInstances(instances, monotonicNow());
    if (listed) {
        const auto inRegion = [this](const ListedInstance& instance) {
            return instance.region.empty() || instance.region == this->settings.instance.region;
        };
        this->listedInRegion = static_cast<std::size_t>(std::count_if(listed->begin(), listed->end(), inRegion));
    }
    this->updatePeers();
}

void PeerMesh::step()
{
    Notifications notifications;
    std::vector<OutgoingGossip> outgoing;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = monotonicNow();
        this->applyActions(this->membership.poll(now), now, notifications);
        const auto changes = this->ownership.poll(now);
        notifications.ownership.insert(notifications.ownership.end(), changes.begin(), changes.end());
        this->isolation.poll(this->membership.contact(now), now);
        outgoing = this->gossip.poll(now, this->random);
        for (const auto& message : outgoing) {
            if (!message.peer.empty())
                this->membership.onProbeSent(message.peer, now);
        }
    }
    for (const auto& message : outgoing)
        this->send(message);
    this->sendViewReports(monotonicNow());
    this->notifyListener(notifications);
}

void PeerMesh::applyActions(const std::vector<MembershipAction>& actions, TimePoint now, Notifications& notifications)
{
    for (const auto& action : actions) {
        if (const auto* announce = std::get_if<AnnounceSelf>(&action)) {
            this->gossip.set(Topic::Membership, "", encode(announce->info), now);
            this->applyMember(this->membership.self(), now, notifications);
        } else if (const auto* suspicion = std::get_if<PublishSuspicion>(&action)) {
            this->gossip.set(Topic::Suspicion, suspicion->peer.value, encode(suspicion->info), now);
        } else if (const auto* withdrawal = std::get_if<WithdrawSuspicion>(&action)) {
            this->gossip.remove(Topic::Suspicion, withdrawal->peer.value, now);
        } else if (const auto* change = std::get_if<MemberChanged>(&action)) {
            this->applyMember(change->member, now, notifications);
        } else if (const auto* forgotten = std::get_if<MemberForgotten>(&action)) {
            this->gossip.forget(forgotten->id);
        }
    }
    if (!actions.empty())
        this->updatePeers();
}

void PeerMesh::applyMember(const Member& member, TimePoint now, Notifications& notifications)
{
    if (member.state == MemberState::Dead)
        this->gossip.onDead(member.id, now);
    else
        this->gossip.onAlive(member.id);
    const auto changes = this->ownership.onMember(candidateOf(member), member.isUsable(), now);
    notifications.ownership.insert(notifications.ownership.end(), changes.begin(), changes.end());
}

void PeerMesh::updatePeers()
{
    std::vector<GossipPeer> peers;
    std::vector<InstanceId> alive { this->selfId };
    for (const auto& [id, member] : this->membership.peers()) {
        if (member.info.peerAddress.empty())
            continue;
        if (member.state != MemberState::Dead)
            peers.push_back({ id, member.info.peerAddress, member.info.region });
        if (member.isUsable() && member.info.region == this->settings.instance.region)
            alive.push_back(id);
    }
    for (const auto& seed : this->settings.peers.seeds) {
        const auto hasSeedAddress = [&seed](const GossipPeer& peer) { return peer.address == seed; };
        if (seed != this->settings.listen.peers && std::none_of(peers.begin(), peers.end(), hasSeedAddress))
            peers.push_back({ {}, seed, this->settings.instance.region });
    }
    this->gossip.setPeers(std::move(peers));
    this->quorum.setView(std::move(alive), this->listedInRegion);
}

void PeerMesh::send(const OutgoingGossip& outgoing)
{
    this->transport->callAsync(outgoing.address, { "GossipMessage", encode(outgoing.message) }, this->settings.peers.timeout,
        [this, address = outgoing.address](const PeerResult& result) {
            const auto answer = result ? decode<GossipMessage>(result->payload) : tl::unexpected(DecodeError {});
            if (!answer)
                return;
            if (const auto reply = this->handleGossip(*answer))
                this->transport->post(address, { "GossipMessage", encode(*reply) });
        });
}

void PeerMesh::sendViewReports(TimePoint now)
{
    if (now < this->nextViewReport)
        return;
    this->nextViewReport = now + viewReportInterval;
    std::vector<std::pair<std::string, ViewReport>> reports;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [id, member] : this->membership.peers()) {
            const bool isRecipient = member.isUsable() && member.info.region == this->settings.instance.region;
            if (isRecipient && !member.info.peerAddress.empty())
                reports.emplace_back(member.info.peerAddress, this->quorum.report(id, now));
        }
    }
    for (const auto& [address, report] : reports)
        this->transport->post(address, { "ViewReport", encode(report) });
}

void PeerMesh::onMessage(const PeerMessage& message, const PeerReply& reply)
{
    if (message.kind == "ViewReport") {
        const std::lock_guard lock(this->mutex);
        if (const auto report = decode<ViewReport>(message.payload))
            this->quorum.onReport(*report);
        return;
    }
    const auto gossipMessage = decode<GossipMessage>(message.payload);
    if (!gossipMessage) {
        reply({});
        return;
    }
    if (const auto answer = this->handleGossip(*gossipMessage))
        reply({ "GossipMessage", encode(*answer) });
}

std::optional<GossipMessage> PeerMesh::handleGossip(const GossipMessage& message)
{
    Notifications notifications;
    std::optional<GossipMessage> reply;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = monotonicNow();
        this->membership.onHeard(message.from, message.incarnation, now);
        auto result = this->gossip.onMessage(message, now);
        this->applyCells(result.changed, now);
        reply = std::move(result.reply);
        notifications.cells = std::move(result.changed);
        notifications.latches = std::move(result.latches);
    }
    this->notifyListener(notifications);
    return reply;
}

void PeerMesh::applyCells(const std::vector<ChangedCell>& cells, TimePoint now)
{
    for (const auto& [owner, ownerIncarnation, cell] : cells) {
        if (cell.removed) {
            if (cell.topic == Topic::Suspicion)
                this->membership.onSuspicionWithdrawn(owner, InstanceId(cell.key));
            continue;
        }
        if (cell.topic == Topic::Membership) {
            if (const auto info = decode<MemberInfo>(cell.payload))
                this->membership.onInfo(owner, ownerIncarnation, *info, now);
        } else if (cell.topic == Topic::Suspicion) {
            if (const auto suspicion = decode<SuspicionInfo>(cell.payload))
                this->membership.onSuspicion(owner, InstanceId(cell.key), *suspicion, now);
        }
    }
}

void PeerMesh::notifyListener(const Notifications& notifications)
{
    if (!notifications.ownership.empty() && this->listener.onOwnership)
        this->listener.onOwnership(notifications.ownership);
    for (const auto& latch : notifications.latches) {
        if (this->listener.onLatch)
            this->listener.onLatch(latch);
    }
    for (const auto& cell : notifications.cells) {
        if (this->listener.onCell)
            this->listener.onCell(cell);
    }
}

void PeerMesh::onLogRead(TimePoint when)
{
    const std::lock_guard lock(this->mutex);
    this->isolation.onLogRead(when);
}

void PeerMesh::setPhase(MemberPhase phase)
{
    {
        const std::lock_guard lock(this->mutex);
        this->membership.setPhase(phase);
        this->urgent = true;
    }
    this->wake.notify_all();
}

void PeerMesh::setCell(Topic topic, const std::string& key, const std::string& payload)
{
    {
        const std::lock_guard lock(this->mutex);
        this->gossip.set(topic, key, payload, monotonicNow());
        this->urgent = isLatch(topic) || isUrgent(topic);
    }
    this->wake.notify_all();
}

void PeerMesh::removeCell(Topic topic, const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    this->gossip.remove(topic, key, monotonicNow());
}

void PeerMesh::retireLatch(Topic topic, const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    this->gossip.retire(topic, key, monotonicNow());
}

std::vector<ChangedCell> PeerMesh::cells(Topic topic)
{
    const std::lock_guard lock(this->mutex);
    return this->gossip.cells(topic);
}

std::vector<GossipLatch> PeerMesh::latches(Topic topic)
{
    const std::lock_guard lock(this->mutex);
    return this->gossip.latches(topic, monotonicNow());
}

std::vector<OwnershipChange> PeerMesh::setResources(const std::vector<OwnedResource>& resources)
{
    const std::lock_guard lock(this->mutex);
    return this->ownership.setResources(resources);
}

Owners PeerMesh::ownersOf(std::uint64_t key)
{
    const std::lock_guard lock(this->mutex);
    return this->ownership.ownersOf(key);
}

Owners PeerMesh::rank(const OwnedResource& resource)
{
    const std::lock_guard lock(this->mutex);
    return this->ownership.rank(resource);
}

std::optional<std::string> PeerMesh::addressOf(const InstanceId& id)
{
    const std::lock_guard lock(this->mutex);
    const auto* member = this->membership.find(id);
    if (!member || member->info.peerAddress.empty())
        return std::nullopt;
    return member->info.peerAddress;
}

bool PeerMesh::isIsolated()
{
    const std::lock_guard lock(this->mutex);
    return this->isolation.isIsolated();
}

std::vector<InstanceId> PeerMesh::regionMembers()
{
    const std::lock_guard lock(this->mutex);
    std::vector<InstanceId> members { this->selfId };
    for (const auto& [id, member] : this->membership.peers()) {
        if (member.isUsable() && member.info.region == this->settings.instance.region)
            members.push_back(id);
    }
    return members;
}

TimePoint PeerMesh::supportedUntil()
{
    const std::lock_guard lock(this->mutex);
    return this->quorum.supportedUntil(monotonicNow());
}

bool PeerMesh::isUnanimous()
{
    const std::lock_guard lock(this->mutex);
    return this->quorum.isUnanimous(monotonicNow());
}

ResolverAnswer PeerMesh::resolve(const ResolverSettings& resolverSettings,
    const std::function<bool(const FailureDomain&)>& isDomainOut, const std::optional<FailureDomain>& hint)
{
    const std::lock_guard lock(this->mutex);
    std::map<InstanceId, double> utilisation;
    for (const auto& [owner, ownerIncarnation, cell] : this->gossip.cells(Topic::DaemonLoad)) {
        if (const auto load = decode<DaemonLoadInfo>(cell.payload))
            utilisation[owner] = load->utilisation;
    }
    std::vector<ResolverCandidate> candidates;
    const auto add = [&](const Member& member) {
        candidates.push_back(toCandidate(member, isDomainOut(member.info.domain), utilisation[member.id]));
    };
    add(this->membership.self());
    for (const auto& [id, member] : this->membership.peers())
        add(member);
    return resolveEndpoints(resolverSettings, candidates, this->settings.instance.region, hint, this->random);
}

MeshStatus PeerMesh::status()
{
    const std::lock_guard lock(this->mutex);
    MeshStatus status { this->membership.self(), {}, this->gossip.counters(), this->isolation.isIsolated(), this->gossip.memoryBytes() };
    for (const auto& [id, member] : this->membership.peers())
        status.peers.push_back(member);
    return status;
}

} // namespace goldcrestwood
