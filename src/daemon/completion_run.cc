#include "daemon/completion_run.h"

#include <algorithm>

#include "daemon/json_log.h"
#include "goldcrestwood/export_policy.h"

namespace goldcrestwood {

namespace {

    /// Minimum wait for a permit at the chosen upstream before another upstream is chosen.
    constexpr Duration minPermitTimeout = std::chrono::milliseconds(60);
    /// Wait before placement is retried when no upstream was usable.
    constexpr Duration routeRetryWait = std::chrono::milliseconds(20);
    /// Allowance added to the timeout of an import.
    constexpr Duration importSlack = std::chrono::milliseconds(100);
    /// An export that has not started within this time is dropped.
    constexpr Duration exportTimeout = std::chrono::seconds(5);
    constexpr Duration cancelTimeout = std::chrono::milliseconds(500);
    constexpr Duration minUnloadedFirstToken = std::chrono::milliseconds(1);
    constexpr int statusOk = 200;

    RelaySettings relaySettings(const Serving& serving, const ServiceEntry& service)
    {
        RelaySettings settings;
        settings.stallLimit = service.stallLimit;
        settings.resumeWindow = serving.settings.serving.resumeWindow;
        return settings;
    }

    /// @return The result of a transfer for the directory: transferred blocks are present at the store, the others are absent.
    BlocksSeen seenBlocks(const UpstreamId& store, Tier tier, const std::vector<std::uint64_t>& requested, const std::vector<std::uint64_t>& transferred)
    {
        BlocksSeen seen { store, tier, transferred, {} };
        for (const auto hash : requested) {
            if (std::find(transferred.begin(), transferred.end(), hash) == transferred.end())
                seen.absent.push_back(hash);
        }
        return seen;
    }

