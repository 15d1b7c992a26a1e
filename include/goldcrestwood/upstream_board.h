#pragma once

/// @file
/// Chooses the upstream of each request by registry entries, load, failures and cached prompt parts.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestwood/duties/domain_demand.h"
#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/engine_order.h"
#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/load/domain_overflow.h"
#include "goldcrestwood/load/shared_parts.h"
#include "goldcrestwood/load/upstream_pace.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/part_cache.h"
#include "goldcrestwood/part_directory.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/registry_entry.h"
#include "goldcrestwood/request_limit.h"
#include "goldcrestwood/time.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/upstream_notice.h"

namespace goldcrestwood {

struct BoardSettings {
    /// How long a peer's load report is used; several heartbeats.
    Duration peerReportLifetime = std::chrono::milliseconds(2500);
    /// First avoidance period after a failed connection; doubles with each further failure.
    Duration initialAvoidance = std::chrono::milliseconds(400);
    /// Longest avoidance period after failed connections, about the lifetime of a registry entry.
    Duration maxAvoidance = std::chrono::seconds(3);
    /// Prefill rate of an engine in prompt tokens per millisecond, scaled by each engine's learned slowness.
    double prefillTokensPerMillisecond = 60;
    /// Parts of prompts in the models of all caches together; each takes some 200 bytes.
    std::size_t maxCachedParts = 131072;
    /// Share of an engine's cache memory that running requests may fill before others wait; beyond it the engine preempts.
    double memoryShare = 0.92;
    /// Prefill time of equally or more urgent requests that may queue at an engine, as a share of a request's objective.
    /// Requests beyond it queue here, where they can still be sent to another engine.
    double backlogShare = 0.6;
    /// Weight of a new sample in a moving average.
    double sampleWeight = 0.1;
    /// Entries per load report; the whole report fits an 8 KB datagram if names have 20 letters.
    std::size_t maxReportedUses = 80;
    std::size_t maxReportedUpstreams = 80;
    std::size_t maxReportedLoads = 80;
    std::size_t maxReportedSources = 24;
    std::size_t maxReportedParts = 160;
    /// Entries per notice of request limits.
    std::size_t maxReportedLimits = 64;
    /// Pace reports per load report and digest; fewer if the datagram would exceed its bound.
    std::size_t maxReportedPaces = 80;
    /// Price of the bytes of a request and its answer that cross to another failure domain, milliseconds of wait per kilobyte.
    double crossingMsPerKilobyte = 0.5;
    /// How long a lifted limit is reported, as datagrams get lost.
    Duration liftReportTime = std::chrono::seconds(5);
};

/// Requirements of a request on its upstream.
struct PlacementRequest {
    ServiceName service;
    std::string sharingGroup; ///< Callers that share cache blocks: all, or only one isolated account.
    std::vector<PromptPart> parts;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t bodyBytes = 0;
    std::uint32_t rank = 0;
    Duration objective = std::chrono::seconds(1); ///< Time to the first token, or to the answer, that is still on time.
    Duration gapObjective = Duration(0); ///< Longest gap between events that is still on time; 0: any.
    bool isLate = false; ///< It has missed its objective, and leaves room for a request that can still meet its own.
    std::string model;
    /// Minimum weight version of the upstream.
    std::uint64_t minWeightVersion = 0;
    /// Upstreams with an older weight version cost more.
    std::uint64_t preferredWeightVersion = 0;
    /// Software version that the upstream must not run; empty: none.
    std::string excludedVersion;
    /// Software version that the upstream must run; empty: any.
    std::string requiredVersion;
};

/// The upstream chosen for a request.
struct PlacementChoice {
    UpstreamId upstream;
    std::string address;
    std::uint64_t missingTokens = 0; ///< Prompt tokens that the upstream is expected to prefill.
    std::uint64_t transferredTokens = 0; ///< Prompt tokens that are expected to be transferred from stores or other engines.
    Duration prefillTime = Duration(0); ///< Expected queueing and prefill time, without transfers.
    Duration transferTime = Duration(0); ///< Transfer time at the full speed of the links.
    Duration expectedWait = Duration(0); ///< Until the first token or answer.
    std::string scope; ///< Key of the cache blocks: model, weight version and sharing.
    /// For each prompt part the address that holds it whole, or an empty string to prefill it; empty if no part has a source.
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo; ///< Likewise, the store to save each part in that no store holds.
    std::vector<std::string> transferSources; ///< Addresses of the expected transfers.
    std::uint64_t weightVersion = 0; ///< The upstream's weight version of the request's model; 0 if unknown.
    std::int64_t born = 0; ///< Start of the incarnation that was chosen.
    std::string softwareVersion;
    bool isCold = false; ///< The upstream has just started.
    std::optional<double> pace; ///< Expected time of work as a multiple of the normal time; nothing if the upstream does not report it.
    LeaveReason leaves = LeaveReason::None; ///< Why it is in another failure domain than this daemon.
    TimePoint chosen; ///< Time of the choice.

