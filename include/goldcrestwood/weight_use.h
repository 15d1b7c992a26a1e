#pragma once

/// @file
/// Tracks which versions of a model's weights are in use, to tell which cache blocks nobody reads any more.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Weight versions that engines have, by model.
using WeightVersions = std::map<std::string, std::set<std::uint64_t>>;

/// @return The prefix of the scopes of all cache blocks of a model's weight version.
std::string weightScope(const std::string& model, std::uint64_t version);

struct WeightUseSettings {
    /// A version that no engine has had for this long is retired.
    Duration retireAfter = std::chrono::seconds(1);
    /// The blocks of a version that no engine has had for this long can be freed. The difference to the above is for daemons
    /// whose view is older, and for requests and transfers that have begun.
    Duration freeAfter = std::chrono::seconds(5);
    /// A longer time between two views counts as a pause of the process.
    Duration maxViewGap = std::chrono::seconds(1);
};

/// Tells when the blocks of old weights can be freed, although a store does not know its readers and daemons learn of new
/// weights at different times.
///
/// Only versions older than all that are in use count as unused. As the weights of an engine only get newer, a view that is
/// behind frees too little. An engine that returns may have a version that others have already freed, so the daemons stop
/// using the blocks of a version for good some time before it is freed. A daemon that has just started does not know which
/// versions others have retired, and uses the blocks of the newest one only.
class WeightUse {
public:
    explicit WeightUse(WeightUseSettings useSettings = {})
        : settings(useSettings)
    {
    }

    /// Takes the versions of all known engines; call a few times a second.
    void onView(const WeightVersions& versions, TimePoint now);

    /// @return Whether no blocks of this scope may be read from or saved to a store.
    bool isRetired(std::string_view scope) const;

    /// @param confirmed Time for which the last view is known to be complete.
    /// @return Whether the blocks of this scope can be freed.
    bool isUnused(std::string_view scope, TimePoint confirmed) const;

    Duration freeAfter() const { return this->settings.freeAfter; }

private:
    struct Model {
        TimePoint followedSince;
        std::map<std::uint64_t, TimePoint> lastSeen; ///< By version.
        std::uint64_t retiredBelow = 0;
    };

    WeightUseSettings settings;
    TimePoint lastView;
    std::map<std::string, Model> models;
    std::vector<std::string> retiredScopes; ///< Of versions that an engine has and whose blocks are not used.
};

} // namespace goldcrestwood
