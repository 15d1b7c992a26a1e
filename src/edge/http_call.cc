#include "edge/http_call.h"

#include "daemon/clock.h"
#include "daemon/framing.h"
#include "edge/answer_parser.h"

namespace goldcrestwood {

namespace {

    /// Connecting takes longer only if the machine is unreachable.
    constexpr Duration connectTimeout = std::chrono::milliseconds(600);

} // namespace

HttpCaller::HttpCaller(asio::any_io_executor loop, TransferMemory& transferMemory, std::string target, std::uint64_t maxAnswerBytes)
    : executor(std::move(loop))
    , memory(transferMemory)
    , address(std::move(target))
    , bodyLimit(maxAnswerBytes)
{
}

Task<tl::expected<HttpAnswer, CallFailure>> HttpCaller::call(const OutgoingCall& call, Duration timeout)
{
    auto answer = co_await this->attempt(call, timeout);
    this->transfer.reset();
    if (!answer)
        this->connection = nullptr;
    co_return answer;
}

void HttpCaller::abort()
{
    if (this->connection)
        this->connection->abort();
}

Task<tl::expected<HttpAnswer, CallFailure>> HttpCaller::attempt(const OutgoingCall& call, Duration timeout)
{
    const auto begin = monotonicNow();
    // An answer that was sent again would be taken for the next call's.
    if (this->connection && !this->connection->isOpenAndQuiet())
        this->connection = nullptr;
    if (!this->connection) {
        this->connection = std::make_unique<UpstreamConnection>(this->executor, this->address);
        ErrorCode error;
        if (!co_await connect(*this->connection, std::min(timeout, connectTimeout), error))
            co_return tl::unexpected(CallFailure { "no connection: " + error.message(), 0 });
    }
    auto& link = *this->connection;
    http::request<http::string_body> request(call.method, call.target, 11);
    request.set(http::field::host, this->address);
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    if (call.contentType != nullptr)
        request.set(http::field::content_type, call.contentType);
    request.body() = call.body;
    if (call.method != http::verb::get)
        request.content_length(request.body().size());

    ErrorCode error;
    link.stream.expires_at(begin + timeout);
    co_await http::async_write(link.stream, request, into(error));
    if (error)
        co_return tl::unexpected(CallFailure { "not sent: " + error.message(), 0 });
    AnswerParser<http::string_body> parser;
    parser.body_limit(this->bodyLimit);
    auto& progress = this->transfer.emplace(begin, timeout);
    TransferMemory::Share share(this->memory, [&link] { link.abort(); });
    while (!error && !parser.is_done()) {
        link.stream.expires_at(progress.end());
        const auto received = co_await http::async_read_some(link.stream, link.buffer, parser, into(error));
        progress.onBytes(received, monotonicNow());
        if (!share.resize(parser.get().body().size()))
            co_return tl::unexpected(CallFailure { TransferMemory::exhausted, progress.bytes() });
    }
    if (error)
        co_return tl::unexpected(CallFailure { "no whole answer: " + error.message(), progress.bytes() });
    if (const auto fault = answerFramingFault(parser.get(), parser.get().version(), parser.chunked(), parser.get().result_int()); fault != FramingFault::None)
        co_return tl::unexpected(CallFailure { toString(fault), progress.bytes() });
    // An interim answer is refused too: the final one would be taken for that of the next call.
    if (!isFinalStatus(parser.get().result_int()))
        co_return tl::unexpected(CallFailure { "invalid status", progress.bytes() });
    if (const auto& fields = parser.get().base(); fields.find(http::field::content_encoding) != fields.end())
        co_return tl::unexpected(CallFailure { "an answer with a content coding", progress.bytes() });
    link.stream.expires_never();
    auto message = parser.release();
    // The copy of a refusal may come where the next answer is due, and calls have no id that would tell them apart.
    const bool isKept = message.keep_alive() && link.buffer.size() == 0 && !isRefusalStatus(message.result_int());
    HttpAnswer answer { message.result_int(), message.base(), std::move(message.body()) };
    if (!isKept)
        this->connection = nullptr;
    co_return answer;
}

} // namespace goldcrestwood
