#pragma once

/// @file
/// Interval of load reports between daemons, by how wrong the placements are that rest on them.

#include <cstdint>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct ReportPaceSettings {
    /// Shortest interval. An engine prefills a short prompt in a few milliseconds and a long one in a hundred or two, so older reports
    /// miss most of its queue.
    Duration shortest = std::chrono::milliseconds(40);
    /// Mean excess of the time to the first token over the expectation, as a share of the objective, up to which the interval is the usual one.
    double tolerableError = 0.05;
    /// The same from which the interval is the shortest: a placement that looked on time is then often late.
    double intolerableError = 0.2;
    /// Weight of a new sample in the mean.
    double sampleWeight = 0.05;
    /// Time in which the mean halves without samples.
    Duration halfLife = std::chrono::seconds(2);
    /// Share of the machine's link that reports may use beyond their usual interval.
    double linkShare = 0.1;
};

/// Load pattern: dozens of daemons place a dozen requests per engine and second, and each learns of the others' placements a report
/// later. With reports of a quarter of a second each way several requests meet at one engine while another is idle; the first tokens
/// and the streams in progress there are late. Where the expectations hold, frequent reports would only cost bytes, so the interval
/// follows the measured error.
class ReportPace {
public:
    /// @param linkMegabits Bandwidth of the machine's link in Mbit/s; 0 if unknown, which does not limit the reports.
    explicit ReportPace(double linkMegabits, ReportPaceSettings paceSettings = {});

    /// Takes the time to the first token of a request.
    /// @param expected The time expected when the request was placed.
    void onFirstToken(Duration expected, Duration measured, Duration objective, TimePoint now);

    /// @param usual Interval while the expectations hold.
    /// @return Time from one report to the next.
    Duration interval(Duration usual, TimePoint now) const;

    /// @return Mean error of the expectations, as a share of the objective.
    double error(TimePoint now) const;

    /// Reserves @p bytes for an exchange ahead of its usual time.
    /// @return Whether the link's share allows it.
    bool takeBytes(std::size_t bytes, TimePoint now);

private:
    ReportPaceSettings settings;
    double bytesPerSecond; ///< 0: not limited.
    double meanError = 0;
    TimePoint measuredAt {};
    double availableBytes;
    TimePoint refilledAt {};
};

} // namespace goldcrestwood
