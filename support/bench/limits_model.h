#pragma once

/// @file
/// Simulation of daemons in front of replicas that slow down and crash under overload, with the production code for limits.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "goldcrestwood/accounts.h"
#include "goldcrestwood/hash.h"
#include "goldcrestwood/permits.h"
#include "goldcrestwood/random.h"

namespace goldcrestwood::bench {

/// How requests reach replicas.
enum class Policy {
    Production, ///< Production policy: permits and fair admission.
    Fifo, ///< Permits and one FIFO queue.
    Fixed, ///< An equal share of the maximum for each daemon and one FIFO queue.
    None, ///< No limits: every request is sent at once.
};

/// One client account of the model.
struct Caller {
    std::string name;
    Priority priority = Priority::Normal;
    /// Requests per second, normally and during the overload.
    double usualRate = 1;
    double overloadRate = 1;
};

/// Load and incidents of one run; times in seconds.
struct Scenario {
    std::vector<Caller> callers;
    double length = 120;
    double overloadFrom = 1e9;
    double domainOutAt = 1e9;
    double domainBackAt = 1e9;
    std::uint64_t seed = 1;
};

/// Outcome of a request.
struct Sample {
    std::size_t caller = 0;
    double arrival = 0;
    /// Seconds until the request was sent to a replica.
    double wait = 0;
    /// Seconds to the first token; negative if there was none.
    double firstToken = -1;
    bool refused = false;
    bool lost = false;
};

/// Results of one run.
struct Results {
    std::vector<Sample> samples;
    std::uint32_t crashes = 0;
    /// Maximum number of requests above the capacity of a cold replica.
    std::uint32_t maxAboveColdCapacity = 0;

    /// @return The quantile of @p field, in seconds, over the requests that match @p filter and got a first token.
    template <typename Predicate>
    double quantile(double share, Predicate filter, double Sample::*field = &Sample::firstToken) const
    {
        std::vector<double> times;
        for (const auto& sample : this->samples) {
            if (filter(sample) && sample.firstToken >= 0)
                times.push_back(sample.*field);
        }
        if (times.empty())
            return 0;
        const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(times.size() - 1));
        std::nth_element(times.begin(), times.begin() + index, times.end());
        return times[static_cast<std::size_t>(index)];
    }

    template <typename Predicate>
    std::size_t count(Predicate filter) const
    {
        return static_cast<std::size_t>(std::count_if(this->samples.begin(), this->samples.end(), filter));
    }
};

/// Seven daemons in front of twelve replicas in three failure domains, simulated in steps of one millisecond.
class Model {
public:
    Model(Policy limitPolicy, Scenario runScenario)
        : policy(limitPolicy)
        , scenario(std::move(runScenario))
        , random(this->scenario.seed)
    {
        this->concurrencySettings.cold = 2;
        this->concurrencySettings.max = 32;
        for (std::size_t i = 0; i < daemonCount; ++i)
            this->ids.push_back(InstanceId("i" + std::to_string(i)));
        this->replicas.resize(replicaCount);
        this->daemons.resize(daemonCount);
        for (std::size_t i = 0; i < daemonCount; ++i)
            this->start(i);
    }

    Results run()
    {
        const auto steps = static_cast<std::uint64_t>(this->scenario.length * stepsPerSecond);
        for (this->step = 0; this->step < steps; ++this->step) {
            this->updateDomain();
            this->deliver();
            this->arrive();
            for (std::size_t i = 0; i < daemonCount; ++i)
                this->runDaemon(i);
            this->advanceReplicas();
        }
        return std::move(this->results);
    }

private:
    static constexpr std::size_t daemonCount = 7;
    static constexpr std::size_t replicaCount = 12;
    static constexpr std::size_t domainCount = 3;
    static constexpr double stepsPerSecond = 1000;
    static constexpr double prefillSeconds = 0.06;
    static constexpr double decodeSeconds = 0.4;
    static constexpr double warmKnee = 16;
    static constexpr double coldKnee = 2;
    static constexpr double warmingSuccesses = 60;
    static constexpr double crashFactor = 3;
    static constexpr std::uint64_t restartSteps = 2000;
    static constexpr double admissionTimeoutSeconds = 1.2;
    static constexpr double fifoTimeoutSeconds = 10;

    struct Request {
        std::size_t sample = 0;
        std::size_t daemon = 0;
        AdmissionId admission = 0;
        double cost = 1;
        double prefill = 0;
        double decode = 0;
        double sentAt = 0;
        Permit permit;
    };

    struct Replica {
        std::vector<Request> running;
        std::uint64_t epoch = 1;
        std::uint64_t downUntilStep = 0;
        double knee = warmKnee;
        bool out = false;
    };

