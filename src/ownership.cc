#include "goldcrestwood/ownership.h"

#include <algorithm>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {
namespace {

    /// Mixes a resource's key with a member's hash (the SplitMix64 finalizer).
    std::uint64_t mix(std::uint64_t key, std::uint64_t member)
    {
        auto value = key ^ member;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31);
    }

    /// @return One change per resource, from its first role to its last.
    std::vector<OwnershipChange> merge(const std::vector<OwnershipChange>& changes)
    {
        std::vector<OwnershipChange> merged;
        std::unordered_map<std::uint64_t, std::size_t> positions;
        for (const auto& change : changes) {
            const auto [position, added] = positions.try_emplace(change.key, merged.size());
            if (added)
                merged.push_back(change);
            else
                merged[position->second].after = change.after;
        }
        std::erase_if(merged, [](const OwnershipChange& change) { return change.before == change.after; });
        return merged;
    }

} // namespace

Ownership::Ownership(OwnershipSettings initialSettings, InstanceId ownId)
    : settings(initialSettings)
    , self(std::move(ownId))
{
}

std::vector<OwnershipChange> Ownership::setResources(const std::vector<OwnedResource>& wanted)
{
    std::vector<OwnershipChange> changes;
    std::unordered_set<std::uint64_t> keys;
    for (const auto& resource : wanted)
        keys.insert(resource.key);
    for (auto position = this->resources.begin(); position != this->resources.end();) {
        if (keys.contains(position->first)) {
            ++position;
            continue;
        }
        this->assign(position->second, {}, {}, changes);
        position = this->resources.erase(position);
    }
    for (const auto& resource : wanted) {
        auto [position, added] = this->resources.try_emplace(resource.key);
        auto& tracked = position->second;
        if (!added && tracked.resource == resource)
            continue;
        tracked.resource = resource;
        const auto [owner, standby] = this->rankAll(resource);
        this->assign(tracked, owner, standby, changes);
    }
    return changes;
}

std::vector<OwnershipChange> Ownership::onMember(const OwnerCandidate& member, bool usable, TimePoint now)
{
    std::vector<OwnershipChange> changes;
    const auto index = this->slotFor(member);
    auto& slot = this->slots[index];
    if (slot.admitted && (!usable || slot.candidate != member))
        this->expel(index, changes);
    slot.candidate = member;
    if (!usable) {
        slot.usableSince.reset();
        this->waiting.erase(index);
        return changes;
    }
    if (slot.admitted || slot.usableSince)
        return changes;
    slot.usableSince = now;
    this->waiting.insert(index);
    return changes;
}

std::vector<OwnershipChange> Ownership::onForgotten(const InstanceId& id)
{
    std::vector<OwnershipChange> changes;
    const auto found = this->slotOf.find(id);
    if (found == this->slotOf.end())
        return changes;
    const auto index = found->second;
    if (this->slots[index].admitted)
        this->expel(index, changes);
    this->waiting.erase(index);
    this->slotOf.erase(found);
    this->freeSlots.push_back(index);
    return changes;
}

std::vector<OwnershipChange> Ownership::poll(TimePoint now)
{
    std::vector<OwnershipChange> changes;
    std::set<Region> opened;
    for (const auto index : this->waiting) {
        const auto& slot = this->slots[index];
        if (this->isHoldDownOver(slot, now) && this->admittedIn[slot.candidate.region].empty())
            opened.insert(slot.candidate.region);
    }
    for (auto position = this->waiting.begin(); position != this->waiting.end();) {
        const auto& slot = this->slots[*position];
        // The first admission in a region admits all its waiting daemons; otherwise the first would briefly own everything.
        if (!this->isHoldDownOver(slot, now) && !opened.contains(slot.candidate.region)) {
            ++position;
            continue;
        }
        this->admit(*position, changes);
        position = this->waiting.erase(position);
    }
    return merge(changes);
}

Owners Ownership::ownersOf(std::uint64_t key) const
{
    const auto found = this->resources.find(key);
    if (found == this->resources.end())
        return {};
    return { this->idOf(found->second.owner), this->idOf(found->second.standby) };
}

Owners Ownership::rank(const OwnedResource& resource) const
{
    const auto [owner, standby] = this->rankAll(resource);
    return { this->idOf(owner), this->idOf(standby) };
}

OwnerRole Ownership::roleOf(std::uint64_t key) const
{
    const auto found = this->resources.find(key);
    return found == this->resources.end() ? OwnerRole::None : this->roleOf(found->second.owner, found->second.standby);
}

