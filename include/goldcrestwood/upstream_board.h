#pragma once

/// @file
/// Chooses the upstream of each request from registry entries, work in flight, failures and cached prompt parts.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/edge_settings.h"
#include "goldcrestwood/engine_order.h"
#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/part_cache.h"
#include "goldcrestwood/part_directory.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/registry_entry.h"
#include "goldcrestwood/time.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/upstream_notice.h"

namespace goldcrestwood {

struct BoardSettings {
    /// A peer's report of its work in flight counts for this long; several heartbeats.
    Duration peerReportLifetime = std::chrono::milliseconds(2500);
    /// First pause after a failed connection; doubles with each further failure.
    Duration firstAvoidance = std::chrono::milliseconds(400);
    /// Longest pause after failed connections: a registry entry expires after about as long.
    Duration longestAvoidance = std::chrono::seconds(3);
    /// Prompt tokens that an engine reads in a millisecond, until measurements replace it.
    double prefillTokensPerMillisecond = 60;
    /// Share of an engine's cache memory that running requests may fill before others wait: beyond it the engine preempts.
    double memoryShare = 0.92;
    /// Reads of equal or more urgent requests that may wait at an engine, as a share of a request's objective:
    /// whatever waits beyond that waits here, where it can still go elsewhere.
    double backlogShare = 0.6;
    /// Weight of a new sample in a moving average.
    double sampleWeight = 0.1;
    /// What one report to a keeper tells at most; together it fits a datagram of 8 KB with names of 20 letters.
    std::size_t mostToldUses = 80;
    std::size_t mostToldUpstreams = 80;
    std::size_t mostToldLoads = 80;
    std::size_t mostToldSources = 24;
    std::size_t mostToldParts = 160;
};

/// What a request asks of an upstream.
struct PlacementRequest {
    ServiceName service;
    std::string sharing; ///< Callers among which cache blocks are shared: all, or an isolated account alone.
    std::vector<PromptPart> parts;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint32_t rank = 0;
    Duration objective = std::chrono::seconds(1); ///< Time to the first token or answer that is still on time.
    Duration gapObjective = Duration(0); ///< Longest pause between events that is still on time; 0: any.
    bool isLate = false; ///< It cannot be on time any more, and leaves room for one that can.
    std::string model;
    /// Least weight version that the upstream must have.
    std::uint64_t leastWeights = 0;
    /// Weight version that an upstream had better have.
    std::uint64_t preferredWeights = 0;
    /// Software version that the upstream must not have; empty: any.
    std::string avoidedVersion;
    /// Software version that the upstream must have; empty: any.
    std::string wantedVersion;
};

/// Where a request goes.
struct PlacementChoice {
    UpstreamId upstream;
    std::string address;
    std::uint64_t missingTokens = 0; ///< Prompt tokens that the upstream is expected to read.
    std::uint64_t movedTokens = 0; ///< Prompt tokens that are expected to come from stores.
    Duration readTime = Duration(0); ///< Part of the expected wait that is not for moves.
    Duration moveTime = Duration(0); ///< Of the moves, at the full speed of the links.
    Duration expectedWait = Duration(0); ///< Until the first token or answer.
    std::string scope; ///< Blocks are found only under the same scope: weight version and sharing.
    /// For each prompt part the store that holds it whole, empty if the upstream is to read it; empty if there is none at all.
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo; ///< Likewise, where to save what no store holds.
    std::vector<std::string> movesFrom; ///< Addresses that parts are expected to come from.
    std::uint64_t weights = 0; ///< Weight version of the request's model there, as far as known.
    std::int64_t born = 0; ///< Start of the incarnation that was chosen.
    std::string softwareVersion;
    bool isCold = false; ///< The upstream has just started.
    TimePoint chosen; ///< When the choice was made.

