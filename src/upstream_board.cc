#include "goldcrestwood/upstream_board.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "goldcrestwood/hash.h"
#include "upstream_cost.h"

namespace goldcrestwood {

namespace {

    /// Milliseconds that each running request adds to the time to first token.
    constexpr double runningRequestMs = 0.6;
    /// Cost of a failure response or a broken attempt, as a multiple of the cost without failures.
    constexpr double failureFactor = 8;
    /// Cost factor for upstreams that serve replaced weights instead of the newest.
    constexpr double staleWeightsFactor = 1.25;
    /// Assumed latency of a plain upstream that has not answered yet, milliseconds.
    constexpr double unknownLatencyMs = 20;
    /// Minimum penalty for engines other than the prompt's affinity target, milliseconds.
    constexpr double minNonPreferredPenaltyMs = 12;
    /// Candidates in a large pool: the top of the rendezvous ranking, plus random samples.
    constexpr std::size_t rankedCandidates = 8;
    constexpr std::size_t sampledCandidates = 16;
    /// Random samples outside the own failure domain, if its upstreams come first.
    constexpr std::size_t sampledElsewhere = 8;
    /// Approximate time until a full upstream frees a slot.
    constexpr Duration refusalPause = std::chrono::milliseconds(50);
    /// Loading new weights takes an upstream a few hundred milliseconds (210 to 760 as specified).
    constexpr Duration weightsRefusalPause = std::chrono::milliseconds(400);
    /// How long an ended incarnation is avoided; its registry entry has expired by then.
    constexpr Duration endedIncarnationAvoidance = std::chrono::seconds(10);
    /// Retention of notices from upstreams without a registry entry. No upstream runs for minutes after it starts draining.
    constexpr Duration noticeRetention = std::chrono::minutes(10);
    /// Gaps up to the first share of the route's gap objective cost nothing; from the second on a stream is most likely late.
    constexpr double acceptableGapShare = 0.85;
    constexpr double lateGapShare = 1.05;
    /// Half-life of a gap estimate's weight, so that an avoided engine is tried again.
    constexpr Duration gapHalfLife = std::chrono::seconds(4);
    /// Larger than for other averages, as there are fewer streams than responses.
    constexpr double gapSampleWeight = 0.25;
    /// Prefills of fewer tokens are dominated by fixed costs and give no rate sample.
    constexpr std::uint64_t minSampleTokens = 400;

    /// Probability that the affinity target holds, or is prefilling, parts that no engine is known to hold.
    constexpr double preferredHoldsChance = 0.5;

    /// Key of the shared prompt prefix: its last part but one, as the last part is private to the request.
    std::string affinityKey(const PlacementRequest& request)
    {
        if (request.parts.empty())
            return {};
        const auto& part = request.parts.size() > 1 ? request.parts[request.parts.size() - 2] : request.parts.front();
        return request.sharingGroup + '/' + part.id;
    }

} // namespace

UpstreamBoard::UpstreamBoard(InstanceId instance, SiteBounds siteBounds, const PartDirectory& directory, BoardSettings boardSettings)
    : self(std::move(instance))
    , bounds(siteBounds)
    , parts(directory)
    , settings(boardSettings)
    , tokensPerMillisecond(boardSettings.prefillTokensPerMillisecond)
{
}

void UpstreamBoard::setServices(const RouteTable& table)
{
    this->services.clear();
    for (const auto& service : table.configuration().services)
        this->services.emplace(service.name, service);
    for (auto& [id, upstream] : this->upstreams)
        if (const auto* service = this->serviceOf(upstream.entry.service); service != nullptr && service->engine)
            upstream.cache.setCapacity(service->engine->cacheTokens);
}

void UpstreamBoard::setUpstream(const RegistryEntry& entry, TimePoint now)
{
    // The address's previous owner has ended, though its entry may take seconds to expire.
    if (const auto before = this->byAddress.find(entry.address); before != this->byAddress.end() && before->second != entry.id)
        if (const auto old = this->upstreams.find(before->second); old != this->upstreams.end() && old->second.entry.born <= entry.born)
            this->removeUpstream(UpstreamId(before->second));
    this->byAddress[entry.address] = entry.id;
    std::erase_if(this->retainedNotices, [&](const auto& kept) {
        const auto& [id, notice] = kept;
        const auto limitEnd = notice.limit.perSecond() ? notice.limit.sighting().read + noticeRetention : TimePoint();
        return now >= std::max({ notice.backoffUntil, notice.leavingSince.value_or(TimePoint()) + noticeRetention, limitEnd });
    });
    const auto [position, isNew] = this->upstreams.try_emplace(entry.id);
    auto& upstream = position->second;
    if (const auto kept = this->retainedNotices.extract(entry.id); isNew && kept && kept.mapped().born == entry.born) {
        upstream.leavingSince = kept.mapped().leavingSince;
        upstream.backoffUntil = kept.mapped().backoffUntil;
        upstream.limit = kept.mapped().limit;
    }
    const bool restarted = !isNew && (upstream.entry.born != entry.born || upstream.entry.address != entry.address);
    if (!isNew && upstream.entry.service != entry.service)
        this->byService[upstream.entry.service].erase(entry.id);
    if (restarted) {
        // Keep the counters of requests in flight: finish() still decrements them.
        auto load = std::move(upstream.own);
        auto sharedParts = std::move(upstream.ownParts);
        upstream = {};
        upstream.own = std::move(load);
        upstream.ownParts = std::move(sharedParts);
    }
    upstream.entry = entry;
    upstream.coldUntil = now + entry.coldRemaining;
    this->byService[entry.service].insert(entry.id);
    if (const auto* service = this->serviceOf(entry.service); service != nullptr && service->engine)
        upstream.cache.setCapacity(service->engine->cacheTokens);
}

void UpstreamBoard::removeUpstream(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        return;
    const auto& upstream = found->second;
    if (upstream.leavingSince || upstream.backoffUntil > TimePoint() || upstream.limit.perSecond())
        this->retainedNotices[id] = { upstream.entry.born, upstream.leavingSince, upstream.backoffUntil, upstream.limit };
    this->byService[upstream.entry.service].erase(id);
    if (const auto address = this->byAddress.find(upstream.entry.address); address != this->byAddress.end() && address->second == id)
        this->byAddress.erase(address);
    this->upstreams.erase(found);
}

void UpstreamBoard::setWeights(const UpstreamId& id, const std::string& model, std::uint64_t version)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || found->second.entry.weights[model] >= version)
        return;
    found->second.entry.weights[model] = version;
    found->second.cache.clear();
}

