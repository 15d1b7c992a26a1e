#include "edge/framing.h"

#include <string>
#include <vector>

namespace goldcrestwood {

namespace {

    constexpr unsigned http11 = 11;

    bool isChunkedCoding(const std::string& coding)
    {
        return beast::iequals(coding, "chunked");
    }

} // namespace

FramingFault framingFault(const http::fields& fields, unsigned version, bool isChunked)
{
    const auto lines = fields.equal_range(http::field::transfer_encoding);
    if (lines.first == lines.second)
        return FramingFault::None;
    if (version < http11 || fields.find(http::field::content_length) != fields.end())
        return FramingFault::Ambiguous;
    std::vector<std::string> codings;
    for (auto line = lines.first; line != lines.second; ++line) {
        const http::opt_token_list list(line->value());
        if (!http::validate_list(list))
            return FramingFault::Ambiguous;
        for (const auto& coding : list)
            codings.emplace_back(coding);
    }
    if (!isChunked || codings.empty() || !isChunkedCoding(codings.back()))
        return FramingFault::Ambiguous;
    codings.pop_back();
    // Chunks within chunks are no coding that a sound sender applies.
    for (const auto& coding : codings)
        if (isChunkedCoding(coding))
            return FramingFault::Ambiguous;
    return codings.empty() ? FramingFault::None : FramingFault::UnsupportedCoding;
}

} // namespace goldcrestwood
