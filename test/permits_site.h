#pragma once

/// @file
/// Simulation of seven daemons that request, grant and use permits of one upstream over a faulty network.

#include <algorithm>
#include <map>
#include <memory>

#include <catch2/catch.hpp>

#include "goldcrestwood/hash.h"
#include "goldcrestwood/permits.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/view_quorum.h"

namespace goldcrestwood::permits_model {

using namespace std::chrono_literals;

const UpstreamId target("kiln-voice-3");

using Message = std::variant<PermitRequest, PermitGrant, PermitRevoke, PermitHandover, ViewReport>;

struct Packet {
    std::size_t from = 0;
    std::size_t to = 0;
    Message message;
};

/// Faults of one simulation run.
struct Faults {
    double loss = 0;
    double duplication = 0;
    Duration maxDelay = 5ms;
    bool partitions = false;
    bool pauses = false;
    bool restarts = false;
    bool upstreamRestarts = false;
};

struct RunningRequest {
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;
    Permit permit;
    std::uint64_t epoch = 0;
};

struct Daemon {
    InstanceId id;
    std::uint64_t incarnation = 1;
    double clockRate = 1;
    Duration clockOffset = 0s;
    std::vector<bool> reachableFrom;
    std::vector<InstanceId> view;
    TimePoint pausedUntil;
    std::uint32_t demand = 0;
    std::unique_ptr<ViewQuorum> quorum;
    std::unique_ptr<PermitHolder> holder;
    std::unique_ptr<PermitIssuer> issuer;
    std::size_t owner = 0;
};

/// Seven daemons in front of one upstream, with a network that loses, delays and duplicates messages.
class Site {
public:
    Site(std::uint64_t seed, Faults faultsWanted, ConcurrencySettings limitsWanted)
        : random(seed)
        , faults(faultsWanted)
        , limits(limitsWanted)
    {
        for (std::size_t i = 0; i < 7; ++i)
            this->ids.push_back(InstanceId("nha-be-" + std::to_string(i)));
        for (std::size_t i = 0; i < 7; ++i) {
            this->daemons.emplace_back();
            auto& daemon = this->daemons.back();
            daemon.id = this->ids[i];
            daemon.clockRate = 1 + 0.002 * (uniform(this->random) - 0.5);
            daemon.clockOffset = Duration(std::int64_t(1e9 * uniform(this->random)));
            daemon.reachableFrom.assign(7, true);
            daemon.demand = 1 + std::uint32_t(5 * uniform(this->random));
            this->start(daemon);
        }
    }

    void run(Duration length)
    {
        for (const auto end = this->now + length; this->now < end;)
            this->step();
    }

    void step()
    {
        this->injectFaults();
        this->deliver();
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            if (this->now >= this->daemons[i].pausedUntil)
                this->runDaemon(i);
        }
        this->finishRequests();
        this->checkLimit();
        this->now += 5ms;
    }

    std::uint32_t requestsAtUpstream() const
    {
        auto isCurrent = [&](const auto& entry) { return entry.epoch == this->epoch; };
        return std::uint32_t(std::count_if(this->running.begin(), this->running.end(), isCurrent));
    }

    const PermitIssuer* issuer() const
    {
        auto isOwner = [](const Daemon& daemon) { return daemon.issuer != nullptr; };
        return std::find_if(this->daemons.begin(), this->daemons.end(), isOwner)->issuer.get();
    }

    Random random;
    Faults faults;
    ConcurrencySettings limits;
    PermitSettings settings;
    std::vector<InstanceId> ids;
    std::vector<Daemon> daemons;
    std::multimap<TimePoint, Packet> network;
    std::vector<RunningRequest> running;
    TimePoint now = TimePoint(1000s);
    std::uint64_t epoch = 1;
    TimePoint coldAt;
    std::uint64_t served = 0;
    std::vector<std::uint64_t> servedBy = std::vector<std::uint64_t>(7);
    std::uint32_t maxInFlight = 0;
    bool checkBound = true;
    double finishProbability = 0.05;

private:
    TimePoint clock(const Daemon& daemon) const
    {
        const auto elapsed = this->now.time_since_epoch();
        return TimePoint(Duration(std::int64_t(double(elapsed.count()) * daemon.clockRate)) + daemon.clockOffset);
    }

