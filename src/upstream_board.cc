#include "goldcrestwood/upstream_board.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    /// Milliseconds that each running request adds to the wait for a first token.
    constexpr double runningRequestMs = 0.6;
    /// Cost of a failure answer or a broken attempt, as a factor on a plain service's latency.
    constexpr double failureFactor = 8;
    /// Cost of an answer on weights that were replaced, against one on the newest.
    constexpr double oldWeightsFactor = 1.25;
    /// Latency assumed of a plain upstream that has not answered yet, milliseconds.
    constexpr double unknownLatencyMs = 20;
    /// How much sooner another engine must answer than the one that the prompt's parts prefer, milliseconds.
    constexpr double notPreferredMs = 12;
    /// Daemons that may come up unseen and send to the same cold upstream.
    constexpr std::size_t unseenDaemons = 2;
    /// Bounds of the learned slowness of an upstream.
    constexpr double leastSlowness = 0.5;
    constexpr double mostSlowness = 20;
    /// Only reads of this many tokens tell the rate from fixed costs.
    constexpr std::uint64_t sampleTokens = 400;

    double toMs(Duration duration)
    {
        return toSeconds(duration) * 1000;
    }

    /// The parts that decide where a prompt goes: all but the last, which belongs to the request alone.
    std::string affinityKey(const PlacementRequest& request)
    {
        if (request.parts.empty())
            return {};
        const auto& part = request.parts.size() > 1 ? request.parts[request.parts.size() - 2] : request.parts.front();
        return request.sharing + '/' + part.id;
    }

    std::uint64_t weightsOf(const RegistryEntry& entry, const std::string& model)
    {
        const auto weights = entry.weights.find(model);
        return weights == entry.weights.end() ? 0 : weights->second;
    }

    /// Blocks made under other weights or for others can't be found: their scope differs.
    std::string scopeOf(std::uint64_t weights, const std::string& sharing)
    {
        return "w" + std::to_string(weights) + "." + sharing;
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
    const auto [position, isNew] = this->upstreams.try_emplace(entry.id);
    auto& upstream = position->second;
    const bool restarted = !isNew && (upstream.entry.born != entry.born || upstream.entry.address != entry.address);
    if (!isNew && upstream.entry.service != entry.service)
        this->byService[upstream.entry.service].erase(entry.id);
    if (restarted) {
        const auto load = upstream.own;
        upstream = {};
        upstream.own = load; // Requests in flight still have to balance.
    }
    upstream.entry = entry;
    upstream.coldUntil = now + entry.coldLeft;
    this->byService[entry.service].insert(entry.id);
    if (const auto* service = this->serviceOf(entry.service); service != nullptr && service->engine)
        upstream.cache.setCapacity(service->engine->cacheTokens);
}

