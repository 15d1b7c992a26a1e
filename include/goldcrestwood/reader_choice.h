#pragma once

/// @file
/// Chooses the feed readers such that hundreds of daemons with different views agree on them.

#include <map>
#include <vector>

#include "goldcrestwood/daemon_view.h"
#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: all daemons of a site start at the same moment, and each knows others by name long before it hears them.
/// Every known daemon is a candidate unless there is evidence against it, so the choice depends on the names alone.
class ReaderChoice {
public:
    explicit ReaderChoice(FeedReaderSettings readerSettings = {})
        : settings(readerSettings)
    {
    }

    /// @param self This daemon's state, as in its next heartbeat.
    /// @return The readers, in rank order.
    const std::vector<InstanceId>& choose(const DaemonView& view, const EdgeHeartbeat& self, TimePoint now);

    const std::vector<InstanceId>& readers() const { return this->chosen; }

private:
    bool isSilent(const DaemonView& view, const DaemonReport& report, TimePoint now) const;

    /// A reader answers each heartbeat; several missing answers in a row mean that the reader is gone.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(3500);
    /// A reader that did not answer becomes a candidate again after this time.
    static constexpr Duration retryAfter = std::chrono::seconds(15);

    FeedReaderSettings settings;
    std::vector<InstanceId> chosen;
    std::map<InstanceId, TimePoint> chosenSince;
};

} // namespace goldcrestwood
