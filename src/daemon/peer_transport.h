#pragma once

/// @file
/// Framed msgpack over TCP between daemons, with a deadline on every exchange.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "goldcrestwood/peer_frame.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A message between daemons; the kind names the type of the payload.
struct PeerMessage {
    std::string kind;
    std::string payload;

    bool operator==(const PeerMessage&) const = default;
};

enum class PeerError {
    Unreachable, ///< No connection within the deadline.
    Timeout, ///< No reply within the deadline; the connection is closed.
    Closed, ///< The connection ended before the reply.
    Refused, ///< The peer does not handle this kind of message.
    Overloaded, ///< The send queue to the peer is full.
};

const char* toString(PeerError error);

using PeerResult = tl::expected<PeerMessage, PeerError>;
/// Replies to a request; called once, possibly later and from any thread.
using PeerReply = std::function<void(PeerMessage)>;
/// Handles a message on a transport thread; must not block. A reply with an empty kind refuses the message.
using PeerHandler = std::function<void(PeerMessage, const PeerReply&)>;
/// Receives the result of a call, once, on a transport thread; must not block.
using PeerCallback = std::function<void(PeerResult)>;

/// Traffic totals of a transport.
struct PeerTraffic {
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t timeouts = 0;

    bool operator==(const PeerTraffic&) const = default;
};

/// Receives frames from other daemons and sends calls to them.
class PeerTransport {
public:
    /// @param address IP address and port to listen on.
    /// @return The transport, or why it cannot listen.
    static tl::expected<PeerTransport, std::string> start(const std::string& address, PeerHandler handler);

    PeerTransport(PeerTransport&&) noexcept;
    ~PeerTransport();

    /// Sends a request and waits for the reply; must not be called on a transport thread.
    PeerResult call(const std::string& address, const PeerMessage& request, Duration timeout);
    /// Sends a request; @p callback gets the reply or the error.
    void callAsync(const std::string& address, const PeerMessage& request, Duration timeout, PeerCallback callback);
    /// Sends a message without a reply; it is lost silently if the peer is unreachable.
    void post(const std::string& address, const PeerMessage& message);

    PeerTraffic traffic() const;
    /// Stops all exchanges and joins the threads.
    void stop();

private:
    struct State;
    explicit PeerTransport(std::unique_ptr<State> running);
    std::unique_ptr<State> state;
};

} // namespace goldcrestwood
