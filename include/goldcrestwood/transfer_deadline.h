#pragma once

/// @file
/// Ends transfers that stall or trickle; their size is not known in advance.

#include <algorithm>
#include <cstdint>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: many daemons fetch the same large record over one slow link, so that each transfer takes long although none has
/// stalled. A transfer that was ended and begun anew would only add to the load.
class TransferDeadline {
public:
    /// Longest pause within a transfer; a link that carries several transfers serves each of them far more often.
    static constexpr Duration maxPause = std::chrono::milliseconds(900);
    /// Lowest mean rate of a transfer; a small fraction of the slowest link of an entry instance.
    static constexpr std::uint64_t minBytesPerSecond = 32U << 10U;

    /// @param answerTimeout Time until the first bytes.
    TransferDeadline(TimePoint begin, Duration answerTimeout)
        : firstDue(begin + answerTimeout)
    {
    }

    void onBytes(std::uint64_t bytes, TimePoint now)
    {
        if (bytes == 0)
            return;
        this->transferred += bytes;
        this->lastProgress = now;
    }

    /// @return When the transfer fails unless more bytes pass.
    TimePoint end() const
    {
        if (this->transferred == 0)
            return this->firstDue;
        return std::min(this->lastProgress + maxPause, this->firstDue + std::chrono::microseconds(this->transferred * 1'000'000 / minBytesPerSecond));
    }

    /// @return Whether bytes pass, so that the peer is alive.
    bool isProgressing(TimePoint now) const { return this->transferred > 0 && now < this->end(); }

    std::uint64_t bytes() const { return this->transferred; }

private:
    TimePoint firstDue;
    TimePoint lastProgress;
    std::uint64_t transferred = 0;
};

} // namespace goldcrestwood
