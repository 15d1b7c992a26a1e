#pragma once

/// @file
/// Weight versions that the operator named as targets, and from when on no request may start on older ones.

#include <algorithm>
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

    bool operator==(const WeightTarget&) const = default;
};

/// The target versions of one model's weights, in the order in which they were named.
class WeightTargets {
public:
    /// @param since When the version was named; if unknown, a time far enough in the past.
    /// @param isTimeKnown Whether @p since is known.
    /// @return Whether @p version is newer than all earlier targets; other versions are ignored.
    bool name(std::uint64_t version, TimePoint since, bool isTimeKnown)
    {
        if (version <= this->newest())
            return false;
        this->targets.push_back({ version, since, isTimeKnown });
        return true;
    }

    /// Merges the time at which a peer saw @p version being named.
    void onNamingTime(std::uint64_t version, TimePoint since)
    {
        for (auto& target : this->targets) {
            if (target.version != version)
                continue;
            target.since = target.isTimeKnown ? std::min(target.since, since) : since;
            target.isTimeKnown = true;
        }
    }

    std::uint64_t newest() const { return this->targets.empty() ? 0 : this->targets.back().version; }

    /// @return The newest target, if there is one and its time is known.
    std::optional<WeightTarget> newestWithKnownTime() const
    {
        if (this->targets.empty() || !this->targets.back().isTimeKnown)
            return std::nullopt;
        return this->targets.back();
    }

    /// @param since Age is counted from here at the earliest, for example from the end of a store outage.
    /// @return The newest version that was named at least @p age ago; 0 if there is none.
    std::uint64_t newestNamedFor(Duration age, TimePoint now, TimePoint since = {}) const
    {
        std::uint64_t version = 0;
        for (const auto& target : this->targets)
            if (now - std::max(target.since, since) >= age)
                version = target.version;
        return version;
    }

    /// @return When the next newer target than @p version reaches @p age, if there is one.
    std::optional<TimePoint> supersededAt(std::uint64_t version, Duration age, TimePoint since = {}) const
    {
        for (const auto& target : this->targets)
            if (target.version > version)
                return std::max(target.since, since) + age;
        return std::nullopt;
    }

private:
    std::vector<WeightTarget> targets;
};

} // namespace goldcrestwood
