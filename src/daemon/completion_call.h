#pragma once

/// @file
/// Protocol between callers and the daemon: completion requests, stream events and responses.

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "daemon/http_server.h"
#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// API that the caller used, which determines the format of the answer.
enum class CompletionShape {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/// A caller's completion request.
struct CompletionCall {
    CompletionShape shape = CompletionShape::Text;
    ServiceName service;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint64_t seed = 0;
    bool stream = false;

    bool operator==(const CompletionCall&) const = default;
};

/// @return The call, or a problem that describes what is invalid.
tl::expected<CompletionCall, Problem> parseCompletion(CompletionShape shape, std::string_view body);

/// @return A server-sent event with one token.
std::string tokenEvent(const CompletionCall& call, const std::string& requestId, const std::string& token, const std::string& eventId);
/// @return The events that end a completed stream.
std::string endEvents(const CompletionCall& call, const std::string& requestId);
/// @return An event that reports that the stream ended before the answer was complete.
std::string errorEvent(const Problem& problem);

/// Token counts reported in an answer.
struct CompletionUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
};

/// @return The response to a call without streaming.
HttpResponse completionResponse(const CompletionCall& call, const std::string& requestId, const std::string& text, const CompletionUsage& usage);

} // namespace goldcrestwood