    bool operator==(const PlacementChoice&) const = default;
};

/// Why no upstream was chosen.
enum class PlacementRefusal : std::uint8_t {
    NoUpstream, ///< No upstream of the service is eligible.
    Full, ///< All eligible upstreams are at capacity.
};

/// Why an upstream can't take a request.
enum class Obstacle : std::uint8_t {
    None,
    AlreadyTried, ///< The request was already sent there.
    Leaving, ///< It is draining by its registry entry or its own notice.
    BackingOff, ///< It told this instance to back off.
    Evacuated, ///< Its failure domain is evacuated.
    LoadingWeights, ///< It is loading new weights.
    OldWeights,
    Version, ///< A roll-out excludes its software version for the request.
    Cold, ///< It has just started, and this daemon's share of its request rate is used up.
    Limited, ///< It accepts only a limited rate of requests, and this daemon's next turn has not come.
    Slots, ///< All of its slots are in use.
    Memory, ///< The prompt does not fit into its cache memory beside the requests in flight.
    Backlog, ///< Its prefill queue is too long.
};

/// @return The name of @p obstacle in logs.
const char* toString(Obstacle obstacle);

/// Why a service's upstreams can't take a request.
struct PlacementObstacles {
    std::map<Obstacle, std::uint32_t> upstreams; ///< Number of upstreams by obstacle; each upstream counts once.

    /// @return The counts by name, as "memory:7 resting:1".
    std::string text() const;
    bool operator==(const PlacementObstacles&) const = default;
};

/// Shortest and longest objective of a service's requests; they bound the prefill backlog that an engine may have.
struct BacklogLimits {
    Duration shortest = std::chrono::seconds(1);
    Duration longest = std::chrono::seconds(1);

    bool operator==(const BacklogLimits&) const = default;
};

/// How an attempt ended, as far as its upstream's health is concerned.
enum class AttemptResult : std::uint8_t {
    Answered, ///< A complete answer without a failure status.
    FailureAnswer, ///< A complete answer with a failure status.
    Misdirected, ///< Not executed: another incarnation answers at the address.
    Refused, ///< Known not to be executed: the upstream is full or busy.
    Unreachable, ///< No connection, or it broke before the answer began.
    Cancelled, ///< The caller disconnected or the deadline passed; implies nothing about the upstream.
};

/// One daemon's view of all upstreams of all services.
class UpstreamBoard {
public:
    /// @param parts Contents of the KV cache stores; must outlive the board.
    UpstreamBoard(InstanceId self, SiteBounds bounds, const PartDirectory& parts, BoardSettings settings = {});

