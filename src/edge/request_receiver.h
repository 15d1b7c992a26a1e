#pragma once

/// @file
/// Takes a caller's requests from the bytes of its connection and counts the memory that they hold; no I/O.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "edge/net.h"
#include "edge/request_parser.h"
#include "goldcrestwood/load/request_memory.h"
#include "goldcrestwood/traffic.h"

namespace goldcrestwood {

/// How much of a request has been received.
enum class ReceiveState : std::uint8_t {
    Head, ///< The head is not complete.
    Body, ///< The body is not complete.
    Complete,
    Refused, ///< It cannot be read: RequestReceiver::refusal().
    GivenUp, ///< No memory is left for it.
};

/// Why a request cannot be read.
struct ReceiveRefusal {
    unsigned status = 400;
    std::string reason;

    bool operator==(const ReceiveRefusal&) const = default;
};

/// Load pattern: clients send what takes many times its bytes in memory, such as thousands of short fields, on many connections at once. A
/// field is counted before it is stored, and a request that is given up is freed in the same moment, so that what all receivers hold stays
/// within the limit at each step, however many connections become readable together.
class RequestReceiver {
public:
    /// @param owner Memory of all requests.
    /// @param givenUp Called when the request has been freed in favour of another one; must end the wait for its next bytes.
    RequestReceiver(RequestMemory& owner, std::function<void()> givenUp);
    RequestReceiver(const RequestReceiver&) = delete;
    RequestReceiver& operator=(const RequestReceiver&) = delete;

    /// Begins the next request, whose first bytes may be there already: hasUnparsed().
    void begin(const ClientLimits& requestLimits, TimePoint now);
    /// @return Whether bytes behind the last request wait to be parsed.
    bool hasUnparsed() const { return !this->unparsed.empty(); }
    /// @return Most bytes that receive() takes; at least 1 while the request is neither complete nor refused.
    std::size_t room() const { return this->maxUnparsed() - this->unparsed.size(); }
    /// @param bytes The next bytes of the connection.
    ReceiveState receive(std::string_view bytes, TimePoint now);
    /// @return Whether the request was given up.
    bool isGivenUp() const { return this->share && this->share->isGivenUp(); }
    /// @return Why the request was refused.
    const ReceiveRefusal& refusal() const { return this->refused; }
    /// @return Whether the client waits for an interim answer before it sends the body (RFC 9110, 10.1.1); once for each request.
    bool takeExpectsContinue() { return std::exchange(this->expectsContinue, false); }
    /// @return Bytes of the body received so far; of a request that was given up, until then.
    std::size_t bodyBytes() const { return this->parser ? this->parser->get().body().size() : this->freedBodyBytes; }
    /// @return Whether the complete request lets the connection serve another one.
    bool keepsAlive() const { return this->parser->keepsAlive(); }
    /// @return The complete request; its memory stays counted until end().
    http::request<http::string_body> release() { return this->parser->release(); }
    /// The request was answered.
    void end();

private:
    /// Counts a field before it is stored.
    struct CountField {
        FieldAction operator()(http::field name, beast::string_view nameText, beast::string_view value) const;

        RequestReceiver* receiver = nullptr;
    };

    std::size_t maxUnparsed() const;
    /// @return Whether the memory for what is held, and for @p unparsedBytes, may be taken.
    bool count(std::size_t unparsedBytes);
    /// Parses @p bytes and removes what was parsed from their front.
    ReceiveState parse(std::string_view& bytes);
    ReceiveState refuse(unsigned status, std::string reason);
    void free();

    RequestMemory& memory;
    std::function<void()> onGivenUp;
    ClientLimits limits;
    std::string unparsed;
    std::optional<RequestParser<CountField>> parser;
    std::optional<RequestMemory::Share> share;
    TimePoint received; ///< When the bytes that are being parsed were received.
    std::uint64_t fieldBytes = 0;
    std::uint64_t framedBytes = 0; ///< Bytes behind the head that were parsed: the body with its chunk headers and trailers.
    std::size_t freedBodyBytes = 0;
    bool expectsContinue = false;
    ReceiveRefusal refused;
};

} // namespace goldcrestwood
