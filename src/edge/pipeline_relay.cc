/// @file
/// Pipeline, second half: reads an upstream's answer and relays it to the caller.

#include <algorithm>

#include "daemon/clock.h"
#include "daemon/framing.h"
#include "edge/answer_check.h"
#include "edge/attempt.h"
#include "edge/beliefs.h"
#include "goldcrestwood/event_ends.h"

namespace goldcrestwood {

namespace {

    /// Answers that are not token streams are buffered up to this size so that the request can be retried if one breaks.
    constexpr std::uint64_t maxBufferedAnswerBytes = 8U << 20U;
    /// Stale answers to earlier requests that are skipped on one connection.
    constexpr int maxStaleAnswers = 3;
    /// Interim answers (1xx) that may come before an answer.
    constexpr int maxInterimAnswers = 8;
    /// Bytes of stale answers that are skipped on one connection; a longer answer may never end.
    constexpr std::uint64_t maxStaleBytes = 1U << 20U;
    constexpr std::uint64_t unlimitedBody = std::uint64_t { 1 } << 50U;
    constexpr std::size_t pieceBytes = 16384;
    constexpr unsigned misdirected = 421;
    constexpr const char* brokenWrite = "the connection broke while the request was written, before an answer that ended with it";
    constexpr const char* unconfirmedEnd = "the upstream was gone after an answer that ended with its connection";

    /// @return The id of the last event in @p events that has one.
    std::string lastEventId(std::string_view events)
    {
        constexpr std::string_view field = "id:";
        auto position = events.rfind(field);
        while (position != std::string_view::npos && position > 0 && events[position - 1] != '\n')
            position = events.rfind(field, position - 1);
        if (position == std::string_view::npos)
            return {};
        auto id = events.substr(position + field.size());
        id = id.substr(0, id.find('\n'));
        while (!id.empty() && id.front() == ' ')
            id.remove_prefix(1);
        while (!id.empty() && id.back() == '\r')
            id.remove_suffix(1);
        return std::string(id);
    }

