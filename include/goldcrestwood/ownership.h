#pragma once

/// @file
/// Which daemon owns an upstream or shard, and which stands by, by rendezvous hashing within a region.

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
    /// A daemon must be usable for this long before it gains anything; it loses at once.
    Duration holdDown = std::chrono::seconds(3);
};

/// Something that has one owner: an upstream, a claim shard or a prefix shard.
struct OwnedThing {
    std::uint64_t key = 0; ///< Stable hash of its kind and name.
    Region region;
    FailureDomain domain; ///< Empty if it stands in none.

    bool operator==(const OwnedThing&) const = default;
};

/// A daemon that may own things.
struct OwnerCandidate {
    InstanceId id;
    FailureDomain domain;
    Region region;

    bool operator==(const OwnerCandidate&) const = default;
};

struct Owners {
    InstanceId owner; ///< Empty when no daemon of the region is usable.
    InstanceId standby; ///< Empty when there is no second one.

    bool operator==(const Owners&) const = default;
};

enum class OwnerRole : std::uint8_t {
    None,
    Owner,
    Standby,
};

/// A change of what this daemon is for a thing.
struct OwnershipChange {
    std::uint64_t key = 0;
    OwnerRole before = OwnerRole::None;
    OwnerRole after = OwnerRole::None;

    bool operator==(const OwnershipChange&) const = default;
};

/// Keeps the owner of each known thing. A daemon that goes costs a new ranking of just its own things, and
/// one that comes a single comparison for each thing of its region.
/// Two daemons may both believe that they own a thing; the log decides, so this is only for speed.
class Ownership {
public:
    Ownership(OwnershipSettings settings, InstanceId self);

    /// Sets the things of this region that are tracked.
    std::vector<OwnershipChange> setThings(const std::vector<OwnedThing>& things);
    /// A daemon is usable, or is no longer; call with each change of a member.
    std::vector<OwnershipChange> onMember(const OwnerCandidate& member, bool usable, TimePoint now);
    /// A dead daemon is no longer remembered.
    std::vector<OwnershipChange> onForgotten(const InstanceId& id);
    /// Lets in daemons whose hold-down is over; call about once a second.
    std::vector<OwnershipChange> poll(TimePoint now);

    /// @return The owners of a tracked thing, or empty ones.
    Owners ownersOf(std::uint64_t key) const;
    /// @return The owners of any thing, tracked or not; looks at each daemon of its region.
    Owners rank(const OwnedThing& thing) const;
    /// @return What this daemon is for a tracked thing.
    OwnerRole roleOf(std::uint64_t key) const;

private:
    using MemberIndex = std::uint32_t;
    static constexpr MemberIndex nobody = ~MemberIndex { 0 };

    struct Place {
        std::uint64_t score = 0;
        MemberIndex member = nobody;
    };
    struct Tracked {
        OwnedThing thing;
        Place owner;
        Place standby;
    };
    struct Slot {
        OwnerCandidate candidate;
        std::uint64_t hash = 0;
        bool admitted = false;
        std::optional<TimePoint> usableSince;
        std::unordered_set<std::uint64_t> held; ///< Things of which it is owner or standby.
    };

    OwnershipSettings settings;
    InstanceId self;
    std::vector<Slot> slots;
    std::map<InstanceId, MemberIndex> slotOf;
    std::map<Region, std::vector<MemberIndex>> admittedIn;
    std::set<MemberIndex> waiting;
    std::vector<MemberIndex> freeSlots;
    std::unordered_map<std::uint64_t, Tracked> things;

    MemberIndex slotFor(const OwnerCandidate& member);
    bool isDue(const Slot& slot, TimePoint now) const;
    void admit(MemberIndex member, std::vector<OwnershipChange>& changes);
    void expel(MemberIndex member, std::vector<OwnershipChange>& changes);
    void assign(Tracked& tracked, Place owner, Place standby, std::vector<OwnershipChange>& changes);
    void offer(Tracked& tracked, MemberIndex member, std::vector<OwnershipChange>& changes);
    std::pair<Place, Place> rankAll(const OwnedThing& thing) const;
    bool beatsAsStandby(const OwnedThing& thing, const Place& left, const Place& right) const;
    OwnerRole roleOf(const Place& owner, const Place& standby) const;
    const InstanceId& idOf(const Place& place) const;
};

} // namespace goldcrestwood
