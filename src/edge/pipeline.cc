#include "edge/pipeline.h"

#include <algorithm>
#include <utility>

#include "daemon/clock.h"
#include "daemon/framing.h"
#include "edge/attempt.h"
#include "edge/caller_socket.h"
#include "edge/log.h"
#include "goldcrestwood/weight_bound.h"

namespace goldcrestwood {

namespace {

    using edge::LogClass;

    /// Retry-After when there is no better estimate.
    constexpr Duration defaultRetryAfter = std::chrono::milliseconds(300);
    /// Longest wait of a caller that sends no time limit.
    constexpr Duration maxWait = std::chrono::seconds(60);
    /// A withdrawal must reach the upstream before the deadline: allows for a few round trips and a late timer.
    constexpr Duration withdrawalMargin = std::chrono::milliseconds(250);
    /// Approximate answer time apart from prefill; only used to compare the versions of a roll-out with each other.
    constexpr double unloadedAnswerMs = 20;
    constexpr const char* quarantineReason = "a part of the prompt crashes upstreams";

    const char* toString(AttemptResult result)
    {
        switch (result) {
        case AttemptResult::Answered:
            return "answered";
        case AttemptResult::FailureAnswer:
            return "failure_answer";
        case AttemptResult::Misdirected:
            return "misdirected";
        case AttemptResult::Refused:
            return "refused";
        case AttemptResult::Unreachable:
            return "unreachable";
        case AttemptResult::Cancelled:
            return "cancelled";
        }
        return "unknown";
    }

} // namespace

Pipeline::Pipeline(EdgeState& edgeState, UpstreamPool& upstreamPool, ServiceQueues& serviceQueues, CrashWatch& crashWatch)
    : state(edgeState)
    , pool(upstreamPool)
    , queues(serviceQueues)
    , crashes(crashWatch)
{
}

Task<> Pipeline::reject(ClientExchange& exchange, unsigned status, const char* reason, std::optional<Duration> retryAfter)
{
    http::response<http::string_body> response { http::int_to_status(status), 11 };
    response.result(status);
    response.set(http::field::content_type, "application/problem+json");
    if (retryAfter) {
        char seconds[32];
        std::snprintf(seconds, sizeof(seconds), "%.3f", toSeconds(*retryAfter));
        response.set(http::field::retry_after, seconds);
    }
    response.body() = std::string("{\"title\":\"") + reason + "\"}";
    response.keep_alive(exchange.clientKeepAlive && !this->state.isStopping);
    exchange.clientKeepAlive = response.keep_alive();
    response.prepare_payload();
    if (exchange.asksForHead())
        response.body().clear();
    edge::log(LogClass::Decision, "request_rejected",
        { { "request", exchange.info.id }, { "status", static_cast<std::int64_t>(status) }, { "reason", reason },
            { "after_ms", toMs(monotonicNow() - exchange.received) }, { "sends", static_cast<std::int64_t>(exchange.sends) },
            { "retry_after_ms", retryAfter ? toMs(*retryAfter) : 0.0 }, { "obstacles", this->obstacles(exchange) }, { "rank", static_cast<std::int64_t>(exchange.rank) }, { "waiting", static_cast<std::int64_t>(this->queues.waitingCount()) },
            { "configuration", static_cast<std::int64_t>(exchange.table ? exchange.table->configuration().version : 0) } });
    this->state.metrics.count("goldcrest_rejected_total", std::string("reason=\"") + reason + "\"");
    ErrorCode error;
    exchange.headSent = true;
    co_await http::async_write(exchange.client, response, into(error));
    if (error)
        exchange.clientKeepAlive = false;
}

const char* Pipeline::latenessReason(const ClientExchange& exchange, const Attempt& attempt)
{
    const auto& route = *exchange.route;
    const auto placed = attempt.choice.chosen - exchange.received;
    if (attempt.result != AttemptResult::Answered)
        return "";
    if (placed + attempt.firstByte > route.objective)
        return placed > attempt.firstByte ? "waited for a place" : "first token";
    return route.gapObjective > Duration(0) && attempt.longestGap > route.gapObjective ? "pause" : "";
}

std::string Pipeline::obstacles(const ClientExchange& exchange) const
{
    // The request was rejected before placement.
    if (exchange.placement.service.value.empty())
        return {};
    return this->state.board.obstaclesOf(exchange.placement, exchange.tried, monotonicNow()).text();
}

bool Pipeline::admit(ClientExchange& exchange, unsigned& status, const char*& reason)
{
    exchange.table = this->state.routes;
    if (!exchange.table) {
        status = 503;
        reason = "no configuration loaded yet";
        return false;
    }
    exchange.route = exchange.table->find(exchange.info.host, { exchange.request.target().data(), exchange.request.target().size() });
    if (exchange.route == nullptr) {
        status = 404;
        reason = "no route matches";
        return false;
    }
    exchange.rank = exchange.route->rank;
    if (exchange.table->configuration().hasAccounts && !exchange.route->isPublic) {
        exchange.account = exchange.table->accountOf(exchange.info.apiKey);
        if (exchange.account == nullptr) {
            status = 401;
            reason = "unknown key";
            return false;
        }
        exchange.rank = exchange.account->rank.value_or(exchange.rank);
    }
    return true;
}

bool Pipeline::outlastsStop(const ClientExchange& exchange) const
{
    const auto& stop = this->state.stopTimes;
    if (!stop || exchange.deadline <= stop->answersEnd)
        return false;
    // Most answers take a fraction of the time allowed, so an early request is served unless a caller could not repeat it.
    return exchange.route->kind == RequestKind::AtMostOnce || exchange.received >= stop->refusesLong;
}

std::optional<TimePoint> Pipeline::weightsDeadline(const ClientExchange& exchange, const PlacementChoice& choice) const
{
    const auto target = this->state.weightTargets.find(exchange.placement.model);
    if (choice.weightVersion == 0 || target == this->state.weightTargets.end() || this->state.storeOutage.isActive())
        return std::nullopt;
    return target->second.supersededAt(choice.weightVersion, WeightBound(this->state.settings.bounds, this->state.storeOutage, withdrawalMargin));
}

Task<> Pipeline::serve(ClientExchange& exchange)
{
    unsigned status = 0;
    const char* reason = "";
    if (!this->admit(exchange, status, reason)) {
        co_await this->reject(exchange, status, reason, status == 503 ? std::optional(defaultRetryAfter) : std::nullopt);
        co_return;
    }
    const auto waitLimit = std::min(exchange.info.timeLeft.value_or(maxWait), exchange.route->timeout);
    exchange.deadline = exchange.received + waitLimit;
    if (this->outlastsStop(exchange)) {
        // The directory already names other daemons.
        co_await this->reject(exchange, 503, "the daemon is stopping", Duration(0));
        co_return;
    }
    const auto* service = drawService(*exchange.route, this->state.random);
    if (service == nullptr) {
        co_await this->reject(exchange, 503, "the route has no service", defaultRetryAfter);
        co_return;
    }
    auto& placement = exchange.placement;
    placement.service = *service;
    placement.parts = exchange.info.parts;
    placement.promptTokens = exchange.info.promptTokens;
    placement.outputTokens = exchange.info.maxOutputTokens;
    placement.bodyBytes = exchange.request.body().size();
    placement.rank = exchange.rank;
    placement.objective = exchange.route->objective;
    placement.gapObjective = exchange.route->gapObjective;
    placement.model = exchange.info.model;
    if (exchange.account != nullptr && exchange.account->isIsolated)
        placement.sharingGroup = "account-" + exchange.account->name.value;
    else
        placement.sharingGroup = "all";
    ++this->state.requestCount;
    // Budgets and crash evidence expect times in order, and a request that was read later may have arrived earlier.
    const auto now = monotonicNow();
    this->state.sendBudgets.of(*service).onRequest(now);
    if (!exchange.info.parts.empty())
        this->state.crashSuspects.onRequest(*service, CrashSuspects::sharedParts(exchange.info.parts), now);

    exchange.deadlineTimer.expires_at(exchange.deadline);
    // A timer that has already fired cannot be cancelled; its handler may run after the request has ended.
    const auto isServed = std::make_shared<bool>(false);
    exchange.deadlineTimer.async_wait([&exchange, isServed](ErrorCode error) {
        if (error || *isServed)
            return;
        exchange.timedOut = true;
        exchange.interrupt();
    });
    co_await this->run(exchange);
    *isServed = true;
    exchange.deadlineTimer.cancel();
}

http::request<http::string_body> Pipeline::upstreamRequest(const ClientExchange& exchange, const PlacementChoice& choice, const std::string& lastEvent) const
{
    platform::UpstreamHeaders headers;
    headers.expectInstance = choice.upstream.value;
    headers.lastEventId = lastEvent;
    headers.account = exchange.account == nullptr ? std::string() : exchange.account->name.value;
    if (exchange.info.timeLeft)
        headers.timeLeft = exchange.received + *exchange.info.timeLeft - monotonicNow();
    if (exchange.info.promptTokens > 0) {
        headers.priority = static_cast<std::uint32_t>(engineClass(exchange.rank, exchange.info.promptTokens));
        headers.cacheScope = choice.scope;
        headers.fetchFrom = platform::encodePartAddresses(choice.fetchFrom);
        headers.saveTo = platform::encodePartAddresses(choice.saveTo);
        if (choice.weightVersion > 0)
            headers.expectWeights = choice.weightVersion;
    }
    return platform::encodeForUpstream(exchange.request, headers);
}

Task<> Pipeline::run(ClientExchange& exchange)
{
    Attempt attempt;
    while (true) {
        if (this->isQuarantined(exchange)) {
            attempt.failure = quarantineReason;
            break;
        }
        PlacementRefusal refusal = PlacementRefusal::NoUpstream;
        auto choice = co_await this->queues.place(exchange, refusal);
        if (!choice) {
            attempt.failure = refusal == PlacementRefusal::Full ? "all upstreams are full" : "no upstream can be used";
            break;
        }
        if (exchange.isOver()) {
            this->state.board.finish(*choice, exchange.placement, false, AttemptResult::Cancelled, monotonicNow());
            this->queues.dispatch(exchange.placement.service);
            break;
        }
        attempt.choice = *choice;
        attempt.result = AttemptResult::Cancelled;
        attempt.isSent = attempt.provesNotRun = attempt.isRelayed = attempt.hadFirstByte = false;
        attempt.failure = attempt.framing = "";
        attempt.bodyBytes = attempt.events = 0;
        attempt.connectionSerial = attempt.connectionRequests = 0;
        attempt.staleAnswers = 0;
        attempt.detail.clear();
        attempt.firstByte = attempt.longestGap = Duration(0);
        bool hasFailed = false;
        try {
            co_await this->attempt(exchange, attempt);
        } catch (const std::exception& error) {
            // The place at the upstream must be given back, and the caller answered, whatever the reason.
            hasFailed = true;
            exchange.activeConnection = nullptr;
            attempt.result = AttemptResult::Cancelled;
            attempt.failure = "internal error";
            attempt.detail = error.what();
            attempt.parser = nullptr;
            attempt.memory.reset();
            attempt.connection = nullptr;
        }
        const auto now = monotonicNow();
        if (exchange.isOver() && attempt.result == AttemptResult::Unreachable)
            attempt.result = AttemptResult::Cancelled;
        this->state.board.finish(attempt.choice, exchange.placement, attempt.hadFirstByte, attempt.result, now);
        this->queues.dispatch(exchange.placement.service);
        if (attempt.isSent && !attempt.provesNotRun) {
            exchange.mayHaveRun = true;
            ++exchange.runs;
        }
        this->recordRolloutOutcome(exchange, attempt);
        this->recordPartOutcome(exchange, attempt);
        const auto* late = latenessReason(exchange, attempt);
        const bool isGood = attempt.result == AttemptResult::Answered && attempt.isRelayed && late[0] == '\0';
        edge::log(isGood ? LogClass::Routine : LogClass::Decision, "request_attempt",
            { { "request", exchange.info.id }, { "upstream", attempt.choice.upstream.value }, { "address", attempt.choice.address },
                { "connection", static_cast<std::int64_t>(attempt.connectionSerial) }, { "connection_requests", static_cast<std::int64_t>(attempt.connectionRequests) }, { "stale", static_cast<std::int64_t>(attempt.staleAnswers) }, { "result", toString(attempt.result) },
                { "status", static_cast<std::int64_t>(attempt.status) }, { "failure", attempt.failure }, { "late", late }, { "detail", attempt.detail },
                { "framing", attempt.framing }, { "body_bytes", static_cast<std::int64_t>(attempt.bodyBytes) }, { "events", static_cast<std::int64_t>(attempt.events) },
                { "output", static_cast<std::int64_t>(exchange.info.maxOutputTokens) }, { "send", static_cast<std::int64_t>(exchange.sends) },
                { "expected_ms", toMs(attempt.choice.expectedWait) }, { "pace", attempt.choice.pace.value_or(0) }, { "left", toString(attempt.choice.leaves) }, { "missing", static_cast<std::int64_t>(attempt.choice.missingTokens) },
                { "moved", static_cast<std::int64_t>(attempt.choice.transferredTokens) }, { "weights", static_cast<std::int64_t>(attempt.choice.weightVersion) }, { "min_weights", static_cast<std::int64_t>(exchange.placement.minWeightVersion) }, { "prompt", static_cast<std::int64_t>(exchange.info.promptTokens) },
                { "own", static_cast<std::int64_t>(exchange.info.parts.empty() ? 0 : exchange.info.parts.back().tokens) }, { "saves", !attempt.choice.saveTo.empty() },
                { "placed_ms", toMs(attempt.choice.chosen - exchange.received) }, { "first_ms", toMs(attempt.firstByte) }, { "gap_ms", toMs(attempt.longestGap) }, { "age_ms", toMs(now - exchange.received) }, { "unread_ms", toMs(exchange.unread) }, { "client_gone", exchange.hasClientLeft() }, { "gone_ms", exchange.clientLeftAt ? toMs(now - *exchange.clientLeftAt) : 0.0 } });
        if (attempt.choice.leaves != LeaveReason::None)
            this->state.metrics.count("goldcrest_left_domain_total", std::string("reason=\"") + toString(attempt.choice.leaves) + "\"");
        this->state.metrics.count("goldcrest_attempts_total", std::string("result=\"") + toString(attempt.result) + "\"");
        if (attempt.isRelayed || hasFailed || exchange.isOver() || !this->maySendAgain(exchange, attempt))
            break;
        exchange.tried.insert(attempt.choice.upstream);
    }
    if (std::exchange(exchange.hasReservedSend, false))
        this->state.sendBudgets.of(exchange.placement.service).release();
    if (!attempt.isRelayed)
        co_await this->giveUp(exchange, attempt);
    this->state.metrics.observe("goldcrest_request_seconds", std::string("kind=\"") + goldcrestwood::toString(exchange.route->kind) + "\"",
        monotonicNow() - exchange.received);
}

void Pipeline::countRun(const ClientExchange& exchange, const Attempt& attempt)
{
    if (!this->state.usage || exchange.account == nullptr || attempt.answer.provesNotRun)
        return;
    // A stream starts with its first token; other calls have started by the time that their answer comes, mostly when they were sent.
    const bool isStream = exchange.route->kind == RequestKind::Stream && isSuccessStatus(attempt.status);
    const auto started = wallClock() - (monotonicNow() - (isStream ? attempt.answerBegan : attempt.sent));
    const bool isCounted = this->state.usage->ledger.onRun(exchange.account->name, started);
    this->state.metrics.count("goldcrest_usage_runs_total", std::string("counted=\"") + (isCounted ? "yes" : "late") + "\"");
}

void Pipeline::recordRolloutOutcome(const ClientExchange& exchange, const Attempt& attempt)
{
    auto* rollout = this->state.rolloutOf(exchange.placement.service);
    const bool isOutcome = attempt.result == AttemptResult::Answered || attempt.result == AttemptResult::FailureAnswer
        || (attempt.result == AttemptResult::Unreachable && attempt.isSent);
    // A cold upstream is slow whatever its version.
    if (rollout == nullptr || !isOutcome || attempt.choice.isCold)
        return;
    RolloutOutcome outcome { exchange.route->name, attempt.choice.softwareVersion == rollout->order().target, attempt.result != AttemptResult::Answered, std::nullopt };
    if (attempt.result == AttemptResult::Answered)
        outcome.timeRatio = toMs(attempt.firstByte) / (unloadedAnswerMs + toMs(attempt.choice.transferTime) + static_cast<double>(attempt.choice.missingTokens) / BoardSettings {}.prefillTokensPerMillisecond);
    rollout->onOutcome(outcome);
}

void Pipeline::recordPartOutcome(const ClientExchange& exchange, const Attempt& attempt)
{
    const auto now = monotonicNow();
    if (attempt.result == AttemptResult::Answered && attempt.isRelayed && isSuccessStatus(attempt.status))
        this->state.crashSuspects.onAnswer(exchange.placement.service, CrashSuspects::sharedParts(exchange.info.parts), attempt.answerBegan, now);
    else if (attempt.result == AttemptResult::Unreachable && attempt.isSent) {
        const bool hasStarted = attempt.hadFirstByte && now - attempt.answerBegan >= startedAnswerAge;
        this->crashes.onBroken(attempt.choice, exchange.placement.service, hasStarted ? std::vector<std::string> {} : CrashSuspects::sharedParts(exchange.info.parts));
    }
}

bool Pipeline::isQuarantined(ClientExchange& exchange) const
{
    const auto left = this->state.crashSuspects.quarantineLeft(CrashSuspects::sharedParts(exchange.info.parts), monotonicNow());
    if (left)
        exchange.retryAfter = left;
    return left.has_value();
}

bool Pipeline::maySendAgain(ClientExchange& exchange, const Attempt& attempt)
{
    const bool isProvedUnrun = !attempt.isSent || attempt.provesNotRun;
    if (!isProvedUnrun && (!exchange.route->isRepeatable() || exchange.runs >= exchange.route->attempts))
        return false;
    if (exchange.headSent && !exchange.route->isResumable)
        return false;
    if (!isProvedUnrun && this->state.crashSuspects.isSuspected(CrashSuspects::sharedParts(exchange.info.parts)))
        return false;
    // An attempt that sent nothing uses no budget.
    return !attempt.isSent || this->reserveFurtherSend(exchange);
}

bool Pipeline::reserveFurtherSend(ClientExchange& exchange)
{
    const auto now = monotonicNow();
    auto& budget = this->state.sendBudgets.of(exchange.placement.service);
    const auto snapshot = budget.snapshot(now);
    exchange.hasReservedSend = budget.reserve(now);
    edge::log(LogClass::Decision, "further_send",
        { { "request", exchange.info.id }, { "service", exchange.placement.service.value }, { "allowed", exchange.hasReservedSend },
            { "earned", snapshot.earned }, { "slack", snapshot.slack }, { "reserved", static_cast<std::int64_t>(snapshot.reserved) }, { "sharers", static_cast<std::int64_t>(snapshot.sharers) }, { "left", snapshot.left }, { "uptime_ms", toMs(now - this->state.started) } });
    this->state.metrics.count("goldcrest_further_sends_total", std::string("allowed=\"") + (exchange.hasReservedSend ? "yes" : "no") + "\"");
    return exchange.hasReservedSend;
}

Task<> Pipeline::giveUp(ClientExchange& exchange, Attempt& attempt)
{
    if (exchange.hasClientLeft() || exchange.headSent) {
        // Close the connection so that a truncated answer does not look complete.
        exchange.clientKeepAlive = false;
        co_return;
    }
    if (attempt.bufferedAnswer) {
        co_await this->forwardBufferedAnswer(exchange, attempt);
        co_return;
    }
    if (exchange.mayHaveRun)
        co_await this->reject(exchange, exchange.timedOut ? 504 : 502, exchange.timedOut ? "no answer before the deadline" : "the upstream connection broke");
    else
        co_await this->reject(exchange, 503, attempt.failure[0] == '\0' ? "not started in time" : attempt.failure, exchange.retryAfter.value_or(defaultRetryAfter));
}

Task<ConnectionPtr> Pipeline::openConnection(ClientExchange& exchange, const PlacementChoice& choice)
{
    const auto& address = choice.address;
    // On a connection that carried the request, a copy of its earlier answer cannot be told from the answer to this send.
    if (!exchange.sentTo.contains(address) && !exchange.needsOwnConnection())
        if (auto idle = this->pool.takeIdle(address, monotonicNow()))
            co_return idle;
    auto connection = this->pool.create(address);
    exchange.activeConnection = connection.get();
    const auto began = monotonicNow();
    const bool isOpen = co_await connect(*connection, upstreamConnectTimeout);
    exchange.activeConnection = nullptr;
    if (isOpen)
        this->state.board.onConnected(choice, monotonicNow() - began, monotonicNow());
    else
        connection = nullptr;
    co_return connection;
}

Task<> Pipeline::attempt(ClientExchange& exchange, Attempt& attempt)
{
    attempt.connection = co_await this->openConnection(exchange, attempt.choice);
    // A late event loop reads requests before it learns that their callers have left or that their time has passed.
    if (!exchange.hasClientLeft() && isClosedByPeer(exchange.client.socket()))
        exchange.clientLeftAt = monotonicNow();
    if (monotonicNow() >= exchange.deadline)
        exchange.timedOut = true;
    if (exchange.isOver()) {
        if (attempt.connection)
            this->keepConnection(attempt);
        co_return;
    }
    if (!attempt.connection) {
        attempt.result = AttemptResult::Unreachable;
        attempt.failure = "no connection";
        co_return;
    }
    if (!this->state.board.maySend(attempt.choice, monotonicNow())) {
        attempt.failure = "the upstream accepts no new requests";
        this->keepConnection(attempt);
        co_return;
    }
    if (this->isQuarantined(exchange)) {
        attempt.failure = quarantineReason;
        this->keepConnection(attempt);
        co_return;
    }
    auto& link = *attempt.connection;
    exchange.activeConnection = &link;
    attempt.sent = monotonicNow();
    auto request = this->upstreamRequest(exchange, attempt.choice, attempt.lastEvent);
    attempt.isSent = true;
    exchange.sentTo.insert(attempt.choice.address);
    // A promise in an earlier answer, for example that the request did not run, no longer holds.
    attempt.bufferedAnswer.reset();
    attempt.memory.emplace(this->state.transferMemory, [&link] { link.abort(); });
    ++exchange.sends;
    attempt.connectionSerial = link.serial;
    attempt.connectionRequests = ++link.requests;
    if (std::exchange(exchange.hasReservedSend, false))
        this->state.sendBudgets.of(exchange.placement.service).onSent(attempt.sent);
    ErrorCode error;
    co_await http::async_write(link.stream, request, into(error));
    attempt.isWriteBroken = static_cast<bool>(error);
    // An upstream may answer before it has read a long request, so read even after a failed write.
    if (const auto end = this->weightsDeadline(exchange, attempt.choice))
        link.stream.expires_at(*end);
    const bool hasHead = co_await this->readHead(exchange, attempt);
    link.stream.expires_never();
    if (hasHead) {
        attempt.hadFirstByte = true;
        attempt.framing = attempt.parser->chunked() ? "chunks" : attempt.parser->need_eof() ? "connection"
                                                                                            : "length";
        attempt.bodyBytes = 0; // Without those of stale answers.
        attempt.answerBegan = monotonicNow();
        attempt.firstByte = attempt.answerBegan - attempt.sent;
        this->state.board.onFirstByte(attempt.choice, exchange.placement, attempt.firstByte, monotonicNow());
        if (exchange.info.promptTokens > 0 && !attempt.answer.provesNotRun)
            this->state.reportPace.onFirstToken(attempt.choice.expectedWait, attempt.firstByte, exchange.route->objective, attempt.answerBegan);
        this->countRun(exchange, attempt);
        if (exchange.route->kind == RequestKind::Stream && isSuccessStatus(attempt.status) && exchange.expectsContent(attempt.status))
            co_await this->relayStream(exchange, attempt);
        else
            co_await this->relayBuffered(exchange, attempt);
    }
    exchange.activeConnection = nullptr;
    // Only a whole answer outlives its connection.
    if (!attempt.bufferedAnswer)
        attempt.memory.reset();
    const bool isWhole = hasHead && attempt.parser->is_done() && !attempt.parser->need_eof();
    if (attempt.connection && isWhole && attempt.parser->keep_alive() && !exchange.needsOwnConnection())
        this->keepConnection(attempt);
    attempt.connection = nullptr;
    attempt.parser = nullptr;
}

void Pipeline::keepConnection(Attempt& attempt)
{
    if (!this->state.board.isLeaving(attempt.choice.upstream))
        this->pool.returnIdle(std::move(attempt.connection), monotonicNow());
    attempt.connection = nullptr;
}

} // namespace goldcrestwood
