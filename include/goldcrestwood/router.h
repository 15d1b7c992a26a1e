#pragma once

/// @file
/// Chooses the upstream for a prompt by expected time to first token.

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrestwood/chain.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/sampled_map.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct RouterSettings {
    /// Prefill rate of a replica before the first observation, tokens per second.
    double initialPrefillRate = 8000;
    /// Time to first token without queue, import and prefill, before the first observation.
    Duration initialOverhead = std::chrono::milliseconds(20);
    /// Tokens that a waiting request is assumed to compute, before the first observation.
    double initialMeanTokens = 1600;
    /// Weight of a new observation in a moving average.
    double learningWeight = 0.1;
    /// Upstreams drawn at random for each decision.
    std::size_t randomPicks = 3;
    /// Upstreams picked by the hash of the prompt, so that daemons agree even without a view of the caches.
    std::size_t hashedPicks = 2;
    /// Maximum number of candidates that are evaluated.
    std::size_t maxCandidates = 12;
    /// Maximum number of random draws, reached if many candidates are refused.
    std::size_t maxDraws = 24;
    /// Cost of a second of accelerator time to the requests queued behind, in seconds.
    double recomputeWeight = 1.5;
    /// Cost of a second of link time to the link's other users, in seconds.
    double linkWeight = 0.1;
    /// Maximum relative noise on a cost, so that daemons with the same view don't all choose the same upstream.
    double noise = 0.05;
    /// Relative cost advantage that another upstream needs over the prompt's last choice.
    double hysteresis = 0.1;
    /// Maximum number of remembered last choices.
    std::size_t maxLastChoices = 16384;
    /// Half-life of a load report's weight.
    Duration loadHalfLife = std::chrono::seconds(2);
    /// Time before the first imported block arrives.
    Duration importSetup = std::chrono::milliseconds(5);
    /// Transfer time of a block on a store's disk, relative to the link time alone.
    double diskFactor = 2.0;
    /// Maximum number of alternatives in a decision.
    std::size_t runnerUps = 2;
    /// Maximum number of remembered decisions without an outcome.
    std::size_t maxOutstanding = 8192;
};

/// An upstream as the router needs to know it.
struct RouteTarget {
    UpstreamId id;
    FailureDomain domain;
    /// The version that it reports.
    VersionName version;

    bool operator==(const RouteTarget&) const = default;
};

/// Why an upstream may not be used.
enum class Refusal : std::uint8_t {
    None, ///< It may be used.
    DomainOut, ///< Its failure domain takes no new requests.
    Leaving, ///< It is draining.
    NoPermit, ///< It has no permit left.
    OtherVersion, ///< It runs another version.
    Unhealthy, ///< It failed recently.
};

/// Verdict of the other components on an upstream.
struct UpstreamCheck {
    Refusal refusal = Refusal::None;
    /// Added to the cost, for example while the upstream is slow, cold or on probation.
    Duration penalty = Duration(0);

    bool operator==(const UpstreamCheck&) const = default;
};

/// Lagged load report of an upstream or its owner.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Outstanding prefill from other daemons, if known.
    std::optional<Duration> peersPrefill;
    /// Age of the report on arrival.
    Duration age = Duration(0);

    bool operator==(const LoadReport&) const = default;
};

/// Current capacity of a store's link for this daemon.
struct LinkEstimate {
    /// This daemon's share; 0 if the link can't be used.
    double bytesPerSecond = 0;
    /// Bytes of accepted transfers that are not done.
    double backlogBytes = 0;

    bool operator==(const LinkEstimate&) const = default;
};

/// Decides whether an upstream may take a request.
template <typename T>
concept UpstreamChecker = requires(const T& check, const RouteTarget& target)
{
    {
        check(target)
        } -> std::same_as<UpstreamCheck>;
};

/// Gives the state of a store's link.
template <typename T>
concept LinkView = requires(const T& links, const UpstreamId& store)
{
    {
        links(store)
        } -> std::same_as<LinkEstimate>;
};

/// Identifies a decision until its outcome is known.
struct RouteTicket {
    std::uint64_t value = 0;

    auto operator<=>(const RouteTicket&) const = default;
};

/// One prompt to place.
struct RouteRequest {
    ServiceName service;
    VersionName version;
    PromptChain chain;
    ChainCoverage coverage;
    /// False if the chain's owner did not answer; the prompt's hash then limits the choice to a few upstreams.
    bool coverageKnown = true;
    /// Size of a block in a transfer.
    std::uint64_t blockBytes = 0;
};

/// A run of consecutive blocks to import from a store.
struct ImportRun {
    UpstreamId store;
    Tier tier = Tier::StoreMemory;
    /// Index of the first block in the chain.
    std::uint32_t firstBlock = 0;
    std::uint32_t blocks = 0;

    bool operator==(const ImportRun&) const = default;
};

/// Blocks to import to the upstream before it computes the rest.
struct ImportPlan {
    std::vector<ImportRun> runs;
    std::uint32_t blocks = 0;
    std::uint64_t bytes = 0;
    /// Expected time until the last block arrives.
    Duration duration = Duration(0);
    /// Time from the decision after which recomputing the blocks is better than waiting for them.
    Duration usefulFor = Duration(0);

    bool operator==(const ImportPlan&) const = default;
};

/// The upstream chosen for a prompt, with the estimates behind the choice.
struct RouteDecision {
    RouteTicket ticket;
    UpstreamId upstream;
    FailureDomain domain;
    VersionName version;
    /// Blocks that the upstream is expected to hold.
    std::uint32_t blocksCovered = 0;
    ImportPlan import;
    /// Tokens that the upstream is expected to compute.
    std::uint32_t recomputeTokens = 0;
    Duration expectedQueue = Duration(0);
    Duration expectedFirstToken = Duration(0);
    /// Upstreams for retries, those in other failure domains first.
    std::vector<UpstreamId> runnerUps;

