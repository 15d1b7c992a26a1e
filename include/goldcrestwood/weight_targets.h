#pragma once

/// @file
/// Weights that the operator named, and from when on no request may begin on older ones.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A version of a model's weights, and since when it has been named.
struct WeightNaming {
    std::uint64_t version = 0;
    TimePoint since;
    /// Whether this daemon, or a peer that told it, saw the naming happen. One that has just started only finds it done.
    bool isWitnessed = true;

    bool operator==(const WeightNaming&) const = default;
};

/// The versions of one model's weights, in the order in which they were named.
class WeightTargets {
public:
    /// @param since When the version was named; if that is not known, a time that lies far enough back.
    /// @param isWitnessed Whether @p since is known.
    /// @return Whether @p version is newer than all before.
    bool name(std::uint64_t version, TimePoint since, bool isWitnessed)
    {
        if (version <= this->newest())
            return false;
        this->targets.push_back({ version, since, isWitnessed });
        return true;
    }

    /// A peer that saw the naming of @p version tells when it was.
    void witness(std::uint64_t version, TimePoint since)
    {
        for (auto& target : this->targets) {
            if (target.version != version)
                continue;
            target.since = target.isWitnessed ? std::min(target.since, since) : since;
            target.isWitnessed = true;
        }
    }

    std::uint64_t newest() const { return this->targets.empty() ? 0 : this->targets.back().version; }

    /// @return The newest naming, if there is one and its time is known.
    std::optional<WeightNaming> witnessed() const
    {
        if (this->targets.empty() || !this->targets.back().isWitnessed)
            return std::nullopt;
        return this->targets.back();
    }

    /// @param since Time before it does not count, such as an outage of the store.
    /// @return The newest version that has been named for @p age; 0 if there is none.
    std::uint64_t namedFor(Duration age, TimePoint now, TimePoint since = {}) const
    {
        std::uint64_t version = 0;
        for (const auto& target : this->targets)
            if (now - std::max(target.since, since) >= age)
                version = target.version;
        return version;
    }

    /// @return When the version after @p version will have been named for @p age, if there is one.
    std::optional<TimePoint> replacedAt(std::uint64_t version, Duration age, TimePoint since = {}) const
    {
        for (const auto& target : this->targets)
            if (target.version > version)
                return std::max(target.since, since) + age;
        return std::nullopt;
    }

private:
    std::vector<WeightNaming> targets;
};

} // namespace goldcrestwood