bool UpstreamBoard::Load::uses(std::uint32_t part) const
{
    if (this->ownParts != nullptr && this->ownParts->contains(part))
        return true;
    const auto found = std::lower_bound(this->peerParts.begin(), this->peerParts.end(), part, [](const auto& use, std::uint32_t key) { return use.key < key; });
    return found != this->peerParts.end() && found->key == part;
}

std::uint64_t UpstreamBoard::Load::memory() const
{
    const auto own = this->tokens + (this->ownParts != nullptr ? this->ownParts->tokens() : 0);
    return own + sumOfTokens(this->peerParts);
}

std::uint64_t UpstreamBoard::Load::backlogAhead(std::size_t engineClass) const
{
    return std::accumulate(this->backlog.begin(), this->backlog.begin() + static_cast<std::ptrdiff_t>(engineClass) + 1, std::uint64_t { 0 });
}

void UpstreamBoard::setDaemons(std::vector<DaemonCapacity> all)
{
    this->daemons = std::move(all);
    this->removeUnknownPeers();
}

double UpstreamBoard::prefillCost(const Upstream& upstream, const Load& load, const PlacementRequest& request, std::uint64_t missing, TimePoint now) const
{
    const auto read = static_cast<double>(load.backlogAhead(classOf(request)) + missing) / this->tokensPerMillisecond;
    return (read + load.requests * runningRequestMs) * slownessAt(upstream, now);
}

double UpstreamBoard::gapCost(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const
{
    const auto& gaps = upstream.gaps[classOf(request)];
    if (request.gapObjective <= Duration(0) || gaps.ms <= 0)
        return 0;
    const auto share = gaps.ms * upstream.pace.factor(now) / toMs(request.gapObjective);
    const auto risk = std::clamp((share - acceptableGapShare) / (lateGapShare - acceptableGapShare), 0.0, 1.0);
    // Missing the gap objective is as bad as missing the first-token objective.
    return risk * std::exp2(-toSeconds(now - gaps.at) / toSeconds(gapHalfLife)) * toMs(request.objective);
}

void UpstreamBoard::onStreamEnd(const PlacementChoice& choice, const PlacementRequest& request, Duration longestGap, TimePoint now)
{
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end() || request.promptTokens == 0)
        return;
    auto& gaps = found->second.gaps[classOf(request)];
    // The estimate is for the normal pace; gapCost applies the current one.
    const auto gapMs = toMs(longestGap) / std::max(1.0, paceDuring(found->second, choice, now));
    gaps.ms = gaps.ms == 0 ? gapMs : gaps.ms * (1 - gapSampleWeight) + gapMs * gapSampleWeight;
    gaps.at = now;
}