    struct Daemon {
        std::unique_ptr<Admission> admission;
        std::vector<PermitHolder> holders;
        std::map<std::size_t, PermitIssuer> issuers;
        std::map<AdmissionId, Request> queued;
        std::deque<Request> fifo;
        std::vector<std::uint32_t> sent = std::vector<std::uint32_t>(replicaCount);
    };

    struct Packet {
        std::size_t to = 0;
        std::size_t replica = 0;
        std::variant<PermitRequest, PermitGrant, PermitRevoke> message;
    };

    bool usesPermits() const { return this->policy == Policy::Production || this->policy == Policy::Fifo; }
    double seconds() const { return static_cast<double>(this->step) / stepsPerSecond; }
    TimePoint now() const { return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(this->step); }
    static UpstreamId nameOf(std::size_t replica) { return UpstreamId("kv" + std::to_string(replica)); }

    std::size_t ownerOf(std::size_t replica) const
    {
        return rendezvousRank(stableHash(nameOf(replica).value), this->ids, 1).front();
    }

    /// @return The caller's account; without fair admission all callers share one account.
    ClientAccount accountOf(std::size_t caller) const
    {
        return ClientAccount(this->policy == Policy::Production ? this->scenario.callers[caller].name : "all");
    }

    void start(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        AdmissionSettings settings;
        if (this->policy != Policy::Production)
            settings.normalCapacity = 1;
        daemon.admission = std::make_unique<Admission>(this->ids[index], settings);
        std::vector<AccountEntry> entries;
        for (std::size_t caller = 0; caller < this->scenario.callers.size(); ++caller) {
            AccountEntry entry;
            entry.name = this->accountOf(caller);
            entry.priority = this->policy == Policy::Production ? this->scenario.callers[caller].priority : Priority::Normal;
            entry.requestsPerSecond = 1e6;
            entry.burstRequests = 1e6;
            entries.push_back(entry);
        }
        daemon.admission->configure(entries, 1, this->now());
        for (std::size_t replica = 0; replica < replicaCount; ++replica) {
            const auto name = nameOf(replica);
            daemon.holders.emplace_back(name, this->ids[index], 1, this->concurrencySettings, this->permitSettings, this->now());
            daemon.holders.back().setFloor(floorShare(name, this->ids, this->ids[index], this->concurrencySettings.cold), this->now());
            if (this->ownerOf(replica) != index)
                continue;
            PermitIssuer issuer(name, this->concurrencySettings, this->permitSettings, this->now());
            issuer.setFloors(floorHolders(name, this->ids, this->concurrencySettings.cold), this->now());
            issuer.onHandover({ name, 1, static_cast<double>(this->concurrencySettings.cold), {}, true }, this->now());
            issuer.setAuthority(this->now() + std::chrono::hours(1));
            daemon.issuers.emplace(replica, std::move(issuer));
        }
    }

    void updateDomain()
    {
        const bool leaves = this->seconds() == this->scenario.domainOutAt;
        const bool returns = this->seconds() == this->scenario.domainBackAt;
        for (std::size_t i = 0; i < replicaCount && (leaves || returns); i += domainCount) {
            this->replicas[i].out = leaves;
            if (returns)
                this->restart(this->replicas[i]);
        }
    }

    static void restart(Replica& replica)
    {
        ++replica.epoch;
        replica.knee = coldKnee;
    }

    void send(std::size_t to, std::size_t replica, std::variant<PermitRequest, PermitGrant, PermitRevoke> message)
    {
        this->network.push_back({ to, replica, std::move(message) });
    }

    void dispatch(std::size_t replica, const std::vector<PermitMessage>& messages)
    {
        for (const auto& message : messages) {
            const auto& id = std::visit([](const auto& addressed) -> const InstanceId& { return addressed.to; }, message);
            const auto to = static_cast<std::size_t>(std::find(this->ids.begin(), this->ids.end(), id) - this->ids.begin());
            if (const auto* grant = std::get_if<AddressedGrant>(&message))
                this->send(to, replica, grant->grant);
            else
                this->send(to, replica, std::get<AddressedRevoke>(message).revoke);
        }
    }

    void deliver()
    {
        const auto packets = std::exchange(this->network, {});
        for (const auto& packet : packets) {
            auto& daemon = this->daemons[packet.to];
            if (const auto* request = std::get_if<PermitRequest>(&packet.message))
                this->dispatch(packet.replica, daemon.issuers.at(packet.replica).onRequest(*request, this->now()));
            else if (const auto* grant = std::get_if<PermitGrant>(&packet.message))
                daemon.holders[packet.replica].onGrant(*grant, this->now());
            else
                daemon.holders[packet.replica].onRevoke(std::get<PermitRevoke>(packet.message));
        }
    }

