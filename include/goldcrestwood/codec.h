#pragma once

/// @file
/// Encoding and decoding of messages; the generated headers declare specializations for each message type.

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "goldcrestwood/error.h"

namespace goldcrestwood {

/// @return @p message as a msgpack array of its fields in schema order.
template <typename Message>
std::string encode(const Message& message);

/// Missing fields keep their defaults and extra fields are skipped, so that daemons of adjacent releases can
/// exchange messages.
/// @return The message, or a description of the error.
template <typename Message>
tl::expected<Message, DecodeError> decode(std::string_view bytes);

} // namespace goldcrestwood
