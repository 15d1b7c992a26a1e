#include "daemon/operator_api.h"

#include <nlohmann/json.hpp>

#include "daemon/settings_file.h"
#include "goldcrestwood/daemon_messages.h"

namespace goldcrestwood {

namespace {

    using nlohmann::json;

    constexpr std::uint64_t maxConfigurationBytes = 64U << 20;
    constexpr Duration recordTimeout = std::chrono::seconds(4);

    HttpResponse jsonResponse(int status, const json& body)
    {
        return { status, "application/json", body.dump(1, ' ', false, json::error_handler_t::replace) + "\n", {} };
    }

    json journalJson(const JournalStatus& status)
    {
        return { { "next", status.next }, { "lag", status.lag }, { "skipped", status.skipped }, { "dropped", status.dropped },
            { "outage", status.outage }, { "ready", status.ready }, { "superseded", status.superseded }, { "staleness_seconds", status.stalenessSeconds } };
    }

    json memberJson(const Member& member)
    {
        json info;
        to_json(info, member.info);
        return { { "id", member.id.value }, { "incarnation", member.incarnation }, { "state", toString(member.state) }, { "info", info } };
    }

    std::vector<std::string> segments(std::string_view path)
    {
        std::vector<std::string> parts;
        while (!path.empty()) {
            path.remove_prefix(path.front() == '/' ? 1 : 0);
            const auto end = path.find('/');
            parts.emplace_back(path.substr(0, end));
            path = end == std::string_view::npos ? std::string_view() : path.substr(end);
        }
        return parts;
    }

    json drainsJson(const std::vector<DrainStatus>& drains)
    {
        json list = json::array();
        for (const auto& [order, recorded] : drains) {
            if (order.state == DomainState::Out)
                list.push_back({ { "target", toString(order.target) }, { "name", order.name }, { "recorded", recorded } });
        }
        return list;
    }