const TrafficService* UpstreamBoard::serviceOf(const ServiceName& name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

std::vector<const UpstreamBoard::Upstream*> UpstreamBoard::candidatesFor(const PlacementRequest& request,
    const std::set<UpstreamId>& excluded, TimePoint now, bool leaving, const DomainScope& scope, const Upstream*& preferred)
{
    std::vector<const Upstream*> usable;
    std::vector<InstanceId> names;
    bool anyHealthy = false;
    for (const auto& id : this->byService[request.service]) {
        const auto& upstream = this->upstreams.at(id);
        if (upstream.leavingSince.has_value() != leaving || excluded.contains(id) || this->eligibilityObstacle(upstream, request, now) != Obstacle::None)
            continue;
        anyHealthy = anyHealthy || upstream.avoidUntil <= now;
        usable.push_back(&upstream);
    }
    // Use recently failed upstreams only if there is no healthy one.
    if (anyHealthy)
        std::erase_if(usable, [&](const auto* upstream) { return upstream->avoidUntil > now; });
    // The prompts of each domain have their own affinity targets.
    if (scope.prefersLocal())
        std::stable_partition(usable.begin(), usable.end(), [&](const auto* upstream) { return this->isLocal(*upstream); });
    names.reserve(usable.size());
    for (const auto* upstream : usable)
        if (!scope.prefersLocal() || this->isLocal(*upstream))
            names.emplace_back(upstream->entry.id.value);
    preferred = nullptr;
    const auto key = affinityKey(request);
    std::vector<std::size_t> ranking;
    if (!key.empty() && !names.empty()) {
        ranking = rendezvousRank(stableHash(key), names, rankedCandidates);
        preferred = usable[ranking.front()];
    }
    if (usable.size() <= rankedCandidates + sampledCandidates)
        return usable;
    // In a large pool consider only the top of the affinity ranking and a random sample.
    std::vector<const Upstream*> candidates;
    candidates.reserve(ranking.size() + sampledCandidates);
    for (const auto index : ranking)
        candidates.push_back(usable[index]);
    const auto sample = [&](std::size_t begin, std::size_t end, std::size_t count) {
        for (std::size_t draw = 0; begin < end && draw < count; ++draw)
            candidates.push_back(usable[std::uniform_int_distribution<std::size_t>(begin, end - 1)(this->random)]);
    };
    // Where local upstreams come first, they are most of the candidates.
    const auto elsewhere = scope.prefersLocal() && names.size() < usable.size() ? sampledElsewhere : 0;
    sample(0, names.size(), sampledCandidates - elsewhere);
    sample(names.size(), usable.size(), elsewhere);
    return candidates;
}

std::optional<PlacementChoice> UpstreamBoard::choose(const PlacementRequest& request,
    const std::set<UpstreamId>& excluded, TimePoint now, PlacementRefusal& refusal)
{
    refusal = PlacementRefusal::NoUpstream;
    const auto scope = this->domainScope(request, excluded, now);
    // Draining upstreams are used only if no other one takes the request.
    for (const bool leaving : { false, true }) {
        const Upstream* preferred = nullptr;
        const auto candidates = this->candidatesFor(request, excluded, now, leaving, scope, preferred);
        if (auto choice = this->chooseAmong(candidates, preferred, request, excluded, scope, now, refusal))
            return choice;
    }
    return std::nullopt;
}

std::optional<PlacementChoice> UpstreamBoard::chooseAmong(const std::vector<const Upstream*>& candidates, const Upstream* preferred,
    const PlacementRequest& request, const std::set<UpstreamId>& excluded, const DomainScope& scope, TimePoint now, PlacementRefusal& refusal)
{
    const auto* service = this->serviceOf(request.service);
    const auto* engine = service != nullptr && service->engine ? &*service->engine : nullptr;
    std::vector<PartHolders> holders;
    Placed local;
    Placed elsewhere;
    for (const auto* candidate : candidates) {
        const auto& upstream = *candidate;
        const auto load = this->totalLoad(upstream, now);
        if (this->capacityObstacle(upstream, load, request, engine, now) != Obstacle::None) {
            refusal = PlacementRefusal::Full;
            continue;
        }
        double cost = 0;
        double readMs = 0;
        Coverage coverage;
        if (engine != nullptr) {
            const auto& known = holdersInScope(holders, scopeOf(upstream.entry, request), request, candidates);
            coverage = this->coverageAt(upstream, request, known, *engine, now);
            readMs = this->prefillCost(upstream, load, request, coverage.missing, now);
            cost = readMs + coverage.transferMs + this->gapCost(upstream, request, now);
            // Other daemons send prompts with the same parts to the preferred engine too, so it most likely holds them.
            if (preferred != candidate) {
                const auto own = request.parts.empty() ? 0 : request.parts.back().tokens;
                const auto shared = coverage.missing - std::min<std::uint64_t>(coverage.missing, own);
                cost += std::max(minNonPreferredPenaltyMs, preferredHoldsChance * static_cast<double>(shared) / this->tokensPerMillisecond);
            }
        } else {
            cost = latencyCost(upstream, load, now);
        }
        cost *= 1 + failureFactor * this->failureShareOf(upstream, now);
        if (weightsOf(upstream.entry, request.model) < request.preferredWeightVersion)
            cost *= staleWeightsFactor;
        const bool isElsewhere = scope.isActive && !this->isLocal(upstream);
        const auto crossing = isElsewhere ? this->crossingMs(upstream, request, now) : 0;
        if (auto& best = isElsewhere ? elsewhere : local; cost + crossing < best.cost + best.crossingMs)
            best = { &upstream, cost, crossing, readMs, std::move(coverage) };
    }
    const auto reason = scope.isActive ? this->decideLeave(local, elsewhere, scope, request, excluded, now) : LeaveReason::None;
    auto& best = reason == LeaveReason::None ? local : elsewhere;
    if (best.upstream == nullptr)
        return std::nullopt;
    const auto& entry = best.upstream->entry;
    PlacementChoice choice;
    choice.upstream = entry.id;
    choice.address = entry.address;
    choice.born = entry.born;
    choice.softwareVersion = entry.softwareVersion;
    choice.isCold = now < best.upstream->coldUntil;
    choice.pace = best.upstream->pace.isKnown() ? std::optional(best.upstream->pace.factor(now)) : std::nullopt;
    choice.leaves = reason;
    choice.chosen = now;
    choice.missingTokens = best.coverage.missing;
    choice.prefillTime = fromSeconds(best.readMs / 1000);
    choice.expectedWait = fromSeconds((best.cost + best.crossingMs) / 1000);
    if (engine != nullptr)
        this->planCache(*best.upstream, request, std::move(best.coverage), choice, now);
    return choice;
}

double UpstreamBoard::latencyCost(const Upstream& upstream, const Load& load, TimePoint now)
{
    const auto latency = upstream.latencyMs > 0 ? upstream.latencyMs : unknownLatencyMs;
    return latency * (1 + static_cast<double>(load.requests) / std::max(1U, upstream.entry.slots)) * upstream.pace.factor(now);
}

void UpstreamBoard::begin(const PlacementChoice& choice, const PlacementRequest& request, TimePoint now)
{
    ++this->inFlight;
    if (choice.leaves == LeaveReason::Shortage)
        this->overflows[request.service].share.onSent();
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end())
        return;
    auto& upstream = found->second;
    ++upstream.own.requests;
    upstream.own.tokens += privateTokens(request);
    forEachShared(request, choice.scope, [&](std::uint32_t key, std::uint32_t tokens) { upstream.ownParts.add({ key, tokens }); });
    upstream.own.backlog[classOf(request)] += choice.missingTokens;
    upstream.limit.onSent(this->turnShare(upstream), now);
    if (now < upstream.coldUntil) {
        while (!upstream.coldSends.empty() && now - upstream.coldSends.front() > std::chrono::milliseconds(1100))
            upstream.coldSends.pop_front();
        upstream.coldSends.push_back(now);
    }
    for (const auto& address : choice.transferSources)
        if (choice.transferTime > Duration(0))
            this->transferSources[address].pending.push_back({ choice.chosen, toMs(choice.transferTime) });
    upstream.cache.setMaxParts(std::max<std::size_t>(1, this->settings.maxCachedParts / this->upstreams.size()));
    upstream.cache.use(choice.scope, request.parts);
}

