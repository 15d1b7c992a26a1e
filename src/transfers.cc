#include "goldcrestwood/transfers.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

namespace {

    /// Unexpired shares tracked per daemon.
    constexpr std::size_t maxHeldShares = 8;

    /// With transfers of nearly equal size, speed and delay cannot be fitted separately.
    constexpr double minRelativeVariance = 0.01;

    double sumOf(const std::array<double, transferClassCount>& values)
    {
        auto sum = 0.0;
        for (const auto value : values)
            sum += value;
        return sum;
    }

    /// @return The max-min fair share of @p left for the demand @p own, which is one of @p demands.
    double maxMinShare(std::vector<double> demands, double own, double left)
    {
        std::sort(demands.begin(), demands.end());
        for (std::size_t i = 0; i < demands.size(); ++i) {
            const auto equalShare = left / static_cast<double>(demands.size() - i);
            if (demands[i] >= equalShare)
                return std::min(own, equalShare);
            if (demands[i] >= own)
                return own;
            left -= demands[i];
        }
        return own;
    }

    std::size_t index(TransferClass kind) { return static_cast<std::size_t>(kind); }

    double bytesOf(const std::vector<Transfer>& transfers)
    {
        auto bytes = 0.0;
        for (const auto& transfer : transfers)
            bytes += static_cast<double>(transfer.bytes);
        return bytes;
    }

} // namespace

void LinkFit::add(double bytes, double seconds, double weight)
{
    this->meanBytes += weight * (bytes - this->meanBytes);
    this->meanSeconds += weight * (seconds - this->meanSeconds);
    this->meanSquare += weight * (bytes * bytes - this->meanSquare);
    this->meanProduct += weight * (bytes * seconds - this->meanProduct);
}

double LinkFit::speed(double capacity) const
{
    const auto averageSpeed = this->meanBytes / this->meanSeconds;
    const auto variance = this->meanSquare - this->meanBytes * this->meanBytes;
    const auto covariance = this->meanProduct - this->meanBytes * this->meanSeconds;
    const auto isFittable = variance > minRelativeVariance * this->meanBytes * this->meanBytes;
    const auto fitted = isFittable && covariance > 0 ? variance / covariance : averageSpeed;
    return std::clamp(fitted, std::min(averageSpeed, capacity), capacity);
}

double LinkFit::delay(double capacity) const
{
    return std::max(0.0, this->meanSeconds - this->meanBytes / this->speed(capacity));
}

double LinkBroker::Grant::activeRate(TimePoint now) const
{
    auto highest = 0.0;
    for (const auto& share : this->held)
        highest = now < share.until ? std::max(highest, share.bytesPerSecond) : highest;
    return highest;
}

void LinkBroker::Grant::add(const HeldShare& share)
{
    std::erase_if(this->held, [&](const HeldShare& other) { return other.bytesPerSecond <= share.bytesPerSecond; });
    this->held.push_back(share);
    if (this->held.size() <= maxHeldShares)
        return;
    // Shares decrease along the list, so the first one covers the second if it is extended to the same expiry.
    this->held[0].until = std::max(this->held[0].until, this->held[1].until);
    this->held.erase(this->held.begin() + 1);
}

LinkBroker::LinkBroker(const TransferSettings& initialSettings, double linkCapacity, std::size_t daemons, TimePoint start)
    : settings(initialSettings)
    , capacity(linkCapacity)
    , floor(linkCapacity * initialSettings.floorShare / static_cast<double>(std::max<std::size_t>(daemons, 1)))
    , daemonCount(std::max<std::size_t>(daemons, 1))
    , startsAt(start)
{
}

void LinkBroker::dropExpired(TimePoint now)
{
    for (auto& [daemon, grant] : this->grants)
        std::erase_if(grant.held, [&](const HeldShare& share) { return share.until <= now; });
    std::erase_if(this->grants, [](const auto& item) { return item.second.held.empty(); });
}

double LinkBroker::totalDemand() const
{
    auto total = 0.0;
    for (const auto& [daemon, grant] : this->grants)
        total += sumOf(grant.demand);
    return total;
}

double LinkBroker::fairShare(const InstanceId& daemon, double left) const
{
    const auto& own = this->grants.at(daemon);
    auto share = 0.0;
    for (std::size_t kind = 0; kind < transferClassCount; ++kind) {
        std::vector<double> demands;
        for (const auto& [other, grant] : this->grants)
            demands.push_back(grant.demand[kind]);
        share += maxMinShare(demands, own.demand[kind], left);
        for (const auto demand : demands)
            left -= demand;
        if (left <= 0)
            break;
    }
    return share;
}

