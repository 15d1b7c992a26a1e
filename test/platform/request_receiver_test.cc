#include <catch2/catch.hpp>

#include <algorithm>
#include <list>
#include <string>

#include <malloc.h>

#include "edge/request_receiver.h"

using namespace goldcrestwood;

namespace {

constexpr std::uint64_t memoryLimit = 1U << 20U;
constexpr int connections = 128;

std::string repeated(const std::string& text, int times)
{
    std::string result;
    for (int time = 0; time < times; ++time)
        result += text;
    return result;
}

const std::string chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// @return Bytes that the process has allocated.
std::uint64_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// One connection.
struct Connection {
    explicit Connection(RequestMemory& memory)
        : receiver(memory, [this] { this->isGivenUp = true; })
    {
        this->receiver.begin({}, TimePoint {});
    }

    /// Receives all of @p bytes, as much at a time as the receiver takes.
    ReceiveState receive(std::string_view bytes)
    {
        auto state = ReceiveState::Head;
        while (!bytes.empty() && (state == ReceiveState::Head || state == ReceiveState::Body)) {
            const auto count = std::min(bytes.size(), this->receiver.room());
            state = this->receiver.receive(bytes.substr(0, count), TimePoint {});
            bytes.remove_prefix(count);
        }
        return state;
    }

    bool isGivenUp = false;
    RequestReceiver receiver;
};

} // namespace

// Fault: a request that was given up counted as free while it was still allocated, and a head was counted after it had been stored.
TEST_CASE("what all connections hold stays within the limit at each step")
{
    const auto request = GENERATE(
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n" + repeated("a:\r\n", 3000) + "\r\n", // Its body does not come.
        "GET /" + std::string(15'000, 'x') + " HTTP/1.1\r\n",
        "POST / HTTP/1.1\r\n" + repeated("a:\r\n", 3000), // It does not end.
        "POST / HTTP/1.1\r\nX-Goldcrestwood-Prefix-Hash: " + repeated("a:1,", 3000) + "\r\nContent-Length: 9\r\n\r\n",
        chunkedHead + repeated("1\r\nx\r\n", 100'000),
        chunkedHead + "100000\r\n" + std::string(500'000, 'x'),
        chunkedHead + "1\r\nx\r\n0\r\n" + repeated("a:\r\n", 3000) + "\r\n" + chunkedHead);
    RequestMemory memory(memoryLimit);
    std::list<Connection> crowd;
    for (int number = 0; number < connections; ++number)
        crowd.emplace_back(memory);
    const auto before = allocatedBytes();
    std::uint64_t most = 0;
    for (auto& connection : crowd) {
        connection.receive(request);
        most = std::max(most, allocatedBytes() - before);
        REQUIRE(memory.used() <= memoryLimit);
    }
    CHECK(most <= memoryLimit);
    for (auto& connection : crowd)
        connection.receiver.end();
    CHECK(memory.used() == 0);
}

TEST_CASE("a request that was given up takes no more bytes")
{
    RequestMemory memory(memoryLimit);
    Connection held(memory);
    REQUIRE(held.receive(chunkedHead + "100000\r\n" + std::string(300'000, 'x')) == ReceiveState::Body);
    Connection next(memory);
    REQUIRE(next.receive(chunkedHead + "100000\r\n" + std::string(299'000, 'x')) == ReceiveState::Body);
    CHECK(held.isGivenUp);
    CHECK(held.receiver.bodyBytes() == 300'000);
    CHECK(held.receive("x") == ReceiveState::GivenUp);
}

TEST_CASE("requests that come together are taken one after the other")
{
    RequestMemory memory(memoryLimit);
    Connection connection(memory);
    const std::string first = chunkedHead + repeated("1\r\nx\r\n", 100) + "0\r\nHost: b\r\nConnection: close\r\n\r\n";
    REQUIRE(connection.receive(first + "GET /next HTTP/1.1\r\nConnection: close\r\n\r\n") == ReceiveState::Complete);
    CHECK(connection.receiver.keepsAlive());
    const auto request = connection.receiver.release();
    CHECK(request.body() == std::string(100, 'x'));
    CHECK(request.count("Host") == 1);
    connection.receiver.end();
    REQUIRE(connection.receiver.hasUnparsed());
    connection.receiver.begin({}, TimePoint {});
    REQUIRE(connection.receiver.receive({}, TimePoint {}) == ReceiveState::Complete);
    CHECK_FALSE(connection.receiver.keepsAlive());
    CHECK(connection.receiver.release().target() == "/next");
    connection.receiver.end();
    CHECK(memory.used() == 0);
}

TEST_CASE("a request may come in pieces of one byte, and its body in chunks of one byte")
{
    RequestMemory memory(memoryLimit);
    Connection connection(memory);
    const auto request = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + repeated("a:\r\n", 1000) + "\r\n" + repeated("0000000000000001\r\nx\r\n", 3000) + "0\r\n\r\n";
    auto state = ReceiveState::Head;
    for (const char byte : request)
        state = connection.receive({ &byte, 1 });
    REQUIRE(state == ReceiveState::Complete);
    CHECK(connection.receiver.release().body() == std::string(3000, 'x'));
}

TEST_CASE("what cannot be read is refused and holds nothing")
{
    const auto [request, status] = GENERATE(table<std::string, unsigned>({
        { "POST / HTTP/1.1\r\nContent-Length: 9\r\nContent-Length: 9\r\n\r\n", 400 },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501 },
        { "POST / HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n", 413 },
        { chunkedHead + "500000\r\n", 413 },
        { chunkedHead + "7fffffffffffffff\r\n", 413 },
        { "POST / HTTP/1.1\r\nA: " + std::string(20'000, 'x'), 431 },
        { chunkedHead + std::string(30'000, '0'), 431 },
        { chunkedHead + "0\r\nA: " + std::string(30'000, 'x'), 431 },
        { chunkedHead + repeated("1;" + std::string(1000, 'x') + "\r\nx\r\n", 30), 431 },
        { "POST / HTTP/1.1\r\nA\r\n\r\n", 400 },
    }));
    RequestMemory memory(memoryLimit);
    Connection connection(memory);
    CHECK(connection.receive(request) == ReceiveState::Refused);
    CHECK(connection.receiver.refusal().status == status);
    CHECK(memory.used() == 0);
}
