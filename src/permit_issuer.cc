#include "goldcrestwood/permits.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    std::uint32_t saturatingSubtract(std::uint32_t left, std::uint32_t right)
    {
        return left > right ? left - right : 0;
    }

} // namespace

PermitIssuer::PermitIssuer(UpstreamId target, ConcurrencySettings limits, PermitSettings permitSettings, TimePoint now)
    : upstream(std::move(target))
    , settings(permitSettings)
    , concurrency(limits)
    , settledAt(now + permitSettings.quorumTerm + permitSettings.term + permitSettings.margin)
{
}

void PermitIssuer::setFloors(std::vector<InstanceId> daemons, TimePoint now)
{
    for (const auto& former : this->floors) {
        if (std::find(daemons.begin(), daemons.end(), former) == daemons.end())
            this->orphans.push_back({ 1, now });
    }
    this->floors = std::move(daemons);
}

std::vector<PermitMessage> PermitIssuer::onRequest(const PermitRequest& request, TimePoint now)
{
    if (request.upstream != this->upstream)
        return {};
    this->forgetSilent(now);
    auto* holder = this->admit(request, now);
    if (!holder)
        return {};
    this->readReport(*holder, request, now);
    std::vector<PermitMessage> out;
    if (this->learn(*holder, request, now) == LimitChange::TurnedCold)
        out = this->revokeAll(holder->id);
    out.push_back(this->give(*holder, this->share(*holder, now), now));
    this->serveWaiting(out, now);
    return out;
}

std::vector<PermitMessage> PermitIssuer::onLoad(std::uint64_t reportedEpoch, std::uint32_t reportedRequests, TimePoint now)
{
    std::vector<PermitMessage> out;
    if (this->concurrency.onEpoch(reportedEpoch) == LimitChange::TurnedCold)
        out = this->revokeAll(InstanceId());
    if (now >= this->settledAt + this->settings.loadLag)
        this->unknown = std::min(this->unknown.value_or(reportedRequests), reportedRequests);
    for (auto& orphan : this->orphans) {
        if (now >= orphan.since + this->settings.orphanCheckAfter)
            orphan.count = std::min(orphan.count, reportedRequests);
    }
    for (auto& holder : this->holders) {
        if (now < holder.heardAt + this->settings.orphanCheckAfter)
            continue;
        holder.inFlight = std::min(charge(holder), reportedRequests);
        holder.inherited = 0;
        holder.given.clear();
    }
    this->serveWaiting(out, now);
    return out;
}

void PermitIssuer::onHandover(const PermitHandover& handover, TimePoint now)
{
    if (handover.upstream != this->upstream || !handover.authoritative)
        return;
    if (this->ended || now >= this->settledAt)
        return;
    this->concurrency.restore(handover.epoch, handover.limit);
    for (const auto& [id, incarnation, count] : handover.charges) {
        if (id.empty()) {
            this->orphans.push_back({ count, now });
        } else if (!this->find(id)) {
            Holder holder;
            holder.id = id;
            holder.incarnation = incarnation;
            holder.inherited = count;
            holder.heardAt = now;
            this->holders.push_back(std::move(holder));
        }
    }
    this->unknown = 0;
    this->settledAt = now;
}

void PermitIssuer::onUnanimous(TimePoint now)
{
    if (now >= this->settledAt)
        this->unknown = 0;
}

PermitHandover PermitIssuer::handOver(TimePoint now)
{
    this->forgetSilent(now);
    this->ended = true;
    PermitHandover handover { this->upstream, this->epoch(), static_cast<double>(this->limit()), {}, now < this->authorityUntil };
    for (const auto& holder : this->holders) {
        if (const auto count = charge(holder); count > 0)
            handover.charges.push_back({ holder.id, holder.incarnation, count });
    }
    for (const auto& orphan : this->orphans)
        handover.charges.push_back({ InstanceId(), 0, orphan.count });
    if (const auto remaining = this->unknown.value_or(this->limit()); remaining > 0)
        handover.charges.push_back({ InstanceId(), 0, remaining });
    return handover;
}

std::vector<PermitMessage> PermitIssuer::poll(TimePoint now)
{
    this->forgetSilent(now);
    std::vector<PermitMessage> out;
    this->serveWaiting(out, now);
    return out;
}

std::size_t PermitIssuer::stateBytes() const
{
    auto bytes = sizeof(*this) + this->orphans.capacity() * sizeof(Orphan) + this->floors.capacity() * sizeof(InstanceId);
    for (const auto& holder : this->holders)
        bytes += sizeof(holder) + holder.given.capacity() * sizeof(Given);
    return bytes;
}