    bool operator==(const RouteDecision&) const = default;
};

/// No upstream may take the request now.
struct RouteError {
    /// The most frequent refusal, or None if the service has no upstreams.
    Refusal refusal = Refusal::None;
    std::size_t refused = 0;

    bool operator==(const RouteError&) const = default;
};

/// Observed first token of a routed request.
struct FirstTokenObservation {
    /// From dispatch to first token.
    Duration duration = Duration(0);
    /// Tokens found in the cache, if the engine reported them.
    std::optional<std::uint32_t> cachedTokens;
};

/// One daemon's router. The cost of a decision does not grow with the number of upstreams.
class Router {
public:
    explicit Router(const RouterSettings& initialSettings = {});

    /// Replaces the upstreams of a service. Call it when the list or the configuration changes.
    void setTargets(const ServiceName& service, std::vector<RouteTarget> targets);

    /// Records an upstream's reported version; a new version resets the estimates.
    void setVersion(const UpstreamId& upstream, const VersionName& version);

    /// Records a load report.
    void reportLoad(const UpstreamId& upstream, const LoadReport& report, TimePoint now);

    /// @param allowed Called for the candidates only.
    /// @return The cheapest candidate, or why there is none.
    template <UpstreamChecker Allowed, LinkView Links>
    tl::expected<RouteDecision, RouteError> choose(
        const RouteRequest& request, const Allowed& allowed, const Links& links, TimePoint now, Random& random)
    {
        Candidates candidates;
        for (const auto& pick : this->draw(request, random)) {
            if (candidates.enough(pick, this->settings))
                continue;
            const auto sameVersion = pick.target->version == request.version;
            candidates.add(pick, sameVersion ? allowed(*pick.target) : UpstreamCheck { Refusal::OtherVersion, {} });
        }
        std::vector<LinkEstimate> estimates;
        for (const auto& run : request.coverage.stores)
            estimates.push_back(links(run.store));
        return this->decide(request, candidates, estimates, now, random);
    }

    /// Updates the estimates from the first token.
    void onFirstToken(RouteTicket ticket, const FirstTokenObservation& seen);

    /// The request ended, was cancelled or was never sent.
    void finish(RouteTicket ticket);

    /// @return Outstanding prefill of this daemon at @p upstream.
    Duration outstandingPrefill(const UpstreamId& upstream) const;

    /// @return Estimated prefill rate of @p upstream, tokens per second.
    double prefillRate(const UpstreamId& upstream) const;

    /// @return Estimated bytes of memory.
    std::size_t memoryBytes() const;

private:
    struct Upstream {
        RouteTarget target;
        double prefillRate = 0;
        double overhead = 0;
        double meanPrefill = 0;
        double outstanding = 0;
        std::uint32_t unanswered = 0;
        LoadReport load;
        TimePoint loadTime;
        std::uint32_t unansweredAtLoad = 0;
        bool loadKnown = false;
    };

    struct RingPoint {
        std::uint64_t hash = 0;
        std::uint32_t index = 0;
    };

    struct Service {
        std::vector<UpstreamId> upstreams;
        std::vector<RingPoint> ring;
    };

    struct Pick {
        const RouteTarget* target = nullptr;
        bool random = false;
    };

    struct Candidate {
        const RouteTarget* target = nullptr;
        Duration penalty = Duration(0);
    };

    struct Candidates {
        std::vector<Candidate> kept;
        std::vector<Refusal> refusals;
        std::size_t randomKept = 0;

        bool enough(const Pick& pick, const RouterSettings& settings) const;
        void add(const Pick& pick, const UpstreamCheck& admission);
    };

    struct Outstanding {
        UpstreamId upstream;
        double prefill = 0;
        double queue = 0;
        double import = 0;
        std::uint32_t tokens = 0;
        std::uint32_t recomputeTokens = 0;
        bool answered = false;
    };

    struct LastChoice {
        UpstreamId upstream;
        TimePoint at;

        TimePoint usefulness() const { return this->at; }
    };

    struct Evaluation {
        double cost = 0;
        RouteDecision decision;
    };

    std::vector<Pick> draw(const RouteRequest& request, Random& random) const;
    std::vector<UpstreamId> hashedPicks(const RouteRequest& request) const;
    EngineCoverage ownCoverage(const RouteRequest& request, const UpstreamId& id) const;
    tl::expected<RouteDecision, RouteError> decide(const RouteRequest& request, const Candidates& candidates,
        const std::vector<LinkEstimate>& links, TimePoint now, Random& random);
    Evaluation evaluate(const RouteRequest& request, const Candidate& candidate, const std::vector<LinkEstimate>& links,
        TimePoint now) const;
    void resetEstimates(Upstream& upstream) const;
    double queueSeconds(const Upstream& upstream, TimePoint now) const;
    void remember(const RouteRequest& request, RouteDecision& decision, TimePoint now);
    void release(Outstanding& entry);
    void learn(Upstream& upstream, const Outstanding& entry, const FirstTokenObservation& seen) const;
    Upstream* findUpstream(const UpstreamId& id);
    const Upstream* findUpstream(const UpstreamId& id) const;

    RouterSettings settings;
    std::unordered_map<UpstreamId, Upstream> upstreams;
    std::unordered_map<ServiceName, Service> services;
    SampledMap<ChainHash, LastChoice> lastChoices;
    std::map<RouteTicket, Outstanding> outstanding;
    std::uint64_t nextTicket = 1;
};

} // namespace goldcrestwood
