#include "daemon/framing.h"

#include <boost/beast/http/rfc7230.hpp>

namespace goldcrestwood {

namespace beast = boost::beast;
namespace http = boost::beast::http;

FramingFault framingFault(const http::fields& fields, unsigned version, bool isChunked)
{
    constexpr unsigned http11 = 11;
    const auto lengths = fields.count(http::field::content_length);
    const auto lines = fields.equal_range(http::field::transfer_encoding);
    if (lines.first == lines.second)
        return lengths > 1 ? FramingFault::Ambiguous : FramingFault::None;
    if (version < http11 || lengths > 0)
        return FramingFault::Ambiguous;
    int codings = 0;
    int chunkings = 0;
    bool endsInChunks = false;
    for (auto line = lines.first; line != lines.second; ++line) {
        const http::opt_token_list list(line->value());
        if (!http::validate_list(list))
            return FramingFault::Ambiguous;
        for (const auto& coding : list) {
            endsInChunks = beast::iequals(coding, "chunked");
            ++codings;
            chunkings += endsInChunks ? 1 : 0;
        }
    }
    // Chunks within chunks are no coding that a sound sender applies.
    if (!isChunked || !endsInChunks || chunkings > 1)
        return FramingFault::Ambiguous;
    return codings == 1 ? FramingFault::None : FramingFault::UnsupportedCoding;
}

FramingFault answerFramingFault(const http::fields& fields, unsigned version, bool isChunked, unsigned status)
{
    const auto hasBody = fields.find(http::field::transfer_encoding) != fields.end()
        || fields[http::field::content_length].find_first_not_of('0') != beast::string_view::npos;
    if (status == noContentStatus && hasBody)
        return FramingFault::Ambiguous;
    return framingFault(fields, version, isChunked);
}

const char* toString(FramingFault fault)
{
    switch (fault) {
    case FramingFault::None:
        return "none";
    case FramingFault::Ambiguous:
        return "the length of the body is ambiguous";
    case FramingFault::UnsupportedCoding:
        return "unsupported transfer coding";
    }
    return "unknown";
}

} // namespace goldcrestwood
