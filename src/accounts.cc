#include "goldcrestwood/accounts.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestwood {

namespace {

    /// Weight of a new service time in the moving average.
    constexpr double serviceSmoothing = 0.1;

    /// Time constant of the admission rate.
    constexpr Duration admitWindow = std::chrono::seconds(2);

    /// Capacity reserved for Important requests, in standard deviations of their concurrency.
    constexpr double headroomFactor = 1.5;

    /// A queued request is refused early only if its estimated wait exceeds its remaining time by this factor, as estimates
    /// vary.
    constexpr double lateFactor = 1.5;

    double decayed(double rate, Duration age)
    {
        return rate * std::exp(-toSeconds(std::max(age, Duration(0))) / toSeconds(admitWindow));
    }

} // namespace

const char* toString(AdmissionRefusal refusal)
{
    switch (refusal) {
    case AdmissionRefusal::UnknownAccount:
        return "UnknownAccount";
    case AdmissionRefusal::RateLimited:
        return "RateLimited";
    case AdmissionRefusal::QueueFull:
        return "QueueFull";
    case AdmissionRefusal::TooLate:
        return "TooLate";
    }
    return "Unknown";
}

Admission::Admission(InstanceId id, AdmissionSettings bounds)
    : self(std::move(id))
    , settings(bounds)
{
}

void Admission::configure(const std::vector<AccountEntry>& entries, std::size_t daemonCount, TimePoint now)
{
    std::unordered_map<ClientAccount, Account> next;
    next.reserve(entries.size());
    for (const auto& entry : entries) {
        const SiteRate rate { entry.requestsPerSecond, entry.burstRequests };
        auto node = this->accounts.extract(entry.name);
        if (node.empty()) {
            next.emplace(entry.name, Account { entry.priority, entry.weight, AccountBucket(rate, daemonCount, this->settings.rate, now), false });
            continue;
        }
        auto& account = node.mapped();
        account.priority = entry.priority;
        account.weight = entry.weight;
        account.bucket.configure(rate, daemonCount, now);
        next.insert(std::move(node));
    }
    this->accounts = std::move(next);
    std::erase_if(this->demanding, [&](const ClientAccount& name) { return this->accounts.count(name) == 0; });
}

void Admission::setCapacity(const ServiceName& name, std::uint32_t requests)
{
    this->services[name].capacity = requests;
}

AdmissionDecision Admission::offer(const AdmissionRequest& request, TimePoint now)
{
    const auto id = ++this->lastId;
    const auto found = this->accounts.find(request.account);
    if (found == this->accounts.end())
        return Refused { id, AdmissionRefusal::UnknownAccount, Duration(0) };
    auto& account = found->second;
    const auto limited = account.bucket.take(now);
    this->noteDemand(request.account, account, now);
    if (limited)
        return this->refuse(id, AdmissionRefusal::RateLimited, *limited);

    auto& service = this->services[request.service];
    const auto rank = serviceRank(account.priority);
    if (service.queue.size(rank) == 0 && this->mayRun(service, rank, now)) {
        this->start(service, request.service, id, rank, request.cost, now);
        return Admitted { id };
    }
    const auto wait = this->wait(service, account, request.account, request.cost, now);
    if (now + wait > request.deadline)
        return this->refuse(id, AdmissionRefusal::TooLate, now + wait - request.deadline);
    if (service.queue.size() >= this->settings.maxQueued && !this->makeRoom(service, account, request, now))
        return this->refuse(id, AdmissionRefusal::QueueFull, wait);
    service.queue.push({ id, request.account, account.priority, account.weight, request.cost, request.deadline });
    this->queuedAt[id] = request.service;
    return Queued { id, wait };
}

void Admission::release(AdmissionId id, TimePoint now)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
        return;
    const auto& [name, rank, cost, since] = found->second;
    auto& service = this->services[name];
    --service.running[rank];
    const auto seconds = toSeconds(now - since) / std::max(cost, 0.01);
    service.serviceSeconds = service.serviceSeconds > 0
        ? std::lerp(service.serviceSeconds, seconds, serviceSmoothing)
        : seconds;
    this->running.erase(found);
}

