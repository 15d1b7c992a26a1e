#pragma once

/// @file
/// Cache events as a holder publishes them: delayed, with gaps, and limited to the newest events.

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>

#include <nlohmann/json.hpp>

namespace goldcrestwood::standin {

class CacheEvents {
public:
    explicit CacheEvents(std::chrono::milliseconds eventLag)
        : epoch(newEpoch())
        , lag(eventLag)
    {
    }

    /// Adds an event; a dropped event consumes a sequence number but is never returned.
    void add(nlohmann::json event, bool dropped)
    {
        const std::lock_guard guard(this->lock);
        event["seq"] = ++this->sequence;
        this->events.push_back({ std::chrono::steady_clock::now() + this->lag, this->sequence, dropped, std::move(event) });
        if (this->events.size() > maxEvents)
            this->events.pop_front();
    }

    /// Starts a new epoch, as after a restart.
    void restart()
    {
        const std::lock_guard guard(this->lock);
        this->events.clear();
        this->sequence = 0;
        this->lastVisible = 0;
        this->epoch = newEpoch();
    }

    /// @return The visible events with a sequence number above @p previous, the epoch and the last visible sequence number.
    nlohmann::json eventsAfter(std::uint64_t previous)
    {
        const std::lock_guard guard(this->lock);
        auto list = nlohmann::json::array();
        const auto now = std::chrono::steady_clock::now();
        for (const auto& event : this->events) {
            if (event.visibleAt > now)
                break;
            this->lastVisible = std::max(this->lastVisible, event.sequence);
            if (event.sequence > previous && !event.dropped)
                list.push_back(event.content);
        }
        return { { "epoch", this->epoch }, { "events", list }, { "last", this->lastVisible } };
    }

    /// Start time in microseconds, so that it differs after each restart.
    std::uint64_t epoch;

private:
    struct Event {
        std::chrono::steady_clock::time_point visibleAt;
        std::uint64_t sequence = 0;
        bool dropped = false;
        nlohmann::json content;
    };

    static constexpr std::size_t maxEvents = 4096;

    static std::uint64_t newEpoch()
    {
        return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()) / 1000;
    }

    std::chrono::milliseconds lag;
    std::mutex lock;
    std::deque<Event> events;
    std::uint64_t sequence = 0;
    std::uint64_t lastVisible = 0;
};

} // namespace goldcrestwood::standin
