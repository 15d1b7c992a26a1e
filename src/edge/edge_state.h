#pragma once

/// @file
/// State of one entry daemon; accessed only from the event loop's thread.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemon/clock.h"
#include "daemon/metrics.h"
#include "goldcrestwood/crash_suspects.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/keyed_feed.h"
#include "goldcrestwood/load_keepers.h"
#include "goldcrestwood/part_directory.h"
#include "goldcrestwood/process_pauses.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/rollout.h"
#include "goldcrestwood/send_budget.h"
#include "goldcrestwood/store_outage.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/transfer_memory.h"
#include "goldcrestwood/upstream_board.h"
#include "goldcrestwood/weight_targets.h"
#include "platform/decode.h"
#include "platform/revisions.h"

namespace goldcrestwood {

/// Whether a topic of the store can be read, and since when that has been so.
struct TopicContact {
    bool isReachable = false;
    TimePoint since;
    TimePoint confirmed {}; ///< Latest time for which all records are known.
};

struct EdgeState {
    /// Time without a reader's answer after which this daemon reads the store itself; covers several queries to readers in turn.
    static constexpr Duration readerAnswerLifetime = std::chrono::milliseconds(2500);

    /// Time that a new feed reader needs to hear all daemons: two heartbeats at a large site.
    static constexpr Duration readerWarmUp = std::chrono::milliseconds(2200);

    /// Share of the process's memory for answers that are being received. A growing buffer holds up to twice its contents.
    static constexpr std::uint64_t transferMemoryDivisor = 4;
    static constexpr std::uint64_t defaultTransferMemory = 16U << 20U; ///< Bytes, if the process's memory is unknown.

    explicit EdgeState(EdgeSettings initial, std::uint64_t seed)
        : settings(std::move(initial))
        , transferMemory(settings.memoryBytes == 0 ? defaultTransferMemory : settings.memoryBytes / transferMemoryDivisor)
        , board(settings.instance, settings.bounds, parts)
        , random(seed)
        , sendBudgets(settings.bounds, settings.isFirstStart ? std::nullopt : std::optional(started))
    {
        this->board.setDomain(this->settings.domain);
        this->incarnation = static_cast<std::uint64_t>(wallClock().count());
    }

    /// @return The roll-out of @p service, or null.
    Rollout* rolloutOf(const ServiceName& service)
    {
        const auto found = this->rollouts.find(service);
        return found == this->rollouts.end() ? nullptr : &found->second;
    }

    bool readsStore() const { return this->operatorContact.isReachable && this->registryContact.isReachable; }

    /// @return This daemon's rank among the feed readers, if it is one of them.
    std::optional<std::size_t> readerRank() const
    {
        const auto found = std::find(this->feedReaders.begin(), this->feedReaders.end(), this->settings.instance);
        if (found == this->feedReaders.end())
            return std::nullopt;
        return static_cast<std::size_t>(found - this->feedReaders.begin());
    }

    /// @return Whether this daemon is a feed reader that has had time to hear all daemons.
    bool hasFullView(TimePoint now) const
    {
        return this->isSiteKnown && this->readerSince && now - *this->readerSince >= readerWarmUp;
    }

    /// @return Whether a feed reader supplies the store's records, so that this daemon need not read them.
    bool isSuppliedByReader(TimePoint now) const
    {
        return !this->readerRank() && this->lastReaderAnswer && now - *this->lastReaderAnswer <= readerAnswerLifetime;
    }

    /// @return Whether the daemon can serve callers.
    bool isReady() const { return this->routes != nullptr && this->registryFeed.isKnown() && !this->isStopping; }

    EdgeSettings settings;
    TransferMemory transferMemory;
    std::uint64_t incarnation = 0; ///< Start of the process, Unix microseconds.
    TimePoint started = monotonicNow();
    std::shared_ptr<const RouteTable> routes; ///< Null until a configuration is known.
    PartDirectory parts;
    UpstreamBoard board;
    KeyedFeed operatorFeed { &KeyedFeed::isNeverEquivalent, &platform::operatorRevision };
    KeyedFeed registryFeed { &platform::isEquivalentEntry, &platform::entryRevision };
    std::map<std::string, WeightTargets> weightTargets; ///< By model.
    std::map<ServiceName, Rollout> rollouts; ///< Newest order of each service.
    bool isOperatorTopicKnown = false; ///< Whether the operator topic was known before the current batch of records.
    StoreOutage storeOutage;
    ProcessPauses pauses;
    std::set<FailureDomain> evacuated;
    bool isStopping = false;
    /// In a planned stop, when requests in progress get their final answers, and from when on one that may take longer is refused.
    struct StopTimes {
        TimePoint answersEnd;
        TimePoint refusesLong;
    };
    std::optional<StopTimes> stopTimes;
    /// Daemons that read the store and the cache stores for all daemons, in rank order.
    std::vector<InstanceId> feedReaders;
    std::optional<TimePoint> readerSince; ///< Since when this daemon is a feed reader.
    LoadAggregators aggregators; ///< Daemons that aggregate the load reports of upstreams.
    /// Whether discovery of the site's daemons has finished.
    bool isSiteKnown = false;
    /// When a feed reader last answered.
    std::optional<TimePoint> lastReaderAnswer;
    /// Last record of the duty topic, and when it was read.
    std::optional<std::pair<DutyRecord, TimePoint>> duty;
    std::uint64_t requestCount = 0; ///< Callers' requests since the start.
    TopicContact operatorContact;
    TopicContact registryContact;
    /// Upstreams whose entries expired while the registry was unavailable, and until when they may register again.
    std::map<UpstreamId, TimePoint> expiredUpstreams;
    Random random;
    Metrics metrics;
    SendBudgets sendBudgets;
    CrashSuspects crashSuspects;
};

} // namespace goldcrestwood
