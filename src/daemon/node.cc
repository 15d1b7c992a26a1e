#include "daemon/node.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "daemon/json_log.h"
#include "goldcrestwood/daemon_messages.h"

namespace goldcrestwood {

namespace {

    constexpr Duration controlInterval = std::chrono::milliseconds(100);
    constexpr Duration stateRequestInterval = std::chrono::milliseconds(500);
    constexpr Duration loadInterval = std::chrono::seconds(1);
    /// The daemon becomes ready after this time even if a service has granted it no permit.
    constexpr Duration warmingTimeout = std::chrono::seconds(20);
    /// Delay after which any daemon submits a provisional order that is still unrecorded; also the retry interval.
    constexpr Duration orderSubmitDelay = std::chrono::seconds(5);
    constexpr std::uint32_t operatorThreads = 8;
    /// Name of the lease whose holder writes snapshots and issues orders.
    constexpr const char* coordinatorLease = "coordinator";

    ShutdownSettings shutdownSettings(const Settings& settings)
    {
        ShutdownSettings shutdown;
        shutdown.answerLifetime = settings.serving.endpointLifetime;
        shutdown.gossipDelay = 4 * settings.peers.gossipInterval;
        shutdown.streamTimeout = settings.serving.shutdownTimeout;
        return shutdown;
    }

