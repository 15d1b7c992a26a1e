#pragma once

/// @file
/// Majority support for a daemon's view of the membership, without which it grants nothing as an owner.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/capacity_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Collects reports of other daemons' views. Two daemons with different views cannot both have a majority that is
/// still in force after one support term, so a new owner that waits for this term never grants beside an old one.
class ViewQuorum {
public:
    /// @param startNumber Number of this daemon's start.
    /// @param term How long a report supports the receiver, counted from the sending of the report it echoes.
    ViewQuorum(InstanceId id, std::uint64_t startNumber, Duration term);

    /// @param alive Members of the region by this daemon's own view, itself included.
    /// @param listedNow Number of daemons of the region on the platform's list; the majority is taken of the larger number.
    void setView(std::vector<InstanceId> alive, std::size_t listedNow);

    /// @return The report to send to @p peer now, with each heartbeat.
    ViewReport report(const InstanceId& peer, TimePoint now);

    void onReport(const ViewReport& received);

    /// @return Until when a majority, this daemon included, supports its view; in the past if none does.
    TimePoint supportedUntil(TimePoint now) const;

    /// @return Whether every listed daemon supports this view now.
    bool unanimous(TimePoint now) const;

    /// @return Hash of the present view.
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
