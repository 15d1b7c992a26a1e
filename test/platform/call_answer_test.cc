#include <thread>

#include <catch2/catch.hpp>

#include "daemon/http_client.h"
#include "edge/http_call.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

/// Answers one call with given bytes and keeps the connection open until the caller closes it.
class OneAnswerServer {
public:
    explicit OneAnswerServer(const std::string& answer)
        : thread([this, answer] {
            tcp::socket socket(this->context);
            ErrorCode error;
            this->acceptor.accept(socket, error);
            std::string bytes;
            asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", error);
            asio::write(socket, asio::buffer(answer), error);
            asio::read(socket, asio::dynamic_buffer(bytes), error);
        })
    {
    }
    OneAnswerServer(const OneAnswerServer&) = delete;
    OneAnswerServer& operator=(const OneAnswerServer&) = delete;
    ~OneAnswerServer() { this->thread.join(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

private:
    asio::io_context context;
    tcp::acceptor acceptor { context, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    std::thread thread;
};

std::string answerOf(const std::string& status)
{
    return "HTTP/1.1 " + status + " Some\r\nContent-Length: 4\r\n\r\nbody";
}

/// @return What HttpCaller makes of @p bytes; nothing if it refuses them.
std::optional<HttpAnswer> answerFromHttpCaller(const std::string& bytes)
{
    const OneAnswerServer server(bytes);
    asio::io_context loop;
    TransferMemory memory(1U << 20U);
    HttpCaller caller(loop.get_executor(), memory, server.address());
    std::optional<HttpAnswer> result;
    // g++ 12 destroys a braced argument within co_await twice.
    const OutgoingCall call { http::verb::get, "/", {}, nullptr, {} };
    const auto run = [&]() -> Task<> {
        if (auto answer = co_await caller.call(call, 2s))
            result = std::move(*answer);
        caller.abort();
    };
    asio::co_spawn(loop, run(), asio::detached);
    loop.run();
    return result;
}

/// @return The status that HttpCaller returns, or nothing if it refuses the answer.
std::optional<unsigned> statusFromHttpCaller(const std::string& status)
{
    const auto answer = answerFromHttpCaller(answerOf(status));
    return answer ? std::optional(answer->status) : std::nullopt;
}

/// @return The status that httpCall returns, or nothing if it refuses the answer.
std::optional<unsigned> statusFromHttpClient(const std::string& status)
{
    const OneAnswerServer server(answerOf(status));
    const auto result = httpCall(server.address(), { "GET", "/", "", "", {} }, 2s);
    return result ? std::optional(static_cast<unsigned>(result->status)) : std::nullopt;
}

} // namespace

TEST_CASE("calls refuse answers with statuses that are not those of final answers")
{
    // Guards against a status such as 000 or 999 that is passed on, and against an interim answer that is taken for the final one.
    for (const auto* status : { "000", "099", "101", "103", "600", "999", "20", "1000" }) {
        INFO(status);
        CHECK_FALSE(statusFromHttpCaller(status).has_value());
        CHECK_FALSE(statusFromHttpClient(status).has_value());
    }
    for (const unsigned status : { 200U, 404U, 599U }) {
        CHECK(statusFromHttpCaller(std::to_string(status)) == status);
        CHECK(statusFromHttpClient(std::to_string(status)) == status);
    }
}

// A faulty upstream's or store's coded bytes were decoded as they stood: raw records may decode to something.
TEST_CASE("a call refuses an answer with a content coding")
{
    for (const auto* coding : { "gzip", "br", "identity", "" }) {
        INFO(coding);
        CHECK_FALSE(answerFromHttpCaller("HTTP/1.1 200 OK\r\nContent-Encoding: " + std::string(coding) + "\r\nContent-Length: 4\r\n\r\nbody").has_value());
    }
}

// MIXED, DRAIN: a faulty upstream's trailer counted as a field of the head, for example as a notice that the upstream leaves.
TEST_CASE("a call takes no field from the trailers of its answer")
{
    const auto answer = answerFromHttpCaller("HTTP/1.1 200 OK\r\nX-Head: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nServer-Leaving: 1\r\n\r\n");
    REQUIRE(answer.has_value());
    CHECK(answer->body == "body");
    CHECK(answer->fields["X-Head"] == "1");
    CHECK(answer->fields.count("Server-Leaving") == 0);
}