    /// @return The head of an answer without the fields that concern one connection or the framing of its body.
    http::response_header<> relayedHead(const http::response_header<>& head)
    {
        auto relayed = head;
        for (const auto* name : { "Connection", "Keep-Alive", "Trailer", "Transfer-Encoding", "Content-Length" })
            relayed.erase(name);
        relayed.version(11);
        return relayed;
    }

} // namespace

Task<bool> Pipeline::readHead(ClientExchange& exchange, Attempt& attempt)
{
    auto& link = *attempt.connection;
    int interim = 0;
    while (attempt.staleAnswers <= maxStaleAnswers && interim <= maxInterimAnswers) {
        attempt.parser = std::make_unique<AnswerParser<http::buffer_body>>();
        // Boost 1.74 rejects every body if the limit is none.
        attempt.parser->body_limit(unlimitedBody);
        attempt.parser->skip(exchange.asksForHead());
        ErrorCode error;
        co_await http::async_read_header(link.stream, link.buffer, *attempt.parser, into(error));
        if (error) {
            attempt.result = AttemptResult::Unreachable;
            attempt.failure = error == http::error::end_of_stream ? "closed before an answer" : "broke before an answer";
            attempt.detail = error.message();
            co_return false;
        }
        attempt.status = attempt.parser->get().result_int();
        if (isInterimStatus(attempt.status)) {
            ++interim;
            continue;
        }
        if (!isFinalStatus(attempt.status)) {
            attempt.result = AttemptResult::Unreachable;
            attempt.failure = "invalid status";
            co_return false;
        }
        const auto& head = attempt.parser->get();
        if (const auto fault = answerFramingFault(head, head.version(), attempt.parser->chunked(), attempt.status); fault != FramingFault::None) {
            attempt.result = AttemptResult::Unreachable;
            attempt.failure = toString(fault);
            co_return false;
        }
        attempt.answer = platform::decodeAnswer(attempt.parser->get().base());
        const auto verdict = checkHead(attempt.answer, attempt.status, exchange.info.id);
        if (verdict == HeadVerdict::Own) {
            this->applyNotice(exchange, attempt);
            if (attempt.answer.idleTimeout)
                link.idleTimeout = *attempt.answer.idleTimeout;
            this->applyLoad(attempt);
            this->applyLimit(exchange, attempt);
            co_return true;
        }
        if (verdict != HeadVerdict::Stale) {
            attempt.result = AttemptResult::Unreachable;
            attempt.failure = toString(verdict);
            co_return false;
        }
        // A stale answer to an earlier request: skip it.
        ++attempt.staleAnswers;
        std::string discarded(pieceBytes, '\0');
        std::uint64_t discardedBytes = 0;
        while (!attempt.parser->is_done()) {
            discardedBytes += co_await readPiece(attempt, discarded, error);
            if (error || discardedBytes > maxStaleBytes) {
                attempt.result = AttemptResult::Unreachable;
                attempt.failure = "broke in a stale answer";
                co_return false;
            }
        }
    }
    attempt.result = AttemptResult::Unreachable;
    attempt.failure = "too many stale or interim answers";
    co_return false;
}

void Pipeline::applyNotice(const ClientExchange& exchange, const Attempt& attempt)
{
    if (const auto sender = this->answeredBy(attempt))
        applyUpstreamNotice(this->state, sender->first, sender->second, platform::decodeNotice(attempt.status, attempt.parser->get().base()), exchange.info.id);
}

void Pipeline::applyLoad(const Attempt& attempt)
{
    if (const auto sender = this->answeredBy(attempt))
        applyServerLoad(this->state, sender->first, sender->second, platform::decodeServerLoad(attempt.parser->get().base()));
}

void Pipeline::applyLimit(const ClientExchange& exchange, const Attempt& attempt)
{
    const auto limit = platform::decodeRequestLimit(attempt.parser->get().base());
    // Only an answer to a request that ran shows that its upstream is well again.
    if (limit && !*limit && attempt.answer.provesNotRun)
        return;
    if (const auto sender = this->answeredBy(attempt))
        applyRequestLimit(this->state, sender->first, sender->second, limit, attempt.sent, exchange.info.id);
}

std::optional<std::pair<UpstreamId, std::int64_t>> Pipeline::answeredBy(const Attempt& attempt) const
{
    const auto& sender = attempt.answer.instance;
    if (sender.empty() || sender == attempt.choice.upstream.value)
        return std::pair(attempt.choice.upstream, attempt.choice.born);
    // Another upstream has taken over the address.
    if (const auto* entry = this->state.board.find(UpstreamId(sender)))
        return std::pair(entry->id, entry->born);
    return std::nullopt;
}

Task<std::size_t> Pipeline::readPiece(Attempt& attempt, std::string& piece, ErrorCode& error)
{
    auto& link = *attempt.connection;
    auto& target = attempt.parser->get().body();
    target.data = piece.data();
    target.size = piece.size();
    co_await http::async_read_some(link.stream, link.buffer, *attempt.parser, into(error));
    if (error == http::error::need_buffer)
        error = {};
    const auto received = piece.size() - target.size;
    attempt.bodyBytes += received;
    co_return received;
}

Task<bool> Pipeline::confirmEnd(ClientExchange& exchange, const Attempt& attempt)
{
    if (!attempt.parser->need_eof())
        co_return true;
    if (attempt.isWriteBroken)
        co_return false;
    auto probe = this->pool.create(attempt.choice.address);
    exchange.activeConnection = probe.get();
    const bool isAlive = co_await connect(*probe, upstreamConnectTimeout);
    exchange.activeConnection = nullptr;
    if (isAlive)
        this->pool.returnIdle(std::move(probe), monotonicNow());
    co_return isAlive;
}

Task<> Pipeline::relayBuffered(ClientExchange& exchange, Attempt& attempt)
{
    std::string body;
    std::string piece(pieceBytes, '\0');
    while (!attempt.parser->is_done()) {
        ErrorCode error;
        const auto received = co_await readPiece(attempt, piece, error);
        const bool hasMemory = attempt.memory->resize(body.size() + received);
        if (error || !hasMemory || body.size() + received > maxBufferedAnswerBytes) {
            attempt.result = AttemptResult::Unreachable;
            attempt.failure = hasMemory ? "answer truncated or too long" : TransferMemory::exhausted;
            attempt.detail = error.message();
            co_return;
        }
        body.append(piece.data(), received);
    }
    attempt.memory->complete();
    attempt.provesNotRun = attempt.answer.provesNotRun;
    const bool isComplete = attempt.provesNotRun || co_await this->confirmEnd(exchange, attempt);
    if (!isComplete) {
        attempt.result = AttemptResult::Unreachable;
        attempt.failure = attempt.isWriteBroken ? brokenWrite : unconfirmedEnd;
        co_return;
    }
    if (attempt.answer.weightVersion && !exchange.placement.model.empty())
        this->state.board.setWeights(attempt.choice.upstream, exchange.placement.model, *attempt.answer.weightVersion);
    if (attempt.provesNotRun) {
        const bool isAnother = attempt.status == misdirected && !attempt.answer.instance.empty() && attempt.answer.instance != attempt.choice.upstream.value;
        attempt.result = isAnother ? AttemptResult::Misdirected : AttemptResult::Refused;
        attempt.failure = isAnother ? "another upstream has the address" : "refused by the upstream";
        co_return;
    }
    if (isRefusalStatus(attempt.status)) {
        // To a caller the status alone is a promise that the request has not run.
        attempt.result = AttemptResult::FailureAnswer;
        attempt.failure = "a refusal of a request that may have run";
        co_return;
    }
    if (exchange.headSent) {
        attempt.result = AttemptResult::FailureAnswer;
        attempt.failure = "the answer does not resume the stream";
        co_return;
    }
    http::response<http::string_body> response;
    const auto& head = attempt.parser->get().base();
    response.base() = relayedHead(head);
    response.body() = std::move(body);
    if (exchange.expectsContent(attempt.status))
        response.content_length(response.body().size());
    else if (const auto length = head.find(http::field::content_length); length != head.end() && attempt.status != noContentStatus)
        response.set(http::field::content_length, length->value()); // Of the body that it would have.
    response.keep_alive(true);
    attempt.bufferedAnswer = std::move(response);
    attempt.result = attempt.status < 500 ? AttemptResult::Answered : AttemptResult::FailureAnswer;
    if (attempt.result == AttemptResult::FailureAnswer && exchange.route->isRepeatable()) {
        attempt.failure = "failure answer";
        co_return;
    }
    co_await this->forwardBufferedAnswer(exchange, attempt);
}

Task<> Pipeline::forwardBufferedAnswer(ClientExchange& exchange, Attempt& attempt)
{
    auto& response = *attempt.bufferedAnswer;
    response.keep_alive(exchange.clientKeepAlive && !this->state.isStopping);
    exchange.clientKeepAlive = response.keep_alive();
    ErrorCode error;
    exchange.headSent = true;
    attempt.isRelayed = true;
    co_await http::async_write(exchange.client, response, into(error));
    if (error)
        exchange.clientKeepAlive = false;
}

Task<bool> Pipeline::writeStreamPiece(ClientExchange& exchange, Attempt& attempt, const char* data, std::size_t size, bool more)
{
    auto& body = attempt.head->body();
    body.data = size == 0 ? nullptr : const_cast<char*>(data); // buffer_body has one non-const pointer for reads and writes.
    body.size = size;
    body.more = more;
    exchange.headSent = true;
    ErrorCode error;
    co_await http::async_write(exchange.client, *attempt.serializer, into(error));
    if (error == http::error::need_buffer)
        error = {};
    if (error) {
        exchange.clientKeepAlive = false;
        exchange.clientLeftAt = monotonicNow();
    }
    co_return !error;
}

Task<bool> Pipeline::relayPiece(ClientExchange& exchange, Attempt& attempt, std::string_view piece, std::size_t completeBytes)
{
    if (!exchange.route->isResumable)
        co_return co_await this->writeStreamPiece(exchange, attempt, piece.data(), piece.size(), true);
    // Relay only complete events, so that another upstream can resume after any of them.
    if (completeBytes == 0) {
        attempt.partialEvent.append(piece);
        co_return true;
    }
    attempt.partialEvent.append(piece.substr(0, completeBytes));
    if (auto id = lastEventId(attempt.partialEvent); !id.empty())
        attempt.lastEvent = std::move(id);
    const bool isWritten = co_await this->writeStreamPiece(exchange, attempt, attempt.partialEvent.data(), attempt.partialEvent.size(), true);
    attempt.partialEvent.assign(piece.substr(completeBytes));
    co_return isWritten;
}

Task<> Pipeline::relayStream(ClientExchange& exchange, Attempt& attempt)
{
    // The head of an attempt that broke before anything was relayed does not describe this answer.
    if (!exchange.headSent) {
        attempt.head = std::make_unique<http::response<http::buffer_body>>();
        attempt.head->base() = relayedHead(attempt.parser->get().base());
        attempt.head->chunked(true);
        attempt.head->keep_alive(exchange.clientKeepAlive && !this->state.isStopping);
        exchange.clientKeepAlive = attempt.head->keep_alive();
        attempt.serializer = std::make_unique<http::response_serializer<http::buffer_body>>(*attempt.head);
    }
    EventBoundaries boundaries;
    attempt.partialEvent.clear();
    auto lastPiece = monotonicNow();
    bool isPartsCleared = false;
    std::string piece(pieceBytes, '\0');
    while (!attempt.parser->is_done()) {
        ErrorCode error;
        const auto received = co_await readPiece(attempt, piece, error);
        const auto now = monotonicNow();
        if (!isPartsCleared && now - attempt.answerBegan >= startedAnswerAge) {
            isPartsCleared = true;
            this->state.crashSuspects.clearParts(CrashSuspects::sharedParts(exchange.info.parts), attempt.answerBegan, now);
        }
        attempt.longestGap = std::max(attempt.longestGap, now - lastPiece);
        lastPiece = now;
        if (received > 0) {
            const auto completeBytes = boundaries.consume({ piece.data(), received });
            attempt.events = boundaries.count();
            const bool hasMemory = attempt.memory->resize(completeBytes > 0 ? received - completeBytes : attempt.partialEvent.size() + received);
            if (boundaries.isOverlong() || !hasMemory) {
                attempt.result = AttemptResult::Unreachable;
                attempt.failure = hasMemory ? "event too long" : TransferMemory::exhausted;
                co_return;
            }
            const bool isWritten = co_await this->relayPiece(exchange, attempt, { piece.data(), received }, completeBytes);
            if (!isWritten)
                co_return;
        }
        if (error) {
            attempt.result = AttemptResult::Unreachable;
            attempt.failure = "stream broke off";
            attempt.detail = error.message();
            co_return;
        }
    }
    if (boundaries.isInsideEvent() || (boundaries.count() == 0 && attempt.parser->need_eof())) {
        attempt.result = AttemptResult::Unreachable;
        attempt.failure = boundaries.isInsideEvent() ? "stream ended inside an event" : "stream ended before its first event";
        co_return;
    }
    const bool isComplete = co_await this->confirmEnd(exchange, attempt);
    if (!isComplete) {
        attempt.result = AttemptResult::Unreachable;
        attempt.failure = attempt.isWriteBroken ? brokenWrite : unconfirmedEnd;
        co_return;
    }
    const bool isEnded = co_await this->writeStreamPiece(exchange, attempt, nullptr, 0, false);
    if (!isEnded)
        co_return;
    this->state.board.onStreamEnd(attempt.choice, exchange.placement, attempt.longestGap, monotonicNow());
    attempt.isRelayed = true;
    attempt.result = AttemptResult::Answered;
}

} // namespace goldcrestwood
