#pragma once

/// @file
/// Exchanges counts of runs with the daemons that may hold the duty, and sends the usage reports while this daemon holds it.

#include <map>
#include <optional>

#include "edge/edge_state.h"
#include "edge/http_call.h"
#include "edge/peer_link.h"
#include "goldcrestwood/duty_lease.h"

namespace goldcrestwood {

/// The part of the duty that concerns usage reports; does nothing if they are off.
class UsageRunner {
public:
    UsageRunner(EdgeState& state, const asio::any_io_executor& executor, PeerLink& peers, DutyLease& lease);

    /// Sends own counts that have changed, once a second, for the life of the process.
    Task<> exchangeCounts();
    /// Sends the reports that the duty topic contains while the lease allows it, for the life of the process.
    Task<> sendReports();

    /// @return Whether this daemon should append a record or, if it is not the holder, try to become it.
    bool isWorkDue() const;
    /// Adds the windows that are closed to the next record of the duty topic.
    void addTo(DutyRecord& record);
    /// Handles the acknowledgement of a record to which addTo() was applied last.
    void onAppended(const DutyRecord& record);
    /// Handles a record read from the duty topic.
    void onRecord(const DutyRecord& record);
    void onStoreReturned();
    /// Makes no calls before @p until, a time of suspensionAwareNow().
    void holdCalls(TimePoint until);

private:
    /// @return Whether this daemon has received the counts of all others.
    bool isCovered() const;
    /// @return First window for which this daemon has heard all notices of holders.
    std::uint64_t coveredFrom() const;
    /// Follows the choice of feed readers.
    void updateReceivers(TimePoint now);
    UsageNotice makeNotice() const;
    void send(UsageNotice notice);
    void giveUp(std::uint64_t window, const char* reason);
    Task<> sendReport(const UsageWindow& usage);

    EdgeState& state;
    asio::any_io_executor executor;
    PeerLink& peers;
    DutyLease& lease;
    HttpCaller platformCaller;
    UsagePlan planned; ///< What was added to the last record.
    std::map<InstanceId, TimePoint> receivers; ///< Daemons that get own counts, and when they were last feed readers.
    std::optional<TimePoint> receivesSince; ///< Since when other daemons send their counts to this one.
    TimePoint lastReader; ///< When this daemon was last a feed reader.
    TimePoint callsFrom;
    std::uint64_t conflictsSeen = 0;
};

} // namespace goldcrestwood
