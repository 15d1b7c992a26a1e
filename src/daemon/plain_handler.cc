#include "daemon/plain_handler.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "goldcrestwood/chain.h"

namespace goldcrestwood {

namespace {

    constexpr std::string_view servicesPrefix = "/v1/services/";
    constexpr std::size_t maxIdempotencyKeyLength = 256;
    constexpr std::size_t maxRepeatableAttempts = 2;
    constexpr Duration statusTimeout = std::chrono::seconds(1);

    /// @return The key sent to the upstream: unique per account, service and caller's key, and safe in a URL path.
    std::string upstreamIdempotencyKey(const ClaimKey& key)
    {
        return toString(ChainHash { key.high }) + toString(ChainHash { key.low });
    }

    HttpResponse toResponse(const AnswerOutcome& answer)
    {
        const auto& outcome = answer.outcome;
        HttpResponse response { static_cast<int>(outcome.status), outcome.contentType, outcome.body, {} };
        if (answer.repeated)
            response.headers.push_back({ "Idempotent-Replay", "true" });
        if (outcome.kind == OutcomeKind::Unknown)
            return problemResponse({ 502, "Outcome unknown", "the call was sent, but its response was lost", Executed::Unknown });
        if (outcome.body.size() == outcome.bodyBytes)
            return response;
        const nlohmann::json digest = { { "bytes", outcome.bodyBytes }, { "sha256", outcome.bodyDigest } };
        return { response.status, "application/json", digest.dump() + "\n", { { "Idempotent-Replay", "digest" } } };
    }

    HttpResponse toResponse(const AnswerNotRun& answer)
    {
        const auto* detail = answer.scope == NotRunScope::Key
            ? "no call with this key was run"
            : "this request was not run, but an earlier one with the same key may have been; retry with the same key";
        return problemResponse({ 503, "Not run", detail, Executed::No, answer.retryAfter });
    }

    HttpResponse toResponse(const AnswerUnknown& answer)
    {
        return problemResponse({ 504, "Outcome unknown", "retry the call with the same key to get its outcome", Executed::Unknown, answer.retryAfter });
    }

    HttpResponse toResponse(const AnswerMismatch&)
    {
        return problemResponse({ 422, "Key used with another body", "this request was not run" });
    }

} // namespace

PlainHandler::PlainHandler(const Serving& parts, ClaimService& claimService)
    : serving(parts)
    , claims(claimService)
    , random(parts.mesh.incarnation())
{
}

tl::expected<PlainHandler::Call, Problem> PlainHandler::readCall(HttpExchange& exchange) const
{
    const auto rest = exchange.path().substr(servicesPrefix.size());
    const auto slash = rest.find('/');
    const ServiceName name { std::string(rest.substr(0, slash)) };
    const auto view = this->serving.view.load();
    const auto* service = view->service(name);
    if (!service || service->kind != ServiceKind::Plain)
        return tl::unexpected(Problem { 404, "Unknown service", "no plain service is named " + name.value });
    auto body = exchange.readBody(this->serving.settings.listen.maxBodySize);
    if (!body)
        return tl::unexpected(body.error());
    const auto path = slash == std::string_view::npos ? std::string("/") : std::string(rest.substr(slash));
    return Call { *service, path, std::move(*body), std::string(exchange.header("Content-Type")) };
}

void PlainHandler::serve(HttpExchange& exchange)
{
    const auto account = authenticate(this->serving, exchange);
    if (!account)
        return exchange.respond(problemResponse(account.error()));
    const auto call = this->readCall(exchange);
    if (!call)
        return exchange.respond(problemResponse(call.error()));
    const std::string key(exchange.header("Idempotency-Key"));
    if (!call->service.repeatable && (key.empty() || key.size() > maxIdempotencyKeyLength))
        return exchange.respond(problemResponse({ 400, "Idempotency-Key required", "calls to " + call->service.name.value + " must not be repeated; send a key of 1 to 256 characters" }));

    const auto deadline = monotonicNow() + this->serving.settings.serving.callTimeout;
    const auto admitted = this->serving.admission.admit({ *account, call->service.name, 1, deadline });
    if (!admitted)
        return exchange.respond(problemResponse(refusalProblem(admitted.error())));
    const auto response = call->service.repeatable ? this->serveRepeatable(*call) : this->serveOnce(*call, *account, key);
    this->serving.admission.release(*admitted);
    this->serving.metrics.count("goldcrestwood_calls_total", "status=\"" + std::to_string(response.status) + "\"");
    exchange.respond(response);
}

std::optional<UpstreamEntry> PlainHandler::pickUpstream(const ServiceName& service, const std::vector<UpstreamId>& excludedUpstreams)
{
    const auto view = this->serving.view.load();
    std::vector<UpstreamEntry> usable;
    view->upstreams.forEach([&](const auto& row) {
        const bool excluded = std::find(excludedUpstreams.begin(), excludedUpstreams.end(), row.entry.id) != excludedUpstreams.end();
        if (row.entry.service == service && view->takesWork(row.entry) && !excluded)
            usable.push_back(row.entry);
    });
    if (usable.empty())
        return std::nullopt;
    const std::lock_guard lock(this->mutex);
    return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(this->random)];
}

