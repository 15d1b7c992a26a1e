#pragma once

/// @file
/// Bounds the memory of all answers that a daemon is receiving, or holds until its caller has taken them.

#include <cstdint>
#include <functional>
#include <list>

namespace goldcrestwood {

/// Load pattern: several upstreams send answers that never end, to many requests and calls at once. A bound on each answer does not
/// bound their sum, and a process that exceeds its memory ends with all requests on it. When the memory is spent, the largest
/// unfinished answer is given up: one that never ends becomes the largest before long, and ordinary answers are far smaller.
class TransferMemory {
public:
    /// Why an answer was given up, for logs.
    static constexpr const char* exhausted = "too many answers at once for this process's memory";

    /// @param limit Bytes that all answers together may hold.
    explicit TransferMemory(std::uint64_t limit)
        : limitBytes(limit)
    {
    }

    TransferMemory(const TransferMemory&) = delete;
    TransferMemory& operator=(const TransferMemory&) = delete;

    /// The bytes that one answer holds.
    class Share {
    public:
        /// @param evicted Called when the answer is given up in favour of another one; must end its transfer.
        Share(TransferMemory& owner, std::function<void()> evicted);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// @param next Bytes that the answer is about to hold.
        /// @return Whether it may; if not, the answer must be given up.
        bool resize(std::uint64_t next);

        /// The answer is whole and is no longer given up.
        void complete() { this->isComplete = true; }

    private:
        friend class TransferMemory;

        TransferMemory& memory;
        std::function<void()> onEvicted;
        std::uint64_t bytes = 0;
        bool isComplete = false;
        bool isEvicted = false;
        std::list<Share*>::iterator position;
    };

    /// @return Bytes that all answers hold.
    std::uint64_t used() const { return this->usedBytes; }
    /// @return Number of answers given up so far.
    std::uint64_t evictions() const { return this->evictionCount; }

private:
    /// @return The largest unfinished answer, or null.
    Share* largestUnfinished() const;
    void evict(Share& share);

    std::uint64_t limitBytes;
    std::uint64_t usedBytes = 0;
    std::uint64_t evictionCount = 0;
    std::list<Share*> shares;
};

} // namespace goldcrestwood
