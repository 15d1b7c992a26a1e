#include "daemon/admission_gate.h"

#include "daemon/clock.h"

namespace goldcrestwood {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    /// Requests per service admitted beyond its capacity, so that they can request permits.
    constexpr std::uint32_t maxPermitSeekers = 4;
    constexpr Duration demandInterval = std::chrono::seconds(1);
    /// Maximum number of demands sent per interval; the least used accounts wait for the next interval.
    constexpr std::size_t maxDemandsPerInterval = 64;

    std::uint64_t accountKey(const ClientAccount& account)
    {
        return stableHash("account\n" + account.value);
    }

} // namespace

AdmissionGate::AdmissionGate(PermitService& permitService, PeerMesh& peerMesh, PeerDirectory& peerDirectory, Metrics& processMetrics)
    : permits(permitService)
    , mesh(peerMesh)
    , directory(peerDirectory)
    , metrics(processMetrics)
    , admission(peerMesh.self())
    , view(std::make_shared<const CatalogView>())
{
    this->directory.handlePosted<RateDemand>("RateDemand", [this](const RateDemand& demand) { this->onDemand(demand); });
    this->directory.handlePosted<RateShare>("RateShare", [this](const RateShare& share) {
        const std::lock_guard lock(this->mutex);
        this->admission.onShare(share, monotonicNow());
    });
}

AdmissionGate::~AdmissionGate()
{
    this->stop();
}

void AdmissionGate::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void AdmissionGate::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void AdmissionGate::run()
{
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            if (this->wake.wait_for(lock, tickInterval, [this] { return this->stopping; }))
                return;
        }
        this->tick();
    }
}

void AdmissionGate::configure(std::shared_ptr<const CatalogView> newView)
{
    std::vector<AccountEntry> accounts;
    newView->accounts.forEach([&](const auto& row) { accounts.push_back(row.entry); });
    const auto daemons = this->mesh.regionMembers().size();
    const std::lock_guard lock(this->mutex);
    this->admission.configure(accounts, daemons, monotonicNow());
    this->view = std::move(newView);
}

tl::expected<Admitted, Refused> AdmissionGate::admit(const AdmissionRequest& request)
{
    std::unique_lock lock(this->mutex);
    auto decision = this->admission.offer(request, monotonicNow());
    if (const auto* queued = std::get_if<Queued>(&decision)) {
        const auto id = queued->id;
        this->waiters.emplace(id, std::nullopt);
        this->decided.wait(lock, [&] { return this->stopping || this->waiters.at(id).has_value(); });
        decision = this->waiters.at(id).value_or(AdmissionDecision(Refused { id }));
        this->waiters.erase(id);
    }
    if (const auto* admitted = std::get_if<Admitted>(&decision))
        return *admitted;
    const auto refused = std::get<Refused>(decision);
    this->metrics.count("goldcrestwood_refused_total", std::string("reason=\"") + toString(refused.reason) + "\"");
    return tl::unexpected(refused);
}

void AdmissionGate::release(const Admitted& admitted)
{
    const std::lock_guard lock(this->mutex);
    const auto now = monotonicNow();
    this->admission.release(admitted.id, now);
    this->pollDecisions(now);
}

void AdmissionGate::pollDecisions(TimePoint now)
{
    const auto outcome = this->admission.poll(now);
    for (const auto id : outcome.admitted) {
        if (const auto waiter = this->waiters.find(id); waiter != this->waiters.end())
            waiter->second = Admitted { id };
    }
    for (const auto& refused : outcome.refused) {
        if (const auto waiter = this->waiters.find(refused.id); waiter != this->waiters.end())
            waiter->second = refused;
    }
    if (!outcome.empty())
        this->decided.notify_all();
}

void AdmissionGate::tick()
{
    const auto capacities = this->permits.capacities();
    std::vector<std::pair<ServiceName, std::uint32_t>> waiting;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = monotonicNow();
        for (const auto& [service, requests] : capacities) {
            this->capacity[service] = requests + maxPermitSeekers;
            this->admission.setCapacity(service, requests + maxPermitSeekers);
            waiting.emplace_back(service, static_cast<std::uint32_t>(this->admission.waiting(service)));
        }
        this->pollDecisions(now);
    }
    for (const auto& [service, requests] : waiting)
        this->permits.setWaiting(service, requests);
    this->reportDemands();
}

void AdmissionGate::reportDemands()
{
    const auto now = monotonicNow();
    if (now < this->nextDemands)
        return;
    this->nextDemands = now + demandInterval;
    RateDemands demands;
    {
        const std::lock_guard lock(this->mutex);
        demands = this->admission.demands(now, maxDemandsPerInterval);
    }
    for (const auto& demand : demands) {
        const auto owner = this->mesh.rank({ accountKey(demand.account), this->mesh.status().self.info.region, {} }).owner;
        if (!owner.empty())
            this->directory.post(owner, "RateDemand", demand);
    }
}

void AdmissionGate::onDemand(const RateDemand& demand)
{
    std::optional<RateShare> share;
    {
        const std::lock_guard lock(this->mutex);
        const auto* account = this->view->account(demand.account);
        if (!account)
            return;
        const SiteRate rate { account->requestsPerSecond, account->burstRequests };
        auto& issuer = this->issuers.try_emplace(demand.account, rate).first->second;
        issuer.configure(rate);
        share = issuer.onDemand(demand, monotonicNow());
    }
    if (share)
        this->directory.post(demand.holder, "RateShare", *share);
}

std::vector<AdmissionStatus> AdmissionGate::status()
{
    const std::lock_guard lock(this->mutex);
    std::vector<AdmissionStatus> result;
    for (const auto& [service, requests] : this->capacity)
        result.push_back({ service, this->admission.waiting(service), this->admission.inFlight(service), requests });
    return result;
}

} // namespace goldcrestwood
