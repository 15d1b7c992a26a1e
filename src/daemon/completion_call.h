#pragma once

/// @file
/// The callers' completion protocol: requests, events and answers.

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "daemon/http_server.h"
#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// Shape of the answer that the caller asked for.
enum class CompletionShape {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/// A completion as the caller asked for it.
struct CompletionCall {
    CompletionShape shape = CompletionShape::Text;
    ServiceName service;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint64_t seed = 0;
    bool stream = false;

    bool operator==(const CompletionCall&) const = default;
};

/// @return The call, or a problem that names what is wrong.
tl::expected<CompletionCall, Problem> parseCompletion(CompletionShape shape, std::string_view body);

/// @return A server-sent event with one token.
std::string tokenEvent(const CompletionCall& call, const std::string& requestId, const std::string& token, const std::string& eventId);
/// @return The events that end a whole stream.
std::string endEvents(const CompletionCall& call, const std::string& requestId);
/// @return An event that says that the stream ends without its whole answer.
std::string errorEvent(const Problem& problem);

/// Numbers that an answer reports.
struct CompletionUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
};

/// @return The whole answer of a call that did not ask for a stream.
HttpResponse wholeAnswer(const CompletionCall& call, const std::string& requestId, const std::string& text, const CompletionUsage& usage);

} // namespace goldcrestwood