    bool operator==(const PlacementChoice&) const = default;
};

/// Why no upstream was chosen.
enum class PlacementRefusal : std::uint8_t {
    NoUpstream, ///< No upstream of the service may be used.
    Full, ///< Each upstream has all that it can hold.
};

/// What keeps one upstream from taking a request.
enum class Obstacle : std::uint8_t {
    None,
    Tried, ///< The request has been there.
    Leaving, ///< It drains, or says that it leaves.
    Resting, ///< It wants nothing from this instance for a while.
    Evacuated, ///< Its failure domain is taken out.
    Ordered, ///< It takes new weights.
    OldWeights,
    Version, ///< A roll-out keeps the request from its software version.
    Cold, ///< It has just started, and this daemon's share of what it bears is used up.
    Slots, ///< As many requests as it works on at the same time.
    Memory, ///< The prompt does not fit beside those in flight.
    Backlog, ///< Too much waits there to be read.
};

/// @return The name of @p obstacle in logs.
const char* toString(Obstacle obstacle);

/// Why a request finds no place.
struct PlacementObstacles {
    std::map<Obstacle, std::uint32_t> upstreams; ///< How many each obstacle shuts out; each counts once.

    /// @return The counts by name, as "memory:7 resting:1".
    std::string text() const;
    bool operator==(const PlacementObstacles&) const = default;
};

/// How an attempt ended, for the belief in its upstream.
enum class AttemptResult : std::uint8_t {
    Answered, ///< A whole answer that is no failure.
    FailureAnswer, ///< A whole answer with a failure status.
    Misdirected, ///< Not run: another incarnation answers at the address.
    Refused, ///< Proved not run, because the upstream is full or busy.
    Unreachable, ///< No connection, or it broke before an answer began.
    Cancelled, ///< The caller left or the time was over; says nothing of the upstream.
};

/// @return How the scopes of all blocks begin that were made by @p model under @p version of its weights.
std::string weightScope(const std::string& model, std::uint64_t version);

/// All upstreams of all services as one daemon sees them.
class UpstreamBoard {
public:
    /// @param parts What the stores of KV cache hold; outlives the board.
    UpstreamBoard(InstanceId self, SiteBounds bounds, const PartDirectory& parts, BoardSettings settings = {});

    void setServices(const RouteTable& table);
    void setUpstream(const RegistryEntry& entry, TimePoint now);
    void removeUpstream(const UpstreamId& id);
    void setEvacuated(std::set<FailureDomain> domains) { this->evacuated = std::move(domains); }
    /// Upstreams that are taking new weights; they get no new work meanwhile.
    void setOrdered(std::set<UpstreamId> ids) { this->ordered = std::move(ids); }
    void setWeights(const UpstreamId& id, const std::string& model, std::uint64_t version);
    /// Reports of others are forgotten.
    /// @param all Daemons that may send to an upstream at the same time, this one included.
    void setDaemons(std::vector<DaemonCapacity> all);
    /// The daemons that were set are all of the site, rather than those that were heard first. Until then a cold upstream
    /// gets nothing, as nobody can tell with how many to share what it bears.
    void setWholeSiteKnown() { this->isWholeSiteKnown = true; }
    std::size_t daemonCount() const { return this->daemons.size(); }
    void onPeerUse(const InstanceId& peer, const std::vector<UpstreamUse>& uses, TimePoint now);
    /// A keeper told of the sums at the upstreams that it keeps; those that it left out are idle.
    void onKeeperLoad(const InstanceId& keeper, const std::vector<UpstreamLoad>& loads, TimePoint now);
    /// @param receiver Its own work is left out.
    /// @param isKept Which upstreams to tell of.
    /// @return Sums over all daemons but @p receiver at the upstreams that are not idle, the busiest if they are many.
    std::vector<UpstreamLoad> loadsFor(const InstanceId& receiver, const std::function<bool(const UpstreamId&)>& isKept, TimePoint now) const;
    /// @return Sources of cached blocks that are slow now.
    std::vector<SourceExperience> slowSources(TimePoint now) const;
    /// One daemon of many sees an upstream or a source seldom; what all of them see tells soon.
    void onPeerExperience(const std::vector<UpstreamExperience>& upstreams, const std::vector<SourceExperience>& sources, TimePoint now);
    /// @return Own experience that was not told yet; what is beyond the bound comes with the next calls.
    std::vector<UpstreamExperience> takeUpstreamExperience();
    std::vector<SourceExperience> takeSourceExperience();

