#include "edge/cache_watch.h"

#include <algorithm>

#include "daemon/clock.h"
#include "edge/log.h"
#include "platform/store_calls.h"

namespace goldcrestwood {

namespace {

    constexpr Duration lookInterval = std::chrono::milliseconds(200);
    /// The longest that a store holds a call for events.
    constexpr Duration eventsHold = std::chrono::milliseconds(1000);
    constexpr Duration answerLimit = std::chrono::milliseconds(500);
    /// Between two calls, so that events come in batches.
    constexpr Duration batchPause = std::chrono::milliseconds(200);
    constexpr Duration failurePause = std::chrono::milliseconds(300);

} // namespace

Task<> CacheWatch::run()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        for (const auto& address : this->state.parts.addresses())
            if (this->followed.insert(address).second)
                asio::co_spawn(this->executor, this->follow(address), asio::detached);
        timer.expires_after(lookInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
    }
}

Task<> CacheWatch::follow(std::string address)
{
    HttpCaller caller(this->executor, address);
    asio::steady_timer timer(this->executor);
    bool needsListing = true;
    std::uint64_t next = 0;
    const auto isConfigured = [&] {
        const auto addresses = this->state.parts.addresses();
        return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    };
    while (isConfigured()) {
        bool isGood = false;
        if (needsListing) {
            isGood = co_await this->list(caller, address, next);
            needsListing = !isGood;
        } else {
            isGood = co_await this->readOn(caller, address, next, needsListing);
        }
        if (!isGood) {
            this->state.parts.onSilence(address);
            needsListing = true;
            edge::log(edge::LogClass::Decision, "cache_store_silent", { { "store", address } });
        }
        timer.expires_after(isGood ? batchPause : failurePause);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
    }
    this->followed.erase(address);
}

Task<bool> CacheWatch::list(HttpCaller& caller, std::string address, std::uint64_t& next)
{
    const auto call = platform::cacheListCall();
    const auto answer = co_await caller.call(call, answerLimit);
    if (!answer || answer->status != 200)
        co_return false;
    const auto listing = platform::decodeCacheListing(answer->body);
    if (!listing)
        co_return false;
    this->state.parts.onListing(address, listing->epoch, listing->parts, monotonicNow());
    next = listing->next;
    co_return true;
}

Task<bool> CacheWatch::readOn(HttpCaller& caller, std::string address, std::uint64_t& next, bool& needsListing)
{
    const auto call = platform::cacheEventsCall(next, eventsHold);
    const auto answer = co_await caller.call(call, eventsHold + answerLimit);
    if (!answer || (answer->status != 200 && answer->status != 429))
        co_return false;
    if (answer->status == 429)
        co_return true; // Enough daemons follow the store; its contents age out here.
    const auto events = platform::decodeCacheEvents(answer->body);
    if (!events)
        co_return false;
    next = events->next;
    needsListing = events->hasGap || !this->state.parts.onEvents(address, events->epoch, events->changes, monotonicNow());
    co_return true;
}

} // namespace goldcrestwood
