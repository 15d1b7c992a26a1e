#include "edge/beliefs.h"

#include "daemon/clock.h"
#include "edge/log.h"
#include "goldcrestwood/log_position.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace goldcrestwood {

namespace {

    using edge::LogClass;

    /// Removed upstreams get their last request this long before the drain time ends.
    constexpr Duration drainMargin = std::chrono::milliseconds(250);

    const char* nameOf(RecordSource source)
    {
        switch (source) {
        case RecordSource::Log:
            return "store";
        case RecordSource::Listing:
            return "listing";
        case RecordSource::Peer:
            return "peer";
        case RecordSource::PeerMemory:
            return "peer_memory";
        }
        return "unknown";
    }

    void reportFindings(const char* source, const Findings& findings)
    {
        for (const auto& finding : findings)
            edge::log(LogClass::Decision, "record_rejected", { { "source", source }, { "finding", toString(finding) } });
    }

    void logRequestLimit(const EdgeState& state, const UpstreamId& upstream, const std::string& source)
    {
        const auto limit = state.board.requestLimit(upstream);
        edge::log(LogClass::Decision, "upstream_limit",
            { { "upstream", upstream.value }, { "limited", limit.has_value() }, { "per_second", limit.value_or(0) }, { "source", source }, { "daemons", static_cast<std::int64_t>(state.board.daemonCount()) } });
    }

    void applyConfiguration(EdgeState& state, const KeyedRecord& record, RecordSource source)
    {
        auto configuration = platform::decodeConfiguration(*record.value);
        if (!configuration) {
            reportFindings(nameOf(source), configuration.error());
            return;
        }
        if (state.routes && configuration->version <= state.routes->configuration().version)
            return;
        edge::log(LogClass::Decision, "configuration_in_force",
            { { "version", static_cast<std::int64_t>(configuration->version) }, { "source", nameOf(source) }, { "era", static_cast<std::int64_t>(logEra(record.offset)) }, { "offset", static_cast<std::int64_t>(logOffset(record.offset)) },
                { "routes", static_cast<std::int64_t>(configuration->routes.size()) } });
        state.routes = std::make_shared<const RouteTable>(std::move(*configuration));
        state.board.setServices(*state.routes);
        std::vector<CacheStore> stores;
        for (const auto& service : state.routes->configuration().services)
            if (service.store)
                stores.push_back(*service.store);
        state.parts.setStores(stores);
    }

    /// After a pause, what was written meanwhile is read within this time: two reads of the store and a retry.
    constexpr Duration maxReadTime = std::chrono::milliseconds(1500);

    /// A process that has just started, or stood still, does not know when a version was named. The version must become mandatory
    /// by the time that the process counts as connected, which is after the contact time.
    TimePoint cautiousNamingTime(const EdgeState& state, TimePoint now)
    {
        const auto& bounds = state.settings.bounds;
        return now - std::max(bounds.weightSwitchTime - bounds.contactTime, Duration(0));
    }

    /// @return When a version was named at the earliest whose record this daemon has not seen.
    TimePoint unseenNamingTime(const EdgeState& state, TimePoint now)
    {
        const auto cautious = cautiousNamingTime(state, now);
        return state.isOperatorTopicKnown ? std::max(state.operatorContact.confirmed, cautious) : cautious;
    }

    void applyWeights(EdgeState& state, const KeyedRecord& record, RecordSource source)
    {
        const auto weights = platform::decodeNamedWeights(*record.value);
        if (!weights) {
            reportFindings(nameOf(source), weights.error());
            return;
        }
        const auto now = monotonicNow();
        auto& targets = state.weightTargets[weights->model];
        const auto paused = state.pauses.lastBegan(now, std::max(state.operatorContact.confirmed, now - maxReadTime));
        const bool isTimeKnown = state.isOperatorTopicKnown && !paused;
        const auto cautious = cautiousNamingTime(state, now);
        const auto since = isTimeKnown ? now : std::max(cautious, state.isOperatorTopicKnown ? *paused : cautious);
        const bool isNextInLog = isTimeKnown && source == RecordSource::Log;
        const auto replaces = isNextInLog ? std::optional(targets.newestBelow(weights->version)) : std::nullopt;
        targets.add({ weights->version, since, isTimeKnown, replaces }, unseenNamingTime(state, now));
        edge::log(LogClass::Decision, "weights_named",
            { { "model", weights->model }, { "version", static_cast<std::int64_t>(weights->version) }, { "source", nameOf(source) },
                { "witnessed", isTimeKnown }, { "age_ms", toMs(now - since) }, { "unconfirmed_ms", toMs(now - std::max(state.operatorContact.confirmed, state.started)) } });
    }

