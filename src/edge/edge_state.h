#pragma once

/// @file
/// What one entry daemon believes; all of it belongs to the event loop's thread.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemon/clock.h"
#include "daemon/metrics.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/keyed_feed.h"
#include "goldcrestwood/part_directory.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/send_budget.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/upstream_board.h"

namespace goldcrestwood {

/// Whether a topic of the store can be read, and since when.
struct TopicContact {
    bool isReachable = false;
    TimePoint since;
};

/// Weights that the operator named, and when this daemon learned it.
struct WeightTarget {
    std::uint64_t version = 0;
    TimePoint learned;
};

/// The versions of one model's weights, in the order in which they were named.
class WeightTargets {
public:
    /// @return Whether @p version is newer than all before.
    bool name(std::uint64_t version, TimePoint now)
    {
        if (version <= this->newest())
            return false;
        this->targets.push_back({ version, now });
        return true;
    }

    std::uint64_t newest() const { return this->targets.empty() ? 0 : this->targets.back().version; }

    /// @param since Time before it does not count, such as an outage of the store.
    /// @return The newest version that was known @p age ago; 0 if there is none.
    std::uint64_t knownFor(Duration age, TimePoint now, TimePoint since = {}) const
    {
        std::uint64_t version = 0;
        for (const auto& target : this->targets)
            if (now - std::max(target.learned, since) >= age)
                version = target.version;
        return version;
    }

private:
    std::vector<WeightTarget> targets;
};

struct EdgeState {
    explicit EdgeState(EdgeSettings initial, std::uint64_t seed)
        : settings(std::move(initial))
        , board(settings.instance, settings.bounds, parts)
        , random(seed)
    {
        this->incarnation = static_cast<std::uint64_t>(wallClock().count());
    }

    SendBudget& sendBudget(const ServiceName& service)
    {
        return this->sendBudgets.try_emplace(service, this->settings.bounds).first->second;
    }

    bool readsStore() const { return this->operatorContact.isReachable && this->registryContact.isReachable; }

    /// @return Since when the whole store can be read, if it can.
    TimePoint readsStoreSince() const { return std::max(this->operatorContact.since, this->registryContact.since); }

    /// @return This daemon's rank among the feed's readers, if it is one of them.
    std::optional<std::size_t> readerRank() const
    {
        const auto found = std::find(this->feedReaders.begin(), this->feedReaders.end(), this->settings.instance);
        if (found == this->feedReaders.end())
            return std::nullopt;
        return static_cast<std::size_t>(found - this->feedReaders.begin());
    }

    /// @return Whether callers may be sent here.
    bool isReady() const { return this->routes != nullptr && this->registryFeed.isKnown() && !this->isStopping; }

    EdgeSettings settings;
    std::uint64_t incarnation = 0; ///< Start of the process, Unix microseconds.
    std::shared_ptr<const RouteTable> routes; ///< Null until a configuration is known.
    PartDirectory parts;
    UpstreamBoard board;
    KeyedFeed operatorFeed;
    KeyedFeed registryFeed;
    std::map<std::string, WeightTargets> weightTargets; ///< By model.
    std::set<FailureDomain> evacuated;
    bool isStopping = false;
    /// Daemons that read the registry and the cache stores for all, the first in rank first.
    std::vector<InstanceId> feedReaders;
    TopicContact operatorContact;
    TopicContact registryContact;
    /// Upstreams that lapsed while the registry was away, and until when they may come back.
    std::map<UpstreamId, TimePoint> lapsed;
    Random random;
    Metrics metrics;
    std::map<ServiceName, SendBudget> sendBudgets;
};

} // namespace goldcrestwood