void UpstreamBoard::removeUpstream(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        return;
    this->byService[found->second.entry.service].erase(id);
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

void UpstreamBoard::onPeerUse(const InstanceId& peer, const std::vector<UpstreamUse>& uses, TimePoint now)
{
    for (auto& [id, upstream] : this->upstreams)
        upstream.peers.erase(peer);
    for (const auto& use : uses)
        if (const auto found = this->upstreams.find(use.upstream); found != this->upstreams.end())
            found->second.peers[peer] = { use, now };
}

UpstreamBoard::Load UpstreamBoard::totalLoad(const Upstream& upstream, TimePoint now) const
{
    auto load = upstream.own;
    for (const auto& [peer, report] : upstream.peers) {
        if (now - report.at > this->settings.peerReportLifetime)
            continue;
        load.requests += report.use.requests;
        load.tokens += report.use.tokens;
        load.backlog += report.use.backlog;
    }
    return load;
}

bool UpstreamBoard::takesCold(const Upstream& upstream, TimePoint now) const
{
    const auto* service = this->serviceOf(upstream.entry.service);
    if (now >= upstream.coldUntil || service == nullptr || service->coldPerSecond <= 0)
        return true;
    // Each daemon keeps to its own share, so that the sum over all stays within the bound without a message.
    const auto bound = service->coldPerSecond * this->bounds.coldOver + this->bounds.coldSlack;
    const auto share = static_cast<std::size_t>(bound) / (this->daemons + unseenDaemons);
    const auto recent = std::count_if(upstream.coldSends.begin(), upstream.coldSends.end(),
        [&](TimePoint sent) { return now - sent < std::chrono::milliseconds(1100); });
    return static_cast<std::size_t>(recent) < share;
}

bool UpstreamBoard::isUsable(const Upstream& upstream, const PlacementRequest& request, TimePoint now) const
{
    const auto& entry = upstream.entry;
    if (entry.isDraining || this->evacuated.contains(entry.domain) || this->ordered.contains(entry.id))
        return false;
    if (request.leastWeights > 0) {
        const auto weights = entry.weights.find(request.model);
        if (weights == entry.weights.end() || weights->second < request.leastWeights)
            return false;
    }
    return this->takesCold(upstream, now);
}

UpstreamBoard::Coverage UpstreamBoard::cover(
    const Upstream& upstream, const PlacementRequest& request, const EngineLimits& engine, TimePoint now) const
{
    const auto scope = scopeOf(weightsOf(upstream.entry, request.model), request.sharing);
    const auto held = upstream.cache.heldTokens(scope, request.parts);
    Coverage coverage;
    std::uint64_t end = 0;
    std::uint64_t covered = held;
    for (const auto& part : request.parts) {
        end += part.tokens;
        if (end <= held)
            continue;
        // A part counts only if all parts before it are there.
        if (!this->parts.find(scope, part, upstream.entry.domain, now))
            break;
        coverage.moved += part.tokens;
        covered = end;
    }
    coverage.missing = request.promptTokens - std::min(covered, request.promptTokens);
    if (engine.linkMegabits > 0)
        coverage.moveMs = static_cast<double>(coverage.moved * engine.bytesPerToken) * 8 / (engine.linkMegabits * 1000);
    return coverage;
}

double UpstreamBoard::promptCost(const Upstream& upstream, const Load& load, const Coverage& coverage) const
{
    const auto read = static_cast<double>(load.backlog + coverage.missing) / this->tokensPerMillisecond;
    return (read + coverage.moveMs + load.requests * runningRequestMs) * upstream.slowness;
}

bool UpstreamBoard::isFull(const Upstream& upstream, const Load& load, const PlacementRequest& request, const EngineLimits* engine) const
{
    if (engine == nullptr)
        return load.requests >= 2 * std::max(1U, upstream.entry.slots);
    if (load.requests >= upstream.entry.slots)
        return true;
    const auto memory = static_cast<double>(engine->cacheTokens) * this->settings.memoryShare;
    const auto wanted = static_cast<double>(load.tokens + request.promptTokens + request.outputTokens);
    if (load.requests > 0 && wanted > memory)
        return true;
    return load.backlog > 0 && static_cast<double>(load.backlog) / this->tokensPerMillisecond > toMs(this->settings.longestBacklog);
}

void UpstreamBoard::planCache(const Upstream& upstream, const PlacementRequest& request, PlacementChoice& choice, TimePoint now) const
{
    choice.weights = weightsOf(upstream.entry, request.model);
    choice.scope = scopeOf(choice.weights, request.sharing);
    if (choice.weights == 0 || request.parts.size() < 2)
        return;
    // The last part belongs to this request alone and does not return.
    const auto shared = request.parts.size() - 1;
    std::vector<std::string> fetch(request.parts.size());
    std::vector<std::string> save(request.parts.size());
    bool fetches = false;
    bool saves = false;
    for (std::size_t index = 0; index < shared; ++index) {
        const auto& part = request.parts[index];
        if (auto source = this->parts.find(choice.scope, part, upstream.entry.domain, now)) {
            fetch[index] = std::move(*source);
            fetches = true;
        } else if (auto place = this->parts.placeFor(choice.scope, part, now)) {
            save[index] = std::move(*place);
            saves = true;
        }
    }
    if (fetches)
        choice.fetchFrom = std::move(fetch);
    if (saves)
        choice.saveTo = std::move(save);
}

const TrafficService* UpstreamBoard::serviceOf(const ServiceName& name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

std::optional<PlacementChoice> UpstreamBoard::choose(const PlacementRequest& request,
    const std::set<UpstreamId>& excluded, TimePoint now, PlacementRefusal& refusal)
{
    const auto* service = this->serviceOf(request.service);
    const auto* engine = service != nullptr && service->engine ? &*service->engine : nullptr;
    const auto key = affinityKey(request);
    refusal = PlacementRefusal::NoUpstream;

    std::vector<const Upstream*> usable;
    std::vector<InstanceId> names;
    for (const auto& id : this->byService[request.service]) {
        const auto& upstream = this->upstreams.at(id);
        if (excluded.contains(id) || !this->isUsable(upstream, request, now))
            continue;
        usable.push_back(&upstream);
        names.emplace_back(id.value);
    }
    // Upstreams that failed lately are a last resort.
    const bool anyHealthy = std::any_of(usable.begin(), usable.end(), [&](const auto* upstream) { return upstream->avoidUntil <= now; });
    const auto preferred = key.empty() || names.empty() ? usable.size() : rendezvousRank(stableHash(key), names, 1).front();

    std::optional<PlacementChoice> best;
    const Upstream* chosen = nullptr;
    auto bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < usable.size(); ++index) {
        const auto& upstream = *usable[index];
        if (anyHealthy && upstream.avoidUntil > now)
            continue;
        const auto load = this->totalLoad(upstream, now);
        if (this->isFull(upstream, load, request, engine)) {
            refusal = PlacementRefusal::Full;
            continue;
        }
        double cost = 0;
        Coverage coverage;
        if (engine != nullptr) {
            coverage = this->cover(upstream, request, *engine, now);
            cost = this->promptCost(upstream, load, coverage);
            // Other daemons' prompts with the same parts go to the same engine, which then most likely holds them.
            if (preferred != index)
                cost += notPreferredMs;
        } else {
            const auto latency = upstream.latencyMs > 0 ? upstream.latencyMs : unknownLatencyMs;
            cost = latency * (1 + static_cast<double>(load.requests) / std::max(1U, upstream.entry.slots));
        }
        cost *= 1 + failureFactor * upstream.failureShare;
        if (weightsOf(upstream.entry, request.model) < request.preferredWeights)
            cost *= oldWeightsFactor;
        if (cost < bestCost) {
            bestCost = cost;
            chosen = &upstream;
            best = PlacementChoice { .upstream = upstream.entry.id, .address = upstream.entry.address, .missingTokens = coverage.missing,
                .movedTokens = coverage.moved, .expectedWait = fromSeconds(cost / 1000) };
        }
    }
    if (best && engine != nullptr)
        this->planCache(*chosen, request, *best, now);
    return best;
}

void UpstreamBoard::begin(const PlacementChoice& choice, const PlacementRequest& request, TimePoint now)
{
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end())
        return;
    auto& upstream = found->second;
    ++upstream.own.requests;
    upstream.own.tokens += request.promptTokens + request.outputTokens;
    upstream.own.backlog += choice.missingTokens;
    if (now < upstream.coldUntil) {
        while (!upstream.coldSends.empty() && now - upstream.coldSends.front() > std::chrono::milliseconds(1100))
            upstream.coldSends.pop_front();
        upstream.coldSends.push_back(now);
    }
    upstream.cache.use(choice.scope, request.parts);
}