Ownership::MemberIndex Ownership::slotFor(const OwnerCandidate& member)
{
    if (const auto found = this->slotOf.find(member.id); found != this->slotOf.end())
        return found->second;
    auto index = static_cast<MemberIndex>(this->slots.size());
    if (this->freeSlots.empty()) {
        this->slots.emplace_back();
    } else {
        index = this->freeSlots.back();
        this->freeSlots.pop_back();
    }
    this->slots[index] = { member, stableHash(member.id.value), false, std::nullopt, {} };
    this->slotOf.emplace(member.id, index);
    return index;
}

bool Ownership::isHoldDownOver(const Slot& slot, TimePoint now) const
{
    return now - *slot.usableSince >= this->settings.holdDown;
}

void Ownership::admit(MemberIndex member, std::vector<OwnershipChange>& changes)
{
    auto& slot = this->slots[member];
    slot.admitted = true;
    this->admittedIn[slot.candidate.region].push_back(member);
    for (auto& [key, tracked] : this->resources) {
        if (tracked.resource.region == slot.candidate.region)
            this->considerCandidate(tracked, member, changes);
    }
}

void Ownership::expel(MemberIndex member, std::vector<OwnershipChange>& changes)
{
    auto& slot = this->slots[member];
    slot.admitted = false;
    slot.usableSince.reset();
    std::erase(this->admittedIn[slot.candidate.region], member);
    const auto held = slot.held;
    for (const auto key : held) {
        auto& tracked = this->resources.at(key);
        const auto [owner, standby] = this->rankAll(tracked.resource);
        this->assign(tracked, owner, standby, changes);
    }
}

void Ownership::assign(Tracked& tracked, RankedMember owner, RankedMember standby, std::vector<OwnershipChange>& changes)
{
    const auto key = tracked.resource.key;
    const auto before = this->roleOf(tracked.owner, tracked.standby);
    const auto after = this->roleOf(owner, standby);
    for (const auto& place : { tracked.owner, tracked.standby }) {
        if (place.member != noMember)
            this->slots[place.member].held.erase(key);
    }
    for (const auto& place : { owner, standby }) {
        if (place.member != noMember)
            this->slots[place.member].held.insert(key);
    }
    tracked.owner = owner;
    tracked.standby = standby;
    if (before != after)
        changes.push_back({ key, before, after });
}

/// Compares a newly admitted daemon with the current owner and standby; the order of all others is unaffected.
void Ownership::considerCandidate(Tracked& tracked, MemberIndex member, std::vector<OwnershipChange>& changes)
{
    const RankedMember place { mix(tracked.resource.key, this->slots[member].hash), member };
    if (tracked.owner.member == noMember || place.score > tracked.owner.score) {
        auto standby = tracked.standby;
        if (tracked.owner.member != noMember && this->isBetterStandby(tracked.resource, tracked.owner, standby))
            standby = tracked.owner;
        this->assign(tracked, place, standby, changes);
    } else if (this->isBetterStandby(tracked.resource, place, tracked.standby)) {
        this->assign(tracked, tracked.owner, place, changes);
    }
}

std::pair<Ownership::RankedMember, Ownership::RankedMember> Ownership::rankAll(const OwnedResource& resource) const
{
    RankedMember owner;
    RankedMember standby;
    const auto region = this->admittedIn.find(resource.region);
    if (region == this->admittedIn.end())
        return { owner, standby };
    for (const auto member : region->second) {
        const RankedMember place { mix(resource.key, this->slots[member].hash), member };
        if (owner.member == noMember || place.score > owner.score)
            owner = place;
    }
    for (const auto member : region->second) {
        const RankedMember place { mix(resource.key, this->slots[member].hash), member };
        if (member != owner.member && this->isBetterStandby(resource, place, standby))
            standby = place;
    }
    return { owner, standby };
}

bool Ownership::isBetterStandby(const OwnedResource& resource, const RankedMember& left, const RankedMember& right) const
{
    if (right.member == noMember)
        return true;
    const bool leftNear = this->slots[left.member].candidate.domain == resource.domain;
    const bool rightNear = this->slots[right.member].candidate.domain == resource.domain;
    return leftNear != rightNear ? leftNear : left.score > right.score;
}

OwnerRole Ownership::roleOf(const RankedMember& owner, const RankedMember& standby) const
{
    const auto isSelf = [&](const RankedMember& place) { return place.member != noMember && this->idOf(place) == this->self; };
    if (isSelf(owner))
        return OwnerRole::Owner;
    return isSelf(standby) ? OwnerRole::Standby : OwnerRole::None;
}

const InstanceId& Ownership::idOf(const RankedMember& place) const
{
    static const InstanceId none;
    return place.member == noMember ? none : this->slots[place.member].candidate.id;
}

} // namespace goldcrestwood