    void applyEvacuation(EdgeState& state, const KeyedRecord& record, RecordSource source)
    {
        const FailureDomain domain(record.key.substr(std::string_view(platform::evacuationPrefix).size()));
        if (record.value)
            state.evacuated.insert(domain);
        else
            state.evacuated.erase(domain);
        state.board.setEvacuated(state.evacuated);
        edge::log(LogClass::Decision, "evacuation", { { "domain", domain.value }, { "out", record.value.has_value() }, { "source", nameOf(source) } });
    }

    void applyRolloutOrder(EdgeState& state, const KeyedRecord& record, RecordSource source)
    {
        const ServiceName service(record.key.substr(std::string_view(platform::rolloutPrefix).size()));
        if (!record.value) {
            // The order was withdrawn.
            edge::log(LogClass::Decision, "rollout_withdrawn", { { "service", service.value }, { "source", nameOf(source) } });
            if (auto* rollout = state.rolloutOf(service))
                rollout->revert();
            return;
        }
        auto order = platform::decodeRolloutOrder(*record.value);
        if (!order) {
            reportFindings(nameOf(source), order.error());
            return;
        }
        if (auto* known = state.rolloutOf(order->service); known != nullptr) {
            if (known->offset() >= record.offset)
                return;
            // The store had lost the order and the operator has written it again.
            if (logEra(known->offset()) != logEra(record.offset) && known->order() == *order) {
                known->moveTo(record.offset);
                return;
            }
        }
        edge::log(LogClass::Decision, "rollout_ordered",
            { { "service", order->service.value }, { "target", order->target }, { "duration_ms", toMs(order->duration) }, { "source", nameOf(source) },
                { "era", static_cast<std::int64_t>(logEra(record.offset)) }, { "offset", static_cast<std::int64_t>(logOffset(record.offset)) }, { "witnessed", state.isOperatorTopicKnown } });
        // A process that has just started does not know when the order was given.
        const auto since = state.isOperatorTopicKnown ? std::optional(monotonicNow()) : std::nullopt;
        state.rollouts.insert_or_assign(order->service, Rollout(*order, record.offset, since, state.settings.bounds));
    }

    void applyRemoval(EdgeState& state, const UpstreamId& id, RecordSource source)
    {
        const auto now = monotonicNow();
        // Entries expire while the registry is unavailable; live upstreams register again soon after its return.
        // If only this daemon lost the registry, the removal is real and must take effect within the drain time.
        const auto drainEnd = now + state.settings.bounds.drainTime - drainMargin;
        const auto returnDeadline = std::min(drainEnd, (state.registryContact.isReachable ? state.registryContact.since : now) + reregistrationGrace);
        // An entry that is older than its removal was written late.
        const bool mayReturn = now < returnDeadline && source != RecordSource::PeerMemory;
        edge::log(LogClass::Decision, "upstream_gone", { { "upstream", id.value }, { "source", nameOf(source) }, { "after_outage", mayReturn } });
        if (mayReturn)
            state.expiredUpstreams.emplace(id, returnDeadline);
        else
            state.board.removeUpstream(id);
    }

} // namespace

void removeExpiredUpstreams(EdgeState& state, TimePoint now)
{
    std::erase_if(state.expiredUpstreams, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        state.board.removeUpstream(entry.first);
        return true;
    });
}

void applyWeightsAge(EdgeState& state, const InstanceId& peer, const NamedWeightsAge& report, TimePoint now)
{
    const WeightTarget target { report.version, now - fromAgeMs(report.ageMs), true, report.replaces };
    if (state.weightTargets[report.model].add(target, unseenNamingTime(state, now)))
        edge::log(LogClass::Decision, "weights_heard_of",
            { { "model", report.model }, { "version", static_cast<std::int64_t>(report.version) }, { "peer", peer.value }, { "age_ms", static_cast<std::int64_t>(report.ageMs) } });
}

void applyUpstreamNotice(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const platform::DecodedNotice& decoded, const std::string& source)
{
    reportFindings(upstream.value.c_str(), decoded.findings);
    const auto& notice = decoded.notice;
    if (notice.isEmpty() || !state.board.onNotice(upstream, born, notice, monotonicNow()))
        return;
    if (notice.isLeaving) {
        edge::log(LogClass::Decision, "upstream_leaving", { { "upstream", upstream.value }, { "born", born }, { "source", source } });
        state.metrics.count("goldcrest_upstream_leaving_total", "");
    }
    if (notice.backoff) {
        edge::log(LogClass::Decision, "upstream_rests",
            { { "upstream", upstream.value }, { "born", born }, { "rest_ms", toMs(*notice.backoff) }, { "source", source } });
        state.metrics.count("goldcrest_upstream_rests_total", "");
    }
}