std::uint32_t PermitIssuer::charge(const Holder& holder)
{
    auto largest = std::max(holder.inFlight, holder.inherited);
    for (const auto& given : holder.given)
        largest = std::max(largest, given.count);
    return largest;
}

std::uint32_t PermitIssuer::grantedCount(const Holder& holder)
{
    const bool isAnswered = !holder.given.empty() && holder.given.back().sequence == holder.sequence;
    return isAnswered ? holder.given.back().count : 0;
}

PermitIssuer::Holder* PermitIssuer::find(const InstanceId& id)
{
    auto isMatch = [&](const Holder& holder) { return holder.id == id; };
    const auto found = std::find_if(this->holders.begin(), this->holders.end(), isMatch);
    return found == this->holders.end() ? nullptr : &*found;
}

PermitIssuer::Holder* PermitIssuer::admit(const PermitRequest& request, TimePoint now)
{
    auto* holder = this->find(request.holder);
    if (!holder) {
        this->holders.emplace_back();
        holder = &this->holders.back();
        holder->id = request.holder;
        holder->incarnation = request.incarnation;
    }
    if (request.incarnation < holder->incarnation)
        return nullptr;
    if (request.incarnation > holder->incarnation) {
        // Requests of the former process may still run at the upstream.
        if (const auto remaining = charge(*holder); remaining > 0)
            this->orphans.push_back({ remaining, now });
        *holder = Holder();
        holder->id = request.holder;
        holder->incarnation = request.incarnation;
    }
    return request.sequence > holder->sequence ? holder : nullptr;
}

void PermitIssuer::readReport(Holder& holder, const PermitRequest& request, TimePoint now) const
{
    std::erase_if(holder.given, [&](const Given& given) { return given.sequence < request.validFrom; });
    const bool usesOwnGrant = !holder.given.empty() && holder.given.front().sequence == request.validFrom;
    holder.inherited = usesOwnGrant ? 0 : request.held;
    holder.sequence = request.sequence;
    holder.inFlight = request.inFlight;
    holder.wanted = request.wanted;
    holder.heardAt = now;
}

LimitChange PermitIssuer::learn(Holder& holder, const PermitRequest& request, TimePoint now)
{
    if (this->concurrency.onEpoch(request.epoch) == LimitChange::TurnedCold)
        return LimitChange::TurnedCold;
    if (request.epoch < this->epoch())
        return LimitChange::None;
    if (holder.epoch != request.epoch) {
        holder.epoch = request.epoch;
        holder.successes = 0;
        holder.errors = 0;
    }
    if (request.cold)
        return this->concurrency.turnCold();
    // Permits granted by a former owner in this epoch show what load the upstream can sustain.
    if (holder.inherited > 0 && !this->settled(now))
        this->concurrency.restore(request.epoch, this->inheritedSum());
    const auto successes = request.successes - std::min(request.successes, holder.successes);
    const auto errors = request.errors - std::min(request.errors, holder.errors);
    holder.successes = std::max(holder.successes, request.successes);
    holder.errors = std::max(holder.errors, request.errors);
    const auto change = this->concurrency.onSuccesses(successes, this->inFlight(), request.slowdown);
    return change == LimitChange::None ? this->concurrency.onErrors(errors) : change;
}

std::uint32_t PermitIssuer::inFlight() const
{
    std::uint32_t sum = 0;
    for (const auto& holder : this->holders)
        sum += holder.inFlight;
    return sum;
}

std::uint32_t PermitIssuer::inheritedSum() const
{
    std::uint32_t sum = 0;
    for (const auto& holder : this->holders)
        sum += holder.inherited;
    return sum;
}

std::uint32_t PermitIssuer::held(const Holder* except) const
{
    auto sum = this->unknown.value_or(0);
    for (const auto& holder : this->holders)
        sum += &holder == except ? 0 : charge(holder);
    for (const auto& orphan : this->orphans)
        sum += orphan.count;
    return sum;
}

std::uint32_t PermitIssuer::share(const Holder& holder, TimePoint now) const
{
    if (this->ended || now >= this->authorityUntil)
        return 0;
    if (!this->settled(now)) {
        const auto before = std::max(holder.inherited, grantedBefore(holder));
        return std::min({ holder.wanted, before, saturatingSubtract(this->limit(), this->held(&holder)) });
    }
    const auto available = saturatingSubtract(this->limit(), this->held(&holder) + this->reserved());
    const auto desired = std::min(holder.wanted, available);
    const auto contention = this->contentionFor(holder, now);
    if (!contention.othersWait)
        return desired;
    if (contention.othersWaitLonger && available <= 1)
        return 0;
    return std::min(desired, contention.fairPart);
}

