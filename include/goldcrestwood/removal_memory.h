#pragma once

/// @file
/// Tracks for how long a daemon, or the peers that it has asked, have seen every removal from the registry.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A removal can only be told from a write that the store carries out late by a daemon that knows the removal, and a listing does
/// not show it. So a daemon that starts asks those that have run for longer.
class RemovalMemory {
public:
    /// The store carries out a write at most this much later than it was sent.
    static constexpr Duration maxWriteDelay = std::chrono::seconds(12);
    /// How long a removal is remembered. The store may also return from a copy that is some seconds old and still has the key.
    static constexpr Duration removalLifetime = std::chrono::seconds(60);
    /// Bounds the queries of a whole site that starts at once, when no daemon remembers anything.
    static constexpr std::size_t maxAnswers = 6;

    /// A daemon that may be asked.
    struct Peer {
        std::uint64_t incarnation = 0; ///< Start of its process; a lower one has run for longer.
        bool isReader = false; ///< Feed readers know removals first.

        bool operator==(const Peer&) const = default;
    };

    /// @param end Position up to which the registry has been read. Removals after the first such position are seen here.
    void onKnown(std::uint64_t end, TimePoint now)
    {
        if (this->firstEnd)
            return;
        this->firstEnd = end;
        this->rememberedSince = now;
    }

    /// Takes over the memory of a peer, whose removals have been applied.
    /// @param remembered For how long the peer knows all removals.
    /// @param end Position up to which it has read the registry.
    void onAnswer(Duration remembered, std::uint64_t end, TimePoint now)
    {
        if (!this->reachesStart(end))
            return;
        ++this->answers;
        this->rememberedSince = std::min(this->rememberedSince, now - remembered);
    }

    /// @return Whether a peer that has read the registry up to @p end knows all removals before the first that is seen here.
    bool reachesStart(std::uint64_t end) const { return this->firstEnd && end >= *this->firstEnd; }

    /// @return For how long all removals are known.
    Duration remembered(TimePoint now) const { return this->firstEnd ? now - this->rememberedSince : Duration(0); }

    /// @return Whether another peer's memory may be needed.
    bool needsPeers(TimePoint now) const { return this->firstEnd && this->answers < maxAnswers && this->remembered(now) < maxWriteDelay; }

    /// @param peers Daemons that answer.
    /// @return Index of the one to ask next: of those whose memory is not known yet the one asked least often, then a feed reader, then
    /// the one that has run longest.
    std::optional<std::size_t> pickPeer(const std::vector<Peer>& peers) const
    {
        std::optional<std::size_t> best;
        const auto rank = [&](std::size_t index) {
            const auto& peer = peers[index];
            const auto found = this->questions.find(peer.incarnation);
            return std::tuple(found == this->questions.end() ? 0 : found->second, !peer.isReader, peer.incarnation);
        };
        for (std::size_t index = 0; index < peers.size(); ++index)
            if (!this->answered.contains(peers[index].incarnation) && (!best || rank(index) < rank(*best)))
                best = index;
        return best;
    }

    /// @param isAnswered Whether the peer's memory is known now. Otherwise it is asked again after the others.
    void onAsked(const Peer& peer, bool isAnswered)
    {
        ++this->questions[peer.incarnation];
        if (isAnswered)
            this->answered.insert(peer.incarnation);
    }

private:
    std::optional<std::uint64_t> firstEnd; ///< Position from which on this daemon has read the registry.
    TimePoint rememberedSince {};
    std::size_t answers = 0;
    std::map<std::uint64_t, std::uint32_t> questions; ///< Number by incarnation.
    std::set<std::uint64_t> answered; ///< Incarnations.
};

} // namespace goldcrestwood
