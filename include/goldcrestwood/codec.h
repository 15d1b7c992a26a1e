#pragma once

/// @file
/// Encoding of messages; the generated headers specialise these for each message type.

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "goldcrestwood/error.h"

namespace goldcrestwood {

/// @return @p message as a msgpack array of its fields in schema order.
template <typename Message>
std::string encode(const Message& message);

/// Fields that @p bytes lacks keep their defaults and extra ones are skipped, so that
/// daemons of neighbouring releases understand each other.
/// @return The message, or what is wrong with @p bytes.
template <typename Message>
tl::expected<Message, DecodeError> decode(std::string_view bytes);

} // namespace goldcrestwood