void UpstreamBoard::onFirstByte(const PlacementChoice& choice, const PlacementRequest& request, Duration delay, TimePoint now)
{
    this->removePendingTransfers(choice);
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end())
        return;
    auto& upstream = found->second;
    auto& backlog = upstream.own.backlog[classOf(request)];
    backlog -= std::min(backlog, choice.missingTokens);
    const auto weight = this->settings.sampleWeight;
    // What the reported pace explains must not be learned a second time as slowness.
    const auto pace = paceDuring(upstream, choice, now);
    if (request.promptTokens == 0) {
        const auto latencyMs = toMs(delay) / pace;
        upstream.latencyMs = upstream.latencyMs == 0 ? latencyMs : upstream.latencyMs * (1 - weight) + latencyMs * weight;
        return;
    }
    if (choice.transferredTokens >= minSampleTokens) {
        this->recordTransfer(choice, toMs(delay - choice.prefillTime), now);
        return;
    }
    if (choice.missingTokens < minSampleTokens)
        return;
    const auto expected = std::max(1.0, toMs(choice.prefillTime) / choice.pace.value_or(1) * pace / upstream.slowness);
    const auto ratio = std::clamp(toMs(delay) / expected, minSlowness, maxSlowness);
    upstream.slowness = std::clamp(upstream.slowness * (1 - weight) + ratio * weight, minSlowness, maxSlowness);
}