void applyCallAnswer(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const HttpAnswer& answer, bool isExpected, const std::string& call)
{
    auto decoded = platform::decodeNotice(answer.status, answer.fields);
    decoded.notice.isLeaving = decoded.notice.isLeaving && isExpected;
    applyUpstreamNotice(state, upstream, born, decoded, call);
    if (isExpected)
        applyServerLoad(state, upstream, born, platform::decodeServerLoad(answer.fields));
}

void applyRequestLimit(EdgeState& state, const UpstreamId& upstream, std::int64_t born,
    const tl::expected<std::optional<double>, Finding>& limit, TimePoint sent, const std::string& request)
{
    if (!limit) {
        reportFindings(upstream.value.c_str(), { limit.error() });
        return;
    }
    if (!state.board.onRequestLimit(upstream, born, { *limit, sent, monotonicNow() }))
        return;
    logRequestLimit(state, upstream, request);
    state.metrics.count("goldcrest_upstream_limit_changes_total", "");
}

void applyServerLoad(EdgeState& state, const UpstreamId& upstream, std::int64_t born, const tl::expected<std::optional<ServerLoad>, Finding>& load)
{
    if (load && *load) {
        state.board.onServerLoad(upstream, born, **load, monotonicNow());
    } else if (!load) {
        state.metrics.count("goldcrest_server_load_rejected_total", "");
        if (state.board.isFirstInvalidLoad(upstream))
            reportFindings(upstream.value.c_str(), { load.error() });
    }
}

void applyPeerLimits(EdgeState& state, const LimitNotice& notice)
{
    for (const auto& upstream : state.board.onPeerLimits(notice, monotonicNow()))
        logRequestLimit(state, upstream, "peer");
}

void applyUsageNotice(EdgeState& state, const UsageNotice& notice)
{
    // The ledger ignores own counts, and takes those of an earlier process of this machine.
    if (!state.usage)
        return;
    const auto wall = wallClock();
    state.usage->ledger.onNotice(notice, wall);
    state.usage->reporter.onNotice(notice, wall, monotonicNow());
}

void applyDutyRecord(EdgeState& state, const DutyRecord& record, TimePoint readAt)
{
    std::set<UpstreamId> ordered;
    for (const auto& entry : record.ordered)
        ordered.insert(entry.upstream);
    state.board.setLoadingWeights(std::move(ordered));
    for (const auto& entry : record.done)
        state.board.setWeights(entry.upstream, entry.model, entry.version);
    state.duty = { record, readAt };
    // Daemons that get the record from this one need only the orders, and ask for it several times a second.
    state.duty->first.usage.clear();
    state.duty->first.replicas.clear();
}

void applyOperatorRecords(EdgeState& state, const std::vector<KeyedRecord>& records, RecordSource source)
{
    for (const auto& record : records) {
        if (record.key.starts_with(platform::evacuationPrefix))
            applyEvacuation(state, record, source);
        else if (record.key.starts_with(platform::rolloutPrefix))
            applyRolloutOrder(state, record, source);
        else if (!record.value)
            continue; // Configurations and weight versions stay in force when their record is removed.
        else if (record.key == platform::configurationKey)
            applyConfiguration(state, record, source);
        else if (record.key.starts_with(platform::weightsPrefix))
            applyWeights(state, record, source);
    }
    state.isOperatorTopicKnown = state.isOperatorTopicKnown || state.operatorFeed.isKnown();
}

void applyRegistryRecords(EdgeState& state, const std::vector<KeyedRecord>& records, RecordSource source)
{
    for (const auto& record : records) {
        const UpstreamId id(record.key);
        if (!record.value) {
            applyRemoval(state, id, source);
            continue;
        }
        state.expiredUpstreams.erase(id);
        const auto entry = platform::decodeUpstream(record.key, *record.value);
        if (!entry) {
            // An upstream with an unreadable entry cannot be used.
            reportFindings(nameOf(source), entry.error());
            state.board.removeUpstream(id);
            continue;
        }
        if (entry->isDraining)
            edge::log(LogClass::Decision, "upstream_draining", { { "upstream", record.key }, { "source", nameOf(source) } });
        state.board.setUpstream(*entry, monotonicNow());
    }
}

} // namespace goldcrestwood
