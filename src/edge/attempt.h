#pragma once

/// @file
/// State of one send of a request to one upstream.

#include <memory>
#include <optional>
#include <string>

#include "edge/answer_parser.h"
#include "edge/pipeline.h"
#include "goldcrestwood/transfer_memory.h"

namespace goldcrestwood {

/// An answer that has been running for this long did not crash its upstream by starting.
inline constexpr Duration startedAnswerAge = std::chrono::milliseconds(500);

/// One send of a request to one upstream.
struct Pipeline::Attempt {
    PlacementChoice choice;
    AttemptResult result = AttemptResult::Cancelled;
    bool isSent = false; ///< A byte of the request may have reached the upstream.
    TimePoint sent;
    bool provesNotRun = false;
    bool isWriteBroken = false; ///< The request could not be written whole. The connection's error was reported then, so a later read sees a normal end.
    bool isRelayed = false; ///< The whole answer was written to the caller.
    bool hadFirstByte = false;
    TimePoint answerBegan; ///< Time of the first byte, if there was one.
    ConnectionPtr connection;
    std::uint64_t connectionSerial = 0;
    std::uint64_t connectionRequests = 0; ///< Requests that were sent on the connection, with this one.
    int staleAnswers = 0; ///< Answers to earlier requests that were skipped.
    std::unique_ptr<AnswerParser<http::buffer_body>> parser;
    platform::AnswerInfo answer;
    unsigned status = 0;
    const char* framing = ""; ///< What marks the end of the answer's body: "length", "chunks" or "connection".
    std::uint64_t bodyBytes = 0; ///< Bytes of the body received.
    std::uint64_t events = 0; ///< Complete events received.
    std::optional<http::response<http::string_body>> bufferedAnswer; ///< Complete answer that has not been relayed yet.
    std::optional<TransferMemory::Share> memory; ///< Of the buffered answer, or of an unfinished event.
    // State of the stream to the caller; kept when another upstream resumes it.
    std::unique_ptr<http::response<http::buffer_body>> head;
    std::unique_ptr<http::response_serializer<http::buffer_body>> serializer;
    std::string partialEvent;
    std::string lastEvent;
    const char* failure = "";
    std::string detail; ///< Error message of the network library.
    Duration firstByte = Duration(0); ///< From the send to the answer's head.
    Duration longestGap = Duration(0); ///< Longest time between two reads of a stream.
};

} // namespace goldcrestwood
