#include "goldcrestwood/view_quorum.h"

#include <algorithm>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

ViewQuorum::ViewQuorum(InstanceId id, std::uint64_t startNumber, Duration term)
    : self(std::move(id))
    , incarnation(startNumber)
    , supportTerm(term)
{
    this->setView({ this->self }, 1);
}

void ViewQuorum::setView(std::vector<InstanceId> alive, std::size_t listedNow)
{
    std::sort(alive.begin(), alive.end());
    this->viewDigest = 0;
    for (const auto& member : alive)
        this->viewDigest = stableHash(member.value, this->viewDigest + 1);
    this->listed = std::max(listedNow, alive.size());
    auto isGone = [&](const auto& entry) { return !std::binary_search(alive.begin(), alive.end(), entry.first); };
    std::erase_if(this->peers, isGone);
}

ViewReport ViewQuorum::report(const InstanceId& peer, TimePoint now)
{
    auto& state = this->peers[peer];
    // An echo of a report older than the term no longer gives support.
    std::erase_if(state.sent, [&](const Sent& sent) { return sent.at + this->supportTerm < now; });
    state.sent.push_back({ ++state.sentSequence, now });
    return { this->self, this->viewDigest, this->incarnation, state.sentSequence, state.seenIncarnation, state.seenSequence };
}

void ViewQuorum::onReport(const ViewReport& received)
{
    auto& peer = this->peers[received.from];
    const auto seen = std::pair(peer.seenIncarnation, peer.seenSequence);
    if (std::pair(received.incarnation, received.sequence) <= seen)
        return;
    peer.seenIncarnation = received.incarnation;
    peer.seenSequence = received.sequence;
    peer.digest = received.digest;
    if (received.echoIncarnation != this->incarnation)
        return;
    auto isEchoed = [&](const Sent& sent) { return sent.sequence == received.echo; };
    if (const auto echoed = std::find_if(peer.sent.begin(), peer.sent.end(), isEchoed); echoed != peer.sent.end())
        peer.echoedSentAt = echoed->at;
}

TimePoint ViewQuorum::supportedUntil(TimePoint now) const
{
    std::vector<TimePoint> support { now + this->supportTerm };
    for (const auto& [id, peer] : this->peers) {
        if (peer.digest == this->viewDigest)
            support.push_back(peer.echoedSentAt + this->supportTerm);
    }
    if (support.size() < this->majority())
        return TimePoint();
    const auto weakest = support.begin() + static_cast<std::ptrdiff_t>(this->majority() - 1);
    std::nth_element(support.begin(), weakest, support.end(), std::greater<>());
    return *weakest;
}

bool ViewQuorum::isUnanimous(TimePoint now) const
{
    auto supports = [&](const auto& entry) {
        return entry.second.digest == this->viewDigest && now < entry.second.echoedSentAt + this->supportTerm;
    };
    const auto others = std::count_if(this->peers.begin(), this->peers.end(), supports);
    return static_cast<std::size_t>(others) + 1 >= this->listed;
}

} // namespace goldcrestwood
