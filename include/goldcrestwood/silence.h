#pragma once

/// @file
/// Detects silent connections: abandons all pooled connections to an address after one missed deadline.

#include <cstdint>
#include <optional>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Timeouts and limits of the connections to one address.
struct SilenceSettings {
    /// Timeout for the first byte of an answer.
    Duration answerDeadline = std::chrono::milliseconds(500);
    /// Consecutive new connections that may stay silent before the address counts as unreachable.
    std::uint32_t unreachableAfter = 2;
    /// Interval between probes of an unreachable address.
    Duration probeInterval = std::chrono::seconds(1);

    bool operator==(const SilenceSettings&) const = default;
};

/// Whether an address answers.
enum class Reachability : std::uint8_t {
    Answering, ///< The newest generation has answered, or no deadline was missed yet.
    Suspect, ///< The previous generation went silent; the new one has not answered yet.
    Unreachable, ///< New connections get no answer either.
};

/// One exchange on a pooled connection.
struct Exchange {
    /// Generation of the connection that carries it.
    std::uint64_t generation = 0;
    /// When it counts as missed, unless answered.
    TimePoint deadline;

    bool operator==(const Exchange&) const = default;
};

/// The connections to one peer or upstream address. All connections of one generation are abandoned together: a middlebox or
/// host that lost the state of one of them has most likely lost that of the others too.
class ConnectionGenerations {
public:
    explicit ConnectionGenerations(SilenceSettings bounds = {});

    /// @return The exchange to send now on a connection of its generation, or nothing while the address is unreachable and its
    /// next probe is not due.
    std::optional<Exchange> begin(TimePoint now);

    /// An answer arrived, in time or late; one on an abandoned connection has no effect.
    void answered(const Exchange& exchange);

    /// The connection was closed, or could not be opened, before an answer.
    /// @return True if the caller must close all connections of that generation and older ones.
    bool failed(const Exchange& exchange, TimePoint now);

    /// @return True if the deadline of @p exchange has passed and its generation is abandoned; the caller must close the
    /// connections of that generation and older ones without waiting for their answers.
    bool missed(const Exchange& exchange, TimePoint now);

    /// @return Whether a pooled connection of generation @p candidate may carry new work.
    bool usable(std::uint64_t candidate) const { return candidate == this->current; }

    /// @return The generation that new connections belong to.
    std::uint64_t generation() const { return this->current; }

    Reachability reachability() const;

private:
    bool abandon(std::uint64_t silent, TimePoint now);

    SilenceSettings settings;
    std::uint64_t current = 1;
    std::uint32_t silentGenerations = 0;
    TimePoint nextProbe;
};

} // namespace goldcrestwood