    /// @param excluded Upstreams that this request has tried.
    /// @param refusal Set if nothing was chosen.
    std::optional<PlacementChoice> choose(const PlacementRequest& request, const std::set<UpstreamId>& excluded,
        TimePoint now, PlacementRefusal& refusal);

    /// @return What keeps each upstream of the service from taking @p request.
    PlacementObstacles obstaclesOf(const PlacementRequest& request, const std::set<UpstreamId>& excluded, TimePoint now) const;
    /// @return The soonest end of a rest, if rests shut out all upstreams that are left; any other may have room at any moment.
    std::optional<TimePoint> opensAt(const PlacementRequest& request, const std::set<UpstreamId>& excluded, TimePoint now) const;

    /// An incarnation said in an answer that it leaves or wants to rest. Only that incarnation is meant, whoever has its
    /// name or address later.
    /// @param born Start of the incarnation that answered.
    /// @return Whether that was news.
    bool onNotice(const UpstreamId& id, std::int64_t born, const UpstreamNotice& notice, TimePoint now);
    /// @return Whether a request may still leave for @p choice; its upstream may have said otherwise since.
    bool mayBegin(const PlacementChoice& choice, TimePoint now) const;
    /// @return Whether an upstream says that it leaves.
    bool isLeaving(const UpstreamId& id) const;
    /// @return How much longer an upstream wants nothing from this instance.
    Duration restLeft(const UpstreamId& id, TimePoint now) const;
    /// @return Addresses of upstreams that say that they leave.
    std::vector<std::string> leavingAddresses() const;

    /// The request leaves for @p choice; balance it with finish().
    void begin(const PlacementChoice& choice, const PlacementRequest& request, TimePoint now);
    /// The first byte of the answer came @p delay after the request was sent.
    void onFirstByte(const PlacementChoice& choice, const PlacementRequest& request, Duration delay, TimePoint now);
    /// A whole stream has come, with @p longestGap between two of its events.
    void onStreamEnd(const PlacementChoice& choice, const PlacementRequest& request, Duration longestGap, TimePoint now);
    void finish(const PlacementChoice& choice, const PlacementRequest& request, bool hadFirstByte, AttemptResult result, TimePoint now);

    /// @return Own requests in flight.
    std::uint32_t ownRequests() const { return this->inFlight; }
    /// @return Work in flight for the keepers, at the busiest upstreams if it is at many; idle ones are left out.
    std::vector<UpstreamUse> ownUses() const;
    /// @return The entries of a service's upstreams that are not draining.
    std::vector<RegistryEntry> readyUpstreams(const ServiceName& service) const;
    /// @return How many upstreams of a service that are not draining have the software version, or another one.
    std::size_t readyCount(const ServiceName& service, const std::string& softwareVersion, bool hasIt) const;
    /// @return The entry of an upstream, or null.
    const RegistryEntry* find(const UpstreamId& id) const;
    /// Calls @p visit with each entry.
    void forEach(const std::function<void(const RegistryEntry&)>& visit) const;
    /// @return Requests of all daemons in flight at an upstream, as last heard.
    std::uint32_t requestsAt(const UpstreamId& id, TimePoint now) const;
    /// @return Peers whose reports are kept.
    std::size_t knownPeers() const { return this->usedByPeer.size(); }
    /// @return Engines with their addresses.
    std::vector<std::pair<UpstreamId, std::string>> engines() const;
    PartCache* cacheOf(const UpstreamId& id);

private:
    struct Load {
        std::uint32_t requests = 0;
        std::uint64_t tokens = 0; ///< That each request has for itself.
        std::vector<PartUse> parts; ///< That requests share; each stands in memory once.
        /// Prompt tokens still to be read, by the engine's classes.
        std::array<std::uint64_t, engineClasses> backlog {};