LinkShare LinkBroker::demand(const InstanceId& daemon, const LinkDemand& demand, TimePoint now)
{
    this->dropExpired(now);
    const auto floorBytes = static_cast<std::uint64_t>(this->floor);
    if (now < this->startsAt)
        return { demand.store, floorBytes, floorBytes, this->settings.grantLifetime };

    auto& grant = this->grants[daemon];
    const auto headroom = this->settings.headroom;
    grant.demand = { headroom * static_cast<double>(demand.firstToken), headroom * static_cast<double>(demand.prefetches),
        headroom * static_cast<double>(demand.exports) };
    const auto distributable = this->capacity - this->floor * static_cast<double>(this->daemonCount);
    const auto unused = std::max(0.0, distributable - this->totalDemand());
    auto grantedToOthers = 0.0;
    for (const auto& [other, held] : this->grants)
        grantedToOthers += other == daemon ? 0 : held.activeRate(now);
    const auto desiredShare = this->fairShare(daemon, distributable) + unused / static_cast<double>(this->daemonCount);
    const auto share = std::clamp(desiredShare, 0.0, std::max(0.0, distributable - grantedToOthers));

    grant.add({ share, now + this->settings.grantLifetime });
    const auto speed = std::min(this->capacity, this->floor + share + unused);
    return { demand.store, static_cast<std::uint64_t>(this->floor + share), static_cast<std::uint64_t>(speed),
        this->settings.grantLifetime };
}

double LinkBroker::granted(TimePoint now) const
{
    auto sum = this->floor * static_cast<double>(this->daemonCount);
    for (const auto& [daemon, grant] : this->grants)
        sum += grant.activeRate(now);
    return sum;
}

TransferQueue::TransferQueue(const TransferSettings& initialSettings)
    : settings(initialSettings)
{
}

void TransferQueue::setLink(const UpstreamId& store, double capacity, std::size_t daemons, TimePoint now)
{
    auto& link = this->links[store];
    link.capacity = capacity;
    link.floor = capacity * this->settings.floorShare / static_cast<double>(std::max<std::size_t>(daemons, 1));
    link.refilledAt = now;
    link.demandAt = now;
}

TransferActions TransferQueue::removeLink(const UpstreamId& store)
{
    TransferActions actions;
    const auto found = this->links.find(store);
    if (found == this->links.end())
        return actions;
    for (const auto& queue : found->second.waiting) {
        for (const auto& transfer : queue)
            this->drop(transfer, actions);
    }
    this->links.erase(found);
    return actions;
}

void TransferQueue::grant(const LinkShare& share, TimePoint now)
{
    const auto found = this->links.find(share.store);
    if (found == this->links.end())
        return;
    auto& link = found->second;
    link.allowance = this->allowance(link, now);
    link.refilledAt = now;
    link.share = share;
    link.shareUntil = now + share.lifetime;
}

double TransferQueue::rate(const Link& link, TimePoint now)
{
    return now < link.shareUntil ? std::max(link.floor, static_cast<double>(link.share.bytesPerSecond)) : link.floor;
}

bool TransferQueue::isObserved(const Link& link, TimePoint now) const
{
    return !link.observed.empty() && now - link.observedAt < this->settings.observationLifetime;
}

double TransferQueue::speed(const Link& link, TimePoint now) const
{
    if (this->isObserved(link, now))
        return link.observed.speed(link.capacity);
    return now < link.shareUntil ? static_cast<double>(link.share.speed) : this->settings.ungrantedSpeedShare * link.capacity;
}

double TransferQueue::delay(const Link& link, TimePoint now) const
{
    return this->isObserved(link, now) ? link.observed.delay(link.capacity) : 0;
}

double TransferQueue::allowance(const Link& link, TimePoint now) const
{
    const auto seconds = std::max(0.0, toSeconds(now - link.refilledAt));
    return std::min(link.allowance + rate(link, now) * seconds, link.capacity * toSeconds(this->settings.burst));
}

double TransferQueue::decay(const Link& link, TimePoint now) const
{
    return std::exp(-toSeconds(now - link.demandAt) / toSeconds(this->settings.demandWindow));
}

bool TransferQueue::meetsDeadline(const Link& link, const Transfer& transfer, double bytesAhead, TimePoint now) const
{
    const auto deficitBytes = std::max(0.0, bytesAhead - this->allowance(link, now));
    const auto seconds = deficitBytes / rate(link, now) + this->delay(link, now) + static_cast<double>(transfer.bytes) / std::max(1.0, this->speed(link, now));
    return now + fromSeconds(seconds) <= transfer.deadline;
}

TransferActions TransferQueue::submit(const Transfer& transfer, TimePoint now)
{
    TransferActions actions;
    const auto found = this->links.find(transfer.store);
    if (found == this->links.end()) {
        this->drop(transfer, actions);
        return actions;
    }
    auto& link = found->second;
    const auto kind = index(transfer.kind);
    const auto decayFactor = this->decay(link, now);
    for (auto& bytes : link.demand)
        bytes *= decayFactor;
    link.demandAt = now;
    link.demand[kind] += static_cast<double>(transfer.bytes);

    auto& queue = link.waiting[kind];
    if (queue.size() >= this->settings.maxWaiting) {
        this->drop(transfer, actions);
        return actions;
    }
    auto earlierDeadline = [](const Transfer& left, const Transfer& right) { return left.deadline < right.deadline; };
    queue.insert(std::upper_bound(queue.begin(), queue.end(), transfer, earlierDeadline), transfer);
    this->dropInfeasible(link, now, actions);
    this->startAllowed(link, now, actions);
    return actions;
}

