#pragma once

/// @file
/// Majority support for a daemon's membership view; without it the daemon grants nothing as an owner.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/capacity_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Collects other daemons' view reports. Of two daemons with different views, at most one still has a majority after one
/// support term, so a new owner that waits for one term never grants at the same time as the old one.
class ViewQuorum {
public:
    /// @param startNumber Incarnation of this daemon.
    /// @param term How long a report supports its receiver, counted from when the receiver sent the report that it echoes.
    ViewQuorum(InstanceId id, std::uint64_t startNumber, Duration term);

    /// @param alive Members of the region in this daemon's view, itself included.
    /// @param listedNow Number of the region's daemons on the platform's list. The majority is of the larger of the two numbers.
    void setView(std::vector<InstanceId> alive, std::size_t listedNow);

    /// @return The report to send to @p peer with the next heartbeat.
    ViewReport report(const InstanceId& peer, TimePoint now);

    void onReport(const ViewReport& received);

    /// @return Until when a majority, including this daemon, supports its view; a time in the past if none does.
    TimePoint supportedUntil(TimePoint now) const;

    /// @return Whether every listed daemon supports this view now.
    bool isUnanimous(TimePoint now) const;

    /// @return Hash of the current view.
    std::uint64_t digest() const { return this->viewDigest; }

private:
    std::size_t majority() const { return this->listed / 2 + 1; }

    struct Sent {
        std::uint64_t sequence = 0;
        TimePoint at;
    };

    struct Peer {
        std::uint64_t sentSequence = 0;
        std::uint64_t seenIncarnation = 0;
        std::uint64_t seenSequence = 0;
        std::vector<Sent> sent;
        std::uint64_t digest = 0;
        TimePoint echoedSentAt;
    };

    InstanceId self;
    std::uint64_t incarnation;
    Duration supportTerm;
    std::uint64_t viewDigest = 0;
    std::size_t listed = 1;
    std::unordered_map<InstanceId, Peer> peers;
};

} // namespace goldcrestwood
