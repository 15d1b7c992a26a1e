#include "goldcrestwood/membership.h"

#include <algorithm>
#include <utility>

namespace goldcrestwood {

const char* toString(MemberState state)
{
    switch (state) {
    case MemberState::Listed:
        return "listed";
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

bool Member::isUsable() const
{
    const bool live = this->state == MemberState::Alive || this->state == MemberState::Suspect;
    const bool mayOwn = this->info.phase == MemberPhase::Ready || this->info.phase == MemberPhase::Warming;
    return live && mayOwn;
}

Membership::Membership(
    MembershipSettings initialSettings, InstanceId ownId, std::uint64_t incarnation, MemberInfo info, TimePoint now)
    : settings(initialSettings)
    , selfMember { std::move(ownId), incarnation, MemberState::Alive, std::move(info), false }
    , lastPoll(now)
    , nextTimers(now)
{
    this->announce();
}

void Membership::onInstances(const std::vector<ListedInstance>& instances, TimePoint)
{
    for (const auto& listed : instances) {
        if (listed.id.empty() || listed.id == this->selfMember.id)
            continue;
        auto [position, added] = this->peerMembers.try_emplace(listed.id);
        auto& member = position->second;
        const auto before = member;
        member.id = listed.id;
        member.listedLeaving = listed.leaving;
        if (member.state == MemberState::Listed || member.info.peerAddress.empty()) {
            member.info.peerAddress = listed.address;
            member.info.domain = listed.domain;
            member.info.region = listed.region;
        }
        if (added || before != member)
            this->reportChange(member);
    }
    this->forgetUnlisted(instances);
}

/// Forgets unlisted members that the failure detector does not cover.
void Membership::forgetUnlisted(const std::vector<ListedInstance>& instances)
{
    std::set<InstanceId> listed;
    for (const auto& instance : instances)
        listed.insert(instance.id);
    for (auto position = this->peerMembers.begin(); position != this->peerMembers.end();) {
        const auto& [id, member] = *position;
        const bool covered = member.state != MemberState::Listed && this->isLocal(member);
        if (covered || listed.contains(id)) {
            ++position;
            continue;
        }
        this->pending.emplace_back(MemberForgotten { id });
        this->contacts.erase(id);
        position = this->peerMembers.erase(position);
    }
}

void Membership::onProbeSent(const InstanceId& peer, TimePoint now)
{
    const auto* member = this->find(peer);
    if (!member || !this->isLocal(*member))
        return;
    auto& contact = this->contacts[peer];
    contact.lastProbe = now;
    if (!contact.unansweredSince)
        contact.unansweredSince = now;
}

void Membership::onHeard(const InstanceId& peer, std::uint64_t incarnation, TimePoint now)
{
    auto* member = this->admit(peer, incarnation);
    if (!member)
        return;
    auto& contact = this->contacts[peer];
    contact.lastHeard = now;
    contact.unansweredSince.reset();
    contact.misses = 0;
    if (member->info.phase != MemberPhase::Left)
        this->markAlive(*member);
}

void Membership::onInfo(const InstanceId& peer, std::uint64_t incarnation, const MemberInfo& info, TimePoint now)
{
    auto* member = this->admit(peer, incarnation);
    if (!member || info.counter < member->info.counter || member->info.phase == MemberPhase::Left)
        return;
    const bool refuted = info.counter > member->info.counter || member->state == MemberState::Listed;
    if (info != member->info) {
        member->info = info;
        this->reportChange(*member);
    }
    if (info.phase == MemberPhase::Left)
        this->markDead(*member, now);
    else if (refuted)
        this->markAlive(*member);
    this->replaceSameAddress(*member, now);
}

void Membership::onSuspicion(
    const InstanceId& accuser, const InstanceId& accused, const SuspicionInfo& suspicion, TimePoint now)
{
    if (accused == this->selfMember.id) {
        auto& info = this->selfMember.info;
        if (suspicion.incarnation != this->selfMember.incarnation || suspicion.counter < info.counter)
            return;
        info.counter = suspicion.counter + 1;
        this->announce();
        return;
    }
    const auto found = this->peerMembers.find(accused);
    if (found == this->peerMembers.end())
        return;
    auto& member = found->second;
    const bool current = suspicion.incarnation == member.incarnation && suspicion.counter >= member.info.counter;
    const bool live = member.state == MemberState::Alive || member.state == MemberState::Suspect;
    if (!current || !live)
        return;
    auto& contact = this->contacts[accused];
    contact.accusers.insert(accuser);
    if (member.state == MemberState::Suspect)
        return;
    member.state = MemberState::Suspect;
    contact.suspectSince = now;
    contact.probedOnSuspicion = false;
    this->reportChange(member);
}

void Membership::onSuspicionWithdrawn(const InstanceId& accuser, const InstanceId& accused)
{
    const auto found = this->peerMembers.find(accused);
    const auto contact = this->contacts.find(accused);
    if (found == this->peerMembers.end() || contact == this->contacts.end())
        return;
    const bool known = contact->second.accusers.erase(accuser) > 0;
    const bool unfounded = known && contact->second.accusers.empty() && !contact->second.published;
    if (unfounded && found->second.state == MemberState::Suspect)
        this->markAlive(found->second);
}

void Membership::setPhase(MemberPhase phase)
{
    if (this->selfMember.info.phase == phase)
        return;
    this->selfMember.info.phase = phase;
    this->announce();
}

std::vector<MembershipAction> Membership::poll(TimePoint now)
{
    if (now - this->lastPoll > this->settings.pauseLimit)
        this->resetAfterPause(now);
    this->lastPoll = now;
    if (now >= this->nextTimers) {
        this->nextTimers = now + this->settings.timerInterval;
        this->countMisses(now);
        this->expireSuspicions(now);
        this->forgetDead(now);
    }
    return std::exchange(this->pending, {});
}

const Member* Membership::find(const InstanceId& id) const
{
    if (id == this->selfMember.id)
        return &this->selfMember;
    const auto found = this->peerMembers.find(id);
    return found == this->peerMembers.end() ? nullptr : &found->second;
}

PeerContact Membership::contact(TimePoint now) const
{
    std::size_t listed = 0;
    std::size_t dead = 0;
    std::size_t live = 0;
    std::size_t sampled = 0;
    std::size_t answered = 0;
    const InstanceId* lowestSilent = nullptr;
    const InstanceId* lowestHeard = &this->selfMember.id;
    auto found = this->contacts.begin();
    for (const auto& [id, member] : this->peerMembers) {
        if (!this->isLocal(member) || member.info.phase == MemberPhase::Left)
            continue;
        if (member.state == MemberState::Listed) {
            ++listed;
            continue;
        }
        while (found != this->contacts.end() && found->first < id)
            ++found;
        const bool hasContact = found != this->contacts.end() && found->first == id;
        const auto within = [&](const std::optional<TimePoint>& moment) {
            return moment && now - *moment <= this->settings.contactWindow;
        };
        const bool heard = hasContact && within(found->second.lastHeard);
        const bool probed = hasContact && within(found->second.lastProbe);
        ++(member.state == MemberState::Dead ? dead : live);
        if (heard && *lowestHeard > id)
            lowestHeard = &id;
        if (!heard && (probed || member.state == MemberState::Dead) && !lowestSilent)
            lowestSilent = &id;
        if (member.state != MemberState::Dead && (heard || probed))
            ++sampled;
        if (member.state != MemberState::Dead && heard)
            ++answered;
    }
    PeerContact result;
    result.known = live + dead > 0 ? live + dead : listed;
    result.reachable = sampled > 0 ? (live * answered + sampled / 2) / sampled : 0;
    result.holdsTieBreak = !lowestSilent || *lowestHeard < *lowestSilent;
    return result;
}

/// @return The member, or null when the message is from an ended incarnation or from this daemon itself.
Member* Membership::admit(const InstanceId& id, std::uint64_t incarnation)
{
    if (id.empty() || id == this->selfMember.id)
        return nullptr;
    auto& member = this->peerMembers[id];
    if (incarnation < member.incarnation)
        return nullptr;
    if (incarnation == member.incarnation && member.state != MemberState::Listed)
        return &member;
    if (auto& contact = this->contacts[id]; member.incarnation != incarnation) {
        this->withdrawSuspicion(id, contact);
        contact = {};
    }
    member.id = id;
    member.incarnation = incarnation;
    member.state = MemberState::Alive;
    member.info.phase = MemberPhase::Starting;
    member.info.counter = 0;
    this->reportChange(member);
    return &member;
}

bool Membership::isLocal(const Member& member) const
{
    return member.info.region == this->selfMember.info.region;
}

void Membership::announce()
{
    this->pending.emplace_back(AnnounceSelf { this->selfMember.info });
}

void Membership::reportChange(const Member& member)
{
    this->pending.emplace_back(MemberChanged { member });
}

void Membership::markAlive(Member& member)
{
    auto& contact = this->contacts[member.id];
    this->withdrawSuspicion(member.id, contact);
    contact.suspectSince.reset();
    contact.deadSince.reset();
    contact.accusers.clear();
    if (member.state == MemberState::Alive)
        return;
    member.state = MemberState::Alive;
    this->reportChange(member);
}

void Membership::withdrawSuspicion(const InstanceId& id, Contact& contact)
{
    if (std::exchange(contact.published, false))
        this->pending.emplace_back(WithdrawSuspicion { id });
}

void Membership::markDead(Member& member, TimePoint now)
{
    auto& contact = this->contacts[member.id];
    contact.suspectSince.reset();
    if (member.state == MemberState::Dead)
        return;
    contact.deadSince = now;
    member.state = MemberState::Dead;
    this->reportChange(member);
}

/// A daemon may restart under a new id; the older daemon at that address is then gone.
void Membership::replaceSameAddress(const Member& newer, TimePoint now)
{
    if (newer.info.peerAddress.empty() || newer.state == MemberState::Dead)
        return;
    for (auto& [id, member] : this->peerMembers) {
        const bool older = member.incarnation < newer.incarnation && member.state != MemberState::Listed;
        if (older && id != newer.id && member.info.peerAddress == newer.info.peerAddress)
            this->markDead(member, now);
    }
}

/// Messages missed while this process was paused are no evidence against the peers.
void Membership::resetAfterPause(TimePoint now)
{
    this->massLossSince.reset();
    for (auto& [id, contact] : this->contacts) {
        contact.unansweredSince.reset();
        contact.misses = 0;
        if (contact.suspectSince)
            contact.suspectSince = now;
    }
}

void Membership::countMisses(TimePoint now)
{
    for (auto& [id, contact] : this->contacts) {
        if (!contact.unansweredSince || now - *contact.unansweredSince < this->settings.probeTimeout)
            continue;
        contact.unansweredSince.reset();
        ++contact.misses;
        auto& member = this->peerMembers.at(id);
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect)
            this->pending.emplace_back(ProbePeer { id });
        if (contact.misses >= this->settings.missesToSuspect)
            this->suspect(member, contact, now);
    }
}

void Membership::suspect(Member& member, Contact& contact, TimePoint now)
{
    const bool recent = contact.lastSuspicion && now - *contact.lastSuspicion < this->settings.suspicionTimeout;
    if (member.state != MemberState::Alive || recent)
        return;
    contact.lastSuspicion = now;
    contact.suspectSince = now;
    contact.probedOnSuspicion = false;
    contact.published = true;
    member.state = MemberState::Suspect;
    this->pending.emplace_back(PublishSuspicion { member.id, { member.incarnation, member.info.counter } });
    this->reportChange(member);
}

/// When most peers fall silent together the fault is probably local; declaring them dead is delayed, but not indefinitely.
bool Membership::mayDeclareDead(TimePoint now)
{
    const auto contact = this->contact(now);
    if (contact.known < 2 || contact.reachable * 2 >= contact.known) {
        this->massLossSince.reset();
        return true;
    }
    if (!this->massLossSince)
        this->massLossSince = now;
    return now - *this->massLossSince >= this->settings.massLossHold;
}

void Membership::expireSuspicions(TimePoint now)
{
    if (!this->mayDeclareDead(now))
        return;
    for (auto& [id, contact] : this->contacts) {
        if (!contact.suspectSince)
            continue;
        const auto age = now - *contact.suspectSince;
        if (age >= this->settings.suspicionTimeout)
            this->markDead(this->peerMembers.at(id), now);
        // A direct probe covers the case that a refutation or withdrawal was lost.
        else if (age >= this->settings.suspicionTimeout / 2 && !std::exchange(contact.probedOnSuspicion, true))
            this->pending.emplace_back(ProbePeer { id });
    }
}

void Membership::forgetDead(TimePoint now)
{
    for (auto position = this->contacts.begin(); position != this->contacts.end();) {
        const auto& [id, contact] = *position;
        if (!contact.deadSince || now - *contact.deadSince < this->settings.forgetAfter) {
            ++position;
            continue;
        }
        this->withdrawSuspicion(id, position->second);
        this->pending.emplace_back(MemberForgotten { id });
        this->peerMembers.erase(id);
        position = this->contacts.erase(position);
    }
}

} // namespace goldcrestwood
