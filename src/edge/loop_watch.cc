#include "edge/loop_watch.h"

#include "daemon/clock.h"
#include "edge/log.h"

namespace goldcrestwood {

namespace {

    constexpr Duration checkInterval = std::chrono::milliseconds(100);
    /// Callers with short objectives notice a longer delay.
    constexpr Duration minLoggedDelay = std::chrono::milliseconds(200);

} // namespace

Task<> watchLoop(EdgeState& state, asio::any_io_executor executor)
{
    asio::steady_timer timer(executor);
    state.pauses.onCheck(monotonicNow());
    while (true) {
        const auto due = monotonicNow() + checkInterval;
        timer.expires_at(due);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto now = monotonicNow();
        state.pauses.onCheck(now);
        const auto delay = std::max(now - due, Duration(0));
        state.metrics.observe("goldcrest_loop_delay_seconds", "", delay);
        if (delay >= minLoggedDelay)
            edge::log(edge::LogClass::Decision, "loop_late", { { "delay_ms", toMs(delay) } });
    }
}

} // namespace goldcrestwood