TransferActions TransferQueue::tick(TimePoint now)
{
    TransferActions actions;
    for (auto& [store, link] : this->links) {
        this->dropInfeasible(link, now, actions);
        this->startAllowed(link, now, actions);
    }
    return actions;
}

void TransferQueue::drop(const Transfer& transfer, TransferActions& actions)
{
    auto& counts = this->total[index(transfer.kind)];
    ++counts.dropped;
    counts.droppedBytes += transfer.bytes;
    actions.drop.push_back({ transfer.id });
}

void TransferQueue::dropInfeasible(Link& link, TimePoint now, TransferActions& actions)
{
    auto queuedAhead = 0.0;
    for (auto& queue : link.waiting) {
        std::erase_if(queue, [&](const Transfer& transfer) {
            const auto isInfeasible = !this->meetsDeadline(link, transfer, queuedAhead, now);
            if (isInfeasible)
                this->drop(transfer, actions);
            else
                queuedAhead += static_cast<double>(transfer.bytes);
            return isInfeasible;
        });
    }
}

bool TransferQueue::mayStart(const Link& link, const Transfer& transfer) const
{
    const auto background = transfer.kind != TransferClass::FirstToken;
    return link.allowance > 0 && !(background && link.runningBackground >= this->settings.maxRunningBackground);
}

void TransferQueue::startAllowed(Link& link, TimePoint now, TransferActions& actions)
{
    link.allowance = this->allowance(link, now);
    link.refilledAt = now;
    for (auto& queue : link.waiting) {
        auto next = queue.begin();
        for (; next != queue.end() && this->mayStart(link, *next); ++next) {
            link.allowance -= static_cast<double>(next->bytes);
            link.runningBackground += next->kind == TransferClass::FirstToken ? 0 : 1;
            this->running[next->id] = { next->store, next->kind, next->bytes, now };
            actions.start.push_back({ next->id });
            auto& counts = this->total[index(next->kind)];
            ++counts.started;
            counts.startedBytes += next->bytes;
        }
        queue.erase(queue.begin(), next);
        if (!queue.empty())
            return;
    }
}

void TransferQueue::observeSpeed(Link& link, const Running& transfer, TimePoint now) const
{
    const auto seconds = toSeconds(now - transfer.startedAt);
    if (transfer.kind != TransferClass::FirstToken || seconds <= 0)
        return;
    const auto weight = this->isObserved(link, now) ? this->settings.learningWeight : 1;
    link.observed.add(static_cast<double>(transfer.bytes), seconds, weight);
    link.observedAt = now;
}

void TransferQueue::finish(TransferId id, std::uint64_t movedBytes, TimePoint now)
{
    if (const auto found = this->running.find(id); found != this->running.end()) {
        const auto transfer = found->second;
        this->running.erase(found);
        const auto linkEntry = this->links.find(transfer.store);
        if (linkEntry == this->links.end())
            return;
        auto& link = linkEntry->second;
        link.allowance += static_cast<double>(transfer.bytes - std::min(movedBytes, transfer.bytes));
        link.runningBackground -= transfer.kind == TransferClass::FirstToken ? 0 : 1;
        if (movedBytes >= transfer.bytes)
            this->observeSpeed(link, transfer, now);
        return;
    }
    for (auto& [store, link] : this->links) {
        for (auto& queue : link.waiting)
            std::erase_if(queue, [&](const Transfer& transfer) { return transfer.id == id; });
    }
}

LinkEstimate TransferQueue::estimate(const UpstreamId& store, TimePoint now) const
{
    const auto found = this->links.find(store);
    if (found == this->links.end())
        return {};
    const auto& link = found->second;
    const auto speed = this->speed(link, now);
    const auto deficitBytes = std::max(0.0, bytesOf(link.waiting[index(TransferClass::FirstToken)]) - this->allowance(link, now));
    // The backlog drains at the granted rate, while a started transfer runs at full speed.
    return { speed, (deficitBytes / rate(link, now) + this->delay(link, now)) * speed };
}

LinkDemand TransferQueue::demand(const UpstreamId& store, TimePoint now) const
{
    LinkDemand demand { store, 0, 0, 0 };
    const auto found = this->links.find(store);
    if (found == this->links.end())
        return demand;
    const auto& link = found->second;
    const auto perSecond = this->decay(link, now) / toSeconds(this->settings.demandWindow);
    auto rateOf = [&](TransferClass kind) { return static_cast<std::uint64_t>(link.demand[index(kind)] * perSecond); };
    demand.firstToken = rateOf(TransferClass::FirstToken);
    demand.prefetches = rateOf(TransferClass::Prefetch);
    demand.exports = rateOf(TransferClass::Export);
    return demand;
}

std::optional<TimePoint> TransferQueue::nextStart(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const auto& [store, link] : this->links) {
        auto waits = [](const std::vector<Transfer>& queue) { return !queue.empty(); };
        if (std::none_of(link.waiting.begin(), link.waiting.end(), waits))
            continue;
        const auto deficitBytes = std::max(0.0, -this->allowance(link, now));
        const auto at = now + fromSeconds(deficitBytes / rate(link, now)) + Duration(1);
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

} // namespace goldcrestwood
