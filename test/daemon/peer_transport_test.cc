/// @file
/// Exchange between daemons over loopback: replies, refusals, and unresponsive or absent peers.

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <vector>

#include <unistd.h>

#include "daemon/peer_transport.h"

using namespace goldcrestwood;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(10);
constexpr Duration shortTimeout = std::chrono::milliseconds(50);
/// Outgoing connections of other processes on 127.0.0.1 may have any of these ports.
const std::string host = "127." + std::to_string(64 + ::getpid() % 128) + ".47.1:";
const std::string serverAddress = host + "47311";
const std::string clientAddress = host + "47312";
const std::string absentAddress = host + "47313";

PeerTransport startIdle(const std::string& address)
{
    auto transport = PeerTransport::start(address, [](const PeerMessage&, const PeerReply&) {});
    REQUIRE(transport);
    return std::move(*transport);
}

} // namespace

TEST_CASE("a peer replies to a request and refuses an unknown kind")
{
    const auto server = PeerTransport::start(serverAddress, [](const PeerMessage& message, const PeerReply& reply) {
        reply(message.kind == "Echo" ? message : PeerMessage {});
    });
    REQUIRE(server);
    auto client = startIdle(clientAddress);
    CHECK(client.call(serverAddress, { "Echo", "payload" }, callTimeout) == PeerResult(PeerMessage { "Echo", "payload" }));
    CHECK(client.call(serverAddress, { "Other", "" }, callTimeout) == PeerResult(tl::unexpected(PeerError::Refused)));
}

TEST_CASE("a new connection is used after one missed deadline")
{
    std::atomic<int> requests = 0;
    std::mutex mutex;
    std::vector<PeerReply> unanswered;
    const auto server = PeerTransport::start(serverAddress, [&](const PeerMessage& message, const PeerReply& reply) {
        if (++requests == 1) {
            const std::lock_guard lock(mutex);
            unanswered.push_back(reply);
            return;
        }
        reply(message);
    });
    REQUIRE(server);
    auto client = startIdle(clientAddress);
    CHECK(client.call(serverAddress, { "Echo", "" }, shortTimeout) == PeerResult(tl::unexpected(PeerError::Timeout)));
    CHECK(client.call(serverAddress, { "Echo", "again" }, callTimeout));
    CHECK(client.traffic().timeouts == 1);
}

TEST_CASE("a call to an absent peer fails at once or within the deadline")
{
    auto client = startIdle(clientAddress);
    const auto result = client.call(absentAddress, { "Echo", "" }, callTimeout);
    REQUIRE_FALSE(result);
    CHECK((result.error() == PeerError::Closed || result.error() == PeerError::Unreachable));
}
