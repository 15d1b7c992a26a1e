#pragma once

/// @file
/// Bounds the memory of all requests that a daemon is receiving, or holds until they are answered.

#include <cstdint>
#include <functional>
#include <list>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: many clients send bodies inside the limit of each and stop just short of their end. When the memory is spent, the
/// unfinished request that holds most without progress is given up; it was never sent on. A request that is complete is kept.
class RequestMemory {
public:
    /// Why a request was given up, for answers and logs.
    static constexpr const char* exhausted = "too many requests at once for this process's memory";
    /// Fewer new bytes are no progress, so that a client cannot keep a large request by sending a byte now and then.
    static constexpr std::uint64_t progressBytes = 4096;

    /// @param limit Bytes that all requests together may hold.
    explicit RequestMemory(std::uint64_t limit)
        : limitBytes(limit)
    {
    }

    RequestMemory(const RequestMemory&) = delete;
    RequestMemory& operator=(const RequestMemory&) = delete;

    /// The bytes that one request holds.
    class Share {
    public:
        /// @param evicted Called when the request is given up in favour of another one; must free what it holds before it returns.
        Share(RequestMemory& owner, std::function<void()> evicted, TimePoint now);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// @param next Bytes that the request holds now.
        /// @return Whether it may; if not, the request is given up, and the caller must free what it holds before another one resizes.
        bool resize(std::uint64_t next, TimePoint now);

        /// The request is whole and is no longer given up.
        void complete() { this->isComplete = true; }

        /// @return Whether the request was given up.
        bool isGivenUp() const { return this->isEvicted; }

    private:
        friend class RequestMemory;

        RequestMemory& memory;
        std::function<void()> onEvicted;
        std::uint64_t bytes = 0;
        std::uint64_t bytesAtProgress = 0;
        TimePoint progressed;
        bool isComplete = false;
        bool isEvicted = false;
        std::list<Share*>::iterator position;
    };

    /// @return Bytes that all requests hold.
    std::uint64_t used() const { return this->usedBytes; }
    /// @return Number of requests given up so far.
    std::uint64_t evictions() const { return this->evictionCount; }

private:
    /// @return The unfinished request with the largest product of bytes and time without progress, or null.
    Share* leastUseful(TimePoint now) const;
    void evict(Share& share);

    std::uint64_t limitBytes;
    std::uint64_t usedBytes = 0;
    std::uint64_t evictionCount = 0;
    std::list<Share*> shares;
};

} // namespace goldcrestwood
