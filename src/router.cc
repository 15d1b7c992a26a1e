#include "goldcrestwood/router.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace goldcrestwood {

namespace {

    /// Bounds of an observation, relative to the current estimate.
    constexpr double minObservedRatio = 0.2;
    constexpr double maxObservedRatio = 5;
    /// Prompts with fewer computed tokens give no sample of the prefill rate.
    constexpr std::uint32_t minLearningTokens = 256;
    /// Waits above this share of the time to first token make samples of the prefill rate too inaccurate.
    constexpr double maxLearningWaitShare = 0.25;
    /// Confidence in the assumption that an upstream picked by the prompt's hash holds the chain if the coverage is unknown.
    constexpr double hashedConfidence = 0.3;
    constexpr double minHeldConfidence = 0.5;
    constexpr double minPrefillSeconds = 0.001;

    double blend(double old, double observed, double weight)
    {
        const auto bounded = std::clamp(observed, old * minObservedRatio, old * maxObservedRatio);
        return old + weight * (bounded - old);
    }

    ChainHash promptKey(const PromptChain& chain)
    {
        return chain.blocks.empty() ? chain.scope : chain.blocks.back();
    }

    std::uint64_t pickHash(ChainHash key, std::uint64_t number)
    {
        const std::uint64_t values[] = { key.value, number };
        return stableHash({ reinterpret_cast<const char*>(values), sizeof(values) });
    }

    /// Estimates arrival times of importable blocks, in chain order.
    struct ImportWalk {
        const RouteRequest& request;
        const std::vector<LinkEstimate>& links;
        const RouterSettings& settings;
        std::vector<double> usedSeconds;

        ImportWalk(const RouteRequest& routeRequest, const std::vector<LinkEstimate>& estimates, const RouterSettings& routerSettings)
            : request(routeRequest)
            , links(estimates)
            , settings(routerSettings)
            , usedSeconds(estimates.size(), 0)
        {
        }

        /// @return Index of the first run from the same store; it stands for the store's link, which its runs share.
        std::size_t link(std::size_t run) const
        {
            const auto& runs = this->request.coverage.stores;
            auto same = [&](const StoreCoverage& other) { return other.store == runs[run].store; };
            return static_cast<std::size_t>(std::find_if(runs.begin(), runs.end(), same) - runs.begin());
        }

        double blockSeconds(std::size_t run) const
        {
            const auto seconds = static_cast<double>(this->request.blockBytes) / this->links[run].bytesPerSecond;
            return this->request.coverage.stores[run].tier == Tier::StoreDisk ? seconds * this->settings.diskFactor : seconds;
        }

        double arrival(std::size_t run) const
        {
            const auto backlog = this->links[run].backlogBytes / this->links[run].bytesPerSecond;
            return backlog + this->usedSeconds[this->link(run)] + this->blockSeconds(run);
        }

        /// @return The run that delivers @p block earliest, or nothing.
        std::optional<std::size_t> source(std::uint32_t block) const
        {
            std::optional<std::size_t> best;
            const auto& runs = this->request.coverage.stores;
            for (std::size_t i = 0; i < runs.size(); ++i) {
                const auto covers = runs[i].firstBlock <= block && block < runs[i].firstBlock + runs[i].blocks;
                if (!covers || this->links[i].bytesPerSecond <= 0)
                    continue;
                if (!best || this->arrival(i) < this->arrival(*best))
                    best = i;
            }
            return best;
        }
    };

    void addBlock(ImportPlan& plan, const StoreCoverage& run, std::uint32_t block, std::uint64_t bytes)
    {
        ++plan.blocks;
        plan.bytes += bytes;
        if (!plan.runs.empty() && plan.runs.back().store == run.store && plan.runs.back().tier == run.tier) {
            ++plan.runs.back().blocks;
            return;
        }
        plan.runs.push_back({ run.store, run.tier, block, 1 });
    }

} // namespace

Router::Router(const RouterSettings& initialSettings)
    : settings(initialSettings)
    , lastChoices(initialSettings.maxLastChoices)
{
}

