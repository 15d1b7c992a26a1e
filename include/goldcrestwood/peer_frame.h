#pragma once

/// @file
/// The envelope of every frame between daemons.
/// Generated from schema/peer_frame.toml by support/generate.py; edit the schema instead.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "goldcrestwood/codec.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// One frame; a reply carries the id of its request.
struct PeerFrame {
    /// Unique within the connection; 0 if no reply is expected.
    std::uint64_t requestId = 0;
    /// Whether this answers a request.
    bool isReply = false;
    /// Message type of the payload; empty in a reply that refuses the request.
    std::string kind;
    /// Encoded message.
    std::string payload;

    bool operator==(const PeerFrame&) const = default;
};

template <>
std::string encode(const PeerFrame& message);
template <>
tl::expected<PeerFrame, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PeerFrame& message);

} // namespace goldcrestwood