    void arrive()
    {
        const bool overload = this->seconds() >= this->scenario.overloadFrom;
        for (std::size_t caller = 0; caller < this->scenario.callers.size(); ++caller) {
            const auto& [name, priority, usualRate, overloadRate] = this->scenario.callers[caller];
            std::poisson_distribution<int> arrivals((overload ? overloadRate : usualRate) / stepsPerSecond);
            for (int i = arrivals(this->random); i > 0; --i)
                this->offer(caller);
        }
    }

    void offer(std::size_t caller)
    {
        Request request;
        request.sample = this->results.samples.size();
        request.daemon = static_cast<std::size_t>(uniform(this->random) * daemonCount);
        request.cost = 0.5 + std::min(4.0, std::exponential_distribution<double>(2.0)(this->random));
        request.prefill = prefillSeconds * request.cost;
        request.decode = decodeSeconds * request.cost;
        this->results.samples.push_back({ caller, this->seconds() });
        auto& daemon = this->daemons[request.daemon];
        if (!this->usesPermits()) {
            daemon.fifo.push_back(request);
            return;
        }
        const auto patience = fromSeconds(admissionTimeoutSeconds);
        const auto decision = daemon.admission->offer(
            { this->accountOf(caller), ServiceName("kiln-voice"), request.cost, this->now() + patience }, this->now());
        if (std::holds_alternative<Refused>(decision)) {
            this->results.samples[request.sample].refused = true;
            return;
        }
        const auto* queued = std::get_if<Queued>(&decision);
        request.admission = queued ? queued->id : std::get<Admitted>(decision).id;
        if (queued)
            daemon.queued[queued->id] = request;
        else
            this->launch(request);
    }

    /// Sends a request to the replica with the fewest requests from the same daemon.
    /// @return False if no replica has capacity.
    bool launch(Request request)
    {
        auto& daemon = this->daemons[request.daemon];
        std::size_t best = replicaCount;
        const auto offset = static_cast<std::size_t>(uniform(this->random) * replicaCount);
        for (std::size_t i = 0; i < replicaCount; ++i) {
            const auto replica = (i + offset) % replicaCount;
            const bool usable = !this->replicas[replica].out && this->hasCapacity(daemon, replica);
            if (usable && (best == replicaCount || daemon.sent[replica] < daemon.sent[best]))
                best = replica;
        }
        if (best == replicaCount)
            return false;
        if (this->usesPermits())
            request.permit = *daemon.holders[best].tryAcquire(this->now());
        ++daemon.sent[best];
        request.sentAt = this->seconds();
        auto& sample = this->results.samples[request.sample];
        sample.wait = request.sentAt - sample.arrival;
        this->replicas[best].running.push_back(request);
        return true;
    }

    bool hasCapacity(const Daemon& daemon, std::size_t replica) const
    {
        if (this->policy == Policy::None)
            return true;
        if (this->policy == Policy::Fixed)
            return daemon.sent[replica] < this->concurrencySettings.max / daemonCount;
        return daemon.holders[replica].free(this->now()) > 0;
    }

    void runDaemon(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        this->usesPermits() ? this->runPermits(index) : this->drainFifo(daemon);
    }

    void drainFifo(Daemon& daemon)
    {
        while (!daemon.fifo.empty()) {
            auto& sample = this->results.samples[daemon.fifo.front().sample];
            if (this->seconds() - sample.arrival > fifoTimeoutSeconds)
                sample.refused = true;
            else if (!this->launch(daemon.fifo.front()))
                return;
            daemon.fifo.pop_front();
        }
    }

    void runPermits(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        const ServiceName service("kiln-voice");
        std::uint32_t free = 0;
        for (std::size_t replica = 0; replica < replicaCount; ++replica)
            free += this->replicas[replica].out ? 0 : daemon.holders[replica].free(this->now());
        daemon.admission->setCapacity(service, daemon.admission->inFlight(service) + free);
        const auto outcome = daemon.admission->poll(this->now());
        for (const auto& refused : outcome.refused) {
            this->results.samples[daemon.queued.at(refused.id).sample].refused = true;
            daemon.queued.erase(refused.id);
        }
        for (const auto id : outcome.admitted) {
            this->launch(daemon.queued.at(id));
            daemon.queued.erase(id);
        }
        const auto waiting = static_cast<std::uint32_t>((daemon.queued.size() + replicaCount - 1) / replicaCount);
        for (std::size_t replica = 0; replica < replicaCount; ++replica) {
            daemon.holders[replica].setWaiting(this->replicas[replica].out ? 0 : waiting);
            if (const auto request = daemon.holders[replica].poll(this->now()))
                this->send(this->ownerOf(replica), replica, *request);
        }
        for (auto& [replica, issuer] : daemon.issuers) {
            const auto& state = this->replicas[replica];
            if (this->step % 500 == 0)
                this->dispatch(replica, issuer.onLoad(state.epoch, static_cast<std::uint32_t>(state.running.size()), this->now()));
            if (this->step % 50 == 0)
                this->dispatch(replica, issuer.poll(this->now()));
        }
    }

