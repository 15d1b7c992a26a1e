#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "goldcrestwood/load/report_pace.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
constexpr Duration usual = 250ms;

void addSamples(ReportPace& pace, int count, Duration expected, Duration measured, TimePoint now)
{
    for (int sample = 0; sample < count; ++sample)
        pace.onFirstToken(expected, measured, 400ms, now);
}

/// Share of late first tokens, and mean interval of the reports.
struct Outcome {
    double lateShare = 0;
    double intervalMs = 0;
};

/// Plays prompts of two sizes from many daemons at engines that prefill in the order of arrival. A daemon knows its own requests at once
/// and those of the others as of the last report, which takes one interval to collect and one to arrive.
Outcome play(bool isPaced)
{
    constexpr std::size_t engines = 20;
    constexpr std::size_t daemons = 30;
    constexpr double tokensPerMs = 60;
    constexpr auto step = 5ms;
    constexpr auto objective = 400ms;
    std::mt19937_64 random(7);
    std::vector<ReportPace> paces(daemons, ReportPace(0));
    std::vector<TimePoint> freeAt(engines, start); // When each engine has read all that was sent to it.
    std::vector<std::vector<TimePoint>> known(daemons, freeAt); // The same as each daemon sees it.
    std::vector<std::vector<TimePoint>> reported(daemons, freeAt); // Sent and not yet arrived.
    std::vector<TimePoint> nextReport(daemons, start);
    int late = 0;
    int all = 0;
    double intervals = 0;
    int reports = 0;
    for (auto now = start; now < start + 20s; now += step) {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            if (now >= nextReport[daemon]) {
                known[daemon] = std::exchange(reported[daemon], freeAt);
                const auto interval = isPaced ? paces[daemon].interval(usual, now) : usual;
                nextReport[daemon] = now + interval;
                intervals += toMs(interval);
                ++reports;
            }
        // One request a step: 200 a second, 10 per engine, of which a third are long; the engines are busy for three fifths of the time.
        const auto daemon = random() % daemons;
        const double tokens = random() % 3 == 0 ? 9000 : 1000;
        auto& view = known[daemon];
        const auto engine = static_cast<std::size_t>(std::min_element(view.begin(), view.end(), [&](auto left, auto right) { return std::max(left, now) < std::max(right, now); }) - view.begin());
        const auto reading = fromSeconds(tokens / tokensPerMs / 1000);
        const auto expected = std::max(view[engine], now) - now + reading;
        freeAt[engine] = std::max(freeAt[engine], now) + reading;
        view[engine] = std::max(view[engine], now) + reading;
        reported[daemon][engine] = std::max(reported[daemon][engine], now) + reading;
        const auto measured = freeAt[engine] - now;
        paces[daemon].onFirstToken(expected, measured, objective, now);
        late += measured > objective ? 1 : 0;
        ++all;
    }
    return { static_cast<double>(late) / all, intervals / reports };
}

} // namespace

TEST_CASE("reports keep their usual interval while first tokens come as expected")
{
    ReportPace pace(10);
    CHECK(pace.interval(usual, start) == usual);
    addSamples(pace, 100, 100ms, 110ms, start);
    CHECK(pace.interval(usual, start) == usual);
    // Requests that are faster than expected do not count as errors.
    addSamples(pace, 100, 300ms, 20ms, start);
    CHECK(pace.error(start) == Approx(0).margin(0.01));
}

TEST_CASE("reports come at the shortest interval while first tokens are late, and at the usual one some seconds after")
{
    ReportPace pace(10);
    addSamples(pace, 100, 60ms, 500ms, start);
    CHECK(pace.interval(usual, start) == ReportPaceSettings {}.shortest);
    CHECK(pace.interval(usual, start + 20s) == usual);
    // An interval below the shortest one is kept.
    CHECK(pace.interval(30ms, start) == 30ms);
}

TEST_CASE("a request without an objective, or a time from before the last sample, changes no interval")
{
    ReportPace pace(10);
    pace.onFirstToken(10ms, 10s, 0ms, start);
    CHECK(pace.error(start) == 0);
    addSamples(pace, 100, 0ms, 400ms, start);
    const auto before = pace.error(start);
    pace.onFirstToken(0ms, 400ms, 400ms, start - 5s);
    CHECK(pace.error(start) >= before);
}

TEST_CASE("frequent reports use no more than their share of a small link")
{
    ReportPace pace(10); // 1,250,000 bytes per second, of which reports may use a tenth.
    std::size_t taken = 0;
    for (auto now = start; now < start + 10s; now += 10ms)
        taken += pace.takeBytes(8000, now) ? 8000 : 0;
    constexpr std::size_t bytesPerSecond = 125000;
    CHECK(taken <= 11 * bytesPerSecond);
    CHECK(taken >= 9 * bytesPerSecond);
    ReportPace unknownLink(0);
    CHECK(unknownLink.takeBytes(1U << 30U, start));
}

TEST_CASE("requests of many daemons do not meet at the same engines because of old reports")
{
    const auto fixed = play(false);
    const auto paced = play(true);
    INFO("late " << fixed.lateShare << " at a fixed interval, " << paced.lateShare << " at " << paced.intervalMs << " ms");
    CHECK(paced.intervalMs < 0.8 * toMs(usual));
    CHECK(paced.lateShare < 0.7 * fixed.lateShare);
}