        /// @return Tokens that are read before those of a further request of a class.
        std::uint64_t backlogAhead(std::size_t engineClass) const;
        bool uses(std::uint32_t part) const;
        /// @return Tokens in the engine's memory that cannot yield.
        std::uint64_t memory() const;
    };
    /// A shared part in use by requests of this daemon.
    struct PartCount {
        std::uint32_t tokens = 0;
        std::uint32_t requests = 0;
    };
    struct PeerUse {
        UpstreamUse use;
        TimePoint at;
    };
    /// What a keeper told of an upstream.
    struct ToldLoad {
        InstanceId keeper;
        Load load;
        double failureShare = 0;
        TimePoint at;
    };
    /// How long moves from a store take against what its link would allow.
    struct MoveSample {
        TimePoint at;
        double slowness = 1;
    };
    /// How long the streams of one class paused at an engine lately.
    struct PauseBelief {
        double ms = 0; ///< Moving average of the longest pause of each stream.
        TimePoint at; ///< Of the last sample; what was not seen again is forgotten.
    };
    struct Upstream {
        RegistryEntry entry;
        TimePoint coldUntil;
        Load own; ///< Without the parts, which are counted.
        std::map<std::uint32_t, PartCount> ownParts;
        std::map<InstanceId, PeerUse> peers;
        std::optional<ToldLoad> told;
        PartCache cache;
        std::uint32_t failures = 0; ///< Unreachable in a row.
        TimePoint avoidUntil;
        double failureShare = 0; ///< Moving average of failure answers.
        double latencyMs = 0; ///< Moving average of the time to the first byte of a plain answer.
        double slowness = 1; ///< Moving average of measured over expected time to the first token.
        std::array<PauseBelief, engineClasses> pauses {}; ///< By the engine's classes.
        UpstreamExperience experience; ///< Since it was last told to the peers.
        std::deque<TimePoint> coldSends; ///< Of the last second.
        std::optional<TimePoint> leavingSince; ///< When it said so first.
        TimePoint restUntil; ///< It wants nothing from this instance before.
    };
    /// What an upstream said before its registry entry lapsed; the entry may come back, and binds as before.
    struct KeptNotice {
        std::int64_t born = 0;
        std::optional<TimePoint> leavingSince;
        TimePoint restUntil;
    };

