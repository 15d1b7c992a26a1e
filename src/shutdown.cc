#include "goldcrestwood/shutdown.h"

namespace goldcrestwood {

using Kind = ShutdownAction::Kind;

const char* toString(ShutdownPhase phase)
{
    switch (phase) {
    case ShutdownPhase::Running:
        return "running";
    case ShutdownPhase::Announced:
        return "announced";
    case ShutdownPhase::Draining:
        return "draining";
    case ShutdownPhase::Cutting:
        return "cutting";
    case ShutdownPhase::Ended:
        return "ended";
    }
    return "unknown";
}

Shutdown::Shutdown(ShutdownSettings initialSettings)
    : settings(initialSettings)
{
}

void Shutdown::onReady(TimePoint)
{
    this->wasReady = true;
}

std::vector<ShutdownAction> Shutdown::onSignal(TimePoint now)
{
    if (this->step == ShutdownPhase::Ended)
        return {};
    if (this->step != ShutdownPhase::Running) {
        this->step = ShutdownPhase::Ended;
        return { { Kind::Exit, 1 } };
    }
    this->step = ShutdownPhase::Announced;
    this->announcedAt = now;
    return { { Kind::AnnounceLeaving }, { Kind::HandOver } };
}

void Shutdown::onHandedOver(TimePoint)
{
    this->handedOver = true;
}

std::vector<ShutdownAction> Shutdown::poll(const ShutdownView& view, TimePoint now)
{
    std::vector<ShutdownAction> actions;
    if (this->step == ShutdownPhase::Announced && this->mayStopAccepting(view, now)) {
        this->step = ShutdownPhase::Draining;
        this->drainingSince = now;
        actions.push_back({ Kind::StopAccepting });
    }
    if (this->step == ShutdownPhase::Draining && view.openRequests > 0
        && now - this->drainingSince >= this->settings.streamTimeout) {
        this->step = ShutdownPhase::Cutting;
        this->cuttingSince = now;
        actions.push_back({ Kind::CutStreams });
    }
    const bool drained = this->step == ShutdownPhase::Draining && view.openRequests == 0;
    const bool cut = this->step == ShutdownPhase::Cutting
        && (view.openRequests == 0 || now - this->cuttingSince >= this->settings.errorEventTimeout);
    if ((drained || cut) && this->handOverSettled(now)) {
        this->step = ShutdownPhase::Ended;
        actions.push_back({ Kind::AnnounceLeft });
        actions.push_back({ Kind::Exit, 0 });
    }
    return actions;
}

/// A peer that learned of the shutdown late may have named this daemon for longer than planned, so the daemon keeps accepting
/// for a while as long as requests arrive.
bool Shutdown::mayStopAccepting(const ShutdownView& view, TimePoint now) const
{
    if (!this->wasReady)
        return true;
    const auto expiry = this->announcedAt + this->settings.gossipDelay + this->settings.answerLifetime;
    if (now < expiry)
        return false;
    const bool quiet = !view.lastRequestStart || now - *view.lastRequestStart >= this->settings.quietPeriod;
    return quiet || now >= expiry + this->settings.maxLateRequestTime;
}

bool Shutdown::handOverSettled(TimePoint now) const
{
    return this->handedOver || now - this->announcedAt >= this->settings.handOverTimeout;
}

} // namespace goldcrestwood