    std::string orderKey(const DrainOrder& order)
    {
        const auto& [instance, incarnation, sequence] = order.origin;
        return instance.value + "/" + std::to_string(incarnation) + "/" + std::to_string(sequence);
    }

} // namespace

Node::Node(const Settings& daemonSettings)
    : settings(daemonSettings)
    , incarnation(static_cast<std::uint64_t>(wallClock().count()))
    , tickets({ daemonSettings.serving.ticketKey })
    , view(std::make_shared<const CatalogView>())
    , mesh(this->settings, this->incarnation, this->metrics)
    , directory(this->mesh)
    , control("control", { this->settings.instance.id, this->incarnation }, this->settings.platform, ControlFold())
    , permits(this->mesh, this->directory)
    , prefixes(this->mesh, this->directory, this->settings.instance.region, this->settings.peers.timeout)
    , transfers(this->mesh, this->directory, this->metrics)
    , routes(this->mesh, this->directory, this->permits, this->prefixes, this->transfers)
    , admission(this->permits, this->mesh, this->directory, this->metrics)
    , claims(this->settings, this->mesh, this->directory, this->metrics, [this] { return this->control.isOutage(); })
    , reaper(this->permits, this->directory)
    , monitor(this->mesh, this->directory, this->permits, this->prefixes, this->metrics)
    , serving { this->settings, this->metrics, this->mesh, this->permits, this->admission, this->prefixes, this->transfers, this->routes, this->reaper, this->tickets, this->view, this->cutStreams }
    , completions(this->serving)
    , plainCalls(this->serving, this->claims)
    , operators(this->serving, this->control, this->claims)
    , shutdown(shutdownSettings(this->settings))
    , lease(LeaseSettings(), coordinatorLease, this->settings.instance.id, this->incarnation)
    , random(this->incarnation)
{
    this->registerPeerHandlers();
    this->control.onUpdate([this](ControlFold& fold) {
        this->view.store(fold.catalog().view());
        {
            const std::lock_guard lock(this->controlMutex);
            this->viewChanged = true;
        }
        this->controlWake.notify_all();
    });
}

Node::~Node()
{
    this->stop();
}

void Node::registerPeerHandlers()
{
    const auto toMesh = [this](const PeerMessage& message, const PeerReply& reply) { this->mesh.onMessage(message, reply); };
    this->directory.handle("GossipMessage", toMesh);
    this->directory.handle("ViewReport", toMesh);
    this->directory.handle("StateRequest", [this](const PeerMessage& message, const PeerReply& reply) {
        const auto request = decode<StateRequest>(message.payload);
        if (!request || request->stream != this->control.name() || !this->control.isReady())
            return reply({});
        const auto state = this->control.foldState();
        reply(state.next > request->next ? PeerMessage { "FoldState", encode(state) } : PeerMessage {});
    });
}

std::optional<std::string> Node::start()
{
    auto started = PeerTransport::start(this->settings.listen.peers,
        [this](const PeerMessage& message, const PeerReply& reply) { this->directory.dispatch(message, reply); });
    if (!started)
        return started.error();
    this->transport.emplace(std::move(*started));
    this->directory.setTransport(*this->transport);

    HttpServerSettings callers { this->settings.listen.callers, this->settings.listen.callerThreads, this->settings.listen.maxHeaderSize, this->settings.listen.receiveTimeout };
    auto callerListener = HttpServer::start(callers, [this](HttpExchange& exchange) { this->serveCaller(exchange); });
    if (!callerListener)
        return callerListener.error();
    HttpServerSettings operatorSettings = callers;
    operatorSettings.address = this->settings.listen.operators;
    operatorSettings.threads = operatorThreads;
    auto operatorListener = HttpServer::start(operatorSettings, [this](HttpExchange& exchange) { this->serveOperator(exchange); });
    if (!operatorListener)
        return operatorListener.error();
    this->callerServer.emplace(std::move(*callerListener));
    this->operatorServer.emplace(std::move(*operatorListener));

    MeshListener listener;
    listener.onCell = [this](const ChangedCell& cell) { this->onCell(cell); };
    listener.onLatch = [this](const GossipLatch& latch) { this->onLatch(latch); };
    listener.onOwnership = [this](const std::vector<OwnershipChange>& changes) { this->permits.onOwnership(changes); };
    this->mesh.start(*this->transport, std::move(listener));
    this->control.start();
    this->permits.start();
    this->transfers.start();
    this->admission.start();
    this->claims.start();
    this->reaper.start();
    this->monitor.start();
    this->controlThread = std::thread([this] { this->runControl(); });
    logEvent("started", { { "callers", this->settings.listen.callers }, { "operators", this->settings.listen.operators }, { "peers", this->settings.listen.peers } });
    return std::nullopt;
}

void Node::stop()
{
    {
        const std::lock_guard lock(this->controlMutex);
        this->stopping = true;
    }
    this->controlWake.notify_all();
    if (this->controlThread.joinable())
        this->controlThread.join();
    this->callerServer.reset();
    this->operatorServer.reset();
    this->monitor.stop();
    this->reaper.stop();
    this->admission.stop();
    this->transfers.stop();
    this->claims.stop();
    this->permits.stop();
    this->control.stop();
    this->mesh.stop();
    if (this->transport)
        this->transport->stop();
}

std::optional<Problem> Node::refuseNewWork()
{
    const auto retryAfter = this->settings.serving.endpointLifetime;
    if (!this->accepting)
        return Problem { 503, "Leaving", "this instance is stopping; ask /v1/endpoints for another", Executed::No, std::chrono::seconds(1) };
    if (!this->ready)
        return Problem { 503, "Not ready", "this instance holds no configuration yet", Executed::No, retryAfter };
    if (this->isolated)
        return Problem { 503, "Isolated", "this instance is isolated; use another one", Executed::No, retryAfter };
    return std::nullopt;
}

void Node::serveCaller(HttpExchange& exchange)
{
    ++this->openRequests;
    this->lastRequestStart = monotonicNow().time_since_epoch().count();
    try {
        this->route(exchange);
    } catch (...) {
        --this->openRequests;
        throw;
    }
    --this->openRequests;
}

void Node::route(HttpExchange& exchange)
{
    const auto path = exchange.path();
    const bool isPost = exchange.method() == "POST";
    if (!isPost && path == "/v1/endpoints")
        return this->respondEndpoints(exchange);
    if (!isPost && path == "/healthz")
        return exchange.respond({ 200, "text/plain", "ok\n", {} });
    if (!isPost && path == "/readyz") {
        const bool usable = this->ready && !this->isolated && !this->leaving;
        return exchange.respond({ usable ? 200 : 503, "text/plain", usable ? "ready\n" : "not ready\n", {} });
    }
    const bool isText = path == "/v1/completions";
    const bool isChat = path == "/v1/chat/completions";
    const bool isPlain = path.starts_with("/v1/services/");
    if (!isText && !isChat && !isPlain)
        return exchange.respond(problemResponse({ 404, "Unknown path", std::string(path) }));
    if (!isPost)
        return exchange.respond(problemResponse({ 405, "Method not allowed", "use POST" }));
    if (const auto problem = this->refuseNewWork())
        return exchange.respond(problemResponse(*problem));
    if (isPlain)
        this->plainCalls.serve(exchange);
    else
        this->completions.serve(isText ? CompletionShape::Text : CompletionShape::Chat, exchange);
}

void Node::respondEndpoints(HttpExchange& exchange)
{
    ResolverSettings resolver;
    resolver.lifetime = this->settings.serving.endpointLifetime;
    const auto hint = exchange.query("domain");
    const auto current = this->view.load();
    const auto isOut = [&current](const FailureDomain& domain) { return !current->isInService(domain); };
    const auto answer = this->mesh.resolve(resolver, isOut, hint.empty() ? std::nullopt : std::optional(FailureDomain(hint)));
    nlohmann::json body = { { "endpoints", nlohmann::json::array() }, { "lifetime_seconds", toSeconds(answer.lifetime) }, { "level", toString(answer.level) } };
    for (const auto& [address, weight, domain] : answer.endpoints)
        body["endpoints"].push_back({ { "address", address }, { "weight", weight }, { "domain", domain.value } });
    exchange.respond({ answer.endpoints.empty() ? 503 : 200, "application/json", body.dump() + "\n", {} });
}

void Node::serveOperator(HttpExchange& exchange)
{
    if (exchange.path() == "/healthz")
        return exchange.respond({ 200, "text/plain", "ok\n", {} });
    this->operators.serve(exchange);
}

void Node::runControl()
{
    while (true) {
        {
            std::unique_lock lock(this->controlMutex);
            this->controlWake.wait_for(lock, controlInterval, [this] { return this->stopping || this->viewChanged; });
            if (this->stopping)
                return;
            this->viewChanged = false;
        }
        this->controlStep();
    }
}

void Node::controlStep()
{
    this->mesh.onLogRead(this->control.lastReadToEnd());
    if (const auto current = this->view.load(); current != this->configured)
        this->configure(current);
    this->updatePhase();
    this->settleProvisionalOrders();
    this->updateLease();
    this->askPeersForState();
    this->publishLoad();
}

void Node::configure(const std::shared_ptr<const CatalogView>& current)
{
    std::vector<OwnedResource> resources;
    const auto regionOf = [&](const FailureDomain& domain) {
        const auto* entry = current->domain(domain);
        return entry && !entry->region.empty() ? entry->region : this->settings.instance.region;
    };
    const auto addResource = [&](const auto& row) {
        if (const auto region = regionOf(row.entry.domain); region == this->settings.instance.region)
            resources.push_back({ upstreamKey(row.entry.id), region, row.entry.domain });
    };
    current->upstreams.forEach(addResource);
    current->stores.forEach(addResource);
    for (std::uint32_t shard = 0; shard < this->settings.platform.claimShards; ++shard)
        resources.push_back({ claimStreamKey(shard), this->settings.instance.region, {} });
    this->mesh.setResources(resources);
    this->permits.configure(current);
    this->transfers.configure(current);
    this->routes.configure(current);
    this->admission.configure(current);
    this->monitor.configure(current);
    if (!this->configured || this->configured->revision != current->revision)
        logEvent("configuration_in_force", { { "revision", std::to_string(current->revision) } });
    this->configured = current;
    this->mesh.setCell(Topic::ConfigRevision, "", encode(ConfigRevisionInfo { current->revision }));
}

void Node::updatePhase()
{
    this->isolated = this->mesh.isIsolated();
    const auto now = monotonicNow();
    const bool holdsState = this->control.isReady() && this->configured && this->configured->revision != 0;
    if (holdsState && !this->warmingSince)
        this->warmingSince = now;
    const bool isWarm = holdsState && (this->permits.isWarm() || now - *this->warmingSince > warmingTimeout);
    if (isWarm && !this->ready) {
        this->ready = true;
        const std::lock_guard lock(this->shutdownMutex);
        this->shutdown.onReady(now);
        logEvent("ready", { { "warming_seconds", std::to_string(toSeconds(now - *this->warmingSince)) } });
    }
    if (this->leaving)
        return;
    if (!holdsState)
        this->mesh.setPhase(MemberPhase::Starting);
    else if (this->isolated)
        this->mesh.setPhase(MemberPhase::Isolated);
    else
        this->mesh.setPhase(this->ready ? MemberPhase::Ready : MemberPhase::Warming);
}

void Node::onCell(const ChangedCell& cell)
{
    if (cell.cell.topic != Topic::UpstreamLoad || cell.cell.removed)
        return;
    if (const auto versions = decode<OwnedVersions>(cell.cell.payload))
        this->routes.onVersions(*versions);
}

void Node::onLatch(const GossipLatch& latch)
{
    if (latch.topic != Topic::ProvisionalOrder || latch.retired)
        return;
    const auto order = decode<DrainOrder>(latch.payload);
    if (!order)
        return;
    this->control.withFold([&](ControlFold& fold) {
        fold.catalog().addProvisional(*order);
        this->view.store(fold.catalog().view());
        return true;
    });
    {
        const std::lock_guard lock(this->controlMutex);
        this->viewChanged = true;
    }
    this->controlWake.notify_all();
}

void Node::settleProvisionalOrders()
{
    const auto pending = this->control.withFold([](ControlFold& fold) { return fold.catalog().provisional(); });
    const auto isPending = [&pending](const std::string& key) {
        return std::any_of(pending.begin(), pending.end(), [&key](const DrainOrder& order) { return orderKey(order) == key; });
    };
    for (const auto& latch : this->mesh.latches(Topic::ProvisionalOrder)) {
        if (this->control.isReady() && !this->control.isOutage() && !isPending(latch.key))
            this->mesh.retireLatch(Topic::ProvisionalOrder, latch.key);
    }
    std::erase_if(this->orderSubmitAt, [&](const auto& entry) { return !isPending(entry.first); });
    if (this->control.isOutage() || !this->control.isReady())
        return;
    const auto now = monotonicNow();
    for (const auto& order : pending) {
        // The daemon that accepted the order records it at once; the others submit it only if that daemon seems to have failed.
        const auto delay = order.origin.instance == this->mesh.self() ? Duration(0) : orderSubmitDelay;
        auto& submitAt = this->orderSubmitAt.try_emplace(orderKey(order), now + delay).first->second;
        if (now < submitAt)
            continue;
        submitAt = now + orderSubmitDelay;
        (void)this->control.submit("DrainOrder", order);
    }
}

void Node::updateLease()
{
    const auto now = monotonicNow();
    this->control.withFold([&](ControlFold& fold) {
        this->lease.observe(fold.leases(), now, this->random);
        return true;
    });
    if (this->warmingSince && !this->leaving) {
        if (const auto record = this->lease.poll(monotonicNow())) {
            if (const auto* claim = std::get_if<LeaseClaim>(&*record))
                (void)this->control.submit("LeaseClaim", *claim);
            else if (const auto* renewal = std::get_if<LeaseRenewal>(&*record))
                (void)this->control.submit("LeaseRenewal", *renewal);
        }
    }
    this->control.writeSnapshotIfDue(this->lease.isHeld(now));
}

void Node::askPeersForState()
{
    const auto now = monotonicNow();
    if (this->warmingSince || now < this->nextStateRequest || !this->control.isOutage())
        return;
    this->nextStateRequest = now + stateRequestInterval;
    const StateRequest request { this->control.name(), 0 };
    for (const auto& peer : this->mesh.regionMembers()) {
        if (peer == this->mesh.self())
            continue;
        const auto state = this->directory.call<FoldState>(peer, "StateRequest", request, this->settings.peers.timeout);
        if (state && this->control.adoptFromPeer(*state)) {
            logEvent("state_from_peer", { { "peer", peer.value }, { "next", std::to_string(state->next) } });
            return;
        }
    }
}

void Node::publishLoad()
{
    const auto now = monotonicNow();
    if (now < this->nextLoad)
        return;
    this->nextLoad = now + loadInterval;
    constexpr double utilisationSteps = 20;
    const auto utilisation = static_cast<double>(this->openRequests) / this->settings.listen.callerThreads;
    const DaemonLoadInfo load { std::min(1.0, static_cast<double>(static_cast<int>(utilisation * utilisationSteps)) / utilisationSteps) };
    this->mesh.setCell(Topic::DaemonLoad, "", encode(load));
    const auto traffic = this->transport->traffic();
    this->metrics.set("goldcrestwood_peer_sent_bytes", "", static_cast<double>(traffic.bytesSent));
    this->metrics.set("goldcrestwood_peer_received_bytes", "", static_cast<double>(traffic.bytesReceived));
    this->metrics.set("goldcrestwood_peer_sent_frames", "", static_cast<double>(traffic.framesSent));
    this->metrics.set("goldcrestwood_peer_timeouts", "", static_cast<double>(traffic.timeouts));
}

std::optional<int> Node::onSignal()
{
    const std::lock_guard lock(this->shutdownMutex);
    return this->runActions(this->shutdown.onSignal(monotonicNow()));
}

std::optional<int> Node::poll()
{
    const std::lock_guard lock(this->shutdownMutex);
    if (this->shutdown.phase() == ShutdownPhase::Running)
        return std::nullopt;
    const auto now = monotonicNow();
    if (this->handingOver && this->claims.unfinishedCount() == 0) {
        this->handingOver = false;
        this->shutdown.onHandedOver(now);
    }
    ShutdownView state { this->openRequests, std::nullopt };
    if (const auto last = this->lastRequestStart.load(); last != 0)
        state.lastRequestStart = TimePoint(Duration(last));
    return this->runActions(this->shutdown.poll(state, now));
}

std::optional<int> Node::runActions(const std::vector<ShutdownAction>& actions)
{
    std::optional<int> exitCode;
    for (const auto& action : actions) {
        switch (action.kind) {
        case ShutdownAction::Kind::AnnounceLeaving:
            logEvent("leaving");
            this->leaving = true;
            this->mesh.setPhase(MemberPhase::Leaving);
            break;
        case ShutdownAction::Kind::HandOver:
            this->lease.release();
            if (const auto record = this->lease.poll(monotonicNow())) {
                if (const auto* released = std::get_if<LeaseRelease>(&*record))
                    (void)this->control.submit("LeaseRelease", *released);
            }
            this->permits.handOver();
            this->handingOver = true;
            break;
        case ShutdownAction::Kind::StopAccepting:
            this->accepting = false;
            break;
        case ShutdownAction::Kind::CutStreams:
            logWarning("cutting_streams", { { "open", std::to_string(this->openRequests) } });
            this->cutStreams = true;
            break;
        case ShutdownAction::Kind::AnnounceLeft:
            this->mesh.setPhase(MemberPhase::Left);
            break;
        case ShutdownAction::Kind::Exit:
            logEvent("ended", { { "code", std::to_string(action.exitCode) } });
            exitCode = action.exitCode;
            break;
        }
    }
    return exitCode;
}

} // namespace goldcrestwood