std::uint32_t PermitIssuer::grantedBefore(const Holder& holder)
{
    std::uint32_t largest = 0;
    for (const auto& given : holder.given)
        largest = std::max(largest, given.count);
    return largest;
}

PermitIssuer::Contention PermitIssuer::contentionFor(const Holder& holder, TimePoint now) const
{
    Contention contention;
    contention.fairPart = this->fairPart(now);
    for (const auto& other : this->holders) {
        if (&other == &holder || !this->waits(other, contention.fairPart, now))
            continue;
        contention.othersWait = true;
        if (grantedCount(other) == 0 && other.servedAt < holder.servedAt)
            contention.othersWaitLonger = true;
    }
    return contention;
}

std::uint32_t PermitIssuer::fairPart(TimePoint now) const
{
    const auto term = this->settings.term;
    auto isActive = [&](const Holder& holder) { return holder.wanted > 0 && now < holder.heardAt + term; };
    const auto active = std::count_if(this->holders.begin(), this->holders.end(), isActive);
    return std::max(1U, this->limit() / static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(active, 1)));
}

bool PermitIssuer::waits(const Holder& holder, std::uint32_t fair, TimePoint now) const
{
    const bool isActive = now < holder.heardAt + this->settings.term && holder.sequence > holder.revoked;
    const auto granted = grantedCount(holder);
    return isActive && holder.wanted > granted && granted < fair;
}

PermitMessage PermitIssuer::give(Holder& holder, std::uint32_t count, TimePoint now) const
{
    if (count > 0 && grantedBefore(holder) == 0)
        holder.servedAt = now;
    const bool isAnswered = !holder.given.empty() && holder.given.back().sequence == holder.sequence;
    if (!isAnswered)
        holder.given.push_back({ holder.sequence, count, now });
    auto& given = holder.given.back();
    given.count = std::max(given.count, count);
    const PermitGrant grant { this->upstream, holder.incarnation, holder.sequence, this->epoch(), given.count,
        this->contentionFor(holder, now).othersWait, this->settings.term };
    return AddressedGrant { holder.id, grant };
}

void PermitIssuer::serveWaiting(std::vector<PermitMessage>& out, TimePoint now)
{
    auto isBefore = [](const Holder& left, const Holder& right) {
        return std::pair(grantedCount(left), left.servedAt) < std::pair(grantedCount(right), right.servedAt);
    };
    const auto fair = this->fairPart(now);
    while (true) {
        Holder* next = nullptr;
        for (auto& holder : this->holders) {
            if (this->waits(holder, fair, now) && (!next || isBefore(holder, *next)))
                next = &holder;
        }
        if (!next)
            return;
        const auto count = this->share(*next, now);
        if (count <= grantedCount(*next))
            return;
        out.push_back(this->give(*next, count, now));
    }
}

std::vector<PermitMessage> PermitIssuer::revokeAll(const InstanceId& sender)
{
    std::vector<PermitMessage> out;
    for (auto& holder : this->holders) {
        // The sender's request is answered afterwards, so only its older grants are revoked.
        holder.revoked = holder.id == sender ? holder.sequence - 1 : holder.sequence;
        out.push_back(AddressedRevoke { holder.id, { this->upstream, holder.revoked, this->epoch() } });
    }
    return out;
}

void PermitIssuer::forgetSilent(TimePoint now)
{
    const auto grantLifetime = this->settings.term + this->settings.margin;
    const auto chargeTime = this->settings.orphanHold;
    std::erase_if(this->orphans, [&](const Orphan& orphan) { return orphan.count == 0 || now >= orphan.since + grantLifetime + chargeTime; });
    auto isExpired = [&](const Holder& holder) {
        const bool isSilent = now >= holder.heardAt + grantLifetime + chargeTime;
        const bool isUnused = holder.wanted == 0 && charge(holder) == 0 && now >= holder.heardAt + grantLifetime;
        return isSilent || isUnused;
    };
    std::erase_if(this->holders, isExpired);
    if (!this->unknown && now >= this->settledAt + chargeTime)
        this->unknown = 0;
}

} // namespace goldcrestwood
