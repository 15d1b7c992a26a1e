/// @file
/// The half of the board that knows where cached prompt parts are and what moving them costs.

#include <algorithm>

#include "upstream_cost.h"

namespace goldcrestwood {

namespace {

    /// Transfers between failure domains take twice as long.
    constexpr double farMoveFactor = 2;
    /// How much slower than reading a move may be and still be preferred: reading takes the engine from others.
    constexpr double readPreference = 3;
    /// Moves that tell of a source's speed, and for how long: after it the source is tried again.
    constexpr Duration moveSampleLifetime = std::chrono::seconds(4);
    constexpr std::size_t mostMoveSamples = 16;
    /// Samples in order: the one at this share tells the source's speed.
    constexpr double tellingShare = 0.4;
    /// Waits at busy engines make moves look a few times as long; only beyond this a source counts as slow.
    constexpr double slowFrom = 4;
    /// Samples of one source in a heartbeat: the peers together tell enough.
    constexpr std::size_t mostToldSamples = 4;
    /// Shorter moves say little of their source: the engine's own work hides them, milliseconds.
    constexpr double leastMoveMs = 20;
    /// A move may take so much longer than its links need before it counts as overdue, milliseconds.
    constexpr double overdueMs = 120;

} // namespace

double UpstreamBoard::slownessOf(const MoveSource& source, TimePoint now)
{
    std::vector<double> recent;
    for (const auto& sample : source.samples)
        if (now - sample.at <= moveSampleLifetime)
            recent.push_back(sample.slowness);
    if (recent.size() < leastMoveSamples)
        return 1;
    // A busy engine delays some of its requests, and an engine that held the part after all delays none:
    // a slow source delays most of what comes from it.
    const auto rank = recent.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(recent.size() - 1) * tellingShare);
    std::nth_element(recent.begin(), rank, recent.end());
    return *rank < slowFrom ? 1 : *rank;
}

double UpstreamBoard::expectedMove(const std::string& address, double plainMs, TimePoint now) const
{
    const auto found = this->moveSources.find(address);
    if (found == this->moveSources.end())
        return plainMs;
    const auto& source = found->second;
    const auto slowness = slownessOf(source, now);
    // Moves that wait there already go first. Once several are overdue the source stands still, before any sample says so.
    double queued = 0;
    double overdue = 0;
    double mostOverdue = 0;
    for (const auto& move : source.pending) {
        queued += move.plainMs;
        const auto late = toMs(now - move.sent) - move.plainMs * slowness - overdueMs;
        overdue = std::max(overdue, std::min(late, mostOverdue));
        mostOverdue = std::max(mostOverdue, late);
    }
    return (plainMs + queued) * slowness + overdue;
}

void UpstreamBoard::learnMove(const PlacementChoice& choice, double measuredMs, TimePoint now)
{
    if (choice.moveTime <= Duration(0))
        return;
    const auto slowness = std::clamp((measuredMs - overdueMs) / std::max(toMs(choice.moveTime), leastMoveMs), 1.0, mostSlowness);
    for (const auto& address : choice.movesFrom) {
        auto& source = this->moveSources[address];
        keepSample(source.samples, { now, slowness });
        if (source.untold.size() < mostToldSamples)
            source.untold.push_back(slowness);
    }
}

void UpstreamBoard::keepSample(std::deque<MoveSample>& samples, const MoveSample& sample)
{
    samples.push_back(sample);
    if (samples.size() > mostMoveSamples)
        samples.pop_front();
}

void UpstreamBoard::settleMoves(const PlacementChoice& choice)
{
    for (const auto& address : choice.movesFrom)
        if (const auto found = this->moveSources.find(address); found != this->moveSources.end())
            std::erase_if(found->second.pending, [&](const auto& move) { return move.sent == choice.chosen; });
}

