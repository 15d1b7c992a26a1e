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
    /// @param supportTerm How long a report supports the receiver, counted from the sending of the report it echoes.
    ViewQuorum(InstanceId self, Duration supportTerm);

    /// @param alive Members of the region by this daemon's own view, itself included.
    /// @param listed Number of daemons of the region on the platform's list; the majority is taken of the larger number.
    void setView(std::vector<InstanceId> alive, std::size_t listed);

    /// @return The report to send to @p peer now, with each heartbeat.
    ViewReport report(const InstanceId& peer, TimePoint now);

    void onReport(const ViewReport& report);

    /// @return Until when a majority, this daemon included, supports its view; in the past if none does.
    TimePoint supportedUntil(TimePoint now) const;

    /// @return Hash of the present view.
    std::uint64_t digest() const { return this->viewDigest; }

private:
    struct Peer {
        std::uint64_t sentSequence = 0;
        std::uint64_t echoedSequence = 0;
        std::uint64_t seenSequence = 0;
        std::uint64_t digest = 0;
        std::vector<std::pair<std::uint64_t, TimePoint>> sent;
        TimePoint supportsUntil;
    };

    InstanceId self;
    Duration supportTerm;
    std::uint64_t viewDigest = 0;
    std::size_t majority = 1;
    std::unordered_map<InstanceId, Peer> peers;
};

} // namespace goldcrestwood
