/// @file
/// UpstreamBoard: locations of cached prompt parts and the cost of transferring them.

#include <algorithm>

#include "upstream_cost.h"

namespace goldcrestwood {

namespace {

    /// Transfers between failure domains take twice as long.
    constexpr double crossDomainFactor = 2;
    /// A transfer is preferred up to this multiple of the prefill time, since a prefill delays the engine's other requests.
    constexpr double maxTransferToPrefillRatio = 3;
    /// Age and number limits of the samples that estimate a source's speed. Once they expire the source is tried again.
    constexpr Duration transferSampleLifetime = std::chrono::seconds(4);
    constexpr std::size_t maxTransferSamples = 16;
    /// Quantile of the samples that is taken as the source's slowness.
    constexpr double slownessQuantile = 0.4;
    /// Queueing at busy engines makes transfers look a few times as long; a source counts as slow only from this factor on.
    constexpr double slowThreshold = 4;
    /// Samples of one source in a heartbeat; the peers together report enough.
    constexpr std::size_t maxReportedSamples = 4;
    /// Lower bound on the planned transfer time in a slowness sample, milliseconds: the engine's own work hides shorter ones.
    constexpr double minTransferMs = 20;
    /// Time beyond the expected duration after which a transfer counts as overdue, milliseconds.
    constexpr double overdueGraceMs = 120;

} // namespace

double UpstreamBoard::slownessOf(const TransferSource& source, TimePoint now)
{
    std::vector<double> recent;
    for (const auto& sample : source.samples)
        if (now - sample.at <= transferSampleLifetime)
            recent.push_back(sample.slowness);
    if (recent.size() < minTransferSamples)
        return 1;
    // A busy engine delays only some of its requests, and an engine that already held the part delays none, whereas
    // a slow source delays most transfers from it.
    const auto rank = recent.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(recent.size() - 1) * slownessQuantile);
    std::nth_element(recent.begin(), rank, recent.end());
    return *rank < slowThreshold ? 1 : *rank;
}

double UpstreamBoard::expectedTransferMs(const std::string& address, double linkMs, TimePoint now) const
{
    const auto found = this->transferSources.find(address);
    if (found == this->transferSources.end())
        return linkMs;
    const auto& source = found->second;
    const auto slowness = slownessOf(source, now);
    // Pending transfers go first. Several overdue ones mean that the source is stalled, before any sample shows it.
    double queued = 0;
    double overdue = 0;
    double mostOverdue = 0;
    for (const auto& transfer : source.pending) {
        queued += transfer.linkMs;
        const auto late = toMs(now - transfer.sent) - transfer.linkMs * slowness - overdueGraceMs;
        overdue = std::max(overdue, std::min(late, mostOverdue));
        mostOverdue = std::max(mostOverdue, late);
    }
    return (linkMs + queued) * slowness + overdue;
}

void UpstreamBoard::recordTransfer(const PlacementChoice& choice, double measuredMs, TimePoint now)
{
    if (choice.transferTime <= Duration(0))
        return;
    const auto slowness = std::clamp((measuredMs - overdueGraceMs) / std::max(toMs(choice.transferTime), minTransferMs), 1.0, maxSlowness);
    for (const auto& address : choice.transferSources) {
        auto& source = this->transferSources[address];
        addSample(source.samples, { now, slowness });
        if (source.unreported.size() < maxReportedSamples)
            source.unreported.push_back(slowness);
    }
}

void UpstreamBoard::addSample(std::deque<TransferSample>& samples, const TransferSample& sample)
{
    samples.push_back(sample);
    if (samples.size() > maxTransferSamples)
        samples.pop_front();
}

void UpstreamBoard::removePendingTransfers(const PlacementChoice& choice)
{
    for (const auto& address : choice.transferSources)
        if (const auto found = this->transferSources.find(address); found != this->transferSources.end())
            std::erase_if(found->second.pending, [&](const auto& transfer) { return transfer.sent == choice.chosen; });
}

