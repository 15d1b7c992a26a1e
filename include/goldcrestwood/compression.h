#pragma once

/// @file
/// Compression of large messages between daemons.

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "goldcrestwood/codec.h"

namespace goldcrestwood {

/// @return @p bytes in the zlib format, compressed fast rather than well.
std::string compress(std::string_view bytes);

/// @param size Size of the result in bytes.
/// @return The original bytes, or an error if @p compressed is damaged or does not have that size.
tl::expected<std::string, DecodeError> decompress(std::string_view compressed, std::size_t size);

} // namespace goldcrestwood