std::optional<UpstreamBoard::Move> UpstreamBoard::moveOf(const Upstream& upstream, const std::string& scope, const PromptPart& part,
    const std::vector<const Upstream*>& holders, const EngineLimits& engine, TimePoint now) const
{
    const auto bits = static_cast<double>(part.tokens * engine.bytesPerToken) * 8;
    const auto nearMs = engine.linkMegabits > 0 ? bits / (engine.linkMegabits * 1000) : 0;
    std::optional<Move> best;
    const auto consider = [&](const std::string& address, const FailureDomain& domain) {
        const auto plainMs = nearMs * (domain == upstream.entry.domain ? 1.0 : farMoveFactor);
        const auto expectedMs = this->expectedMove(address, plainMs, now);
        if (!best || expectedMs < best->expectedMs)
            best = Move { address, plainMs, expectedMs };
    };
    if (const auto store = this->parts.find(scope, part, upstream.entry.domain, now))
        consider(store->address, store->domain);
    if (best && best->expectedMs <= best->plainMs)
        return best;
    for (const auto* holder : holders)
        if (holder != &upstream && holder->avoidUntil <= now)
            consider(holder->entry.address, holder->entry.domain);
    return best;
}

const UpstreamBoard::PartHolders& UpstreamBoard::holdersUnder(std::vector<PartHolders>& known, const std::string& scope,
    const PlacementRequest& request, const std::vector<const Upstream*>& candidates)
{
    for (const auto& holders : known)
        if (holders.scope == scope)
            return holders;
    PartHolders holders { scope, std::vector<std::vector<const Upstream*>>(request.parts.size()) };
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index)
        for (const auto* candidate : candidates)
            if (candidate->cache.holds(scope, request.parts[index]))
                holders.byPart[index].push_back(candidate);
    known.push_back(std::move(holders));
    return known.back();
}

UpstreamBoard::Coverage UpstreamBoard::cover(const Upstream& upstream, const PlacementRequest& request,
    const PartHolders& holders, const EngineLimits& engine, TimePoint now) const
{
    const auto held = upstream.cache.heldTokens(holders.scope, request.parts);
    Coverage coverage;
    coverage.sources.resize(request.parts.size());
    std::uint64_t end = 0;
    std::uint64_t covered = held;
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index) {
        const auto& part = request.parts[index];
        end += part.tokens;
        const auto move = this->moveOf(upstream, holders.scope, part, holders.byPart[index], engine, now);
        if (end <= held) {
            // The belief may be wrong; naming a source costs nothing where the part is held.
            if (move)
                coverage.sources[index] = move->source;
            continue;
        }
        // A part counts only if all parts before it are there. Moving costs the links' time only, reading the engine's:
        // read only if moving is much slower.
        if (!move || move->expectedMs > part.tokens / this->tokensPerMillisecond * readPreference)
            break;
        coverage.moved += part.tokens;
        coverage.moveMs += move->expectedMs;
        coverage.plainMoveMs += move->plainMs;
        coverage.sources[index] = move->source;
        if (std::find(coverage.movesFrom.begin(), coverage.movesFrom.end(), move->source) == coverage.movesFrom.end())
            coverage.movesFrom.push_back(move->source);
        covered = end;
    }
    coverage.missing = request.promptTokens - std::min(covered, request.promptTokens);
    return coverage;
}

void UpstreamBoard::planCache(
    const Upstream& upstream, const PlacementRequest& request, Coverage coverage, PlacementChoice& choice, TimePoint now) const
{
    choice.weights = weightsOf(upstream.entry, request.model);
    choice.scope = scopeOf(upstream.entry, request);
    choice.movedTokens = coverage.moved;
    choice.moveTime = fromSeconds(coverage.plainMoveMs / 1000);
    if (choice.weights == 0 || request.parts.size() < 2)
        return;
    // The last part belongs to this request alone and does not return.
    std::vector<std::string> save(request.parts.size());
    bool saves = false;
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index) {
        const auto& part = request.parts[index];
        if (this->parts.find(choice.scope, part, upstream.entry.domain, now))
            continue;
        if (auto place = this->parts.placeFor(choice.scope, part, now)) {
            save[index] = std::move(*place);
            saves = true;
        }
    }
    choice.movesFrom = std::move(coverage.movesFrom);
    if (std::any_of(coverage.sources.begin(), coverage.sources.end(), [](const auto& source) { return !source.empty(); }))
        choice.fetchFrom = std::move(coverage.sources);
    if (saves)
        choice.saveTo = std::move(save);
}

} // namespace goldcrestwood