std::optional<UpstreamBoard::PartTransfer> UpstreamBoard::fastestTransfer(const Upstream& upstream, const std::string& scope, const PromptPart& part,
    const std::vector<const Upstream*>& holders, const EngineLimits& engine, TimePoint now) const
{
    const auto bits = static_cast<double>(part.tokens * engine.bytesPerToken) * 8;
    const auto nearMs = engine.linkMegabits > 0 ? bits / (engine.linkMegabits * 1000) : 0;
    std::optional<PartTransfer> best;
    const auto consider = [&](const std::string& address, const FailureDomain& domain) {
        const auto linkMs = nearMs * (domain == upstream.entry.domain ? 1.0 : crossDomainFactor);
        const auto expectedMs = this->expectedTransferMs(address, linkMs, now);
        if (!best || expectedMs < best->expectedMs)
            best = PartTransfer { address, linkMs, expectedMs };
    };
    if (const auto store = this->parts.find(scope, part, upstream.entry.domain, now))
        consider(store->address, store->domain);
    if (best && best->expectedMs <= best->linkMs)
        return best;
    for (const auto* holder : holders)
        if (holder != &upstream && holder->avoidUntil <= now)
            consider(holder->entry.address, holder->entry.domain);
    return best;
}

const UpstreamBoard::PartHolders& UpstreamBoard::holdersInScope(std::vector<PartHolders>& known, const std::string& scope,
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

UpstreamBoard::Coverage UpstreamBoard::coverageAt(const Upstream& upstream, const PlacementRequest& request,
    const PartHolders& holders, const EngineLimits& engine, TimePoint now) const
{
    const auto held = upstream.cache.heldTokens(holders.scope, request.parts);
    Coverage coverage;
    coverage.sources.resize(request.parts.size());
    std::uint64_t end = 0;
    std::uint64_t covered = held;
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index) {
        const auto& part = request.parts[index];
        if (part.tokens == 0)
            continue;
        end += part.tokens;
        const auto transfer = this->fastestTransfer(upstream, holders.scope, part, holders.byPart[index], engine, now);
        if (end <= held) {
            // The cache estimate may be wrong, and a source costs nothing if the part is held.
            if (transfer)
                coverage.sources[index] = transfer->source;
            continue;
        }
        // A part is usable only if all parts before it are present. A transfer takes link time and a prefill engine time,
        // so prefill only if the transfer is much slower.
        if (!transfer || transfer->expectedMs > part.tokens / this->tokensPerMillisecond * maxTransferToPrefillRatio)
            break;
        coverage.transferred += part.tokens;
        coverage.transferMs += transfer->expectedMs;
        coverage.linkMs += transfer->linkMs;
        coverage.sources[index] = transfer->source;
        if (std::find(coverage.transferSources.begin(), coverage.transferSources.end(), transfer->source) == coverage.transferSources.end())
            coverage.transferSources.push_back(transfer->source);
        covered = end;
    }
    coverage.missing = request.promptTokens - std::min(covered, request.promptTokens);
    return coverage;
}

void UpstreamBoard::planCache(
    const Upstream& upstream, const PlacementRequest& request, Coverage coverage, PlacementChoice& choice, TimePoint now) const
{
    choice.weightVersion = weightsOf(upstream.entry, request.model);
    choice.scope = scopeOf(upstream.entry, request);
    choice.transferredTokens = coverage.transferred;
    choice.transferTime = fromSeconds(coverage.linkMs / 1000);
    if (choice.weightVersion == 0 || request.parts.size() < 2)
        return;
    // The last part is private to this request and is not reused.
    std::vector<std::string> save(request.parts.size());
    bool saves = false;
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index) {
        const auto& part = request.parts[index];
        if (part.tokens == 0 || this->parts.find(choice.scope, part, upstream.entry.domain, now))
            continue;
        if (auto place = this->parts.storeFor(choice.scope, part, now)) {
            save[index] = std::move(*place);
            saves = true;
        }
    }
    choice.transferSources = std::move(coverage.transferSources);
    if (std::any_of(coverage.sources.begin(), coverage.sources.end(), [](const auto& source) { return !source.empty(); }))
        choice.fetchFrom = std::move(coverage.sources);
    if (saves)
        choice.saveTo = std::move(save);
}

} // namespace goldcrestwood