    /// @param own Failure domain of this daemon; without one, domains are not distinguished.
    void setDomain(FailureDomain own) { this->ownDomain = std::move(own); }
    void setServices(const RouteTable& table);
    void setUpstream(const RegistryEntry& entry, TimePoint now);
    void removeUpstream(const UpstreamId& id);
    void setEvacuated(std::set<FailureDomain> domains) { this->evacuated = std::move(domains); }
    /// @param ids Upstreams that are loading new weights; they get no requests meanwhile.
    void setLoadingWeights(std::set<UpstreamId> ids) { this->loadingWeights = std::move(ids); }
    void setWeights(const UpstreamId& id, const std::string& model, std::uint64_t version);
    /// Also drops the load reports of daemons that are not in @p all.
    /// @param all Daemons that may send to the upstreams, including this one.
    void setDaemons(std::vector<DaemonCapacity> all);
    /// The daemons that were set are now the whole site, not just the first ones heard of. Until this call cold upstreams
    /// get no requests, as the number of daemons that share their request rate is unknown.
    void setWholeSiteKnown() { this->isWholeSiteKnown = true; }
    std::size_t daemonCount() const { return this->daemons.size(); }
    void onPeerUse(const InstanceId& peer, const std::vector<UpstreamUse>& uses, TimePoint now);
    /// Takes an aggregator's load sums; its upstreams that are not in @p loads are idle.
    /// @param isAggregated Whether this daemon receives all reports on an upstream itself, and needs no sum; empty: none.
    void onAggregatorLoad(const InstanceId& aggregator, const std::vector<UpstreamLoad>& loads, TimePoint now,
        const std::function<bool(const UpstreamId&)>& isAggregated = {});
    /// @param receiver Daemon whose own load is left out.
    /// @param isAggregated Whether to include an upstream.
    /// @return Load sums over all daemons but @p receiver, without idle upstreams; only the busiest upstreams if there are many.
    std::vector<UpstreamLoad> loadsFor(const InstanceId& receiver, const std::function<bool(const UpstreamId&)>& isAggregated, TimePoint now) const;
    /// @return Sources of cached blocks that are currently slow.
    std::vector<SourceExperience> slowSources(TimePoint now) const;
    /// Takes outcomes seen by a peer: at a large site one daemon alone has too few samples of an upstream or a source.
    void onPeerOutcomes(const std::vector<UpstreamExperience>& outcomes, const std::vector<SourceExperience>& sources, TimePoint now);
    /// @return Own outcomes that were not reported yet, up to the report's limit; the next calls return the rest.
    std::vector<UpstreamExperience> takeUpstreamOutcomes();
    std::vector<SourceExperience> takeSourceSamples();

    /// @param excluded Upstreams that this request was already sent to.
    /// @param refusal Set if nothing was chosen.
    std::optional<PlacementChoice> choose(const PlacementRequest& request, const std::set<UpstreamId>& excluded,
        TimePoint now, PlacementRefusal& refusal);

    /// @return Why the service's upstreams can't take @p request.
    PlacementObstacles obstaclesOf(const PlacementRequest& request, const std::set<UpstreamId>& excluded, TimePoint now) const;
    /// @param ahead Waiting requests that get a place first.
    /// @return The earliest end of a backoff, or the turn of the request, if all upstreams left are backing off, draining or limited;
    /// any other upstream may have room at any time.
    std::optional<TimePoint> nextAvailableAt(const PlacementRequest& request, const std::set<UpstreamId>& excluded, std::size_t ahead, TimePoint now) const;

    /// Takes a drain or backoff notice from an answer. It holds for that incarnation only, not for a later one with the
    /// same name or address.
    /// @param born Start of the incarnation that answered.
    /// @return Whether the notice changed anything.
    bool onNotice(const UpstreamId& id, std::int64_t born, const UpstreamNotice& notice, TimePoint now);
    /// @return Whether a request may still be sent to @p choice; a notice may have come since the choice.
    bool maySend(const PlacementChoice& choice, TimePoint now) const;
    /// Takes what an answer said about the request limit of its upstream. It holds for that incarnation only.
    /// @param born Start of the incarnation that answered.
    /// @return Whether the limit changed.
    bool onRequestLimit(const UpstreamId& id, std::int64_t born, const LimitSighting& sighting);
    /// Takes the limits that a peer reported.
    /// @return The upstreams whose limit changed.
    std::vector<UpstreamId> onPeerLimits(const LimitNotice& notice, TimePoint now);
    /// @param withPeers Whether to include limits that are known only from peers, for daemons that hear none of them.
    /// @return What to report, or nothing.
    std::optional<LimitNotice> limitNotice(bool withPeers, TimePoint now) const;
    /// @return Whether a limit has changed since the last call.
    bool takeLimitNews() { return std::exchange(this->hasLimitNews, false); }
    /// @return Requests per second that an upstream accepts from all daemons together; nothing if it has no limit.
    std::optional<double> requestLimit(const UpstreamId& id) const;
    /// Takes the load that an upstream reported in an answer. It holds for that incarnation only.
    /// @param born Start of the incarnation that answered.
    void onServerLoad(const UpstreamId& id, std::int64_t born, const ServerLoad& load, TimePoint now);
    /// @return Whether a load report that cannot be read is the first one of that incarnation.
    bool isFirstInvalidLoad(const UpstreamId& id);
    /// Takes the pace reports that a peer received from upstreams.
    void onPeerPaces(const std::vector<PaceReport>& paces, TimePoint now);
    /// @param isIncluded Whether to include an upstream.
    /// @param withPeers Whether to include reports that are known only from peers.
    /// @return Recent pace reports, the newest if there are many.
    std::vector<PaceReport> recentPaces(const std::function<bool(const UpstreamId&)>& isIncluded, bool withPeers, TimePoint now) const;
    /// @return Whether an upstream has announced that it is draining.
    bool isLeaving(const UpstreamId& id) const;
    /// @return Remaining time for which an upstream told this instance to back off.
    Duration backoffRemaining(const UpstreamId& id, TimePoint now) const;
    /// @return Addresses of upstreams that have announced that they are draining.
    std::vector<std::string> leavingAddresses() const;

