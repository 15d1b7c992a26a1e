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
#include "goldcrestwood/duties/usage_ledger.h"
#include "goldcrestwood/duties/usage_reporter.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/keyed_feed.h"
#include "goldcrestwood/load/connection_limit.h"
#include "goldcrestwood/load/report_pace.h"
#include "goldcrestwood/load/request_memory.h"
#include "goldcrestwood/load_keepers.h"
#include "goldcrestwood/part_directory.h"
#include "goldcrestwood/process_pauses.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/removal_memory.h"
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

/// What this daemon knows of the usage reports.
struct UsageState {
    UsageLedger ledger;
    UsageReporter reporter;
};

struct EdgeState {
    /// Time without a reader's answer after which this daemon reads the store itself; covers several queries to readers in turn.
    static constexpr Duration readerAnswerLifetime = std::chrono::milliseconds(2500);

    /// Time that a new feed reader needs to hear all daemons: two heartbeats at a large site.
    static constexpr Duration readerWarmUp = std::chrono::milliseconds(2200);

    /// Share of the process's memory for answers that are being received. A growing buffer holds up to twice its contents, so answers take half of
    /// the memory, requests a quarter (twice their bytes are counted), and the process itself 12 MB of the smallest machine's 88.
    static constexpr std::uint64_t transferMemoryDivisor = 4;
    static constexpr std::uint64_t requestMemoryDivisor = 4;
    static constexpr std::uint64_t defaultTransferMemory = 16U << 20U; ///< Bytes, if the process's memory is unknown.
    static constexpr std::uint64_t defaultRequestMemory = 64U << 20U; ///< Bytes, if the process's memory is unknown.

    /// @return The settings of the board; its models of caches may take an eighth of the process's memory.
    static BoardSettings boardSettings(std::uint64_t memoryBytes)
    {
        constexpr std::uint64_t memoryDivisor = 8;
        constexpr std::uint64_t cachedPartBytes = 200;
        BoardSettings result;
        if (memoryBytes > 0)
            result.maxCachedParts = std::min<std::size_t>(result.maxCachedParts, memoryBytes / memoryDivisor / cachedPartBytes);
        return result;
    }

    explicit EdgeState(EdgeSettings initial, std::uint64_t seed)
        : settings(std::move(initial))
        , transferMemory(settings.memoryBytes == 0 ? defaultTransferMemory : settings.memoryBytes / transferMemoryDivisor)
        , requestMemory(settings.memoryBytes == 0 ? defaultRequestMemory : settings.memoryBytes / requestMemoryDivisor)
        , connections(connectionBudget(settings.maxDescriptors, settings.memoryBytes))
        , board(settings.instance, settings.bounds, parts, boardSettings(settings.memoryBytes))
        , reportPace(settings.linkMegabits)
        , random(seed)
        , sendBudgets(settings.bounds, settings.isFirstStart ? std::nullopt : std::optional(started))
    {
        this->board.setDomain(this->settings.domain);
        const auto wall = wallClock();
        this->incarnation = static_cast<std::uint64_t>(wall.count());
        if (!this->settings.duties.reportsUsage)
            return;
        UsageSettings usageSettings;
        usageSettings.window = this->settings.bounds.usageWindow;
        usageSettings.lateness = this->settings.bounds.usageLateness;
        usageSettings.maxSkew = this->settings.bounds.maxClockSkew;
        // A fifth below the platform's limit, as calls may be delayed on their way.
        const auto perSecond = this->settings.duties.callsPerSecond * 0.8;
        this->usage.emplace(UsageState { { this->settings.instance, this->incarnation, usageSettings },
            { usageSettings, this->settings.isFirstStart, wall, perSecond > 0 ? fromSeconds(1 / perSecond) : Duration(0) } });
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

    /// @return Whether the number of replicas of any service is adapted to demand.
    bool adaptsReplicas() const
    {
        if (this->routes == nullptr || !this->settings.duties.scalesReplicas)
            return false;
        const auto& services = this->routes->configuration().services;
        return std::any_of(services.begin(), services.end(), [](const auto& service) { return service.autoscale.has_value(); });
    }

    EdgeSettings settings;
    TransferMemory transferMemory;
    RequestMemory requestMemory;
    ConnectionBudget connections;
    std::uint64_t incarnation = 0; ///< Start of the process, Unix microseconds.
    TimePoint started = monotonicNow();
    std::shared_ptr<const RouteTable> routes; ///< Null until a configuration is known.
    PartDirectory parts;
    UpstreamBoard board;
    KeyedFeed operatorFeed { &KeyedFeed::isNeverEquivalent, &platform::operatorRevision };
    KeyedFeed registryFeed { &platform::isEquivalentEntry, &platform::entryRevision };
    RemovalMemory removalMemory; ///< Of the registry.
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
    ReportPace reportPace;
    Random random;
    Metrics metrics;
    SendBudgets sendBudgets;
    CrashSuspects crashSuspects;
    std::optional<UsageState> usage; ///< Nothing if usage is not reported.
};

} // namespace goldcrestwood
