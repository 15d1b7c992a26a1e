#pragma once

/// @file
/// Runs the Peers of several daemons in one process; messages can be lost, delayed, duplicated or blocked by a partition.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestwood/peers.h"

namespace goldcrestwood {

/// Message faults between daemons.
struct LoopbackFaults {
    double loss = 0;
    double duplicated = 0;
    Duration maxDelay = std::chrono::milliseconds(2);
};

struct LoopbackNode {
    InstanceId id;
    std::uint64_t incarnation = 1;
    MemberInfo info;
    std::unique_ptr<Peers> peers; ///< Null while the process is down.
    TimePoint pausedUntil {};
    int side = 0; ///< Side of a partition; messages pass only between nodes on the same side.
    std::uint64_t sentBytes = 0;
    std::vector<Member> changes;
};

class PeersLoopback {
public:
    using Hook = std::function<void(std::size_t node, const PeersOutput& output)>;

    PeersLoopback(std::size_t daemons, std::size_t regions, std::uint64_t seed, PeersSettings chosen = {})
        : settings(chosen)
        , random(seed)
    {
        const std::size_t domains = 3;
        for (std::size_t i = 0; i < daemons; ++i) {
            LoopbackNode node;
            node.id = InstanceId("instance-" + std::to_string(i));
            const auto region = "region-" + std::to_string(i % regions);
            node.info = { "10.0.0.1:" + std::to_string(1000 + i), "10.0.0.1:" + std::to_string(5000 + i),
                FailureDomain(region + "-domain-" + std::to_string(i / regions % domains)), Region(region),
                MemberPhase::Ready, 0 };
            this->byAddress[node.info.peerAddress] = i;
            this->nodes.push_back(std::move(node));
        }
        for (std::size_t i = 0; i < daemons; ++i)
            this->start(i);
    }

    void start(std::size_t index)
    {
        auto& node = this->nodes[index];
        node.info.counter = 0;
        node.peers = std::make_unique<Peers>(this->settings, node.id, node.incarnation, node.info, this->now);
        node.peers->onInstances(this->list(), this->now);
    }

    void stop(std::size_t index) { this->nodes[index].peers.reset(); }

    void restart(std::size_t index)
    {
        this->stop(index);
        ++this->nodes[index].incarnation;
        this->start(index);
    }

    void pause(std::size_t index, Duration time) { this->nodes[index].pausedUntil = this->now + time; }

    void run(Duration time)
    {
        const auto end = this->now + time;
        while (this->now < end)
            this->step();
    }

    /// Runs until @p done returns true.
    /// @return The elapsed time, or nothing after more than @p limit.
    std::optional<Duration> runUntil(const std::function<bool()>& done, Duration limit)
    {
        const auto start = this->now;
        while (!done()) {
            if (this->now - start > limit)
                return std::nullopt;
            this->step();
        }
        return this->now - start;
    }

    MemberState stateOf(std::size_t observer, std::size_t subject) const
    {
        const auto* member = this->nodes[observer].peers->membership().find(this->nodes[subject].id);
        return member ? member->state : MemberState::Listed;
    }

    /// @return Whether each running daemon considers all other running daemons of its region alive.
    bool allAlive() const
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (std::size_t k = 0; k < this->nodes.size(); ++k) {
                const bool counts = this->nodes[i].peers && this->nodes[k].peers
                    && this->nodes[i].info.region == this->nodes[k].info.region;
                if (counts && this->stateOf(i, k) != MemberState::Alive)
                    return false;
            }
        }
        return true;
    }

    /// @return How often a daemon declared a peer dead, counting only what @p counts accepts, since the changes were last cleared.
    std::size_t deaths(const std::function<bool(std::size_t observer, const Member&)>& counts) const
    {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (const auto& member : this->nodes[i].changes)
                sum += member.state == MemberState::Dead && counts(i, member) ? 1 : 0;
        }
        return sum;
    }

    std::vector<ListedInstance> list() const
    {
        std::vector<ListedInstance> listed;
        for (const auto& node : this->nodes)
            listed.push_back({ node.id, node.info.peerAddress, node.info.domain, node.info.region, false });
        return listed;
    }

    PeersSettings settings;
    Random random;
    LoopbackFaults faults;
    std::set<std::pair<std::size_t, std::size_t>> brokenLinks; ///< Pairs of node indices, lower index first.
    Hook hook;
    std::vector<LoopbackNode> nodes;
    TimePoint now = TimePoint(std::chrono::hours(1));
    static constexpr Duration tick = std::chrono::milliseconds(100);

private:
    struct InFlight {
        std::size_t from = 0;
        std::size_t to = 0;
        GossipMessage message;
    };

    std::map<std::string, std::size_t> byAddress;
    std::multimap<TimePoint, InFlight> wire;

    bool isPaused(std::size_t index) const { return this->now < this->nodes[index].pausedUntil; }

    void step()
    {
        this->now += tick;
        while (!this->wire.empty() && this->wire.begin()->first <= this->now) {
            auto entry = this->wire.extract(this->wire.begin());
            this->deliver(std::move(entry.mapped()));
        }
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->nodes[i].peers || this->isPaused(i))
                continue;
            auto output = this->nodes[i].peers->poll(this->now, this->random);
            this->report(i, output);
            for (auto& message : output.messages) {
                if (const auto to = this->byAddress.find(message.address); to != this->byAddress.end())
                    this->send({ i, to->second, std::move(message.message) });
            }
        }
    }

    void send(const InFlight& message)
    {
        auto& sender = this->nodes[message.from];
        sender.sentBytes += encode(message.message).size() + 4;
        const int copies = uniform(this->random) < this->faults.duplicated ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (uniform(this->random) < this->faults.loss)
                continue;
            const auto delay = std::chrono::duration_cast<Duration>(this->faults.maxDelay * uniform(this->random));
            this->wire.emplace(this->now + delay, message);
        }
    }

    void deliver(InFlight message)
    {
        auto& receiver = this->nodes[message.to];
        const auto link = std::minmax(message.from, message.to);
        if (this->brokenLinks.contains({ link.first, link.second }))
            return;
        if (!receiver.peers || receiver.side != this->nodes[message.from].side)
            return;
        if (this->isPaused(message.to)) {
            this->wire.emplace(receiver.pausedUntil, std::move(message));
            return;
        }
        auto output = receiver.peers->onMessage(message.message, this->now);
        this->report(message.to, output);
        if (output.reply)
            this->send({ message.to, message.from, std::move(*output.reply) });
    }

    void report(std::size_t index, const PeersOutput& output)
    {
        auto& changes = this->nodes[index].changes;
        changes.insert(changes.end(), output.members.begin(), output.members.end());
        if (this->hook)
            this->hook(index, output);
    }
};

} // namespace goldcrestwood