    Load totalLoad(const Upstream& upstream, TimePoint now) const;
    static void addUse(Load& load, const UpstreamUse& use);
    static Load ownLoad(const Upstream& upstream);
    double failureShareOf(const Upstream& upstream, TimePoint now) const;
    Obstacle obstacleAt(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const;
    bool isLastResort(const Upstream& upstream, TimePoint now) const;
    bool takesCold(const Upstream& upstream, TimePoint now) const;
    std::size_t coldShare(const Upstream& upstream, double bound) const;
    /// How a prompt could be had at one engine.
    struct Coverage {
        std::uint64_t moved = 0;
        std::uint64_t missing = 0;
        double moveMs = 0; ///< As the stores are now.
        double plainMoveMs = 0; ///< At the full speed of the links.
        std::vector<std::string> sources; ///< By part; empty where none is known or the part must be read.
        std::vector<std::string> movesFrom; ///< Sources of the parts that must be moved.
    };

    /// Candidates that hold each part of a prompt under one scope.
    struct PartHolders {
        std::string scope;
        std::vector<std::vector<const Upstream*>> byPart;
    };

    static const PartHolders& holdersUnder(std::vector<PartHolders>& known, const std::string& scope,
        const PlacementRequest& request, const std::vector<const Upstream*>& candidates);
    /// @param leaving Whether to return those that say that they leave, rather than those that stay.
    std::vector<const Upstream*> candidatesFor(const PlacementRequest& request, const std::set<UpstreamId>& excluded,
        TimePoint now, bool leaving, const Upstream*& preferred);
    std::optional<PlacementChoice> chooseAmong(const std::vector<const Upstream*>& candidates, const Upstream* preferred,
        const PlacementRequest& request, TimePoint now, PlacementRefusal& refusal) const;
    Coverage cover(const Upstream& upstream, const PlacementRequest& request, const PartHolders& holders,
        const EngineLimits& engine, TimePoint now) const;
    double pauseCost(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const;
    double readCost(const Upstream& upstream, const Load& load, const PlacementRequest& request, std::uint64_t missing) const;
    /// @return Why the upstream has no room, or Obstacle::None.
    Obstacle fullness(const Upstream& upstream, const Load& load, const PlacementRequest& request, const EngineLimits* engine) const;
    void planCache(const Upstream& upstream, const PlacementRequest& request, Coverage coverage, PlacementChoice& choice, TimePoint now) const;
    /// Whence a part can be moved, and how long that takes.
    struct Move {
        std::string source;
        double plainMs = 0; ///< At the full speed of the links.
        double expectedMs = 0; ///< As the source is now.
    };

    /// @return The fastest way to move @p part to @p upstream from a store or another engine, if any holds it.
    std::optional<Move> moveOf(const Upstream& upstream, const std::string& scope, const PromptPart& part,
        const std::vector<const Upstream*>& holders, const EngineLimits& engine, TimePoint now) const;
    double expectedMove(const std::string& address, double plainMs, TimePoint now) const;
    void learnOutcome(Upstream& upstream, std::uint32_t answers, std::uint32_t failures) const;
    void learnMove(const PlacementChoice& choice, double measuredMs, TimePoint now);
    void forgetPeers();
    static void keepSample(std::deque<MoveSample>& samples, const MoveSample& sample);
    void learnSource(const SourceExperience& told, TimePoint now);
    void settleMoves(const PlacementChoice& choice);
    const TrafficService* serviceOf(const ServiceName& name) const;

    InstanceId self;
    SiteBounds bounds;
    Random random { 1 };
    const PartDirectory& parts;
    BoardSettings settings;
    std::map<ServiceName, TrafficService> services;
    std::map<UpstreamId, Upstream> upstreams;
    std::map<ServiceName, std::set<UpstreamId>> byService;
    std::map<std::string, UpstreamId> byAddress; ///< Who registered last at each address.
    std::map<UpstreamId, KeptNotice> keptNotices; ///< Of upstreams without an entry.
    std::map<InstanceId, std::vector<UpstreamId>> usedByPeer; ///< Upstreams of a peer's last report.
    std::set<FailureDomain> evacuated;
    std::set<UpstreamId> ordered;
    /// A move that was asked for and has not shown an effect yet.
    struct PendingMove {
        TimePoint sent;
        double plainMs = 0;
    };
    /// An address that blocks come from.
    struct MoveSource {
        std::deque<MoveSample> samples;
        std::vector<PendingMove> pending;
        std::vector<double> untold; ///< Slowness of own moves that the peers were not told of.
    };
    /// @return How much slower than its links the source is; 1 if too little is known.
    static double slownessOf(const MoveSource& source, TimePoint now);

    std::map<std::string, MoveSource> moveSources;
    std::map<InstanceId, std::vector<UpstreamId>> toldByKeeper; ///< Upstreams of a keeper's last digest.
    std::vector<DaemonCapacity> daemons;
    bool isWholeSiteKnown = false;
    std::uint32_t inFlight = 0;
    UpstreamId lastToldUpstream; ///< Where the next call goes on.
    std::string lastToldSource;
    double tokensPerMillisecond;
};

} // namespace goldcrestwood
