#include "goldcrestwood/isolation.h"

namespace goldcrestwood {

Isolation::Isolation(IsolationSettings initialSettings, TimePoint now)
    : settings(initialSettings)
    , lastPoll(now)
    , lastLogRead(now)
    , lastMostPeers(now)
{
}

void Isolation::onLogRead(TimePoint now)
{
    this->lastLogRead = now;
}

bool Isolation::poll(const PeerContact& contact, TimePoint now)
{
    const bool paused = now - this->lastPoll > this->settings.pauseLimit;
    this->lastPoll = now;
    if (!paused && this->reachesMost(contact))
        this->lastMostPeers = now;

    const auto& freshness = this->settings.returnFreshness;
    const bool logFresh = now - this->lastLogRead <= (this->isolated ? freshness : this->settings.logLimit);
    const bool peersFresh = now - this->lastMostPeers <= (this->isolated ? freshness : this->settings.peerLimit);
    if (!logFresh && !peersFresh) {
        this->connectedSince.reset();
        this->isolated = true;
        return true;
    }
    if (!this->connectedSince)
        this->connectedSince = now;
    if (now - *this->connectedSince >= this->settings.returnAfter)
        this->isolated = false;
    return this->isolated;
}

bool Isolation::reachesMost(const PeerContact& contact) const
{
    const auto all = static_cast<double>(contact.known + 1);
    const auto reached = static_cast<double>(contact.reachable + 1);
    const auto needed = all * this->settings.minimumShare;
    return reached > needed || (reached == needed && contact.holdsTieBreak);
}

} // namespace goldcrestwood
