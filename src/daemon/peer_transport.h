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
    Timeout, ///< No reply within the deadline; the connection is given up.
    Closed, ///< The connection ended before the reply.
    Refused, ///< The peer does not know the kind.
    Overloaded, ///< Too much waits to be sent to the peer.
};

const char* toString(PeerError error);

using PeerResult = tl::expected<PeerMessage, PeerError>;
/// Answers a request; may be called later and from any thread, once.
using PeerReply = std::function<void(PeerMessage)>;
/// Handles a message on a transport thread; must not block. An empty kind in the reply refuses it.
using PeerHandler = std::function<void(PeerMessage, const PeerReply&)>;
/// Takes the result of a call, once, on a transport thread; must not block.
using PeerCallback = std::function<void(PeerResult)>;

/// Bytes and frames that the transport has carried.
struct PeerTraffic {
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t timeouts = 0;

    bool operator==(const PeerTraffic&) const = default;
};

/// Accepts frames of other daemons and calls them.
class PeerTransport {
public:
    /// @param address IP number and port to listen on.
    /// @return The transport, or why it cannot listen.
    static tl::expected<PeerTransport, std::string> start(const std::string& address, PeerHandler handler);

    PeerTransport(PeerTransport&&) noexcept;
    ~PeerTransport();

    /// Sends a request and waits for the reply; not from a transport thread.
    PeerResult call(const std::string& address, const PeerMessage& request, Duration timeout);
    /// Sends a request; @p callback gets the reply or the error.
    void callAsync(const std::string& address, const PeerMessage& request, Duration timeout, PeerCallback callback);
    /// Sends a message that wants no reply; lost silently when the peer cannot be reached.
    void post(const std::string& address, const PeerMessage& message);

    PeerTraffic traffic() const;
    /// Ends all exchanges and joins the threads.
    void stop();

private:
    struct State;
    explicit PeerTransport(std::unique_ptr<State> running);
    std::unique_ptr<State> state;
};

} // namespace goldcrestwood
