#include "edge/request_receiver.h"

#include <algorithm>

#include "daemon/framing.h"

namespace goldcrestwood {

namespace {

    /// Bytes beyond a longest head that a connection buffers. The part of a request that must be buffered whole, a head, a chunk header or all
    /// trailers together, has no other bound.
    constexpr std::size_t readAheadBytes = 4096;

    /// Framing that a byte of a body may have: a chunk of its own with a size of 16 digits and two line ends.
    constexpr std::size_t maxFramingPerByte = 20;

    /// A head is stored for the caller, and once more for the upstream.
    constexpr std::uint64_t copies = 2;

    /// @return Bytes that the copies of a field take, with what is decoded from it.
    std::uint64_t storedBytes(beast::string_view name, beast::string_view value)
    {
        constexpr std::uint64_t entryBytes = 96; // Each field is an allocation of its own.
        constexpr std::uint64_t itemBytes = 48; // An item of a list, such as the parts of a prompt: a string and a number.
        const auto items = static_cast<std::uint64_t>(std::count(value.begin(), value.end(), ','));
        return copies * (entryBytes + name.size() + value.size() + itemBytes * items);
    }

    unsigned statusOf(FramingFault fault)
    {
        return fault == FramingFault::UnsupportedCoding ? 501 : 400;
    }

    unsigned statusOf(ErrorCode error)
    {
        if (error == http::error::header_limit)
            return 431;
        if (error == http::error::body_limit)
            return 413;
        return 400;
    }

} // namespace

RequestReceiver::RequestReceiver(RequestMemory& owner, std::function<void()> givenUp)
    : memory(owner)
    , onGivenUp(std::move(givenUp))
{
}

FieldAction RequestReceiver::CountField::operator()(http::field /*name*/, beast::string_view nameText, beast::string_view value) const
{
    this->receiver->fieldBytes += storedBytes(nameText, value);
    return this->receiver->count(0) ? FieldAction::Store : FieldAction::Refuse;
}

void RequestReceiver::begin(const ClientLimits& requestLimits, TimePoint now)
{
    this->limits = requestLimits;
    this->fieldBytes = this->framedBytes = 0;
    this->expectsContinue = false;
    this->share.emplace(
        this->memory,
        [this] {
            this->free();
            this->onGivenUp();
        },
        now);
    this->parser.emplace(CountField { this });
    this->parser->header_limit(this->limits.headerBytes);
    this->parser->body_limit(this->limits.bodyBytes);
}

void RequestReceiver::end()
{
    this->parser.reset();
    this->share.reset();
}

std::size_t RequestReceiver::maxUnparsed() const
{
    // Requests behind the last one may already fill more, if the configuration has changed.
    return std::max(this->unparsed.size() + 1, this->limits.headerBytes + readAheadBytes);
}

bool RequestReceiver::count(std::size_t unparsedBytes)
{
    const auto& request = this->parser->get();
    // A body takes up to twice its bytes while it grows and while it is sent on.
    const auto body = 2 * static_cast<std::uint64_t>(request.body().size());
    return this->share->resize(copies * request.target().size() + this->fieldBytes + body + unparsedBytes, this->received);
}

void RequestReceiver::free()
{
    this->freedBodyBytes = this->bodyBytes();
    this->parser.reset();
    this->unparsed = std::string();
}

ReceiveState RequestReceiver::refuse(unsigned status, std::string reason)
{
    this->refused = { status, std::move(reason) };
    this->free();
    this->share.reset();
    return ReceiveState::Refused;
}

ReceiveState RequestReceiver::receive(std::string_view bytes, TimePoint now)
{
    if (this->isGivenUp())
        return ReceiveState::GivenUp;
    this->received = now;
    auto joined = std::exchange(this->unparsed, {});
    if (!joined.empty())
        joined.append(bytes);
    auto rest = joined.empty() ? bytes : std::string_view(joined);
    const auto state = this->parse(rest);
    if (state == ReceiveState::Refused)
        return state;
    // A head that comes a byte at a time is not copied each time.
    const bool isUnchanged = !joined.empty() && rest.size() == joined.size();
    if (!this->isGivenUp() && this->count(isUnchanged ? joined.capacity() : rest.size())) {
        this->unparsed = isUnchanged ? std::move(joined) : std::string(rest);
        if (state == ReceiveState::Complete)
            this->share->complete();
        return state;
    }
    this->free();
    return ReceiveState::GivenUp;
}

ReceiveState RequestReceiver::parse(std::string_view& bytes)
{
    auto& request = *this->parser;
    while (!bytes.empty() && !request.is_done()) {
        const bool wasInHead = !request.is_header_done();
        ErrorCode error;
        const auto taken = request.put({ bytes.data(), bytes.size() }, error);
        bytes.remove_prefix(taken);
        if (!wasInHead)
            this->framedBytes += taken;
        if (this->isGivenUp())
            return ReceiveState::GivenUp;
        if (error == http::error::need_more)
            break;
        if (error)
            return this->refuse(statusOf(error), error.message());
        if (!wasInHead || !request.is_header_done())
            continue;
        const auto& head = request.get();
        // Nothing after such a head can be trusted to be a request.
        if (const auto fault = framingFault(head, head.version(), request.chunked()); fault != FramingFault::None)
            return this->refuse(statusOf(fault), toString(fault));
        this->expectsContinue = beast::iequals(head[http::field::expect], "100-continue");
        // All chunks that are there are parsed in one call.
        request.eager(true);
    }
    const auto bodySize = request.get().body().size();
    // Chunk extensions need a limit like all parts of a request (RFC 9112, 7.1.1).
    if (this->framedBytes - bodySize > this->limits.headerBytes + readAheadBytes + maxFramingPerByte * bodySize)
        return this->refuse(431, "chunk extensions too long");
    if (request.is_done())
        return ReceiveState::Complete;
    if (bytes.size() >= this->limits.headerBytes + readAheadBytes)
        return this->refuse(431, "chunk header or trailers too long");
    return request.is_header_done() ? ReceiveState::Body : ReceiveState::Head;
}

} // namespace goldcrestwood
