#include "goldcrestwood/load/upstream_pace.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace goldcrestwood {

namespace {

    /// Half-life of a report's weight. Machines turn slow or normal again about every 0.6 s, and a peer's report is up to 0.5 s old.
    constexpr Duration paceHalfLife = std::chrono::milliseconds(300);
    /// Older reports are not sent to other daemons: less than a tenth of their weight is left.
    constexpr Duration maxSentAge = std::chrono::milliseconds(1000);
    constexpr double normalPercent = 100;

    void dropOldestHalf(std::vector<PaceReport>& paces)
    {
        std::sort(paces.begin(), paces.end(), [](const auto& left, const auto& right) { return left.ageMs < right.ageMs; });
        paces.resize(paces.size() / 2);
    }

} // namespace

bool UpstreamPace::onReport(std::uint32_t percent, TimePoint at, bool isOwnAnswer)
{
    if (percent < minPacePercent || percent > maxPacePercent || (this->latest && at <= this->latest->at))
        return false;
    this->latest = { percent, at, isOwnAnswer };
    return true;
}

double UpstreamPace::factor(TimePoint now) const
{
    if (!this->latest)
        return 1;
    const auto age = std::max(now - this->latest->at, Duration(0));
    const auto weight = std::exp2(-toSeconds(age) / toSeconds(paceHalfLife));
    return 1 + (this->latest->percent / normalPercent - 1) * weight;
}

std::optional<PaceReport> UpstreamPace::report(const UpstreamId& upstream, std::int64_t born, bool withPeers, TimePoint now) const
{
    if (!this->latest || now - this->latest->at > maxSentAge || !(withPeers || this->latest->isOwnAnswer))
        return std::nullopt;
    return PaceReport { upstream, born, this->latest->percent, ageMs(this->latest->at, now) };
}

std::string encodeBounded(PeerDatagram datagram, std::size_t maxBytes)
{
    auto bytes = encode(datagram);
    const auto hasPaces = [&] { return (datagram.report && !datagram.report->paces.empty()) || (datagram.digest && !datagram.digest->paces.empty()); };
    while (bytes.size() > maxBytes && hasPaces()) {
        if (datagram.report)
            dropOldestHalf(datagram.report->paces);
        if (datagram.digest)
            dropOldestHalf(datagram.digest->paces);
        bytes = encode(datagram);
    }
    return bytes;
}

} // namespace goldcrestwood