void UpstreamBoard::onFirstByte(const PlacementChoice& choice, const PlacementRequest& request, Duration delay)
{
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end())
        return;
    auto& upstream = found->second;
    upstream.own.backlog -= std::min(upstream.own.backlog, choice.missingTokens);
    const auto weight = this->settings.sampleWeight;
    if (request.promptTokens == 0) {
        upstream.latencyMs = upstream.latencyMs == 0 ? toMs(delay) : upstream.latencyMs * (1 - weight) + toMs(delay) * weight;
        return;
    }
    if (choice.missingTokens < sampleTokens)
        return;
    const auto expected = std::max(1.0, toMs(choice.expectedWait) / upstream.slowness);
    const auto ratio = std::clamp(toMs(delay) / expected, leastSlowness, mostSlowness);
    upstream.slowness = std::clamp(upstream.slowness * (1 - weight) + ratio * weight, leastSlowness, mostSlowness);
}

void UpstreamBoard::finish(const PlacementChoice& choice, const PlacementRequest& request, bool hadFirstByte, AttemptResult result, TimePoint now)
{
    const auto found = this->upstreams.find(choice.upstream);
    if (found == this->upstreams.end())
        return;
    auto& upstream = found->second;
    upstream.own.requests -= std::min(upstream.own.requests, 1U);
    upstream.own.tokens -= std::min(upstream.own.tokens, request.promptTokens + request.outputTokens);
    if (!hadFirstByte)
        upstream.own.backlog -= std::min(upstream.own.backlog, choice.missingTokens);
    const auto weight = this->settings.sampleWeight;
    switch (result) {
    case AttemptResult::Answered:
        upstream.failures = 0;
        upstream.failureShare *= 1 - weight;
        break;
    case AttemptResult::FailureAnswer:
        upstream.failures = 0;
        upstream.failureShare = upstream.failureShare * (1 - weight) + weight;
        break;
    case AttemptResult::Refused:
        upstream.avoidUntil = now + std::chrono::milliseconds(50);
        break;
    case AttemptResult::Unreachable: {
        const auto pause = this->settings.firstAvoidance * (1U << std::min(upstream.failures, 6U));
        upstream.avoidUntil = now + std::min<Duration>(pause, this->settings.longestAvoidance);
        ++upstream.failures;
        break;
    }
    case AttemptResult::Cancelled:
        break;
    }
}

std::vector<UpstreamUse> UpstreamBoard::ownUses() const
{
    std::vector<UpstreamUse> uses;
    for (const auto& [id, upstream] : this->upstreams)
        if (upstream.own.requests > 0)
            uses.push_back({ id, upstream.own.requests, upstream.own.tokens, upstream.own.backlog });
    return uses;
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

const std::map<UpstreamId, RegistryEntry> UpstreamBoard::entries() const
{
    std::map<UpstreamId, RegistryEntry> result;
    for (const auto& [id, upstream] : this->upstreams)
        result.emplace(id, upstream.entry);
    return result;
}

std::uint32_t UpstreamBoard::requestsAt(const UpstreamId& id) const
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        return 0;
    auto sum = found->second.own.requests;
    for (const auto& [peer, report] : found->second.peers)
        sum += report.use.requests;
    return sum;
}

PartCache* UpstreamBoard::cacheOf(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second.cache;
}

} // namespace goldcrestwood
