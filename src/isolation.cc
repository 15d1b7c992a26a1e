#include "goldcrestwood/isolation.h"

namespace goldcrestwood {

Isolation::Isolation(IsolationSettings initialSettings, TimePoint now)
    : settings(initialSettings)
    , lastPoll(now)
    , lastLogRead(now)
    , lastMajorityContact(now)
{
}

void Isolation::onLogRead(TimePoint now)
{
    this->lastLogRead = now;
}

bool Isolation::poll(const PeerContact& contact, TimePoint now)
{
    const bool paused = now - this->lastPoll > this->settings.maxPollGap;
    this->lastPoll = now;
    if (!paused && this->reachesMajority(contact))
        this->lastMajorityContact = now;

    const auto& freshness = this->settings.returnFreshness;
    const bool logFresh = now - this->lastLogRead <= (this->isolated ? freshness : this->settings.logTimeout);
    const bool peersFresh = now - this->lastMajorityContact <= (this->isolated ? freshness : this->settings.peerTimeout);
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

bool Isolation::reachesMajority(const PeerContact& contact) const
{
    const auto all = static_cast<double>(contact.known + 1);
    const auto reached = static_cast<double>(contact.reachable + 1);
    const auto needed = all * this->settings.minimumShare;
    return reached > needed || (reached == needed && contact.holdsTieBreak);
}

} // namespace goldcrestwood