    int enginePriority(const CatalogView& view, const ClientAccount& account)
    {
        const auto* entry = view.account(account);
        if (!entry || entry->priority == Priority::Normal)
            return 1;
        return entry->priority == Priority::Important ? 0 : 2;
    }

} // namespace

CompletionRun::CompletionRun(const Serving& parts, CompletionTask request, RetryCheck retryCheck, HttpExchange& caller)
    : serving(parts)
    , task(std::move(request))
    , mayRetry(std::move(retryCheck))
    , exchange(caller)
    , relay(this->task.request, this->task.run, StreamTraits(), relaySettings(parts, this->task.service), this->task.nextToken, monotonicNow())
    , startedAt(monotonicNow())
{
}

void CompletionRun::serve()
{
    Step first;
    first.run = this->task.run;
    first.fromToken = this->task.nextToken;
    first.resume = !this->task.resumeAt.empty();
    first.newUpstream = true;
    this->runSteps(first);
}

void CompletionRun::runSteps(Step step)
{
    while (true) {
        if (step.newUpstream && !(step.resume ? this->beginResume() : this->beginAttempt())) {
            if (step.resume)
                this->apply(this->relay.onUpstreamGone(step.connection, monotonicNow()));
            else
                this->apply(this->relay.onRetryRefused());
        } else {
            this->afterStream(this->runStep(step), step);
        }
        if (this->callerDisconnected) {
            this->detachRun();
            return;
        }
        if (this->relay.ended() || !this->nextStep) {
            this->endAttempt(PermitEnd::Succeeded);
            return;
        }
        step = *this->nextStep;
        this->nextStep.reset();
    }
}

VersionName CompletionRun::version()
{
    if (this->pinnedVersion.empty())
        this->pinnedVersion = this->serving.routes.reportedVersion(this->task.service.name);
    return this->pinnedVersion;
}

bool CompletionRun::beginAttempt()
{
    ++this->attempts;
    const auto limit = std::min(this->serving.settings.serving.requestTimeout, 4 * this->task.service.firstTokenTarget);
    const auto deadline = monotonicNow() + limit;
    while (monotonicNow() < deadline) {
        if (this->tryPlacement(deadline))
            return true;
        if (!this->nextStep && this->relay.ended())
            return false;
    }
    return false;
}

bool CompletionRun::tryPlacement(TimePoint deadline)
{
    auto excluded = this->failedUpstreams;
    excluded.insert(this->fullUpstreams.begin(), this->fullUpstreams.end());
    const PlaceRequest request { this->task.account, this->task.service.name, this->version(), this->task.call.prompt, excluded };
    auto placement = this->serving.routes.place(request);
    const auto view = this->serving.view.load();
    if (!placement) {
        this->serving.metrics.count("goldcrestwood_route_failures_total");
        // No upstream is left, so the failed and full ones are allowed again rather than failing the request.
        this->failedUpstreams.clear();
        this->fullUpstreams.clear();
        std::this_thread::sleep_for(std::min<Duration>(routeRetryWait, deadline - monotonicNow()));
        return false;
    }
    const auto* upstream = view->upstream(placement->decision.upstream);
    // Waiting for the prefill time that the cache saves costs at most twice as much as the better choice.
    const auto permitTimeout = std::min(std::max(minPermitTimeout, placement->savedPrefillTime), deadline - monotonicNow());
    const auto permit = upstream ? this->serving.permits.acquire(upstream->id, permitTimeout) : std::nullopt;
    if (!permit) {
        this->fullUpstreams.insert(placement->decision.upstream);
        this->serving.routes.finish(this->task.service.name, placement->decision.ticket);
        return false;
    }
    this->attempt = Attempt { *upstream, std::move(*placement), *permit, monotonicNow(), true, false };
    this->serving.metrics.observe("goldcrestwood_placement_seconds", "", this->attempt->sentAt - this->startedAt);
    this->importBlocks(*this->attempt);
    if (this->attempt->placement.decision.import.blocks > 0)
        this->serving.metrics.observe("goldcrestwood_import_seconds", "", monotonicNow() - this->attempt->sentAt);
    this->serving.prefixes.announcePlaced(upstream->id, upstreamKey(upstream->id), this->attempt->placement.chain);
    return true;
}

bool CompletionRun::beginResume()
{
    const auto view = this->serving.view.load();
    const auto* upstream = view->upstream(this->task.resumeAt);
    if (!upstream)
        return false;
    const auto permit = this->serving.permits.acquire(upstream->id, this->task.service.firstTokenTarget);
    if (!permit)
        return false;
    this->attempt = Attempt { *upstream, {}, *permit, monotonicNow(), false, false };
    const auto origin = this->task.run.value.substr(0, this->task.run.value.find('~'));
    this->serving.reaper.notifyResumed(InstanceId(origin), this->task.run.value);
    return true;
}

void CompletionRun::importBlocks(const Attempt& target)
{
    const auto view = this->serving.view.load();
    const auto& plan = target.placement.decision.import;
    for (const auto& run : plan.runs) {
        const auto* store = view->store(run.store);
        if (!store)
            continue;
        BlockTransfer transfer { store->id, store->address, target.upstream.address, TransferClass::FirstToken, {}, 0, {} };
        for (std::uint32_t i = 0; i < run.blocks; ++i)
            transfer.hashes.push_back(target.placement.chain.blocks.at(run.firstBlock + i).value);
        transfer.bytes = plan.blocks == 0 ? 0 : plan.bytes * run.blocks / plan.blocks;
        transfer.timeout = 2 * plan.duration + importSlack;
        const auto transferred = this->serving.transfers.import(transfer);
        if (!transferred)
            return;
        this->serving.prefixes.announceSeen(target.placement.chain, seenBlocks(store->id, run.tier, transfer.hashes, *transferred));
    }
}

void CompletionRun::endAttempt(PermitEnd end)
{
    if (!this->attempt)
        return;
    this->serving.permits.release(this->attempt->upstream.id, this->attempt->permit, end);
    if (this->attempt->placed)
        this->serving.routes.finish(this->task.service.name, this->attempt->placement.decision.ticket);
    this->attempt.reset();
}

Duration CompletionRun::stallTimeout() const
{
    const auto expected = this->attempt->placed ? this->attempt->placement.decision.expectedFirstToken : Duration(0);
    return this->attempt->answered ? this->task.service.stallLimit : this->task.service.stallLimit + 2 * expected;
}

StreamEnd CompletionRun::runStep(const Step& step)
{
    const auto& target = *this->attempt;
    this->sent = true;
    const auto onPiece = [&](const EngineChunk& piece) { return this->onPiece(piece, step); };
    if (step.resume)
        return resumeRun(target.upstream.address, step.run.value, step.fromToken, this->stallTimeout(), onPiece);
    EngineRequest request;
    request.requestId = this->task.request.value;
    request.runId = step.run.value;
    request.prompt = this->task.call.prompt;
    request.maxTokens = this->task.call.maxTokens;
    request.seed = this->task.call.seed;
    request.priority = enginePriority(*this->serving.view.load(), this->task.account);
    request.account = this->task.account;
    request.version = target.placement.decision.version;
    request.startToken = step.fromToken;
    return startRun(target.upstream.address, request, this->stallTimeout(), onPiece);
}

bool CompletionRun::onPiece(const EngineChunk& piece, const Step& step)
{
    const auto now = monotonicNow();
    if (this->serving.cutStreams) {
        this->apply(this->relay.onRetryRefused());
        return false;
    }
    if (piece.finished) {
        this->cachedTokens = std::max(this->cachedTokens, piece.cachedTokens);
        this->apply(this->relay.onFinish(step.connection, { RequestId(piece.requestId), RunId(piece.runId), piece.tokenCount }, now));
    } else {
        this->apply(this->relay.onPiece(step.connection, { RequestId(piece.requestId), RunId(piece.runId), piece.index, piece.token }, now));
    }
    const bool continues = !this->relay.ended() && !this->nextStep && !this->callerDisconnected;
    return continues && this->relay.connection() == step.connection;
}

void CompletionRun::onFirstToken()
{
    auto& target = *this->attempt;
    target.answered = true;
    const auto duration = monotonicNow() - target.sentAt;
    if (!target.placed)
        return;
    const auto& decision = target.placement.decision;
    this->serving.routes.onFirstToken(this->task.service.name, decision.ticket, { duration, std::nullopt });
    this->serving.metrics.observe("goldcrestwood_upstream_first_token_seconds", "", duration);
    if (monotonicNow() - this->startedAt > this->task.service.firstTokenTarget) {
        logWarning("slow_first_token", { { "request", this->task.request.value }, { "upstream", target.upstream.id.value }, { "placement_seconds", std::to_string(toSeconds(target.sentAt - this->startedAt)) }, { "upstream_seconds", std::to_string(toSeconds(duration)) }, { "expected_seconds", std::to_string(toSeconds(decision.expectedFirstToken)) }, { "import_blocks", std::to_string(decision.import.blocks) }, { "cached_blocks", std::to_string(decision.blocksCovered) } });
    }
    const auto unloaded = std::max(decision.expectedFirstToken - decision.expectedQueue, minUnloadedFirstToken);
    this->serving.permits.onFirstToken(target.upstream.id, toSeconds(duration) / toSeconds(unloaded));
    this->serving.metrics.observe("goldcrestwood_first_token_seconds", "service=\"" + this->task.service.name.value + "\"", monotonicNow() - this->startedAt);
}

void CompletionRun::apply(const RelayActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* token = std::get_if<ForwardToken>(&action)) {
            this->forward(*token);
        } else if (const auto* reconnect = std::get_if<Reconnect>(&action)) {
            this->nextStep = Step { reconnect->run, reconnect->fromToken, reconnect->connection, true, false };
        } else if (const auto* rerun = std::get_if<RunElsewhere>(&action)) {
            this->nextStep = Step { rerun->run, rerun->startToken, rerun->connection, false, true };
        } else if (const auto* restart = std::get_if<Restart>(&action)) {
            this->nextStep = Step { restart->run, 0, restart->connection, false, true };
        } else if (const auto* cancel = std::get_if<CancelRun>(&action)) {
            if (this->attempt)
                cancelRun(this->attempt->upstream.address, cancel->run.value, cancelTimeout);
        } else if (std::holds_alternative<FinishStream>(action)) {
            this->finish();
        } else if (const auto* failure = std::get_if<FailStream>(&action)) {
            this->fail(failure->error);
        }
    }
}

