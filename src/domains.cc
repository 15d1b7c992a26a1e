#include "goldcrestwood/domains.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {
namespace {

    /// Bounds the exponent of the ramp-up.
    constexpr double maxRampSteps = 60;

    double allocateShare(double demand, double& capacity)
    {
        const auto allocated = std::clamp(capacity, 0.0, demand);
        capacity -= allocated;
        return demand > 0 ? allocated / demand : 1.0;
    }

} // namespace

const char* toString(WorkGate gate)
{
    switch (gate) {
    case WorkGate::Open:
        return "open";
    case WorkGate::DomainOut:
        return "domain_out";
    case WorkGate::DomainOutProvisional:
        return "domain_out_provisional";
    case WorkGate::UpstreamLeaving:
        return "upstream_leaving";
    case WorkGate::Isolated:
        return "isolated";
    }
    return "unknown";
}

PriorityRates admissionShares(const PriorityRates& demand, double capacity)
{
    PriorityRates shares;
    shares.important = allocateShare(demand.important, capacity);
    shares.normal = allocateShare(demand.normal, capacity);
    shares.batch = allocateShare(demand.batch, capacity);
    return shares;
}

DomainGate::DomainGate(DomainGateSettings initialSettings)
    : settings(initialSettings)
{
}

std::vector<DomainChange> DomainGate::onRecorded(const RecordedDomainState& record, TimePoint now)
{
    const auto before = this->domainState(record.domain);
    if (!record.orderId.empty()) {
        this->provisional.erase(record.orderId);
        this->recordSettled(record.orderId);
    }
    auto [position, added] = this->domains.try_emplace(record.domain);
    auto& domain = position->second;
    if (added || record.offset > domain.offset) {
        domain.recorded = record.state;
        domain.offset = record.offset;
    }
    return this->applyTransition(record.domain, before, now);
}

std::vector<DomainChange> DomainGate::onProvisional(const ProvisionalOut& order, TimePoint now)
{
    if (this->settledOrders.contains(order.orderId))
        return {};
    const auto before = this->domainState(order.domain);
    this->provisional.emplace(order.orderId, order);
    return order.domain.empty() ? std::vector<DomainChange>() : this->applyTransition(order.domain, before, now);
}

std::vector<DomainChange> DomainGate::onOrderSettled(const std::string& orderId, TimePoint now)
{
    this->recordSettled(orderId);
    const auto found = this->provisional.find(orderId);
    if (found == this->provisional.end())
        return {};
    const auto domain = found->second.domain;
    const auto before = this->domainState(domain);
    this->provisional.erase(found);
    return domain.empty() ? std::vector<DomainChange>() : this->applyTransition(domain, before, now);
}

void DomainGate::onUpstreamLeaving(const UpstreamId& upstream, bool isLeaving)
{
    if (isLeaving)
        this->leavingUpstreams.insert(upstream);
    else
        this->leavingUpstreams.erase(upstream);
}

void DomainGate::onFailures(const FailureDomain& name, TimePoint now)
{
    const auto found = this->domains.find(name);
    if (found == this->domains.end())
        return;
    const auto share = this->rampShare(name, now);
    if (share >= 1)
        return;
    found->second.rampFrom = std::max(this->settings.initialRampShare, share / 2);
    found->second.rampSince = now;
}

WorkGate DomainGate::domainGate(const FailureDomain& domain) const
{
    return this->isolated ? WorkGate::Isolated : this->domainState(domain);
}

WorkGate DomainGate::upstreamGate(const UpstreamId& upstream, const FailureDomain& domain) const
{
    if (const auto gate = this->domainGate(domain); gate != WorkGate::Open)
        return gate;
    const auto matches = [&](const auto& entry) { return entry.second.upstream == upstream; };
    const bool hasProvisional = std::any_of(this->provisional.begin(), this->provisional.end(), matches);
    return hasProvisional || this->leavingUpstreams.contains(upstream) ? WorkGate::UpstreamLeaving : WorkGate::Open;
}

double DomainGate::rampShare(const FailureDomain& name, TimePoint now) const
{
    const auto found = this->domains.find(name);
    if (found == this->domains.end())
        return 1;
    const auto& domain = found->second;
    if (domain.rampFrom >= 1)
        return 1;
    const auto steps = std::floor(toSeconds(now - domain.rampSince) / toSeconds(this->settings.rampDoublingTime));
    return std::min(1.0, domain.rampFrom * std::exp2(std::min(steps, maxRampSteps)));
}

std::vector<ProvisionalOut> DomainGate::unrecordedOrders() const
{
    std::vector<ProvisionalOut> orders;
    for (const auto& [id, order] : this->provisional)
        orders.push_back(order);
    return orders;
}

void DomainGate::recordSettled(const std::string& orderId)
{
    if (!this->settledOrders.insert(orderId).second)
        return;
    this->settledOrderQueue.push_back(orderId);
    if (this->settledOrderQueue.size() <= this->settings.maxSettledOrders)
        return;
    this->settledOrders.erase(this->settledOrderQueue.front());
    this->settledOrderQueue.pop_front();
}

WorkGate DomainGate::domainState(const FailureDomain& name) const
{
    const auto found = this->domains.find(name);
    if (found != this->domains.end() && found->second.recorded == DomainState::Out)
        return WorkGate::DomainOut;
    const auto matches = [&](const auto& entry) { return !name.empty() && entry.second.domain == name; };
    const bool hasProvisional = std::any_of(this->provisional.begin(), this->provisional.end(), matches);
    return hasProvisional ? WorkGate::DomainOutProvisional : WorkGate::Open;
}

std::vector<DomainChange> DomainGate::applyTransition(const FailureDomain& name, WorkGate before, TimePoint now)
{
    const auto after = this->domainState(name);
    if (before == after)
        return {};
    if (after == WorkGate::Open) {
        auto& domain = this->domains[name];
        domain.rampFrom = this->settings.initialRampShare;
        domain.rampSince = now;
    }
    return { { name, after } };
}

} // namespace goldcrestwood