void Router::setTargets(const ServiceName& service, std::vector<RouteTarget> targets)
{
    auto& entry = this->services[service];
    std::unordered_set<UpstreamId> listed;
    for (const auto& target : targets)
        listed.insert(target.id);
    for (const auto& id : entry.upstreams) {
        if (!listed.contains(id))
            this->upstreams.erase(id);
    }
    entry = Service {};
    for (auto& target : targets) {
        entry.ring.push_back({ stableHash(target.id.value), static_cast<std::uint32_t>(entry.upstreams.size()) });
        entry.upstreams.push_back(target.id);
        auto& upstream = this->upstreams[target.id];
        const auto hasNoEstimates = upstream.prefillRate == 0 || upstream.target.version != target.version;
        upstream.target = std::move(target);
        if (hasNoEstimates)
            this->resetEstimates(upstream);
    }
    std::sort(entry.ring.begin(), entry.ring.end(),
        [](const RingPoint& left, const RingPoint& right) { return left.hash < right.hash; });
}

void Router::setVersion(const UpstreamId& id, const VersionName& version)
{
    auto* upstream = this->findUpstream(id);
    if (!upstream || upstream->target.version == version)
        return;
    upstream->target.version = version;
    this->resetEstimates(*upstream);
}

void Router::resetEstimates(Upstream& upstream) const
{
    upstream.prefillRate = this->settings.initialPrefillRate;
    upstream.overhead = toSeconds(this->settings.initialOverhead);
    upstream.meanPrefill = this->settings.initialMeanTokens / this->settings.initialPrefillRate;
}

void Router::reportLoad(const UpstreamId& id, const LoadReport& report, TimePoint now)
{
    auto* upstream = this->findUpstream(id);
    if (!upstream)
        return;
    upstream->load = report;
    upstream->loadTime = now - report.age;
    upstream->unansweredAtLoad = upstream->unanswered;
    upstream->loadKnown = true;
}

bool Router::Candidates::enough(const Pick& pick, const RouterSettings& settings) const
{
    return this->kept.size() >= settings.maxCandidates || (pick.random && this->randomKept >= settings.randomPicks);
}

void Router::Candidates::add(const Pick& pick, const UpstreamCheck& admission)
{
    if (admission.refusal != Refusal::None) {
        this->refusals.push_back(admission.refusal);
        return;
    }
    this->kept.push_back({ pick.target, admission.penalty });
    this->randomKept += pick.random ? 1 : 0;
}

std::vector<UpstreamId> Router::hashedPicks(const RouteRequest& request) const
{
    std::vector<UpstreamId> picks;
    const auto service = this->services.find(request.service);
    if (service == this->services.end() || service->second.ring.empty())
        return picks;
    const auto& ring = service->second.ring;
    for (std::size_t i = 0; i < this->settings.hashedPicks; ++i) {
        const auto hash = pickHash(promptKey(request.chain), i);
        auto point = std::lower_bound(ring.begin(), ring.end(), hash,
            [](const RingPoint& left, std::uint64_t right) { return left.hash < right; });
        if (point == ring.end())
            point = ring.begin();
        picks.push_back(service->second.upstreams[point->index]);
    }
    return picks;
}

std::vector<Router::Pick> Router::draw(const RouteRequest& request, Random& random) const
{
    std::vector<Pick> picks;
    auto add = [&](const UpstreamId& id, bool atRandom) {
        const auto* upstream = this->findUpstream(id);
        auto same = [&](const Pick& pick) { return pick.target->id == id; };
        if (upstream && std::none_of(picks.begin(), picks.end(), same))
            picks.push_back({ &upstream->target, atRandom });
    };
    if (const auto* last = this->lastChoices.find(promptKey(request.chain)))
        add(last->upstream, false);
    for (const auto& engine : request.coverage.engines)
        add(engine.upstream, false);
    for (const auto& id : this->hashedPicks(request))
        add(id, false);
    const auto service = this->services.find(request.service);
    if (service == this->services.end() || service->second.upstreams.empty())
        return picks;
    const auto& all = service->second.upstreams;
    std::uniform_int_distribution<std::size_t> any(0, all.size() - 1);
    for (std::size_t i = 0; i < this->settings.maxDraws; ++i)
        add(all[any(random)], true);
    return picks;
}

double Router::queueSeconds(const Upstream& upstream, TimePoint now) const
{
    if (!upstream.loadKnown)
        return upstream.outstanding;
    const auto age = std::max(toSeconds(now - upstream.loadTime), 0.0);
    const auto weight = std::exp2(-age / toSeconds(this->settings.loadHalfLife));
    const auto otherWaiting = std::max(0.0, double(upstream.load.waiting) - double(upstream.unansweredAtLoad));
    auto others = otherWaiting * upstream.meanPrefill;
    if (upstream.load.peersPrefill)
        others = std::max(others, toSeconds(*upstream.load.peersPrefill));
    return upstream.outstanding + weight * others;
}

