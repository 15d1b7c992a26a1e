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
#include "goldcrestwood/store_outage.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/upstream_board.h"
#include "goldcrestwood/weight_targets.h"

namespace goldcrestwood {

/// Whether a topic of the store can be read, and since when.
struct TopicContact {
    bool isReachable = false;
    TimePoint since;
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
    bool knowsOperator = false; ///< Whether the operator's topic was known before the news at hand.
    StoreOutage storeOutage;
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
