#pragma once

/// @file
/// Assigns an owner and a standby daemon to each upstream and shard, by rendezvous hashing within a region.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct OwnershipSettings {
    /// A daemon must be usable for this long before it gains ownership; it loses ownership immediately.
    Duration holdDown = std::chrono::seconds(3);
};

/// A resource with one owner: an upstream, a claim shard or a prefix shard.
struct OwnedResource {
    std::uint64_t key = 0; ///< Stable hash of its kind and name.
    Region region;
    FailureDomain domain; ///< Empty if it belongs to none.

    bool operator==(const OwnedResource&) const = default;
};

/// A daemon that may own resources.
struct OwnerCandidate {
    InstanceId id;
    FailureDomain domain;
    Region region;

    bool operator==(const OwnerCandidate&) const = default;
};

struct Owners {
    InstanceId owner; ///< Empty when no daemon of the region is usable.
    InstanceId standby; ///< Empty when no second daemon is usable.

    bool operator==(const Owners&) const = default;
};

enum class OwnerRole : std::uint8_t {
    None,
    Owner,
    Standby,
};

/// A change of this daemon's role for a resource.
struct OwnershipChange {
    std::uint64_t key = 0;
    OwnerRole before = OwnerRole::None;
    OwnerRole after = OwnerRole::None;

    bool operator==(const OwnershipChange&) const = default;
};

/// Tracks the owner and the standby of each known resource. When a daemon leaves, only the resources that it held are ranked
/// again; when one joins, it is compared once with the holders of each resource of its region.
/// Two daemons may both consider themselves owner; the log arbitrates, so ownership only affects performance.
class Ownership {
public:
    Ownership(OwnershipSettings settings, InstanceId self);

    /// Sets the resources of this region to track.
    std::vector<OwnershipChange> setResources(const std::vector<OwnedResource>& wanted);
    /// Updates whether a daemon is usable; call on each change of a member.
    std::vector<OwnershipChange> onMember(const OwnerCandidate& member, bool usable, TimePoint now);
    /// Forgets a dead daemon.
    std::vector<OwnershipChange> onForgotten(const InstanceId& id);
    /// Admits daemons whose hold-down is over; call about once a second.
    std::vector<OwnershipChange> poll(TimePoint now);

    /// @return Owner and standby of a tracked resource; empty if it is not tracked.
    Owners ownersOf(std::uint64_t key) const;
    /// @return Owner and standby of any resource, tracked or not; examines each daemon of its region.
    Owners rank(const OwnedResource& resource) const;
    /// @return This daemon's role for a tracked resource.
    OwnerRole roleOf(std::uint64_t key) const;

private:
    using MemberIndex = std::uint32_t;
    static constexpr MemberIndex noMember = ~MemberIndex { 0 };

    struct RankedMember {
        std::uint64_t score = 0;
        MemberIndex member = noMember;
    };
    struct Tracked {
        OwnedResource resource;
        RankedMember owner;
        RankedMember standby;
    };
    struct Slot {
        OwnerCandidate candidate;
        std::uint64_t hash = 0;
        bool admitted = false;
        std::optional<TimePoint> usableSince;
        std::unordered_set<std::uint64_t> held; ///< Resources of which it is owner or standby.
    };

    OwnershipSettings settings;
    InstanceId self;
    std::vector<Slot> slots;
    std::map<InstanceId, MemberIndex> slotOf;
    std::map<Region, std::vector<MemberIndex>> admittedIn;
    std::set<MemberIndex> waiting;
    std::vector<MemberIndex> freeSlots;
    std::unordered_map<std::uint64_t, Tracked> resources;

    MemberIndex slotFor(const OwnerCandidate& member);
    bool isHoldDownOver(const Slot& slot, TimePoint now) const;
    void admit(MemberIndex member, std::vector<OwnershipChange>& changes);
    void expel(MemberIndex member, std::vector<OwnershipChange>& changes);
    void assign(Tracked& tracked, RankedMember owner, RankedMember standby, std::vector<OwnershipChange>& changes);
    void considerCandidate(Tracked& tracked, MemberIndex member, std::vector<OwnershipChange>& changes);
    std::pair<RankedMember, RankedMember> rankAll(const OwnedResource& resource) const;
    bool isBetterStandby(const OwnedResource& resource, const RankedMember& left, const RankedMember& right) const;
    OwnerRole roleOf(const RankedMember& owner, const RankedMember& standby) const;
    const InstanceId& idOf(const RankedMember& place) const;
};

} // namespace goldcrestwood
