#pragma once

/// @file
/// Chooses the daemons that read for all, so that hundreds of daemons with different news come to the same ones.

#include <map>
#include <vector>

#include "goldcrestwood/daemon_view.h"
#include "goldcrestwood/feed_readers.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: all daemons of a site start at the same moment, and each knows others by name long before it has heard them.
/// Whoever is known counts, unless there is evidence against it: then the choice follows from the names alone.
class ReaderChoice {
public:
    explicit ReaderChoice(FeedReaderSettings readerSettings = {})
        : settings(readerSettings)
    {
    }

    /// @param self This daemon, as its next heartbeat would tell.
    /// @return The readers, the first in rank first.
    const std::vector<InstanceId>& choose(const DaemonView& view, const EdgeHeartbeat& self, TimePoint now);

    const std::vector<InstanceId>& readers() const { return this->chosen; }

private:
    bool isSilent(const DaemonView& view, const DaemonReport& report, TimePoint now) const;

    /// A reader answers each heartbeat; several of them are lost only together with the reader.
    static constexpr Duration answerLimit = std::chrono::milliseconds(3500);
    /// A reader that did not answer is tried again after this time.
    static constexpr Duration retryAfter = std::chrono::seconds(15);

    FeedReaderSettings settings;
    std::vector<InstanceId> chosen;
    std::map<InstanceId, TimePoint> chosenSince;
};

} // namespace goldcrestwood