    /// A new connection to the upstream was opened within @p time.
    void onConnected(const PlacementChoice& choice, Duration time, TimePoint now);
    /// The request is being sent to @p choice; each call needs a matching finish().
    void begin(const PlacementChoice& choice, const PlacementRequest& request, TimePoint now);
    /// The first byte of the answer came @p delay after the request was sent.
    void onFirstByte(const PlacementChoice& choice, const PlacementRequest& request, Duration delay, TimePoint now);
    /// A stream ended completely; @p longestGap is the longest gap between two of its events.
    void onStreamEnd(const PlacementChoice& choice, const PlacementRequest& request, Duration longestGap, TimePoint now);
    void finish(const PlacementChoice& choice, const PlacementRequest& request, bool hadFirstByte, AttemptResult result, TimePoint now);

    /// @return Own requests in flight.
    std::uint32_t ownRequests() const { return this->inFlight; }
    /// @return Own load for the aggregators, without idle upstreams; only the busiest upstreams if there are many.
    std::vector<UpstreamUse> ownUses() const;
    /// @return The entries of a service's upstreams that are not draining.
    std::vector<RegistryEntry> readyUpstreams(const ServiceName& service) const;
    /// @param matching Whether to count upstreams with @p softwareVersion or those with any other.
    /// @return Number of a service's upstreams that are not draining.
    std::size_t readyCount(const ServiceName& service, const std::string& softwareVersion, bool matching) const;
    /// @return The entry of an upstream, or null.
    const RegistryEntry* find(const UpstreamId& id) const;
    /// Calls @p visit with each entry.
    void forEach(const std::function<void(const RegistryEntry&)>& visit) const;
    /// @return Requests of all daemons in flight at an upstream, by the latest reports.
    std::uint32_t requestsAt(const UpstreamId& id, TimePoint now) const;
    /// @param isAggregated Whether this daemon receives all reports on an upstream itself.
    /// @return Demand for the service's replicas by failure domain, without waiting requests. Those of evacuated domains take no requests.
    std::vector<DomainDemand> demandFor(
        const ServiceName& service, const BacklogLimits& limits, const std::function<bool(const UpstreamId&)>& isAggregated, TimePoint now) const;
    /// @param aggregators The daemons that aggregate load reports; this one may be among them.
    /// @return Whether enough of them have sent load sums lately that the load of all upstreams is known.
    bool hasLoadSums(const std::vector<InstanceId>& aggregators, TimePoint now) const;
    /// @return Number of peers with a load report.
    std::size_t knownPeers() const { return this->usedByPeer.size(); }
    /// @return Engines with their addresses.
    std::vector<std::pair<UpstreamId, std::string>> engines() const;
    PartCache* cacheOf(const UpstreamId& id);

private:
    struct Load {
        std::uint32_t requests = 0;
        std::uint64_t tokens = 0; ///< Tokens private to one request each.
        const SharedParts* ownParts = nullptr; ///< Shared parts of this daemon's requests; each is in memory once.
        std::vector<PartUse> peerParts; ///< Shared parts that only requests of other daemons use, by key.
        /// Prompt tokens still to be prefilled, by engine class.
        std::array<std::uint64_t, engineClasses> backlog {};