    /// @return The configuration in a request body, which is a msgpack message or else TOML.
    tl::expected<Configuration, Findings> readConfiguration(const std::string& body, std::string_view contentType)
    {
        if (contentType != "application/msgpack")
            return parseConfiguration({ "configuration", body }, {});
        auto configuration = decode<Configuration>(body);
        if (!configuration)
            return tl::unexpected(Findings { { { "configuration", 0, 0 }, configuration.error().message } });
        return std::move(*configuration);
    }

} // namespace

OperatorApi::OperatorApi(const Serving& parts, ControlJournal& controlJournal, ClaimService& claimService)
    : serving(parts)
    , control(controlJournal)
    , claims(claimService)
{
}

void OperatorApi::serve(HttpExchange& exchange)
{
    const auto parts = segments(exchange.path());
    const bool isPost = exchange.method() == "POST";
    const auto is = [&parts](std::initializer_list<std::string_view> pattern) {
        return std::equal(parts.begin(), parts.end(), pattern.begin(), pattern.end(),
            [](const std::string& part, std::string_view expected) { return expected == "*" || part == expected; });
    };
    if (!isPost && is({ "debug", "state" }))
        return exchange.respond(jsonResponse(200, this->stateDump()));
    if (!isPost && is({ "admin", "status" }))
        return exchange.respond(this->status());
    if (!isPost && is({ "admin", "configuration" }))
        return exchange.respond(this->configuration());
    if (!isPost && is({ "metrics" }))
        return exchange.respond({ 200, "text/plain; version=0.0.4", this->serving.metrics.prometheusText(), {} });
    if (isPost && is({ "admin", "apply" }))
        return exchange.respond(this->apply(exchange));
    if (isPost && is({ "admin", "domains", "*", "out" }))
        return exchange.respond(this->drain(DrainTarget::Domain, parts[2], DomainState::Out));
    if (isPost && is({ "admin", "domains", "*", "in" }))
        return exchange.respond(this->drain(DrainTarget::Domain, parts[2], DomainState::In));
    if (isPost && is({ "admin", "upstreams", "*", "leave" }))
        return exchange.respond(this->drain(DrainTarget::Upstream, parts[2], DomainState::Out));
    if (isPost && is({ "admin", "upstreams", "*", "return" }))
        return exchange.respond(this->drain(DrainTarget::Upstream, parts[2], DomainState::In));
    exchange.respond(problemResponse({ 404, "Unknown operation", std::string(exchange.path()) }));
}

HttpResponse OperatorApi::apply(HttpExchange& exchange)
{
    const auto body = exchange.readBody(maxConfigurationBytes);
    if (!body)
        return problemResponse(body.error());
    const auto requested = readConfiguration(*body, exchange.header("Content-Type"));
    auto findings = requested ? validate(*requested) : requested.error();
    if (!findings.empty()) {
        json list = json::array();
        for (const auto& finding : findings)
            list.push_back(toString(finding));
        return jsonResponse(400, { { "title", "Invalid configuration" }, { "findings", list } });
    }
    const auto view = this->serving.view.load();
    auto edit = diff(view->configuration(), *requested);
    const auto base = exchange.query("base");
    edit.base = base.empty() ? view->revision : std::strtoull(base.c_str(), nullptr, 10);
    edit.author = exchange.query("author");
    if (isEmpty(edit))
        return jsonResponse(200, { { "revision", view->revision }, { "changed", false } });
    const auto completion = this->control.submitAndWait("ConfigurationEdit", edit, recordTimeout);
    if (completion.outcome == RecordOutcome::NotAppended)
        return problemResponse({ 503, "Not recorded", "the log did not accept the edit", Executed::No, this->control.retryAfter() });
    if (completion.outcome == RecordOutcome::Unknown)
        return problemResponse({ 504, "Outcome unknown", "the edit may still come into force; see the status", Executed::Unknown, this->control.retryAfter() });
    const auto result = this->control.withFold([&](ControlFold& fold) {
        const auto* found = fold.resultOf(completion.id);
        return found ? *found : EditResult {};
    });
    json conflicts = json::array();
    for (const auto& conflict : result.conflicts)
        conflicts.push_back({ { "entry", conflict.entry.key }, { "table", toString(conflict.entry.table) }, { "changed_at", conflict.changedAt }, { "message", conflict.message } });
    if (!result.isAccepted())
        return jsonResponse(409, { { "title", "Conflict" }, { "conflicts", conflicts } });
    return jsonResponse(200, { { "revision", result.revision }, { "changed", true } });
}

HttpResponse OperatorApi::drain(DrainTarget target, const std::string& name, DomainState state)
{
    const auto view = this->serving.view.load();
    const bool known = target == DrainTarget::Domain ? view->domain(FailureDomain(name)) != nullptr : view->upstream(UpstreamId(name)) != nullptr;
    if (!known)
        return problemResponse({ 404, "Unknown name", "no such " + std::string(target == DrainTarget::Domain ? "failure domain: " : "upstream: ") + name });
    DrainOrder order;
    order.origin = { this->serving.mesh.self(), this->serving.mesh.incarnation(), ++this->orderSequence };
    order.target = target;
    order.name = name;
    order.state = state;
    if (state == DomainState::Out) {
        const auto key = order.origin.instance.value + "/" + std::to_string(order.origin.incarnation) + "/" + std::to_string(order.origin.sequence);
        this->control.withFold([&](ControlFold& fold) { return fold.catalog().addProvisional(order); });
        this->serving.view.store(this->control.withFold([](ControlFold& fold) { return fold.catalog().view(); }));
        this->serving.mesh.setCell(Topic::ProvisionalOrder, key, encode(order));
    }
    const auto completion = this->control.submitAndWait("DrainOrder", order, recordTimeout);
    if (completion.outcome == RecordOutcome::Committed)
        return jsonResponse(200, { { "name", name }, { "state", toString(state) }, { "recorded", true } });
    if (state == DomainState::Out)
        return jsonResponse(202, { { "name", name }, { "state", "Out" }, { "recorded", false }, { "detail", "in force, not yet recorded" } });
    const auto executed = completion.outcome == RecordOutcome::NotAppended ? Executed::No : Executed::Unknown;
    return problemResponse({ 503, "Not recorded", "the log did not accept the order", executed, this->control.retryAfter() });
}

HttpResponse OperatorApi::configuration()
{
    const auto view = this->serving.view.load();
    json body;
    to_json(body, view->configuration());
    return jsonResponse(200, { { "revision", view->revision }, { "configuration", body } });
}

HttpResponse OperatorApi::status()
{
    const auto view = this->serving.view.load();
    json daemons = json::array();
    std::map<InstanceId, std::uint64_t> revisions { { this->serving.mesh.self(), view->revision } };
    for (const auto& [owner, incarnation, cell] : this->serving.mesh.cells(Topic::ConfigRevision)) {
        if (const auto info = decode<ConfigRevisionInfo>(cell.payload); info && owner != this->serving.mesh.self())
            revisions[owner] = info->revision;
    }
    const auto mesh = this->serving.mesh.status();
    const auto add = [&](const Member& member) {
        daemons.push_back({ { "id", member.id.value }, { "state", toString(member.state) }, { "phase", toString(member.info.phase) },
            { "domain", member.info.domain.value }, { "revision", revisions[member.id] } });
    };
    add(mesh.self);
    for (const auto& member : mesh.peers) {
        if (!member.id.empty())
            add(member);
    }
    const auto drains = this->control.withFold([](ControlFold& fold) { return fold.catalog().drains(); });
    return jsonResponse(200, { { "revision", view->revision }, { "daemons", daemons }, { "out", drainsJson(drains) }, { "log", journalJson(this->control.status()) } });
}

json OperatorApi::stateDump()
{
    const auto mesh = this->serving.mesh.status();
    json dump;
    dump["self"] = memberJson(mesh.self);
    dump["isolated"] = mesh.isolated;
    dump["view"] = { { "unanimous", this->serving.mesh.isUnanimous() },
        { "supported_seconds", toSeconds(this->serving.mesh.supportedUntil() - monotonicNow()) } };
    dump["peers"] = json::array();
    for (const auto& member : mesh.peers)
        dump["peers"].push_back(memberJson(member));
    dump["gossip"] = { { "dropped_cells", mesh.gossip.droppedCells }, { "dropped_latches", mesh.gossip.droppedLatches }, { "stale_deltas", mesh.gossip.staleDeltas }, { "memory_bytes", mesh.memoryBytes } };
    dump["control"] = journalJson(this->control.status());
    dump["revision"] = this->serving.view.load()->revision;
    dump["out"] = drainsJson(this->control.withFold([](ControlFold& fold) { return fold.catalog().drains(); }));
    dump["leases"] = this->control.withFold([](ControlFold& fold) {
        json leases;
        to_json(leases, fold.leases().state());
        return leases;
    });
    dump["claims"] = json::array();
    for (const auto& stream : this->claims.status())
        dump["claims"].push_back({ { "shard", stream.shard }, { "keys", stream.keys }, { "journal", journalJson(stream.journal) } });
    dump["claims_unfinished"] = this->claims.unfinishedCount();
    dump["queues"] = json::array();
    for (const auto& queue : this->serving.admission.status())
        dump["queues"].push_back({ { "service", queue.service.value }, { "waiting", queue.waiting }, { "in_flight", queue.inFlight }, { "capacity", queue.capacity } });
    dump["permits"] = json::array();
    for (const auto& permit : this->serving.permits.status()) {
        dump["permits"].push_back({ { "upstream", permit.upstream.value }, { "in_flight", permit.inFlight }, { "free", permit.free },
            { "on_floor", permit.isFloorOnly }, { "owned", permit.owned }, { "limit", permit.ownedLimit }, { "charged", permit.ownedCharge } });
    }
    const auto prefixes = this->serving.prefixes.status();
    dump["prefixes"] = { { "blocks", prefixes.blocks }, { "memory_bytes", prefixes.memoryBytes }, { "events", prefixes.counts.events },
        { "gaps", prefixes.counts.gaps }, { "restarts", prefixes.counts.restarts } };
    dump["router"] = { { "memory_bytes", this->serving.routes.memoryBytes() } };
    return dump;
}

} // namespace goldcrestwood
