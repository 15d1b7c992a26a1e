#pragma once

/// @file
/// One send of a request to one upstream, as the pipeline follows it.

#include <memory>
#include <optional>
#include <string>

#include "edge/pipeline.h"

namespace goldcrestwood {

/// One send of a request to one upstream.
struct Pipeline::Attempt {
    PlacementChoice choice;
    AttemptResult result = AttemptResult::Cancelled;
    bool isSent = false; ///< A byte of the request may have reached the upstream.
    bool provesNotRun = false;
    bool isRelayed = false; ///< The caller has the whole answer.
    bool hadFirstByte = false;
    ConnectionPtr connection;
    std::unique_ptr<http::response_parser<http::buffer_body>> parser;
    platform::AnswerInfo answer;
    unsigned status = 0;
    std::optional<http::response<http::string_body>> held; ///< A whole answer that was not relayed yet.
    // Of a stream to the caller; lives through resumptions.
    std::unique_ptr<http::response<http::buffer_body>> head;
    std::unique_ptr<http::response_serializer<http::buffer_body>> serializer;
    std::string partialEvent;
    std::string lastEvent;
    const char* failure = "";
    std::string detail; ///< The library's word for the failure.
    Duration firstByte = Duration(0); ///< From the send to the head of the answer.
    Duration longestGap = Duration(0); ///< Between two pieces of a stream.
};

} // namespace goldcrestwood
