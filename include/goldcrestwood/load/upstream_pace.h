#pragma once

/// @file
/// How long work currently takes on an upstream's machine, as reported in its answers and by other daemons.

#include <cstdint>
#include <optional>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Plausible reports, in percent of the normal time. Others are rejected.
inline constexpr std::uint32_t minPacePercent = 10;
inline constexpr std::uint32_t maxPacePercent = 10000;

/// Load that an upstream reports in an answer.
struct ServerLoad {
    std::uint32_t running = 0; ///< Requests that it is running.
    std::uint32_t waiting = 0; ///< Requests that wait there.
    std::uint32_t slots = 0; ///< Requests that it can run at the same time.
    std::optional<std::uint32_t> pacePercent; ///< How long work takes at present; 100 is normal. Only on machines that are shared with others.

    bool operator==(const ServerLoad&) const = default;
};

/// The pace of one incarnation of an upstream, as one daemon knows it.
///
/// The value changes several times a second, so the weight of a report decreases with its age towards the normal pace.
class UpstreamPace {
public:
    /// Takes a report, unless a newer one is known.
    /// @param percent Rejected if it is not between minPacePercent and maxPacePercent.
    /// @param at When the upstream reported it.
    /// @param isOwnAnswer Whether it comes from an answer to this daemon, not from another daemon.
    /// @return Whether the report was taken.
    bool onReport(std::uint32_t percent, TimePoint at, bool isOwnAnswer);

    /// @return Whether the upstream has ever reported its pace.
    bool isKnown() const { return this->latest.has_value(); }

    /// @return The expected time of work, as a multiple of the normal time; 1 without a report.
    double factor(TimePoint now) const;

    /// @param born Start of the incarnation.
    /// @param withPeers Whether to include a report that is known only from other daemons.
    /// @return The newest report for other daemons, or nothing if there is none or it is too old to be of use.
    std::optional<PaceReport> report(const UpstreamId& upstream, std::int64_t born, bool withPeers, TimePoint now) const;

    bool operator==(const UpstreamPace&) const = default;

private:
    struct Value {
        std::uint32_t percent = 0;
        TimePoint at;
        bool isOwnAnswer = false;

        bool operator==(const Value&) const = default;
    };
    std::optional<Value> latest;
};

/// Encodes a datagram within a number of bytes; drops the oldest pace reports if it would be longer.
/// @param maxBytes Longest datagram that receivers accept.
/// @return The encoded datagram; longer than @p maxBytes only if it is so without any pace reports.
std::string encodeBounded(PeerDatagram datagram, std::size_t maxBytes);

} // namespace goldcrestwood