void Admission::withdraw(AdmissionId id)
{
    const auto found = this->queuedAt.find(id);
    if (found == this->queuedAt.end())
        return;
    this->services[found->second].queue.remove(id);
    this->queuedAt.erase(found);
}

AdmissionOutcome Admission::poll(TimePoint now)
{
    AdmissionOutcome outcome;
    outcome.refused.swap(this->evicted);
    for (auto& [name, service] : this->services) {
        this->refuseLate(service, outcome.refused, now);
        while (const auto request = service.queue.pop(this->allowed(service, now))) {
            this->queuedAt.erase(request->id);
            this->start(service, name, request->id, serviceRank(request->priority), request->cost, now);
            outcome.admitted.push_back(request->id);
        }
    }
    return outcome;
}

std::optional<TimePoint> Admission::wakeAt() const
{
    if (!this->evicted.empty())
        return TimePoint::min();
    std::optional<TimePoint> earliest;
    for (const auto& [name, service] : this->services) {
        if (const auto next = service.queue.nextDeadline(); next && (!earliest || *next < *earliest))
            earliest = next;
    }
    return earliest;
}

RateDemands Admission::demands(TimePoint now, std::size_t most)
{
    RateDemands out;
    std::size_t kept = 0;
    for (auto& name : this->demanding) {
        auto& account = this->accounts.at(name);
        if (out.size() < most) {
            if (auto demand = account.bucket.poll(name, this->self, now))
                out.push_back(std::move(*demand));
        }
        account.demanding = account.bucket.demanding(now);
        if (account.demanding)
            std::swap(this->demanding[kept++], name);
    }
    this->demanding.resize(kept);
    return out;
}

void Admission::onShare(const RateShare& share, TimePoint now)
{
    if (const auto found = this->accounts.find(share.account); found != this->accounts.end())
        found->second.bucket.onShare(share, now);
}

std::size_t Admission::waiting(const ServiceName& name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? 0 : found->second.queue.size();
}

std::uint32_t Admission::inFlight(const ServiceName& name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? 0 : found->second.inFlight();
}

std::uint32_t Admission::Service::inFlight() const
{
    return this->running[0] + this->running[1] + this->running[2];
}

void Admission::noteDemand(const ClientAccount& name, Account& account, TimePoint now)
{
    if (account.demanding || !account.bucket.demanding(now))
        return;
    account.demanding = true;
    this->demanding.push_back(name);
}

double Admission::serviceSeconds(const Service& service) const
{
    return service.serviceSeconds > 0 ? service.serviceSeconds : toSeconds(this->settings.initialServiceTime);
}

std::uint32_t Admission::capacityFor(const Service& service, std::size_t rank) const
{
    const std::array<double, priorityCount> parts { 1, this->settings.normalCapacity, this->settings.batchCapacity };
    return static_cast<std::uint32_t>(std::ceil(parts[rank] * service.capacity));
}

std::uint32_t Admission::headroom(const Service& service, TimePoint now) const
{
    const auto rate = decayed(service.admitRate[0], now - service.admitAt[0]);
    const auto concurrent = rate * this->serviceSeconds(service);
    const auto needed = std::ceil(headroomFactor * std::sqrt(concurrent));
    const auto most = std::floor((1 - this->settings.normalCapacity) * service.capacity);
    return static_cast<std::uint32_t>(std::min(needed, most));
}

bool Admission::mayRun(const Service& service, std::size_t rank, TimePoint now) const
{
    const auto present = service.inFlight();
    if (rank == 0 || present >= service.capacity)
        return present < service.capacity;
    if (rank == 2 && service.running[2] >= this->capacityFor(service, 2))
        return false;
    // Lower priorities ignore the headroom while below their guaranteed share; otherwise steady Important load would starve them.
    const auto lower = service.running[1] + service.running[2];
    return present + this->headroom(service, now) < service.capacity || lower * this->settings.queue.normalEvery < service.capacity;
}

std::array<bool, priorityCount> Admission::allowed(const Service& service, TimePoint now) const
{
    return { this->mayRun(service, 0, now), this->mayRun(service, 1, now), this->mayRun(service, 2, now) };
}

