#include "goldcrestwood/reader_choice.h"

#include <algorithm>

namespace goldcrestwood {

bool ReaderChoice::isSilent(const DaemonView& view, const DaemonReport& report, TimePoint now) const
{
    if (view.isHeard(report, now))
        return false;
    if (report.isReportedByReader && !report.isReportedLive)
        return true;
    const auto since = this->chosenSince.find(report.heartbeat.instance);
    return since != this->chosenSince.end() && now - std::max(since->second, report.lastHeard) > answerTimeout;
}

const std::vector<InstanceId>& ReaderChoice::choose(const DaemonView& view, const EdgeHeartbeat& self, TimePoint now)
{
    std::erase_if(this->chosenSince, [&](const auto& entry) {
        const bool isChosen = std::find(this->chosen.begin(), this->chosen.end(), entry.first) != this->chosen.end();
        return !isChosen && now - entry.second > retryAfter;
    });
    std::vector<DaemonCapacity> reading;
    std::vector<DaemonCapacity> stalled;
    bool anyReaderReads = false;
    const auto consider = [&](const EdgeHeartbeat& daemon) {
        (daemon.readsStore && daemon.isReady ? reading : stalled).push_back({ daemon.instance, daemon.capacity, daemon.domain });
        const bool isChosen = std::find(this->chosen.begin(), this->chosen.end(), daemon.instance) != this->chosen.end();
        anyReaderReads = anyReaderReads || (isChosen && daemon.readsStore);
    };
    for (const auto* report : view.all()) {
        if (this->isSilent(view, *report, now))
            continue;
        if (view.isHeard(*report, now) || report->isReportedByReader)
            consider(report->heartbeat);
        else
            reading.push_back({ report->heartbeat.instance, report->heartbeat.capacity, report->heartbeat.domain });
    }
    consider(self);
    // If none of the readers can read, the store itself is unreachable, and other daemons would fare no better.
    if (reading.empty() || (!this->chosen.empty() && !anyReaderReads))
        reading.insert(reading.end(), stalled.begin(), stalled.end());
    this->chosen = feedReaders(reading, this->settings);
    for (const auto& reader : this->chosen)
        this->chosenSince.try_emplace(reader, now);
    return this->chosen;
}

} // namespace goldcrestwood
