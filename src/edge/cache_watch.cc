#include "edge/cache_watch.h"

#include <algorithm>

#include "daemon/clock.h"
#include "edge/beliefs.h"
#include "edge/log.h"
#include "goldcrestwood/feed_readers.h"
#include "platform/store_calls.h"

namespace goldcrestwood {

namespace {

    /// Number of daemons that free the blocks of old weights: one and a spare in case it fails.
    constexpr std::size_t collectorCount = 2;
    constexpr Duration pollInterval = std::chrono::milliseconds(200);
    /// Longest time that a store holds a call for events. Together with the pause after it and the longest interval between a
    /// daemon's queries to a feed reader it is shorter than the lifetime of a store's contents, so that these do not lapse in calm.
    constexpr Duration storeEventsHold = std::chrono::milliseconds(800);
    constexpr Duration engineEventsHold = std::chrono::milliseconds(1000);
    constexpr Duration answerTimeout = std::chrono::milliseconds(500);
    /// Pause between two calls, so that events arrive in batches.
    constexpr Duration batchPause = std::chrono::milliseconds(200);
    constexpr Duration collectInterval = std::chrono::seconds(1);
    /// A call to free parts that arrives later has no effect: engines may use them again by then.
    constexpr Duration freeCallLifetime = std::chrono::milliseconds(1000);
    constexpr Duration failurePause = std::chrono::milliseconds(300);

} // namespace

bool CacheWatch::followsStores() const
{
    return this->state.readerRank().has_value();
}

Task<> CacheWatch::run()
{
    asio::steady_timer timer(this->executor);
    ErrorCode ignored;
    while (true) {
        timer.expires_after(pollInterval);
        co_await timer.async_wait(into(ignored));
        if (this->state.registryFeed.isKnown())
            this->updateWeights();
        // Until the peers are known, every daemon considers itself a feed reader.
        if (!this->state.isSiteKnown)
            continue;
        if (this->followsStores())
            for (const auto& address : this->state.parts.addresses())
                if (this->followedStores.insert(address).second)
                    asio::co_spawn(this->executor, this->follow(address), asio::detached);
        if (followsEngines(this->state.board.daemonCount()))
            for (const auto& [id, address] : this->state.board.engines())
                if (!this->state.board.isLeaving(id) && this->followedEngines.insert(id).second)
                    asio::co_spawn(this->executor, this->followEngine(id, address), asio::detached);
        this->collectGarbage();
    }
}

Task<> CacheWatch::follow(std::string address)
{
    HttpCaller caller(this->executor, this->state.transferMemory, address, HttpCaller::maxCacheStoreAnswerBytes);
    asio::steady_timer timer(this->executor);
    bool needsListing = true;
    std::uint64_t next = 0;
    const auto isWanted = [&] {
        const auto addresses = this->state.parts.addresses();
        return this->followsStores() && std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    };
    while (isWanted()) {
        bool isGood = false;
        if (needsListing) {
            isGood = co_await this->readListing(caller, address, next);
            needsListing = !isGood;
        } else {
            isGood = co_await this->readEvents(caller, address, next, needsListing);
        }
        if (!isGood) {
            if (this->state.parts.epochOf(address))
                edge::log(edge::LogClass::Decision, "cache_store_silent", { { "store", address } });
            this->state.parts.onUnreachable(address);
            needsListing = true;
        }
        timer.expires_after(isGood ? batchPause : failurePause);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
    }
    this->followedStores.erase(address);
}

Task<bool> CacheWatch::readListing(HttpCaller& caller, std::string address, std::uint64_t& next)
{
    const auto call = platform::cacheListCall();
    const auto answer = co_await caller.call(call, answerTimeout);
    if (!answer || answer->status != 200)
        co_return false;
    const auto listing = platform::decodeCacheListing(answer->body);
    if (!listing)
        co_return false;
    this->state.parts.onListing(address, listing->epoch, listing->parts, monotonicNow());
    next = listing->nextEvent;
    co_return true;
}

Task<bool> CacheWatch::readEvents(HttpCaller& caller, std::string address, std::uint64_t& next, bool& needsListing)
{
    const auto call = platform::cacheEventsCall(next, storeEventsHold);
    const auto answer = co_await caller.call(call, storeEventsHold + answerTimeout);
    if (!answer || (answer->status != 200 && answer->status != 429))
        co_return false;
    if (answer->status == 429)
        co_return true; // Enough daemons follow the store; its contents expire here.
    const auto events = platform::decodeCacheEvents(answer->body);
    if (!events)
        co_return false;
    if (events->clockMs)
        this->clocks[address] = { *events->clockMs, monotonicNow() };
    next = events->nextEvent;
    needsListing = events->hasGap || !this->state.parts.onEvents(address, events->epoch, events->changes, monotonicNow());
    co_return true;
}

Task<> CacheWatch::followEngine(UpstreamId upstream, std::string address)
{
    HttpCaller caller(this->executor, this->state.transferMemory, address, HttpCaller::maxUpstreamAnswerBytes);
    asio::steady_timer timer(this->executor);
    std::uint64_t next = 0;
    std::uint64_t epoch = 0;
    const auto isWanted = [&] {
        return followsEngines(this->state.board.daemonCount()) && this->state.board.cacheOf(upstream) != nullptr && !this->state.board.isLeaving(upstream);
    };
    while (isWanted()) {
        const bool isGood = co_await this->readEngine(caller, upstream, next, epoch);
        timer.expires_after(std::max(isGood ? batchPause : failurePause, this->state.board.backoffRemaining(upstream, monotonicNow())));
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
    }
    this->followedEngines.erase(upstream);
}

Task<bool> CacheWatch::readEngine(HttpCaller& caller, UpstreamId upstream, std::uint64_t& next, std::uint64_t& epoch)
{
    const auto* entry = this->state.board.find(upstream);
    const auto born = entry == nullptr ? 0 : entry->born;
    const auto call = platform::cacheEventsCall(next, engineEventsHold);
    const auto answer = co_await caller.call(call, engineEventsHold + answerTimeout);
    if (!answer)
        co_return false;
    const auto events = platform::decodeCacheEvents(answer->body);
    const bool isExpected = answer->status == 200 && events;
    applyCallAnswer(this->state, upstream, born, *answer, isExpected, call.target);
    auto* cache = this->state.board.cacheOf(upstream);
    if (!isExpected || cache == nullptr)
        co_return false;
    // Wrong contents cost only an extra prefill, so a gap does not justify stalling the engine with a listing.
    if (epoch != 0 && epoch != events->epoch)
        cache->clear();
    epoch = events->epoch;
    next = events->nextEvent;
    for (const auto& change : events->changes) {
        cache->add(change.scope, change.id, change.tokens);
        cache->shrink(change.scope, change.id, change.tokens);
    }
    co_return true;
}

void CacheWatch::updateWeights()
{
    WeightVersions versions;
    this->state.board.forEach([&](const RegistryEntry& entry) {
        for (const auto& [model, version] : entry.weights)
            if (version > 0) // Otherwise unknown.
                versions[model].insert(version);
    });
    this->state.parts.onWeights(versions, monotonicNow());
}

void CacheWatch::collectGarbage()
{
    const auto now = monotonicNow();
    if (this->state.readerRank().value_or(collectorCount) >= collectorCount)
        return;
    if (now - this->lastCollection < collectInterval || !this->state.readsStore())
        return;
    // Changes during a gap of contact are seen late and all at once.
    if (now - this->state.registryContact.since < this->state.parts.freeAfter())
        return;
    this->lastCollection = now;
    for (const auto& address : this->state.parts.addresses()) {
        auto parts = this->state.parts.obsoleteParts(address, this->state.registryContact.confirmed, now);
        const auto epoch = this->state.parts.epochOf(address);
        if (!parts.empty() && epoch)
            asio::co_spawn(this->executor, this->freeObsoleteParts(address, std::move(parts), *epoch), asio::detached);
    }
}

Task<> CacheWatch::freeObsoleteParts(std::string address, std::vector<StoredPart> parts, std::uint64_t epoch)
{
    // Several daemons may free the same parts: nothing reads them any more or saves under their scope.
    std::set<std::string> scopes;
    for (const auto& part : parts)
        scopes.insert(part.scope);
    std::string scopeList;
    for (const auto& scope : scopes)
        scopeList += (scopeList.empty() ? "" : " ") + scope;
    HttpCaller caller(this->executor, this->state.transferMemory, address);
    std::optional<std::uint64_t> until;
    if (const auto clock = this->clocks.find(address); clock != this->clocks.end())
        until = clock->second.milliseconds + static_cast<std::uint64_t>((monotonicNow() - clock->second.readAt + freeCallLifetime) / std::chrono::milliseconds(1));
    const auto call = platform::cacheFreeCall(parts, epoch, until);
    const auto answer = co_await caller.call(call, answerTimeout);
    edge::log(edge::LogClass::Decision, "cache_parts_freed",
        { { "store", address }, { "parts", static_cast<std::int64_t>(parts.size()) }, { "scopes", scopeList }, { "status", static_cast<std::int64_t>(answer ? answer->status : 0) } });
}

} // namespace goldcrestwood
