#include "goldcrestwood/compression.h"

#include <zlib.h>

namespace goldcrestwood {

std::string compress(std::string_view bytes)
{
    std::string result(compressBound(bytes.size()), '\0');
    auto size = static_cast<uLongf>(result.size());
    const auto status = compress2(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    // The result fits, so that only memory can be missing.
    if (status != Z_OK)
        throw std::bad_alloc();
    result.resize(size);
    return result;
}

tl::expected<std::string, DecodeError> decompress(std::string_view compressed, std::size_t size)
{
    std::string result(size, '\0');
    auto written = static_cast<uLongf>(size);
    const auto status = uncompress(reinterpret_cast<Bytef*>(result.data()), &written, reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
    if (status != Z_OK)
        return tl::unexpected(DecodeError { "compressed data: " + std::string(zError(status)) });
    if (written != size)
        return tl::unexpected(DecodeError { "compressed data: " + std::to_string(written) + " bytes instead of " + std::to_string(size) });
    return result;
}

} // namespace goldcrestwood
