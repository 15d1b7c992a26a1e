#include "goldcrestwood/load/report_pace.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

namespace {

    constexpr double bytesPerMegabit = 125000;

} // namespace

ReportPace::ReportPace(double linkMegabits, ReportPaceSettings paceSettings)
    : settings(paceSettings)
    , bytesPerSecond(linkMegabits * bytesPerMegabit * paceSettings.linkShare)
    , availableBytes(this->bytesPerSecond)
{
}

void ReportPace::onFirstToken(Duration expected, Duration measured, Duration objective, TimePoint now)
{
    if (objective <= Duration(0))
        return;
    const auto excess = std::clamp(toMs(measured - expected) / toMs(objective), 0.0, 1.0);
    this->meanError = this->error(now) * (1 - this->settings.sampleWeight) + excess * this->settings.sampleWeight;
    this->measuredAt = std::max(this->measuredAt, now);
}

double ReportPace::error(TimePoint now) const
{
    const auto age = std::max(Duration(0), now - this->measuredAt);
    return this->meanError * std::exp2(-toSeconds(age) / toSeconds(this->settings.halfLife));
}

Duration ReportPace::interval(Duration usual, TimePoint now) const
{
    if (usual <= this->settings.shortest)
        return usual;
    const auto range = this->settings.intolerableError - this->settings.tolerableError;
    const auto urgency = std::clamp((this->error(now) - this->settings.tolerableError) / range, 0.0, 1.0);
    return usual - std::chrono::duration_cast<Duration>((usual - this->settings.shortest) * urgency);
}

bool ReportPace::takeBytes(std::size_t bytes, TimePoint now)
{
    if (this->bytesPerSecond <= 0)
        return true;
    // At most the share of one second accumulates.
    const auto elapsed = std::max(Duration(0), now - this->refilledAt);
    this->availableBytes = std::min(this->bytesPerSecond, this->availableBytes + toSeconds(elapsed) * this->bytesPerSecond);
    this->refilledAt = now;
    if (this->availableBytes < static_cast<double>(bytes))
        return false;
    this->availableBytes -= static_cast<double>(bytes);
    return true;
}

} // namespace goldcrestwood
