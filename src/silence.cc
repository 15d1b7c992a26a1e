#include "goldcrestwood/silence.h"

namespace goldcrestwood {

ConnectionGenerations::ConnectionGenerations(SilenceSettings bounds)
    : settings(bounds)
{
}

std::optional<Exchange> ConnectionGenerations::begin(TimePoint now)
{
    if (this->reachability() == Reachability::Unreachable) {
        if (now < this->nextProbe)
            return std::nullopt;
        this->nextProbe = now + this->settings.probeInterval;
    }
    return Exchange { this->current, now + this->settings.answerDeadline };
}

void ConnectionGenerations::answered(const Exchange& exchange)
{
    if (this->usable(exchange.generation))
        this->silentGenerations = 0;
}

bool ConnectionGenerations::failed(const Exchange& exchange, TimePoint now)
{
    return this->abandon(exchange.generation, now);
}

bool ConnectionGenerations::missed(const Exchange& exchange, TimePoint now)
{
    return now >= exchange.deadline && this->abandon(exchange.generation, now);
}

Reachability ConnectionGenerations::reachability() const
{
    if (this->silentGenerations == 0)
        return Reachability::Answering;
    // The first silent generation may only have lost its connection state; only new connections show whether the address answers.
    return this->silentGenerations <= this->settings.unreachableAfter ? Reachability::Suspect : Reachability::Unreachable;
}

bool ConnectionGenerations::abandon(std::uint64_t silent, TimePoint now)
{
    if (!this->usable(silent))
        return false;
    ++this->current;
    ++this->silentGenerations;
    this->nextProbe = now + this->settings.probeInterval;
    return true;
}

} // namespace goldcrestwood