void UpstreamBoard::recordOutcomes(Upstream& upstream, std::uint32_t answers, std::uint32_t failures) const
{
    const auto all = answers + failures;
    if (all == 0)
        return;
    const auto kept = std::pow(1 - this->settings.sampleWeight, all);
    upstream.failureShare = upstream.failureShare * kept + static_cast<double>(failures) / all * (1 - kept);
}

void UpstreamBoard::finish(const PlacementChoice& choice, const PlacementRequest& request, bool hadFirstByte, AttemptResult result, TimePoint now)
{
    this->inFlight -= std::min(this->inFlight, 1U);
    this->removePendingTransfers(choice);
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end())
        return;
    auto& upstream = found->second;
    upstream.own.requests -= std::min(upstream.own.requests, 1U);
    upstream.own.tokens -= std::min(upstream.own.tokens, privateTokens(request));
    forEachShared(request, choice.scope, [&](std::uint32_t key, std::uint32_t /*tokens*/) { upstream.ownParts.remove(key); });
    auto& backlog = upstream.own.backlog[classOf(request)];
    if (!hadFirstByte)
        backlog -= std::min(backlog, choice.missingTokens);
    switch (result) {
    case AttemptResult::Answered:
        upstream.failures = 0;
        this->recordOutcomes(upstream, 1, 0);
        ++upstream.unreportedOutcomes.answers;
        break;
    case AttemptResult::FailureAnswer:
        upstream.failures = 0;
        this->recordOutcomes(upstream, 0, 1);
        ++upstream.unreportedOutcomes.failures;
        break;
    case AttemptResult::Misdirected:
        // The incarnation has ended, and its entry expires soon.
        upstream.avoidUntil = now + endedIncarnationAvoidance;
        break;
    case AttemptResult::Refused:
        // An upstream that is loading new weights refuses until it has them; the refusal is the first sign of it.
        upstream.avoidUntil = now + (choice.weightVersion < request.preferredWeightVersion ? weightsRefusalPause : refusalPause);
        break;
    case AttemptResult::Unreachable: {
        const auto pause = this->settings.initialAvoidance * (1U << std::min(upstream.failures, 6U));
        upstream.avoidUntil = now + std::min<Duration>(pause, this->settings.maxAvoidance);
        ++upstream.failures;
        break;
    }
    case AttemptResult::Cancelled:
        break;
    }
}

std::vector<RegistryEntry> UpstreamBoard::readyUpstreams(const ServiceName& service) const
{
    std::vector<RegistryEntry> result;
    if (const auto ids = this->byService.find(service); ids != this->byService.end())
        for (const auto& id : ids->second)
            if (const auto& entry = this->upstreams.at(id).entry; !entry.isDraining)
                result.push_back(entry);
    return result;
}

std::size_t UpstreamBoard::readyCount(const ServiceName& service, const std::string& softwareVersion, bool matching) const
{
    const auto ids = this->byService.find(service);
    if (ids == this->byService.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(ids->second.begin(), ids->second.end(), [&](const auto& id) {
        const auto& entry = this->upstreams.at(id).entry;
        return !entry.isDraining && (entry.softwareVersion == softwareVersion) == matching;
    }));
}

const RegistryEntry* UpstreamBoard::find(const UpstreamId& id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second.entry;
}

void UpstreamBoard::forEach(const std::function<void(const RegistryEntry&)>& visit) const
{
    for (const auto& [id, upstream] : this->upstreams)
        visit(upstream.entry);
}

std::vector<std::pair<UpstreamId, std::string>> UpstreamBoard::engines() const
{
    std::vector<std::pair<UpstreamId, std::string>> result;
    for (const auto& [id, upstream] : this->upstreams)
        if (const auto* service = this->serviceOf(upstream.entry.service); service != nullptr && service->engine)
            result.emplace_back(id, upstream.entry.address);
    return result;
}

PartCache* UpstreamBoard::cacheOf(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second.cache;
}

} // namespace goldcrestwood
