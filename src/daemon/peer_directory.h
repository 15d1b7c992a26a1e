#pragma once

/// @file
/// Dispatches peer messages by kind and sends messages to daemons by instance id.

#include <functional>
#include <map>
#include <string>

#include "daemon/peer_mesh.h"
#include "daemon/peer_transport.h"
#include "goldcrestwood/codec.h"
#include "goldcrestwood/hash.h"

namespace goldcrestwood {

/// @return The key that determines the owner of an upstream or a store.
inline std::uint64_t upstreamKey(const UpstreamId& upstream)
{
    return stableHash("upstream\n" + upstream.value);
}

/// @return The key that determines the owner of a claim stream.
inline std::uint64_t claimStreamKey(std::uint32_t shard)
{
    return stableHash("claims\n" + std::to_string(shard));
}

/// Handles messages of one kind.
using PeerKindHandler = std::function<void(const PeerMessage&, const PeerReply&)>;

/// Handlers by message kind, and sending by instance. All handlers must be registered before the transport starts.
class PeerDirectory {
public:
    /// @param peerMesh Must outlive the directory.
    explicit PeerDirectory(PeerMesh& peerMesh)
        : mesh(peerMesh)
    {
    }

    void setTransport(PeerTransport& peerTransport) { this->transport = &peerTransport; }
    void handle(const std::string& kind, PeerKindHandler handler) { this->handlers[kind] = std::move(handler); }

    /// Registers a handler for decoded messages that get no reply.
    template <typename Message, typename Handler>
    void handlePosted(const std::string& kind, Handler handler)
    {
        this->handle(kind, [handler](const PeerMessage& message, const PeerReply&) {
            if (const auto decoded = decode<Message>(message.payload))
                handler(*decoded);
        });
    }

    /// Passes a received message to its handler; refuses an unknown kind.
    void dispatch(const PeerMessage& message, const PeerReply& reply) const
    {
        const auto found = this->handlers.find(message.kind);
        if (found == this->handlers.end())
            reply({});
        else
            found->second(message, reply);
    }

    /// Sends a message without a reply; a message to this daemon itself is handled synchronously.
    template <typename Message>
    void post(const InstanceId& to, const char* kind, const Message& message) const
    {
        const PeerMessage frame { kind, encode(message) };
        if (to == this->mesh.self()) {
            this->dispatch(frame, [](const PeerMessage&) {});
            return;
        }
        if (const auto address = this->mesh.addressOf(to))
            this->transport->post(*address, frame);
    }

    /// Calls a daemon other than this one; @p callback gets the decoded reply on a transport thread.
    template <typename Reply, typename Message, typename Callback>
    void callAsync(const InstanceId& to, const char* kind, const Message& message, Duration timeout, Callback callback) const
    {
        const auto address = this->mesh.addressOf(to);
        if (!address)
            return;
        this->transport->callAsync(*address, { kind, encode(message) }, timeout, [callback](const PeerResult& result) {
            if (!result)
                return;
            if (const auto reply = decode<Reply>(result->payload))
                callback(*reply);
        });
    }

    /// Calls a daemon other than this one.
    template <typename Reply, typename Message>
    tl::expected<Reply, PeerError> call(const InstanceId& to, const char* kind, const Message& message, Duration timeout) const
    {
        const auto address = this->mesh.addressOf(to);
        if (!address)
            return tl::unexpected(PeerError::Unreachable);
        const auto result = this->transport->call(*address, { kind, encode(message) }, timeout);
        if (!result)
            return tl::unexpected(result.error());
        auto reply = decode<Reply>(result->payload);
        if (!reply)
            return tl::unexpected(PeerError::Refused);
        return std::move(*reply);
    }

private:
    PeerMesh& mesh;
    PeerTransport* transport = nullptr;
    std::map<std::string, PeerKindHandler> handlers;
};

} // namespace goldcrestwood
