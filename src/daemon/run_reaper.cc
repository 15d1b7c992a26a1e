#include "daemon/run_reaper.h"

#include <utility>
#include <vector>

#include "daemon/clock.h"
#include "daemon/upstream_client.h"
#include "goldcrestwood/daemon_messages.h"

namespace goldcrestwood {

namespace {

    constexpr Duration cancelTimeout = std::chrono::milliseconds(500);
    constexpr Duration idleWait = std::chrono::seconds(1);

} // namespace

RunReaper::RunReaper(PermitService& permitService, PeerDirectory& peerDirectory)
    : permits(permitService)
    , directory(peerDirectory)
{
    this->directory.handlePosted<RunResumed>("RunResumed", [this](const RunResumed& resumed) { this->release(resumed.run); });
}

RunReaper::~RunReaper()
{
    this->stop();
}

void RunReaper::start()
{
    this->thread = std::thread([this] { this->reap(); });
}

void RunReaper::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void RunReaper::scheduleCancel(const DetachedRun& run, Duration window)
{
    {
        const std::lock_guard lock(this->mutex);
        this->detachedRuns[run.runId] = run;
        this->cancelTimes.emplace(monotonicNow() + window, run.runId);
    }
    this->wake.notify_all();
}

void RunReaper::notifyResumed(const InstanceId& origin, const std::string& run)
{
    this->directory.post(origin, "RunResumed", RunResumed { run });
}

void RunReaper::release(const std::string& run)
{
    std::optional<DetachedRun> found;
    {
        const std::lock_guard lock(this->mutex);
        if (const auto entry = this->detachedRuns.find(run); entry != this->detachedRuns.end()) {
            found = entry->second;
            this->detachedRuns.erase(entry);
        }
    }
    if (found)
        this->permits.release(found->upstream, found->permit, PermitEnd::Cancelled);
}

void RunReaper::reap()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const auto now = monotonicNow();
        if (this->cancelTimes.empty() || this->cancelTimes.begin()->first > now) {
            const auto until = this->cancelTimes.empty() ? now + idleWait : this->cancelTimes.begin()->first;
            this->wake.wait_until(lock, until);
            continue;
        }
        const auto entry = this->detachedRuns.find(this->cancelTimes.begin()->second);
        this->cancelTimes.erase(this->cancelTimes.begin());
        if (entry == this->detachedRuns.end())
            continue;
        const auto run = entry->second;
        lock.unlock();
        cancelRun(run.address, run.runId, cancelTimeout);
        this->release(run.runId);
        lock.lock();
    }
}

} // namespace goldcrestwood
