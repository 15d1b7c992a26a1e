#pragma once

/// @file
/// Msgpack adaptors of value types and helpers, used by the generated codecs.

#include <msgpack.hpp>

#include "goldcrestwood/codec.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <>
        struct pack<goldcrestwood::Duration> {
            template <typename Stream>
            packer<Stream>& operator()(packer<Stream>& out, const goldcrestwood::Duration& value) const
            {
                return out.pack_int64(value.count());
            }
        };

        template <>
        struct convert<goldcrestwood::Duration> {
            const msgpack::object& operator()(const msgpack::object& in, goldcrestwood::Duration& value) const
            {
                value = goldcrestwood::Duration(in.as<std::int64_t>());
                return in;
            }
        };

        template <typename Tag>
        struct pack<goldcrestwood::Name<Tag>> {
            template <typename Stream>
            packer<Stream>& operator()(packer<Stream>& out, const goldcrestwood::Name<Tag>& name) const
            {
                return out.pack(name.value);
            }
        };

        template <typename Tag>
        struct convert<goldcrestwood::Name<Tag>> {
            const msgpack::object& operator()(const msgpack::object& in, goldcrestwood::Name<Tag>& name) const
            {
                name.value = in.as<std::string>();
                return in;
            }
        };

    } // namespace adaptor
}
} // namespace msgpack

namespace goldcrestwood {

/// Converts element @p index of an array to @p field; a missing element leaves the default.
template <typename Field>
void convertField(const msgpack::object& in, std::uint32_t index, Field& field)
{
    if (index < in.via.array.size)
        in.via.array.ptr[index].convert(field);
}

template <typename Message>
std::string encodeMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

template <typename Message>
tl::expected<Message, DecodeError> decodeMessage(std::string_view bytes)
try {
    // No count can exceed the number of bytes; memory is allocated by the announced counts.
    const auto limit = bytes.size();
    constexpr std::size_t maxDepth = 32;
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, msgpack::unpack_limit(limit, limit, limit, limit, limit, maxDepth));
    return handle.get().as<Message>();
} catch (const msgpack::unpack_error& error) {
    return tl::unexpected(DecodeError { error.what() });
} catch (const msgpack::type_error& error) {
    return tl::unexpected(DecodeError { error.what() });
}

} // namespace goldcrestwood
