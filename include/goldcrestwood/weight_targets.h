#pragma once

/// @file
/// Weight versions that the operator named as targets, and from when on no request may start on older ones.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A target version of a model's weights, and when it was named.
struct WeightTarget {
    std::uint64_t version = 0;
    TimePoint since;
    /// Whether `since` is known from this daemon or a peer that saw the version being named. A daemon that starts later only
    /// finds the result.
    bool isTimeKnown = true;
    /// The target before it, 0 if it is the first one; nothing if unknown: others may have been named in between.
    std::optional<std::uint64_t> replaces;

    auto operator<=>(const WeightTarget&) const = default;
};

/// The target versions of one model's weights.
///
/// Each version has a bound of its own. The store keeps the newest record only, so a daemon may not have seen the others: it learns
/// them from its peers, and until then treats the version just below a target as one that was named earlier.
class WeightTargets {
public:
    /// Adds a target that this daemon has read, or merges what it tells of a known one: the earliest known time counts.
    /// @param unseenSince When an unknown target before it was named at the earliest; used if it is the newest one.
    /// @return Whether the version was unknown.
    bool add(const WeightTarget& target, TimePoint unseenSince);

    /// @return The newest target that is older than @p version; 0 if there is none.
    std::uint64_t newestBelow(std::uint64_t version) const;

    std::uint64_t newest() const { return this->targets.empty() ? 0 : this->targets.back().target.version; }

    /// @return The newest @p most targets whose time is known, the newest first.
    std::vector<WeightTarget> withKnownTime(std::size_t most) const;

    /// @param dueAt Maps the time at which a version was named to the time from which on it is required.
    /// @return The newest version that is required; 0 if there is none.
    template <typename DueTime>
    std::uint64_t newestDue(TimePoint now, const DueTime& dueAt) const
    {
        std::uint64_t version = 0;
        this->forEach([&](std::uint64_t named, TimePoint since) {
            if (now >= dueAt(since))
                version = named;
        });
        return version;
    }

    /// @return The newest version that was named at least @p age ago; 0 if there is none.
    std::uint64_t newestNamedFor(Duration age, TimePoint now) const
    {
        return this->newestDue(now, [&](TimePoint since) { return since + age; });
    }

    /// @param dueAt As for newestDue().
    /// @return When the first newer version than @p version becomes required, if there is one.
    template <typename DueTime>
    std::optional<TimePoint> supersededAt(std::uint64_t version, const DueTime& dueAt) const
    {
        std::optional<TimePoint> result;
        this->forEach([&](std::uint64_t named, TimePoint since) {
            if (named > version && (!result || dueAt(since) < *result))
                result = dueAt(since);
        });
        return result;
    }

private:
    struct Entry {
        WeightTarget target;
        TimePoint unseenSince;

        /// @return The version that may have been the target before this one.
        std::uint64_t predecessor() const { return this->target.replaces.value_or(this->target.version - 1); }
    };

    /// Calls @p visit with the version and the time of each target and of each that may have been missed, in order of version.
    template <typename Visitor>
    void forEach(const Visitor& visit) const
    {
        std::uint64_t previous = 0;
        for (const auto& entry : this->targets) {
            if (const auto missed = entry.predecessor(); missed > previous)
                visit(missed, entry.unseenSince);
            visit(entry.target.version, entry.target.since);
            previous = entry.target.version;
        }
    }

    std::vector<Entry> targets; ///< By version.
};

} // namespace goldcrestwood
