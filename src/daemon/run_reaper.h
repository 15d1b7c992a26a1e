#pragma once

/// @file
/// Keeps the runs of callers that went away for the resume window, then cancels them.

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "daemon/peer_directory.h"
#include "daemon/permit_service.h"
#include "goldcrestwood/permits.h"

namespace goldcrestwood {

/// A run whose caller is gone.
struct KeptRun {
    std::string run;
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
    /// Cancels nothing more; runs end by themselves.
    void stop();

    /// Cancels the run after @p window unless its caller comes back before, here or at another daemon.
    void keep(const KeptRun& run, Duration window);
    /// The caller of a run is back; @p keeper is the daemon that began the run.
    void onResumed(const InstanceId& keeper, const std::string& run);

private:
    void release(const std::string& run);
    void reap();

    PermitService& permits;
    PeerDirectory& directory;
    std::mutex mutex;
    std::condition_variable wake;
    std::map<std::string, KeptRun> kept;
    std::multimap<TimePoint, std::string> due;
    bool stopping = false;
    std::thread thread;
};

} // namespace goldcrestwood
