#include "daemon/completion_handler.h"

#include <thread>

#include "daemon/completion_run.h"

namespace goldcrestwood {

namespace {

    std::uint64_t unixSeconds()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(wallClock()).count());
    }

} // namespace

CompletionHandler::CompletionHandler(const Serving& parts)
    : serving(parts)
    , random(parts.mesh.incarnation())
{
}

std::string CompletionHandler::newRequestId()
{
    return this->serving.mesh.self().value + "~" + std::to_string(this->serving.mesh.incarnation()) + "~" + std::to_string(++this->requests);
}

tl::expected<CompletionCall, Problem> CompletionHandler::readCall(
    CompletionShape shape, HttpExchange& exchange, const ClientAccount&) const
{
    const auto body = exchange.readBody(this->serving.settings.listen.maxBodySize);
    if (!body)
        return tl::unexpected(body.error());
    return parseCompletion(shape, *body);
}

void CompletionHandler::serve(CompletionShape shape, HttpExchange& exchange)
{
    const auto refuse = [&exchange](const Problem& problem) { exchange.respond(problemResponse(problem)); };
    const auto account = authenticate(this->serving, exchange);
    if (!account)
        return refuse(account.error());
    const auto call = this->readCall(shape, exchange, *account);
    if (!call)
        return refuse(call.error());
    const auto view = this->serving.view.load();
    const auto* service = view->service(call->service);
    if (!service || service->kind != ServiceKind::Model)
        return refuse({ 404, "Unknown model", "no model is named " + call->service.value });

    CompletionTask task { *call, *account, *service, RequestId(this->newRequestId()), {}, 0, {} };
    task.run = RunId(task.request.value);
    if (const auto eventId = exchange.header("Last-Event-ID"); !eventId.empty()) {
        const auto ticket = this->serving.tickets.verify(eventId, *account, unixSeconds());
        if (!ticket)
            return refuse({ 409, "Stream cannot be resumed", toString(ticket.error()) });
        if (ticket->service != service->name)
            return refuse({ 409, "Stream cannot be resumed", "the ticket belongs to another model" });
        task.request = RequestId(ticket->request);
        task.run = RunId(ticket->run);
        task.nextToken = ticket->nextToken;
        task.resumeAt = ticket->upstream;
    }

    const auto admissionStart = monotonicNow();
    const auto deadline = admissionStart + this->serving.settings.serving.requestTimeout;
    const auto admitted = this->serving.admission.admit({ *account, service->name, 1, deadline });
    this->serving.metrics.observe("goldcrestwood_admission_seconds", "", monotonicNow() - admissionStart);
    if (!admitted)
        return refuse(refusalProblem(admitted.error()));
    const auto mayRetry = [this](const FailedAttempt& failed) {
        RetryDecision decision;
        {
            const std::lock_guard lock(this->retryMutex);
            decision = this->retries.decide(failed, this->random);
        }
        if (decision.refusal)
            this->serving.metrics.count("goldcrestwood_retries_refused_total", std::string("reason=\"") + toString(*decision.refusal) + "\"");
        else
            std::this_thread::sleep_for(decision.backoff);
        return !decision.refusal;
    };
    {
        const std::lock_guard lock(this->retryMutex);
        this->retries.onRequest();
    }
    CompletionRun(this->serving, std::move(task), mayRetry, exchange).serve();
    this->serving.admission.release(*admitted);
}

} // namespace goldcrestwood
