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

std::vector<OwnershipChange> Ownership::setThings(const std::vector<OwnedThing>& wanted)
{
    std::vector<OwnershipChange> changes;
    std::unordered_set<std::uint64_t> keys;
    for (const auto& resource : wanted)
        keys.insert(resource.key);
    for (auto position = this->things.begin(); position != this->things.end();) {
        if (keys.contains(position->first)) {
            ++position;
            continue;
        }
        this->assign(position->second, {}, {}, changes);
        position = this->things.erase(position);
    }
    for (const auto& resource : wanted) {
        auto [position, added] = this->things.try_emplace(resource.key);
        auto& tracked = position->second;
        if (!added && tracked.thing == resource)
            continue;
        tracked.thing = resource;
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
        if (this->isDue(slot, now) && this->admittedIn[slot.candidate.region].empty())
            opened.insert(slot.candidate.region);
    }
    for (auto position = this->waiting.begin(); position != this->waiting.end();) {
        const auto& slot = this->slots[*position];
        // The first admission in a region admits all its waiting daemons; otherwise the first would briefly own everything.
        if (!this->isDue(slot, now) && !opened.contains(slot.candidate.region)) {
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
    const auto found = this->things.find(key);
    if (found == this->things.end())
        return {};
    return { this->idOf(found->second.owner), this->idOf(found->second.standby) };
}

Owners Ownership::rank(const OwnedThing& resource) const
{
    const auto [owner, standby] = this->rankAll(resource);
    return { this->idOf(owner), this->idOf(standby) };
}

OwnerRole Ownership::roleOf(std::uint64_t key) const
{
    const auto found = this->things.find(key);
    return found == this->things.end() ? OwnerRole::None : this->roleOf(found->second.owner, found->second.standby);
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

bool Ownership::isDue(const Slot& slot, TimePoint now) const
{
    return now - *slot.usableSince >= this->settings.holdDown;
}

void Ownership::admit(MemberIndex member, std::vector<OwnershipChange>& changes)
{
    auto& slot = this->slots[member];
    slot.admitted = true;
    this->admittedIn[slot.candidate.region].push_back(member);
    for (auto& [key, tracked] : this->things) {
        if (tracked.thing.region == slot.candidate.region)
            this->offer(tracked, member, changes);
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
        auto& tracked = this->things.at(key);
        const auto [owner, standby] = this->rankAll(tracked.thing);
        this->assign(tracked, owner, standby, changes);
    }
}

void Ownership::assign(Tracked& tracked, Place owner, Place standby, std::vector<OwnershipChange>& changes)
{
    const auto key = tracked.thing.key;
    const auto before = this->roleOf(tracked.owner, tracked.standby);
    const auto after = this->roleOf(owner, standby);
    for (const auto& place : { tracked.owner, tracked.standby }) {
        if (place.member != nobody)
            this->slots[place.member].held.erase(key);
    }
    for (const auto& place : { owner, standby }) {
        if (place.member != nobody)
            this->slots[place.member].held.insert(key);
    }
    tracked.owner = owner;
    tracked.standby = standby;
    if (before != after)
        changes.push_back({ key, before, after });
}

/// Compares a newly admitted daemon with the current owner and standby; the order of all others is unaffected.
void Ownership::offer(Tracked& tracked, MemberIndex member, std::vector<OwnershipChange>& changes)
{
    const Place place { mix(tracked.thing.key, this->slots[member].hash), member };
    if (tracked.owner.member == nobody || place.score > tracked.owner.score) {
        auto standby = tracked.standby;
        if (tracked.owner.member != nobody && this->beatsAsStandby(tracked.thing, tracked.owner, standby))
            standby = tracked.owner;
        this->assign(tracked, place, standby, changes);
    } else if (this->beatsAsStandby(tracked.thing, place, tracked.standby)) {
        this->assign(tracked, tracked.owner, place, changes);
    }
}

std::pair<Ownership::Place, Ownership::Place> Ownership::rankAll(const OwnedThing& resource) const
{
    Place owner;
    Place standby;
    const auto region = this->admittedIn.find(resource.region);
    if (region == this->admittedIn.end())
        return { owner, standby };
    for (const auto member : region->second) {
        const Place place { mix(resource.key, this->slots[member].hash), member };
        if (owner.member == nobody || place.score > owner.score)
            owner = place;
    }
    for (const auto member : region->second) {
        const Place place { mix(resource.key, this->slots[member].hash), member };
        if (member != owner.member && this->beatsAsStandby(resource, place, standby))
            standby = place;
    }
    return { owner, standby };
}

bool Ownership::beatsAsStandby(const OwnedThing& resource, const Place& left, const Place& right) const
{
    if (right.member == nobody)
        return true;
    const bool leftNear = this->slots[left.member].candidate.domain == resource.domain;
    const bool rightNear = this->slots[right.member].candidate.domain == resource.domain;
    return leftNear != rightNear ? leftNear : left.score > right.score;
}

OwnerRole Ownership::roleOf(const Place& owner, const Place& standby) const
{
    const auto isSelf = [&](const Place& place) { return place.member != nobody && this->idOf(place) == this->self; };
    if (isSelf(owner))
        return OwnerRole::Owner;
    return isSelf(standby) ? OwnerRole::Standby : OwnerRole::None;
}

const InstanceId& Ownership::idOf(const Place& place) const
{
    static const InstanceId none;
    return place.member == nobody ? none : this->slots[place.member].candidate.id;
}

} // namespace goldcrestwood