HttpResponse PlainHandler::serveRepeatable(const Call& call)
{
    std::vector<UpstreamId> failed;
    for (std::size_t i = 0; i < maxRepeatableAttempts; ++i) {
        const auto upstream = this->pickUpstream(call.service.name, failed);
        const auto permit = upstream ? this->serving.permits.acquire(upstream->id, call.service.firstTokenTarget) : std::nullopt;
        if (!permit)
            break;
        const auto result = httpCall(upstream->address, { "POST", call.path, call.body, call.contentType, {} }, this->serving.settings.serving.callTimeout);
        this->serving.permits.release(upstream->id, *permit, result ? PermitEnd::Succeeded : PermitEnd::Failed);
        if (result)
            return { result->status, result->contentType, result->body, {} };
        failed.push_back(upstream->id);
    }
    const auto executed = failed.empty() ? Executed::No : Executed::Unknown;
    return problemResponse({ 503, "Upstream unavailable", "no upstream answered", executed, std::chrono::seconds(1) });
}

HttpResponse PlainHandler::serveOnce(const Call& call, const ClientAccount& account, const std::string& idempotencyKey)
{
    const auto key = claimKey(account, call.service.name, idempotencyKey);
    const ClaimedCall claimed { key, claimBodyHash(call.path + "\n" + call.body), this->serving.settings.serving.callTimeout };
    const auto dispatchCall = [&](const ClaimId& id) { return this->dispatch(call, key, id); };
    const auto statusQuery = [&](const ClaimId& holder) { return this->queryStatus(call, key, holder); };
    const auto answer = this->claims.execute(claimed, dispatchCall, statusQuery);
    return std::visit([](const auto& result) { return toResponse(result); }, answer);
}

DispatchResult PlainHandler::dispatch(const Call& call, const ClaimKey& key, const ClaimId& id)
{
    const auto upstream = this->pickUpstream(call.service.name, {});
    const auto permit = upstream ? this->serving.permits.acquire(upstream->id, call.service.firstTokenTarget) : std::nullopt;
    if (!permit)
        return DispatchNotSent {};
    const HttpCall request { "POST", call.path, call.body, call.contentType, { { "Idempotency-Key", upstreamIdempotencyKey(key) } } };
    const auto result = httpCall(upstream->address, request, this->serving.settings.serving.callTimeout);
    this->serving.permits.release(upstream->id, *permit, result ? PermitEnd::Succeeded : PermitEnd::Failed);
    if (!result && result.error() == HttpFailure::NotSent)
        return DispatchNotSent {};
    if (!result)
        return DispatchUnknown {};
    return DispatchAnswered { makeOutcome(key, id, static_cast<std::uint32_t>(result->status), result->contentType, result->body, this->claims.tableSettings()) };
}

std::optional<ClaimOutcome> PlainHandler::queryStatus(
    const Call& call, const ClaimKey& key, const ClaimId& holder)
{
    const auto upstream = call.service.statusQuery ? this->pickUpstream(call.service.name, {}) : std::nullopt;
    if (!upstream)
        return std::nullopt;
    const auto result = httpCall(upstream->address, { "GET", "/status/" + upstreamIdempotencyKey(key), "", "", {} }, statusTimeout);
    const auto data = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
    if (!data.is_object() || !data.value("executed", false))
        return std::nullopt;
    const auto status = data.value("status", 200U);
    return makeOutcome(key, holder, status, "application/json", data.value("body", ""), this->claims.tableSettings());
}

} // namespace goldcrestwood