void Admission::start(Service& service, const ServiceName& name, AdmissionId id, std::size_t rank, double cost, TimePoint now)
{
    ++service.running[rank];
    service.admitRate[rank] = decayed(service.admitRate[rank], now - service.admitAt[rank]) + cost / toSeconds(admitWindow);
    service.admitAt[rank] = now;
    this->running[id] = { name, rank, cost, now };
}

Duration Admission::waitFor(const Service& service, std::size_t rank, double costAhead, TimePoint now) const
{
    const auto seconds = this->serviceSeconds(service);
    const auto full = std::max(service.capacity, 1U) / seconds;
    const auto usable = std::max(this->capacityFor(service, rank), 1U) / seconds;
    double higherWaiting = 0;
    double higherRate = 0;
    for (std::size_t other = 0; other < rank; ++other) {
        higherWaiting += service.queue.costWaiting(other);
        higherRate += decayed(service.admitRate[other], now - service.admitAt[other]);
    }
    // Either served in the turns of its own rank while higher ranks continue, or with the remaining capacity once their queues
    // are empty, whichever is sooner.
    const std::array<std::uint32_t, priorityCount> every { 1, this->settings.queue.normalEvery, this->settings.queue.batchEvery };
    auto wait = costAhead * every[rank] / full;
    if (higherRate < full)
        wait = std::min(wait, (higherWaiting + costAhead) / (full - higherRate));
    return fromSeconds(std::max(wait, costAhead / usable));
}

Duration Admission::wait(const Service& service, const Account& account, const ClientAccount& name, double cost, TimePoint now) const
{
    const auto rank = serviceRank(account.priority);
    return this->waitFor(service, rank, service.queue.costAhead(name, rank, account.weight, cost) + cost, now);
}

Refused Admission::refuse(AdmissionId id, AdmissionRefusal reason, Duration wait) const
{
    return { id, reason, std::clamp(wait, this->settings.shortestRetryAfter, this->settings.longestRetryAfter) };
}

bool Admission::makeRoom(Service& service, const Account& account, const AdmissionRequest& request, TimePoint now)
{
    const auto rank = serviceRank(account.priority);
    for (std::size_t other = priorityCount; other-- > rank;) {
        const auto* victim = service.queue.newestOfLargestBacklog(other);
        if (!victim)
            continue;
        const auto own = service.queue.backlog(request.account, rank) + request.cost / account.weight;
        if (other == rank && service.queue.backlog(victim->account, rank) <= own)
            return false;
        this->evicted.push_back(this->giveUp(service, victim->id, AdmissionRefusal::QueueFull, now));
        return true;
    }
    return false;
}

Refused Admission::giveUp(Service& service, AdmissionId id, AdmissionRefusal reason, TimePoint now)
{
    const auto request = service.queue.remove(id).value();
    const auto rank = serviceRank(request.priority);
    this->queuedAt.erase(id);
    const Account* account = nullptr;
    if (const auto found = this->accounts.find(request.account); found != this->accounts.end())
        account = &found->second;
    const auto wait = account
        ? this->wait(service, *account, request.account, request.cost, now)
        : this->waitFor(service, rank, service.queue.costWaiting(rank), now);
    return this->refuse(id, reason, wait);
}

void Admission::refuseLate(Service& service, std::vector<Refused>& out, TimePoint now)
{
    while (const auto late = service.queue.overdue(now))
        out.push_back(this->giveUp(service, *late, AdmissionRefusal::TooLate, now));
    for (std::size_t rank = 0; rank < priorityCount; ++rank) {
        while (const auto* last = service.queue.newestOfLargestBacklog(rank)) {
            const auto ahead = service.queue.costAhead(last->account, rank, last->weight, 0);
            const auto wait = this->waitFor(service, rank, ahead, now);
            if (toSeconds(wait) <= lateFactor * toSeconds(last->deadline - now))
                break;
            out.push_back(this->giveUp(service, last->id, AdmissionRefusal::TooLate, now));
        }
    }
}

} // namespace goldcrestwood
