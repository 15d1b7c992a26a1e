#include "edge/scale_runner.h"

#include <algorithm>
#include <limits>

#include "daemon/clock.h"
#include "edge/log.h"
#include "platform/duty_calls.h"

namespace goldcrestwood {

namespace {

    using edge::LogClass;

    constexpr Duration workInterval = std::chrono::milliseconds(50);
    /// Daemons report their load at about this interval.
    constexpr Duration decisionInterval = std::chrono::milliseconds(250);
    constexpr Duration callTimeout = std::chrono::seconds(3);
    /// An order that could not be recorded or sent within this time is decided again.
    constexpr Duration maxPendingTime = std::chrono::seconds(2);
    /// Calls stay a fifth below the platform's limit, as they may be delayed on their way.
    constexpr double callShare = 0.8;
    /// The platform's answers are short.
    constexpr std::uint64_t maxAnswerBytes = 64U << 10U;

    const char* resultLabel(DutyOutcome outcome)
    {
        switch (outcome) {
        case DutyOutcome::Accepted:
            return "result=\"accepted\"";
        case DutyOutcome::Fenced:
        case DutyOutcome::TooManyCalls:
            return "result=\"refused\"";
        case DutyOutcome::Unknown:
            break;
        }
        return "result=\"unknown\"";
    }

} // namespace

ScaleRunner::ScaleRunner(EdgeState& edgeState, const asio::any_io_executor& loop, const ServiceQueues& serviceQueues, const PeerLink& peerLink, DutyLease& dutyLease)
    : state(edgeState)
    , executor(loop)
    , queues(serviceQueues)
    , peers(peerLink)
    , lease(dutyLease)
{
    if (const auto perSecond = edgeState.settings.duties.callsPerSecond * callShare; perSecond > 0)
        this->callInterval = fromSeconds(1 / perSecond);
}

bool ScaleRunner::isWorkDue(bool isHolderHealthy) const
{
    if (!this->state.adaptsReplicas() || this->state.isStopping)
        return false;
    if (this->isHolder()) {
        const bool isLeased = this->lease.mayOrder(suspensionAwareNow());
        return std::any_of(this->pending.begin(), this->pending.end(), [&](const auto& entry) { return !entry.isRecorded || !isLeased; });
    }
    if (!this->state.hasFullView(monotonicNow()))
        return false;
    if (!this->lease.last() || this->lease.isLastHolder())
        return true;
    // A holder that is no feed reader any more hears too few daemons to decide.
    const auto& readers = this->state.feedReaders;
    return !isHolderHealthy || std::find(readers.begin(), readers.end(), this->lease.last()->holder) == readers.end();
}

void ScaleRunner::addTo(DutyRecord& record) const
{
    auto numbers = this->recorded;
    for (const auto& entry : this->pending)
        numbers[{ entry.service, entry.order.domain }] = entry.order.desired;
    for (const auto& [place, desired] : numbers)
        record.replicas.push_back({ place.first, place.second, desired });
}

void ScaleRunner::onRecord(const DutyRecord& record)
{
    // A holder of an earlier build requests no numbers; those before it stay in force.
    if (record.replicas.empty())
        return;
    this->recorded.clear();
    for (const auto& entry : record.replicas)
        this->recorded[{ entry.service, entry.domain }] = entry.desired;
}

void ScaleRunner::onAppended(const DutyRecord& record)
{
    this->onRecord(record);
    for (auto& entry : this->pending)
        if (const auto found = this->recorded.find({ entry.service, entry.order.domain }); found != this->recorded.end() && found->second == entry.order.desired)
            entry.isRecorded = true;
}

void ScaleRunner::beginTerm(TimePoint now)
{
    const auto current = this->isHolder() ? this->lease.fence() : 0;
    if (this->term != current) {
        this->term = current;
        this->scalers.clear();
        this->problems.clear();
        this->pending.clear();
    }
    if (this->term == 0 || this->state.routes == nullptr)
        return;
    std::erase_if(this->scalers, [&](const auto& entry) {
        const auto* service = this->state.routes->service(entry.first);
        return service == nullptr || !service->autoscale;
    });
    std::erase_if(this->pending, [&](const auto& entry) { return !this->scalers.contains(entry.service); });
    for (const auto& service : this->state.routes->configuration().services) {
        if (!service.autoscale)
            continue;
        const auto [position, isNew] = this->scalers.try_emplace(service.name, *service.autoscale);
        position->second.setBounds(*service.autoscale);
        for (const auto& [place, desired] : this->recorded)
            if (isNew && place.first == service.name)
                position->second.onRecorded(place.second, desired, now);
    }
}

BacklogLimits ScaleRunner::backlogLimits(const ServiceName& service) const
{
    std::vector<Duration> objectives;
    for (const auto& route : this->state.routes->configuration().routes)
        if (std::any_of(route.backends.begin(), route.backends.end(), [&](const auto& backend) { return backend.service == service; }))
            objectives.push_back(route.objective);
    if (objectives.empty())
        return {};
    const auto [shortest, longest] = std::minmax_element(objectives.begin(), objectives.end());
    return { *shortest, *longest };
}

void ScaleRunner::addWaiting(ServiceDemand& demand, const ServiceName& service, TimePoint now) const
{
    const auto add = [&](const FailureDomain& name, std::uint32_t requests) {
        const auto found = std::find_if(demand.domains.begin(), demand.domains.end(), [&](const auto& domain) { return domain.domain == name; });
        if (found != demand.domains.end())
            found->waiting += requests;
        else if (requests > 0)
            demand.domains.push_back({ name, 0, 0, 0, 0, 0, requests });
    };
    add(this->state.settings.domain, static_cast<std::uint32_t>(this->queues.waitingCount(service)));
    for (const auto* report : this->peers.view().all()) {
        const auto& heartbeat = report->heartbeat;
        // A daemon that is silent or does not report waiting requests may have any number of them, and load that is not known here.
        const ServiceWaiting* found = nullptr;
        if (heartbeat.waiting && this->peers.view().isHeard(*report, now))
            for (const auto& entry : *heartbeat.waiting)
                if (entry.service == service)
                    found = &entry;
        if (found != nullptr)
            add(heartbeat.domain, found->requests);
        else
            demand.isWhole = false;
    }
}

std::optional<ServiceDemand> ScaleRunner::view(const TrafficService& service, TimePoint now, std::string& problem) const
{
    const auto& aggregators = this->state.aggregators;
    const auto* rollout = this->state.rolloutOf(service.name);
    if (!this->state.hasFullView(now))
        problem = "not all daemons are heard";
    else if (!this->state.readsStore())
        problem = "the store does not answer";
    else if (!aggregators.isMesh() && !this->state.board.hasLoadSums(aggregators.all(), now))
        problem = "load sums are missing";
    else if (rollout != nullptr && !rollout->isExpired(now))
        problem = "a roll-out replaces replicas";
    if (!problem.empty())
        return std::nullopt;
    const auto isAggregated = [&](const UpstreamId& id) { return aggregators.isMesh() || aggregators.aggregates(this->state.settings.instance, id.value); };
    ServiceDemand demand { this->state.board.demandFor(service.name, this->backlogLimits(service.name), isAggregated, now), true };
    this->addWaiting(demand, service.name, now);
    return demand;
}

void ScaleRunner::decide(TimePoint now)
{
    this->nextDecision = now + decisionInterval;
    // More orders than the platform accepts in a second would wait here while their numbers get old.
    auto room = std::numeric_limits<std::size_t>::max();
    if (this->callInterval > Duration(0))
        room = static_cast<std::size_t>(std::max<std::int64_t>(1, std::chrono::seconds(1) / this->callInterval));
    room -= std::min(room, this->pending.size());
    for (auto& [name, scaler] : this->scalers) {
        std::string problem;
        const auto demand = this->view(*this->state.routes->service(name), now, problem);
        if (auto& known = this->problems[name]; known != problem) {
            edge::log(LogClass::Decision, "replicas_view", { { "service", name.value }, { "known", problem.empty() }, { "reason", problem } });
            known = problem;
        }
        for (const auto& order : scaler.decide(demand, now)) {
            if (room == 0) {
                scaler.onNotSent(order);
                continue;
            }
            --room;
            const auto found = this->recorded.find({ name, order.domain });
            this->pending.push_back({ name, order, now, found != this->recorded.end() && found->second == order.desired });
        }
    }
}

void ScaleRunner::dropLatePending(TimePoint now)
{
    std::erase_if(this->pending, [&](const auto& entry) {
        const bool isLate = now - entry.decided >= maxPendingTime;
        if (isLate)
            this->scalers.at(entry.service).onNotSent(entry.order);
        return isLate;
    });
}

void ScaleRunner::sendNext(TimePoint now)
{
    const auto suspensionAware = suspensionAwareNow();
    if (now < this->nextCall || suspensionAware < this->callsFrom || !this->lease.mayOrder(suspensionAware))
        return;
    const auto next = std::find_if(this->pending.begin(), this->pending.end(), [](const auto& entry) { return entry.isRecorded; });
    if (next == this->pending.end())
        return;
    this->nextCall = now + this->callInterval;
    asio::co_spawn(this->executor, this->send(next->service, next->order, this->term), asio::detached);
    this->pending.erase(next);
}

Task<> ScaleRunner::send(ServiceName service, ScaleOrder order, std::uint64_t fence)
{
    HttpCaller caller(this->executor, this->state.transferMemory, this->state.settings.duties.address, maxAnswerBytes);
    const auto begin = monotonicNow();
    const platform::DutyHolder holder { this->state.settings.instance, fence };
    const auto call = platform::scaleCall(holder, service, order.domain, order.desired);
    const auto answer = co_await caller.call(call, callTimeout);
    const auto outcome = platform::decodeDutyAnswer(answer);
    edge::log(LogClass::Decision, "replicas_requested",
        { { "service", service.value }, { "domain", order.domain.value }, { "desired", static_cast<std::int64_t>(order.desired) }, { "why", toString(order.reason) },
            { "status", static_cast<std::int64_t>(answer ? answer->status : 0) }, { "reason", answer ? "" : answer.error().reason }, { "fence", static_cast<std::int64_t>(fence) },
            { "after_ms", toMs(monotonicNow() - begin) } });
    this->state.metrics.count("goldcrest_replica_requests_total", resultLabel(outcome));
    this->onOutcome(service, order, fence, outcome);
}

void ScaleRunner::onOutcome(const ServiceName& service, const ScaleOrder& order, std::uint64_t fence, DutyOutcome outcome)
{
    if (outcome == DutyOutcome::Fenced && this->lease.fence() == fence)
        this->lease.onFenceRefused(suspensionAwareNow());
    // The scalers of a later term have not given this order.
    if (const auto found = this->scalers.find(service); found != this->scalers.end() && this->term == fence)
        found->second.onOutcome(order, outcome, monotonicNow());
}

Task<> ScaleRunner::run()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        timer.expires_after(workInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        const auto now = monotonicNow();
        this->beginTerm(now);
        if (this->term == 0 || !this->state.adaptsReplicas())
            continue;
        this->dropLatePending(now);
        if (now >= this->nextDecision)
            this->decide(now);
        this->sendNext(now);
    }
}

} // namespace goldcrestwood