EngineCoverage Router::ownCoverage(const RouteRequest& request, const UpstreamId& id) const
{
    for (const auto& engine : request.coverage.engines) {
        if (engine.upstream == id)
            return engine;
    }
    const auto picks = request.coverageKnown ? std::vector<UpstreamId> {} : this->hashedPicks(request);
    const auto picked = std::find(picks.begin(), picks.end(), id) != picks.end();
    return { id, picked ? static_cast<std::uint32_t>(request.chain.blocks.size()) : 0, hashedConfidence };
}

Router::Evaluation Router::evaluate(const RouteRequest& request, const Candidate& candidate,
    const std::vector<LinkEstimate>& links, TimePoint now) const
{
    const auto& upstream = *this->findUpstream(candidate.target->id);
    const auto count = static_cast<std::uint32_t>(request.chain.blocks.size());
    const auto queue = this->queueSeconds(upstream, now);
    const auto penalty = toSeconds(candidate.penalty) + upstream.overhead;
    const auto own = this->ownCoverage(request, candidate.target->id);
    // Blocks that the upstream probably holds are not imported.
    const auto held = own.confidence >= minHeldConfidence ? std::min(own.blocks, count) : 0;
    auto recomputeTokens = request.chain.tokens - own.blocks * own.confidence * request.chain.blockTokens;

    Evaluation best;
    best.decision = { {}, candidate.target->id, candidate.target->domain, candidate.target->version, held, {}, 0,
        fromSeconds(queue), {}, {} };
    auto consider = [&](const ImportPlan& plan, double linkSeconds) {
        const auto recompute = std::max(recomputeTokens, 0.0) / upstream.prefillRate;
        const auto firstToken = std::max(queue, toSeconds(plan.duration)) + recompute + penalty;
        const auto cost = firstToken + this->settings.recomputeWeight * recompute + this->settings.linkWeight * linkSeconds;
        if (best.cost > 0 && cost >= best.cost)
            return;
        best.cost = cost;
        best.decision.import = plan;
        best.decision.recomputeTokens = static_cast<std::uint32_t>(std::max(recomputeTokens, 0.0));
        best.decision.expectedFirstToken = fromSeconds(firstToken);
    };
    ImportPlan plan;
    consider(plan, 0);
    ImportWalk walk(request, links, this->settings);
    auto linkSeconds = 0.0;
    for (auto block = held; block < count; ++block) {
        const auto source = walk.source(block);
        if (!source)
            break;
        const auto& run = request.coverage.stores[*source];
        addBlock(plan, run, block, request.blockBytes);
        const auto arrival = fromSeconds(walk.arrival(*source)) + this->settings.importSetup;
        plan.duration = std::max(plan.duration, arrival);
        walk.usedSeconds[walk.link(*source)] += walk.blockSeconds(*source);
        linkSeconds += walk.blockSeconds(*source);
        recomputeTokens -= run.confidence * request.chain.blockTokens;
        consider(plan, linkSeconds);
    }
    auto& import = best.decision.import;
    const auto saved = import.blocks * request.chain.blockTokens / upstream.prefillRate;
    import.usefulFor = fromSeconds(std::max(queue, toSeconds(import.duration)) + (1 + this->settings.recomputeWeight) * saved);
    return best;
}

tl::expected<RouteDecision, RouteError> Router::decide(const RouteRequest& request, const Candidates& candidates,
    const std::vector<LinkEstimate>& links, TimePoint now, Random& random)
{
    if (candidates.kept.empty()) {
        RouteError error { Refusal::None, candidates.refusals.size() };
        std::ptrdiff_t most = 0;
        for (const auto refusal : candidates.refusals) {
            const auto times = std::count(candidates.refusals.begin(), candidates.refusals.end(), refusal);
            if (times > most)
                error.refusal = refusal;
            most = std::max(most, times);
        }
        return tl::unexpected(error);
    }
    const auto* last = this->lastChoices.find(promptKey(request.chain));
    std::vector<Evaluation> weighed;
    for (const auto& candidate : candidates.kept) {
        weighed.push_back(this->evaluate(request, candidate, links, now));
        auto& cost = weighed.back().cost;
        cost *= 1 + this->settings.noise * uniform(random);
        if (last && last->upstream == candidate.target->id)
            cost *= 1 - this->settings.hysteresis;
    }
    std::stable_sort(weighed.begin(), weighed.end(), [](const Evaluation& left, const Evaluation& right) { return left.cost < right.cost; });

    auto decision = std::move(weighed.front().decision);
    for (const auto otherDomain : { true, false }) {
        for (std::size_t i = 1; i < weighed.size() && decision.runnerUps.size() < this->settings.runnerUps; ++i) {
            if ((weighed[i].decision.domain != decision.domain) == otherDomain)
                decision.runnerUps.push_back(weighed[i].decision.upstream);
        }
    }
    this->remember(request, decision, now);
    return decision;
}

