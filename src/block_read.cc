#include "goldcrestwood/block_read.h"

namespace goldcrestwood {

const char* toString(ReadFailure failure)
{
    switch (failure) {
    case ReadFailure::None:
        return "none";
    case ReadFailure::Absent:
        return "absent";
    case ReadFailure::NotSealed:
        return "not sealed";
    case ReadFailure::OtherBlock:
        return "other block";
    case ReadFailure::OtherScope:
        return "other scope";
    case ReadFailure::Replaced:
        return "replaced";
    case ReadFailure::WrongSize:
        return "wrong size";
    case ReadFailure::WrongChecksum:
        return "wrong checksum";
    case ReadFailure::TimedOut:
        return "timed out";
    }
    return "unknown";
}

std::uint64_t blockChecksum(std::string_view bytes)
{
    return stableHash(bytes);
}

BlockRead::BlockRead(ChainHash wanted, ChainHash requestScope)
    : hash(wanted)
    , scope(requestScope)
{
}

BlockRead::State BlockRead::begin(const std::optional<BlockHeader>& header)
{
    if (this->current != State::Waiting)
        return this->current;
    if (const auto failure = this->check(header); failure != ReadFailure::None)
        return this->fail(failure);
    this->firstHeader = *header;
    if (this->firstHeader.bytes > maxBlockBytes)
        return this->fail(ReadFailure::WrongSize);
    this->current = State::Reading;
    return this->current;
}

BlockRead::State BlockRead::append(std::string_view bytes)
{
    if (this->current != State::Reading)
        return this->current;
    if (this->content.size() + bytes.size() > this->firstHeader.bytes)
        return this->fail(ReadFailure::WrongSize);
    this->content += bytes;
    return this->current;
}

BlockRead::State BlockRead::end(const std::optional<BlockHeader>& header)
{
    if (this->current == State::Waiting)
        return this->fail(ReadFailure::Absent);
    if (this->current != State::Reading)
        return this->current;
    if (const auto failure = this->check(header); failure != ReadFailure::None)
        return this->fail(failure);
    if (*header != this->firstHeader)
        return this->fail(ReadFailure::Replaced);
    if (this->content.size() != this->firstHeader.bytes)
        return this->fail(ReadFailure::WrongSize);
    if (blockChecksum(this->content) != this->firstHeader.checksum)
        return this->fail(ReadFailure::WrongChecksum);
    this->current = State::Verified;
    return this->current;
}

BlockRead::State BlockRead::timeOut()
{
    const auto open = this->current == State::Waiting || this->current == State::Reading;
    return open ? this->fail(ReadFailure::TimedOut) : this->current;
}

std::string_view BlockRead::bytes() const
{
    return this->current == State::Verified ? std::string_view(this->content) : std::string_view();
}

BlockRead::State BlockRead::fail(ReadFailure failure)
{
    this->content.clear();
    this->reason = failure;
    this->current = State::Failed;
    return this->current;
}

ReadFailure BlockRead::check(const std::optional<BlockHeader>& header) const
{
    if (!header)
        return ReadFailure::Absent;
    if (!header->sealed)
        return ReadFailure::NotSealed;
    if (header->scope != this->scope)
        return ReadFailure::OtherScope;
    return header->hash == this->hash ? ReadFailure::None : ReadFailure::OtherBlock;
}

} // namespace goldcrestwood