    void start(Daemon& daemon)
    {
        const auto local = this->clock(daemon);
        daemon.view = this->ids;
        daemon.quorum = std::make_unique<ViewQuorum>(daemon.id, daemon.incarnation, this->settings.quorumTerm);
        daemon.quorum->setView(daemon.view, this->ids.size());
        daemon.holder = std::make_unique<PermitHolder>(target, daemon.id, daemon.incarnation, this->limits, this->settings, local);
        daemon.holder->setFloor(floorShare(target, this->ids, daemon.id, this->limits.cold, this->settings), local);
        daemon.issuer.reset();
        daemon.owner = this->ownerIn(daemon.view);
        if (this->ids[daemon.owner] == daemon.id)
            this->becomeOwner(daemon);
    }

    std::size_t ownerIn(const std::vector<InstanceId>& view) const
    {
        const auto& owner = view[rendezvousRank(stableHash(target.value), view, 1).front()];
        return std::size_t(std::find(this->ids.begin(), this->ids.end(), owner) - this->ids.begin());
    }

    void becomeOwner(Daemon& daemon)
    {
        daemon.issuer = std::make_unique<PermitIssuer>(target, this->limits, this->settings, this->clock(daemon));
        daemon.issuer->setFloors(floorHolders(target, this->ids, this->limits.cold, this->settings), this->clock(daemon));
    }

    bool happens(double probability) { return uniform(this->random) < probability; }

    void send(std::size_t from, std::size_t to, const Message& message)
    {
        const int copies = this->happens(this->faults.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (this->happens(this->faults.loss) || !this->daemons[to].reachableFrom[from])
                continue;
            const auto delay = Duration(std::int64_t(uniform(this->random) * double(this->faults.maxDelay.count())));
            this->network.insert({ this->now + delay, { from, to, message } });
        }
    }

    /// Partitions the network or heals it, pauses and restarts daemons, and restarts the upstream.
    void injectFaults()
    {
        const auto victim = std::size_t(7 * uniform(this->random));
        auto& daemon = this->daemons[victim];
        if (this->faults.partitions && this->happens(0.0015))
            this->changePartition();
        if (this->faults.pauses && this->happens(0.002))
            daemon.pausedUntil = this->now + Duration(std::int64_t(8e6 * uniform(this->random)));
        if (this->faults.restarts && this->happens(0.0005)) {
            ++daemon.incarnation;
            this->start(daemon);
        }
        if (this->faults.upstreamRestarts && this->happens(0.0005)) {
            ++this->epoch;
            this->coldAt = this->now;
        }
    }

    /// Heals the network, or splits it into two sides; messages may still pass in one direction.
    void changePartition()
    {
        const bool heal = this->happens(0.4);
        const bool oneWay = this->happens(0.2);
        std::vector<bool> side;
        for (std::size_t i = 0; i < 7; ++i)
            side.push_back(this->happens(0.35));
        for (std::size_t to = 0; to < 7; ++to) {
            for (std::size_t from = 0; from < 7; ++from)
                this->daemons[to].reachableFrom[from] = heal || side[to] == side[from] || (oneWay && side[to]);
        }
    }

    void deliver()
    {
        while (!this->network.empty() && this->network.begin()->first <= this->now) {
            const auto packet = this->network.begin()->second;
            this->network.erase(this->network.begin());
            if (this->now < this->daemons[packet.to].pausedUntil)
                this->network.insert({ this->daemons[packet.to].pausedUntil, packet });
            else
                std::visit([&](const auto& message) { this->receive(packet, message); }, packet.message);
        }
    }

    void receive(const Packet& packet, const PermitRequest& request)
    {
        auto& daemon = this->daemons[packet.to];
        if (daemon.issuer)
            this->dispatch(packet.to, daemon.issuer->onRequest(request, this->clock(daemon)));
    }
    void receive(const Packet& packet, const PermitGrant& grant)
    {
        auto& daemon = this->daemons[packet.to];
        daemon.holder->onGrant(grant, this->clock(daemon));
    }
    void receive(const Packet& packet, const PermitRevoke& revoke) { this->daemons[packet.to].holder->onRevoke(revoke); }
    void receive(const Packet& packet, const PermitHandover& handover)
    {
        auto& daemon = this->daemons[packet.to];
        if (daemon.issuer)
            daemon.issuer->onHandover(handover, this->clock(daemon));
    }
    void receive(const Packet& packet, const ViewReport& report) { this->daemons[packet.to].quorum->onReport(report); }