void CompletionRun::afterStream(const StreamEnd& end, const Step& step)
{
    const auto now = monotonicNow();
    if (this->callerDisconnected || this->relay.ended())
        return;
    if (!this->nextStep) {
        const bool refused = end.status != 0 && end.status != statusOk;
        const bool gone = refused || !end.sent;
        this->apply(gone ? this->relay.onUpstreamGone(step.connection, now) : this->relay.onConnectionLost(step.connection, now));
    }
    if (!this->nextStep || !this->nextStep->newUpstream)
        return;
    this->serving.metrics.count("goldcrestwood_reruns_total");
    if (this->attempt) {
        this->failedUpstreams.insert(this->attempt->upstream.id);
        this->endAttempt(PermitEnd::Failed);
    }
    const FailedAttempt failure { this->attempts, true, this->tokensSent > 0, true };
    if (!this->mayRetry(failure)) {
        this->nextStep.reset();
        this->apply(this->relay.onRetryRefused());
    }
}

void CompletionRun::forward(const ForwardToken& token)
{
    if (this->attempt && !this->attempt->answered)
        this->onFirstToken();
    ++this->tokensSent;
    this->serving.metrics.count("goldcrestwood_tokens_total");
    if (!this->task.call.stream) {
        this->text += (this->text.empty() ? "" : " ") + token.token;
        return;
    }
    if (!this->eventsBegun) {
        this->exchange.beginEvents();
        this->eventsBegun = true;
    }
    Ticket ticket;
    ticket.request = this->task.request.value;
    ticket.account = this->task.account;
    ticket.service = this->task.service.name;
    ticket.upstream = this->attempt ? this->attempt->upstream.id : UpstreamId();
    ticket.run = this->relay.run().value;
    ticket.nextToken = token.index + 1;
    const auto expiry = wallClock() + this->serving.settings.serving.resumeWindow + this->serving.settings.serving.requestTimeout;
    ticket.expires = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(expiry).count());
    const auto spaced = token.index == 0 ? token.token : " " + token.token;
    if (!this->exchange.writeChunk(tokenEvent(this->task.call, this->task.request.value, spaced, this->serving.tickets.sign(ticket)))) {
        this->callerDisconnected = true;
        this->relay.onCallerDisconnected(monotonicNow());
    }
}