        /// @return Tokens that are prefilled before a new request of the class.
        std::uint64_t backlogAhead(std::size_t engineClass) const;
        bool uses(std::uint32_t part) const;
        /// @return Tokens of the engine's memory that are in use and can't be evicted.
        std::uint64_t memory() const;
    };
    struct PeerUse {
        UpstreamUse use;
        TimePoint at;
    };
    /// An aggregator's report on an upstream.
    struct ReportedLoad {
        InstanceId aggregator;
        Load load;
        double failureShare = 0;
        TimePoint at;
    };
    /// Measured over planned duration of one transfer from a source.
    struct TransferSample {
        TimePoint at;
        double slowness = 1;
    };
    /// Recent event gaps of one class's streams at an engine.
    struct GapEstimate {
        double ms = 0; ///< Moving average of each stream's longest gap.
        TimePoint at; ///< Time of the last sample; the estimate decays from then on.
    };
    struct Upstream {
        RegistryEntry entry;
        TimePoint coldUntil;
        Load own; ///< Without the shared parts, which are in ownParts.
        SharedParts ownParts;
        std::map<InstanceId, PeerUse> peers;
        std::optional<ReportedLoad> reported;
        PartCache cache;
        std::uint32_t failures = 0; ///< Consecutive unreachable attempts.
        TimePoint avoidUntil;
        double failureShare = 0; ///< Moving average of failure answers.
        double latencyMs = 0; ///< Moving average of the time to first byte at a plain upstream.
        double slowness = 1; ///< Moving average of measured over expected time to the first token.
        std::array<GapEstimate, engineClasses> gaps {}; ///< By engine class.
        UpstreamExperience unreportedOutcomes; ///< Outcomes since the last report to the peers.
        std::deque<TimePoint> coldSends; ///< Requests sent within the last second while it was cold.
        UpstreamPace pace;
        bool hadInvalidLoad = false; ///< It sent a load report that cannot be read.
        RequestLimit limit;
        TimePoint limitChanged;
        TimePoint limitBegan; ///< When it was first named, or fell by more than a little.
        std::optional<TimePoint> leavingSince; ///< Time of its first drain notice.
        TimePoint backoffUntil; ///< End of the backoff that it asked this instance for.
    };
    /// Notices of an upstream whose registry entry expired; they apply again if the entry of the same incarnation returns.
    struct RetainedNotice {
        std::int64_t born = 0;
        std::optional<TimePoint> leavingSince;
        TimePoint backoffUntil;
        RequestLimit limit;
    };

