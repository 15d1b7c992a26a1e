#include "edge/crash_watch.h"

#include "daemon/clock.h"
#include "edge/log.h"
#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    constexpr Duration sweepInterval = std::chrono::milliseconds(100);

} // namespace

CrashWatch::CrashWatch(EdgeState& edgeState, UpstreamPool& upstreamPool, asio::any_io_executor loop)
    : state(edgeState)
    , pool(upstreamPool)
    , executor(std::move(loop))
{
}

void CrashWatch::onBroken(const PlacementChoice& choice, const ServiceName& service, std::vector<std::string> suspects)
{
    const auto [found, isNew] = this->checks.try_emplace(choice.upstream);
    auto& check = found->second;
    ++check.requests;
    check.suspects.insert(check.suspects.end(), std::make_move_iterator(suspects.begin()), std::make_move_iterator(suspects.end()));
    if (!isNew)
        return;
    check.crash = stableHash(choice.upstream.value, static_cast<std::uint64_t>(choice.born));
    check.brokenAt = monotonicNow();
    asio::co_spawn(this->executor, this->check(choice.upstream, choice.address, service), asio::detached);
}

Task<> CrashWatch::check(UpstreamId upstream, std::string address, ServiceName service)
{
    // Kept connections of a crashed process are closed as well.
    auto connection = this->pool.create(address);
    ErrorCode error;
    const bool isOpen = co_await connect(*connection, upstreamConnectTimeout, error);
    auto check = std::move(this->checks.extract(upstream).mapped());
    if (isOpen)
        this->pool.returnIdle(std::move(connection), monotonicNow());
    if (error != asio::error::connection_refused && error != asio::error::connection_reset)
        co_return;
    this->pool.close(address);
    edge::log(edge::LogClass::Decision, "upstream_crashed",
        { { "upstream", upstream.value }, { "requests", static_cast<std::int64_t>(check.requests) }, { "suspects", static_cast<std::int64_t>(check.suspects.size()) } });
    this->state.crashSuspects.onCrash(check.crash, service, check.requests, check.suspects, check.brokenAt);
}

Task<> CrashWatch::run()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        timer.expires_after(sweepInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto now = monotonicNow();
        for (const auto& part : this->state.crashSuspects.sweep(now)) {
            edge::log(edge::LogClass::Decision, "part_quarantined",
                { { "part", part }, { "for_ms", toMs(this->state.crashSuspects.quarantineLeft({ part }, now).value_or(Duration(0))) } });
            this->state.metrics.count("goldcrest_parts_quarantined_total", "");
        }
    }
}

} // namespace goldcrestwood
