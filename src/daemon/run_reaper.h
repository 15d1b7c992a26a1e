#pragma once

/// @file
/// Cancels the runs of disconnected callers after the resume window.

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "daemon/peer_directory.h"
#include "daemon/permit_service.h"
#include "goldcrestwood/permits.h"

namespace goldcrestwood {

/// A run whose caller has disconnected.
struct DetachedRun {
    std::string runId;
    UpstreamId upstream;
    std::string address;
    Permit permit;
};

class RunReaper {
public:
    /// @param permits, directory Must outlive the reaper.
    RunReaper(PermitService& permits, PeerDirectory& directory);
    ~RunReaper();

    void start();
    /// Stops without cancelling the remaining runs, which end on their own.
    void stop();

    /// Cancels the run after @p window unless its caller resumes it by then, at this daemon or another.
    void scheduleCancel(const DetachedRun& run, Duration window);
    /// Notifies @p origin, the daemon that started the run, that the caller has resumed it.
    void notifyResumed(const InstanceId& origin, const std::string& run);

private:
    void release(const std::string& run);
    void reap();

    PermitService& permits;
    PeerDirectory& directory;
    std::mutex mutex;
    std::condition_variable wake;
    std::map<std::string, DetachedRun> detachedRuns;
    std::multimap<TimePoint, std::string> cancelTimes;
    bool stopping = false;
    std::thread thread;
};

} // namespace goldcrestwood