    Load totalLoad(const Upstream& upstream, TimePoint now) const;
    static void addUse(Load& load, const UpstreamUse& use);
    /// Adds the requests of other daemons to @p load. @param isCounted Whether a daemon's requests are added, by its InstanceId.
    template <typename Predicate>
    void addPeers(Load& load, const Upstream& upstream, Predicate isCounted, TimePoint now) const;
    static Load ownLoad(const Upstream& upstream);
    double failureShareOf(const Upstream& upstream, TimePoint now) const;
    Obstacle eligibilityObstacle(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const;
    bool isLastResort(const Upstream& upstream, TimePoint now) const;
    bool hasColdCapacity(const Upstream& upstream, TimePoint now) const;
    std::size_t coldShare(const Upstream& upstream, double bound) const;
    /// @return A score by which all daemons agree on those that send to an upstream with too few requests for all of them.
    static double senderScore(const UpstreamId& id, const DaemonCapacity& daemon);
    /// @return The most requests of all daemons within the window of a limit.
    double windowBound(double limit) const;
    /// @return This daemon's turns at an upstream; none if it has no limit.
    TurnShare turnShare(const Upstream& upstream) const;
    /// @return This daemon's share of the capacity of the @p senders daemons that send to an upstream; 0 if it is none of them.
    double senderShare(const UpstreamId& id, std::size_t senders) const;
    bool hasTurn(const Upstream& upstream, TimePoint now) const;
    /// Holds up the turns of a new limit if the requests from before it exceed what it allows beyond its turns.
    /// @param recent Requests of all daemons.
    void holdTurns(Upstream& upstream, double recent);
    void onLimitChange(Upstream& upstream, std::optional<double> before, TimePoint now);
    /// How one engine would obtain a prompt's blocks.
    struct Coverage {
        std::uint64_t transferred = 0;
        std::uint64_t missing = 0;
        double transferMs = 0; ///< At the current speed of the sources.
        double linkMs = 0; ///< At the full speed of the links.
        std::vector<std::string> sources; ///< By part; empty if no source is known or the part must be prefilled.
        std::vector<std::string> transferSources; ///< Sources of the parts to transfer.
    };

    /// For each part of a prompt, the candidates that hold it under one scope.
    struct PartHolders {
        std::string scope;
        std::vector<std::vector<const Upstream*>> byPart;
    };

    /// Whether and how a service distinguishes failure domains for one request.
    struct DomainScope {
        bool isActive = false; ///< Upstreams in the own domain and elsewhere have reported their pace.
        bool hasUsableLocal = false;
        bool prefersLocal() const { return this->isActive && this->hasUsableLocal; }
    };
    /// The best upstream of one side.
    struct Placed {
        const Upstream* upstream = nullptr; ///< Null if there is none.
        double cost = std::numeric_limits<double>::infinity(); ///< Milliseconds, without the crossing.
        double crossingMs = 0;
        double readMs = 0;
        Coverage coverage;
    };
    bool isLocal(const Upstream& upstream) const { return upstream.entry.domain == this->ownDomain; }
    DomainScope domainScope(const PlacementRequest& request, const std::set<UpstreamId>& excluded, TimePoint now) const;
    double crossingMs(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const;
    /// @return This daemon's part of the capacity of all daemons whose domains are short of capacity.
    double capacityShare(const ServiceName& service, TimePoint now) const;
    /// @return Requests like @p request that can be added elsewhere until the wait there is @p limitMs.
    double roomElsewhere(const PlacementRequest& request, const std::set<UpstreamId>& excluded, double limitMs, std::uint64_t missing, TimePoint now) const;
    LeaveReason decideLeave(const Placed& local, const Placed& elsewhere, const DomainScope& scope, const PlacementRequest& request,
        const std::set<UpstreamId>& excluded, TimePoint now);
    static double latencyCost(const Upstream& upstream, const Load& load, TimePoint now);

    static const PartHolders& holdersInScope(std::vector<PartHolders>& known, const std::string& scope,
        const PlacementRequest& request, const std::vector<const Upstream*>& candidates);
    /// @param leaving Whether to return draining upstreams instead of the others.
    /// @param preferred Set to the affinity target of the prompt's shared prefix, or null.
    std::vector<const Upstream*> candidatesFor(const PlacementRequest& request, const std::set<UpstreamId>& excluded,
        TimePoint now, bool leaving, const DomainScope& scope, const Upstream*& preferred);
    std::optional<PlacementChoice> chooseAmong(const std::vector<const Upstream*>& candidates, const Upstream* preferred,
        const PlacementRequest& request, const std::set<UpstreamId>& excluded, const DomainScope& scope, TimePoint now, PlacementRefusal& refusal);
    Coverage coverageAt(const Upstream& upstream, const PlacementRequest& request, const PartHolders& holders,
        const EngineLimits& engine, TimePoint now) const;
    double gapCost(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const;
    double prefillCost(const Upstream& upstream, const Load& load, const PlacementRequest& request, std::uint64_t missing, TimePoint now) const;
    /// @return The learned slowness of an engine at its current pace.
    static double slownessAt(const Upstream& upstream, TimePoint now);
    /// @return Mean pace while a request ran, from the choice to the first byte; 1 if the upstream did not report it.
    static double paceDuring(const Upstream& upstream, const PlacementChoice& choice, TimePoint now);
    /// @return Why the upstream has no capacity, or Obstacle::None.
    Obstacle capacityObstacle(const Upstream& upstream, const Load& load, const PlacementRequest& request, const EngineLimits* engine, TimePoint now) const;
    void planCache(const Upstream& upstream, const PlacementRequest& request, Coverage coverage, PlacementChoice& choice, TimePoint now) const;
    /// A possible transfer of a prompt part.
    struct PartTransfer {
        std::string source;
        double linkMs = 0; ///< At the full speed of the links.
        double expectedMs = 0; ///< At the current speed of the source.
    };

    /// @return The fastest transfer of @p part to @p upstream from a store or another engine, if any holds it.
    std::optional<PartTransfer> fastestTransfer(const Upstream& upstream, const std::string& scope, const PromptPart& part,
        const std::vector<const Upstream*>& holders, const EngineLimits& engine, TimePoint now) const;
    double expectedTransferMs(const std::string& address, double linkMs, TimePoint now) const;
    void recordOutcomes(Upstream& upstream, std::uint32_t answers, std::uint32_t failures) const;
    void recordTransfer(const PlacementChoice& choice, double measuredMs, TimePoint now);
    void removeUnknownPeers();
    static void addSample(std::deque<TransferSample>& samples, const TransferSample& sample);
    void recordSourceSamples(const SourceExperience& report, TimePoint now);
    void removePendingTransfers(const PlacementChoice& choice);
    const TrafficService* serviceOf(const ServiceName& name) const;
    /// @return Share of an upstream's slots, memory or prefill backlog that is in use, whichever is largest; at most 1.
    double usedShare(const Upstream& upstream, const Load& load, const EngineLimits* engine, const BacklogLimits& limits) const;
    /// @return Whether an upstream is cold, fails or can't take all requests.
    bool isImpaired(const Upstream& upstream, TimePoint now) const;

    /// What may leave the own domain, by service.
    struct ServiceOverflow {
        OverflowShare share;
        double room = 0; ///< This daemon's share of the room elsewhere, requests.
        TimePoint at; ///< When the room was computed.
    };

    InstanceId self;
    FailureDomain ownDomain;
    std::map<ServiceName, ServiceOverflow> overflows;
    std::map<FailureDomain, LinkDelay> linkDelays;
    SiteBounds bounds;
    Random random { 1 };
    const PartDirectory& parts;
    BoardSettings settings;
    std::map<ServiceName, TrafficService> services;
    std::map<UpstreamId, Upstream> upstreams;
    std::map<ServiceName, std::set<UpstreamId>> byService;
    std::map<std::string, UpstreamId> byAddress; ///< The upstream that registered last at each address.
    std::map<UpstreamId, RetainedNotice> retainedNotices; ///< Notices of upstreams without a registry entry.
    std::map<InstanceId, std::vector<UpstreamId>> usedByPeer; ///< Upstreams in each peer's last report.
    std::set<FailureDomain> evacuated;
    std::set<UpstreamId> loadingWeights;
    /// A transfer that was requested and is not known to have ended.
    struct PendingTransfer {
        TimePoint sent;
        double linkMs = 0;
    };
    /// An address that blocks are transferred from.
    struct TransferSource {
        std::deque<TransferSample> samples;
        std::vector<PendingTransfer> pending;
        std::vector<double> unreported; ///< Slowness samples of own transfers that were not reported to the peers yet.
    };
    /// @return How much slower the source is than its links; 1 if there are too few samples.
    static double slownessOf(const TransferSource& source, TimePoint now);

    std::map<std::string, TransferSource> transferSources;
    /// An aggregator's last digest.
    struct Digest {
        std::vector<UpstreamId> upstreams;
        TimePoint at;
        bool isFull = false; ///< It had room only for the busiest upstreams.
    };
    std::map<InstanceId, Digest> digests; ///< By aggregator.
    std::vector<DaemonCapacity> daemons;
    bool isWholeSiteKnown = false;
    std::uint32_t inFlight = 0;
    bool hasLimitNews = false;
    UpstreamId lastReportedUpstream; ///< The next report resumes after it.
    std::string lastReportedSource;
    double tokensPerMillisecond;
};

} // namespace goldcrestwood