    void dispatch(std::size_t from, const std::vector<PermitMessage>& messages)
    {
        for (const auto& message : messages) {
            const auto& to = std::visit([](const auto& addressed) -> const InstanceId& { return addressed.to; }, message);
            const auto index = std::size_t(std::find(this->ids.begin(), this->ids.end(), to) - this->ids.begin());
            if (const auto* grant = std::get_if<AddressedGrant>(&message))
                this->send(from, index, grant->grant);
            else
                this->send(from, index, std::get<AddressedRevoke>(message).revoke);
        }
    }

    void runDaemon(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        const auto local = this->clock(daemon);
        if (this->happens(0.02))
            this->refreshView(index);
        if (this->happens(0.02)) {
            for (std::size_t peer = 0; peer < 7; ++peer) {
                if (peer != index)
                    this->send(index, peer, daemon.quorum->report(this->ids[peer], local));
            }
        }
        if (daemon.issuer) {
            daemon.issuer->setAuthority(daemon.quorum->supportedUntil(local));
            if (this->happens(0.01))
                this->dispatch(index, daemon.issuer->onLoad(this->epoch, this->requestsAtUpstream(), local));
            this->dispatch(index, daemon.issuer->poll(local));
        }
        this->startRequests(index, local);
    }

    /// Updates the view, with a lag, to the peers that can reach the daemon; views differ during partitions.
    void refreshView(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        std::vector<InstanceId> view;
        for (std::size_t peer = 0; peer < 7; ++peer) {
            if (peer == index || (daemon.reachableFrom[peer] && this->now >= this->daemons[peer].pausedUntil))
                view.push_back(this->ids[peer]);
        }
        if (view == daemon.view)
            return;
        daemon.view = view;
        daemon.quorum->setView(view, this->ids.size());
        const auto owner = this->ownerIn(view);
        if (owner == daemon.owner)
            return;
        daemon.owner = owner;
        daemon.holder->onOwnerChange();
        daemon.issuer.reset();
        if (owner == index)
            this->becomeOwner(daemon);
    }

    void startRequests(std::size_t index, TimePoint local)
    {
        auto& daemon = this->daemons[index];
        auto& holder = *daemon.holder;
        holder.setWaiting(daemon.demand > holder.inFlight() ? daemon.demand - holder.inFlight() : 0);
        while (holder.inFlight() < daemon.demand) {
            const auto permit = holder.tryAcquire(local);
            if (!permit)
                break;
            this->running.push_back({ index, daemon.incarnation, *permit, this->epoch });
        }
        if (const auto request = holder.poll(local))
            this->send(index, daemon.owner, *request);
    }

    void finishRequests()
    {
        auto hasEnded = [&](const RunningRequest& entry) {
            auto& daemon = this->daemons[entry.daemon];
            // A paused daemon learns only later that a request has ended; at the upstream it has ended earlier.
            const bool isBroken = entry.epoch != this->epoch;
            if (this->now < daemon.pausedUntil || !this->happens(isBroken ? 0.3 : this->finishProbability))
                return false;
            if (entry.incarnation != daemon.incarnation)
                return true;
            if (!isBroken)
                daemon.holder->onFirstToken(this->epoch, 1);
            daemon.holder->release(entry.permit, isBroken ? PermitEnd::Failed : PermitEnd::Succeeded);
            this->served += isBroken ? 0 : 1;
            this->servedBy[entry.daemon] += isBroken ? 0 : 1;
            return true;
        };
        std::erase_if(this->running, hasEnded);
    }

    void checkLimit()
    {
        this->maxInFlight = std::max(this->maxInFlight, this->requestsAtUpstream());
        if (this->checkBound && this->requestsAtUpstream() > this->limits.max)
            FAIL("in flight " << this->requestsAtUpstream() << " at " << this->now.time_since_epoch().count());
    }
};

} // namespace goldcrestwood::permits_model