void Router::remember(const RouteRequest& request, RouteDecision& decision, TimePoint now)
{
    this->lastChoices.at(promptKey(request.chain)) = { decision.upstream, now };
    auto& upstream = *this->findUpstream(decision.upstream);
    const auto prefill = decision.recomputeTokens / upstream.prefillRate;
    upstream.outstanding += prefill;
    ++upstream.unanswered;

    if (this->outstanding.size() >= this->settings.maxOutstanding)
        this->finish(this->outstanding.begin()->first);
    decision.ticket = RouteTicket { this->nextTicket++ };
    this->outstanding[decision.ticket] = { decision.upstream, prefill, toSeconds(decision.expectedQueue),
        toSeconds(decision.import.duration), request.chain.tokens, decision.recomputeTokens, false };
}

void Router::release(Outstanding& entry)
{
    if (entry.answered)
        return;
    entry.answered = true;
    if (auto* upstream = this->findUpstream(entry.upstream)) {
        upstream->outstanding = std::max(0.0, upstream->outstanding - entry.prefill);
        upstream->unanswered -= upstream->unanswered > 0 ? 1 : 0;
    }
}

void Router::learn(Upstream& upstream, const Outstanding& entry, const FirstTokenObservation& seen) const
{
    const auto tokens = seen.cachedTokens ? entry.tokens - std::min(*seen.cachedTokens, entry.tokens) : entry.recomputeTokens;
    const auto weight = this->settings.learningWeight;
    const auto wait = std::max(entry.queue, entry.import);
    const auto total = toSeconds(seen.duration);
    upstream.meanPrefill = blend(upstream.meanPrefill, std::max(tokens / upstream.prefillRate, minPrefillSeconds), weight);
    if (wait > maxLearningWaitShare * total)
        return;
    if (tokens < minLearningTokens) {
        const auto overhead = std::max(total - wait - tokens / upstream.prefillRate, minPrefillSeconds);
        upstream.overhead = blend(upstream.overhead, overhead, weight);
        return;
    }
    const auto prefill = std::max(total - wait - upstream.overhead, minPrefillSeconds);
    upstream.prefillRate = blend(upstream.prefillRate, tokens / prefill, weight);
}

void Router::onFirstToken(RouteTicket ticket, const FirstTokenObservation& seen)
{
    const auto found = this->outstanding.find(ticket);
    if (found == this->outstanding.end() || found->second.answered)
        return;
    if (auto* upstream = this->findUpstream(found->second.upstream))
        this->learn(*upstream, found->second, seen);
    this->release(found->second);
}

void Router::finish(RouteTicket ticket)
{
    const auto found = this->outstanding.find(ticket);
    if (found == this->outstanding.end())
        return;
    this->release(found->second);
    this->outstanding.erase(found);
}

Duration Router::outstandingPrefill(const UpstreamId& id) const
{
    const auto* upstream = this->findUpstream(id);
    return upstream ? fromSeconds(upstream->outstanding) : Duration(0);
}

double Router::prefillRate(const UpstreamId& id) const
{
    const auto* upstream = this->findUpstream(id);
    return upstream ? upstream->prefillRate : this->settings.initialPrefillRate;
}

std::size_t Router::memoryBytes() const
{
    constexpr std::size_t nodeBytes = 48;
    const auto upstreamBytes = sizeof(Upstream) + 2 * sizeof(UpstreamId) + sizeof(RingPoint) + nodeBytes;
    const auto choiceBytes = sizeof(LastChoice) + sizeof(ChainHash) + nodeBytes;
    const auto outstandingBytes = sizeof(Outstanding) + nodeBytes;
    return this->upstreams.size() * upstreamBytes + this->lastChoices.size() * choiceBytes
        + this->outstanding.size() * outstandingBytes;
}

Router::Upstream* Router::findUpstream(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

const Router::Upstream* Router::findUpstream(const UpstreamId& id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

} // namespace goldcrestwood
