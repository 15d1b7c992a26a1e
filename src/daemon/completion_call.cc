#include "daemon/completion_call.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace goldcrestwood {

namespace {

    using nlohmann::json;

    constexpr std::uint32_t defaultMaxTokens = 128;
    constexpr std::uint32_t maxTokensLimit = 65536;

    tl::unexpected<Problem> badRequest(const std::string& detail)
    {
        return tl::unexpected(Problem { 400, "Bad request", detail });
    }

    /// @return The text of a list of chat messages; empty if the list is not valid.
    std::string joinMessages(const json& messages)
    {
        std::string prompt;
        for (const auto& message : messages) {
            if (!message.is_object() || !message.contains("content") || !message["content"].is_string())
                return {};
            prompt += message.value("role", "user") + ": " + message["content"].get<std::string>() + "\n";
        }
        return prompt;
    }

    tl::expected<std::uint64_t, Problem> readCount(const json& body, const char* key, std::uint64_t defaultValue, std::uint64_t maximum)
    {
        if (!body.contains(key))
            return defaultValue;
        const auto& value = body[key];
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum)
            return tl::unexpected(Problem { 400, "Bad request", std::string(key) + " must be a whole number from 0 to " + std::to_string(maximum) });
        return value.get<std::uint64_t>();
    }

    std::string toJsonText(const json& data)
    {
        return data.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    json makeChoice(const CompletionCall& call, const std::string& text, bool complete)
    {
        json choice = { { "index", 0 } };
        if (call.shape == CompletionShape::Text)
            choice["text"] = text;
        else
            choice[complete ? "message" : "delta"] = { { "role", "assistant" }, { "content", text } };
        return choice;
    }

    json makeEnvelope(const CompletionCall& call, const std::string& requestId)
    {
        const auto* object = call.shape == CompletionShape::Text ? "text_completion" : (call.stream ? "chat.completion.chunk" : "chat.completion");
        return { { "id", requestId }, { "object", object }, { "model", call.service.value } };
    }

} // namespace

tl::expected<CompletionCall, Problem> parseCompletion(CompletionShape shape, std::string_view text)
{
    const auto body = json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return badRequest("the body must be a JSON object");
    CompletionCall call;
    call.shape = shape;
    if (!body.contains("model") || !body["model"].is_string())
        return badRequest("model must be a string");
    call.service = ServiceName(body["model"].get<std::string>());
    const auto* promptKey = shape == CompletionShape::Text ? "prompt" : "messages";
    if (shape == CompletionShape::Text && body.contains(promptKey) && body[promptKey].is_string())
        call.prompt = body[promptKey].get<std::string>();
    else if (shape == CompletionShape::Chat && body.contains(promptKey) && body[promptKey].is_array())
        call.prompt = joinMessages(body[promptKey]);
    if (call.prompt.empty())
        return badRequest(shape == CompletionShape::Text ? "prompt must be a non-empty string" : "messages must be a non-empty list of messages with content");
    const auto maxTokens = readCount(body, "max_tokens", defaultMaxTokens, maxTokensLimit);
    if (!maxTokens)
        return tl::unexpected(maxTokens.error());
    const auto seed = readCount(body, "seed", 0, std::numeric_limits<std::uint64_t>::max());
    if (!seed)
        return tl::unexpected(seed.error());
    if (body.contains("stream") && !body["stream"].is_boolean())
        return badRequest("stream must be true or false");
    call.maxTokens = static_cast<std::uint32_t>(*maxTokens);
    call.seed = *seed;
    call.stream = body.value("stream", false);
    return call;
}

std::string tokenEvent(const CompletionCall& call, const std::string& requestId, const std::string& token, const std::string& eventId)
{
    auto data = makeEnvelope(call, requestId);
    data["choices"] = json::array({ makeChoice(call, token, false) });
    return "id: " + eventId + "\ndata: " + toJsonText(data) + "\n\n";
}

std::string endEvents(const CompletionCall& call, const std::string& requestId)
{
    auto data = makeEnvelope(call, requestId);
    auto choice = makeChoice(call, "", false);
    choice["finish_reason"] = "stop";
    data["choices"] = json::array({ choice });
    return "data: " + toJsonText(data) + "\n\ndata: [DONE]\n\n";
}

std::string errorEvent(const Problem& problem)
{
    auto body = problemResponse(problem).body;
    while (!body.empty() && body.back() == '\n')
        body.pop_back();
    return "event: error\ndata: " + body + "\n\n";
}

HttpResponse completionResponse(const CompletionCall& call, const std::string& requestId, const std::string& text, const CompletionUsage& usage)
{
    auto data = makeEnvelope(call, requestId);
    auto choice = makeChoice(call, text, true);
    choice["finish_reason"] = "stop";
    data["choices"] = json::array({ choice });
    data["usage"] = {
        { "prompt_tokens", usage.promptTokens },
        { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens },
        { "prompt_tokens_details", { { "cached_tokens", usage.cachedTokens } } },
    };
    return { 200, "application/json", toJsonText(data) + "\n", {} };
}

} // namespace goldcrestwood