    void advanceReplicas()
    {
        for (std::size_t i = 0; i < replicaCount; ++i) {
            auto& replica = this->replicas[i];
            const auto present = static_cast<double>(replica.running.size());
            if (replica.knee < 2 * coldKnee && present > coldKnee)
                this->results.maxAboveColdCapacity = std::max(this->results.maxAboveColdCapacity, static_cast<std::uint32_t>(present - coldKnee));
            if (present > crashFactor * replica.knee) {
                this->crash(replica);
                ++this->results.crashes;
            }
            const bool down = this->step < replica.downUntilStep;
            const auto pace = 1 / stepsPerSecond / std::max(1.0, present / replica.knee);
            std::erase_if(replica.running, [&](Request& request) { return this->advanceRequest(i, request, pace, down); });
        }
    }

    void crash(Replica& replica)
    {
        restart(replica);
        replica.downUntilStep = this->step + restartSteps;
    }

    bool advanceRequest(std::size_t index, Request& request, double pace, bool down)
    {
        auto& replica = this->replicas[index];
        auto& sample = this->results.samples[request.sample];
        auto& holder = this->daemons[request.daemon].holders[index];
        if (down) {
            sample.lost = true;
            this->end(index, request, PermitEnd::Failed);
            return true;
        }
        if (request.prefill > 0) {
            request.prefill -= pace;
            if (request.prefill > 0)
                return false;
            sample.firstToken = this->seconds() - sample.arrival;
            // Estimates of the expected time have an error of about a third.
            const auto estimate = std::exp(std::normal_distribution<double>(0, 0.3)(this->random));
            const auto expected = prefillSeconds * request.cost * estimate;
            holder.onFirstToken(replica.epoch, (this->seconds() - request.sentAt) / expected);
            return false;
        }
        request.decode -= pace;
        if (request.decode > 0)
            return false;
        replica.knee = std::min(warmKnee, replica.knee + (warmKnee - coldKnee) / warmingSuccesses);
        this->end(index, request, PermitEnd::Succeeded);
        return true;
    }

    void end(std::size_t index, const Request& request, PermitEnd how)
    {
        auto& daemon = this->daemons[request.daemon];
        --daemon.sent[index];
        if (!this->usesPermits())
            return;
        daemon.holders[index].release(request.permit, how);
        daemon.admission->release(request.admission, this->now());
    }

    Policy policy;
    Scenario scenario;
    Random random;
    ConcurrencySettings concurrencySettings;
    PermitSettings permitSettings;
    std::vector<InstanceId> ids;
    std::vector<Replica> replicas;
    std::vector<Daemon> daemons;
    std::vector<Packet> network;
    Results results;
    std::uint64_t step = 0;
};

/// Ten accounts; during the overload the three large ones send four to five times their rate and one batch account six times.
inline Scenario overloadScenario(std::uint64_t seed)
{
    Scenario scenario;
    scenario.seed = seed;
    scenario.overloadFrom = 60;
    scenario.callers = { { "clerks", Priority::Important, 30, 30 }, { "large-1", Priority::Normal, 50, 220 },
        { "large-2", Priority::Normal, 40, 200 }, { "large-3", Priority::Normal, 40, 180 },
        { "small-1", Priority::Normal, 5, 5 }, { "small-2", Priority::Normal, 5, 5 }, { "small-3", Priority::Normal, 4, 4 },
        { "small-4", Priority::Normal, 3, 3 }, { "night-1", Priority::Batch, 10, 60 }, { "night-2", Priority::Batch, 5, 5 } };
    return scenario;
}

/// A failure domain with a third of the replicas leaves and returns cold.
inline Scenario domainScenario(std::uint64_t seed)
{
    auto scenario = overloadScenario(seed);
    scenario.overloadFrom = 1e9;
    scenario.length = 130;
    scenario.domainOutAt = 40;
    scenario.domainBackAt = 70;
    for (auto& caller : scenario.callers)
        caller.usualRate *= 1.25;
    return scenario;
}

} // namespace goldcrestwood::bench