void CompletionRun::finish()
{
    this->serving.metrics.count("goldcrestwood_completions_total", "result=\"whole\"");
    this->exportBlocks();
    const auto promptTokens = this->attempt ? this->attempt->placement.chain.tokens : 0;
    this->serving.metrics.count("goldcrestwood_prompt_tokens_total", "", promptTokens);
    this->serving.metrics.count("goldcrestwood_cached_tokens_total", "", this->cachedTokens);
    if (!this->task.call.stream) {
        this->exchange.respond(completionResponse(this->task.call, this->task.request.value, this->text, { promptTokens, this->tokensSent, this->cachedTokens }));
        return;
    }
    if (!this->eventsBegun)
        this->exchange.beginEvents();
    this->exchange.writeChunk(endEvents(this->task.call, this->task.request.value));
    this->exchange.endEvents();
}

void CompletionRun::fail(StreamError error)
{
    this->serving.metrics.count("goldcrestwood_completions_total", "result=\"failed\"");
    logWarning("stream_failed", { { "request", this->task.request.value }, { "reason", toString(error) } });
    const auto executedIfSent = this->tokensSent > 0 ? Executed::Yes : Executed::Unknown;
    const auto executed = this->sent ? executedIfSent : Executed::No;
    const Problem problem { 503, this->sent ? "Upstream unavailable" : "No capacity", toString(error), executed, std::chrono::seconds(1) };
    if (this->eventsBegun) {
        this->exchange.writeChunk(errorEvent(problem));
        this->exchange.endEvents();
        return;
    }
    this->exchange.respond(problemResponse(problem));
}

void CompletionRun::detachRun()
{
    this->serving.metrics.count("goldcrestwood_completions_total", "result=\"caller_gone\"");
    if (!this->attempt)
        return;
    const auto& target = *this->attempt;
    this->serving.reaper.scheduleCancel({ this->relay.run().value, target.upstream.id, target.upstream.address, target.permit },
        this->serving.settings.serving.resumeWindow);
    if (target.placed)
        this->serving.routes.finish(this->task.service.name, target.placement.decision.ticket);
    this->attempt.reset();
}

void CompletionRun::exportBlocks()
{
    if (!this->attempt || !this->attempt->placed)
        return;
    const auto view = this->serving.view.load();
    const auto& [upstream, placement, permit, sentAt, placed, answered] = *this->attempt;
    std::vector<ExportTarget> targets;
    view->stores.forEach([&](const auto& row) {
        if (row.entry.service == this->task.service.name)
            targets.push_back({ row.entry.id, row.entry.domain, this->serving.transfers.estimate(row.entry.id), 0 });
    });
    const ChainUsed used { upstream.id, hashValues(placement.chain.blocks) };
    this->serving.prefixes.announceUsed(placement.chain, used);
    const auto blockBytes = std::uint64_t { this->task.service.blockTokens } * this->task.service.bytesPerToken;
    for (const auto& order : planExports(ExportSettings(), placement.chain.blocks, placement.coverage, targets)) {
        const auto* store = view->store(order.store);
        BlockTransfer transfer { order.store, store->address, upstream.address, TransferClass::Export, {}, blockBytes * order.blocks.size(), exportTimeout };
        for (const auto block : order.blocks)
            transfer.hashes.push_back(placement.chain.blocks.at(block).value);
        this->serving.prefixes.announceKnown(order.store, upstreamKey(order.store), placement.chain);
        this->serving.transfers.queue(transfer, [prefixes = &this->serving.prefixes, chain = placement.chain, store = order.store](const std::vector<std::uint64_t>& transferred) {
            prefixes->announceSeen(chain, { store, Tier::StoreMemory, transferred, {} });
        });
    }
}

} // namespace goldcrestwood
