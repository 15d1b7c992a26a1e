#pragma once

/// @file
/// Guards the read of one cache block, so that a freed, replaced or partly written one is never used.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrestwood/chain.h"

namespace goldcrestwood {

/// A block that claims to be larger is refused.
constexpr std::uint64_t maxBlockBytes = std::uint64_t { 1 } << 30;

/// What a holder says of a block, before or after it gives the bytes.
struct BlockHeader {
    ChainHash hash;
    /// Seed of the block's chain: account, service, version and tokenizer.
    ChainHash scope;
    /// Grows whenever the place is written anew.
    std::uint64_t generation = 0;
    /// Whether the block is complete and never written again.
    bool sealed = false;
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0;

    bool operator==(const BlockHeader&) const = default;
};

/// Why a block is computed anew.
enum class ReadFailure : std::uint8_t {
    None, ///< It may be used.
    Absent, ///< The holder lost it.
    NotSealed, ///< It is not completely written.
    OtherBlock, ///< The place holds another block.
    OtherScope, ///< It belongs to another account, service, version or tokenizer.
    Replaced, ///< It was written anew during the read.
    WrongSize, ///< Bytes are missing or too many.
    WrongChecksum, ///< The bytes differ from those that were sealed.
    TimedOut, ///< The holder took too long.
};

/// @return A short name for logs and metrics.
const char* toString(ReadFailure failure);

/// @return The checksum of a block's bytes.
std::uint64_t blockChecksum(std::string_view bytes);

/// The read of one block: `begin` before the first byte, `append` for each piece, `end` after the last.
/// The holder keeps the block pinned from `begin` to the result.
class BlockRead {
public:
    enum class State : std::uint8_t {
        Waiting, ///< No header yet.
        Reading, ///< The block is pinned and bytes come in.
        Use, ///< The bytes are the block.
        Recompute, ///< The bytes must not be used.
    };

    /// @param wanted The block.
    /// @param requestScope The scope of the request.
    BlockRead(ChainHash wanted, ChainHash requestScope);

    /// Takes the header before the read; nothing where the holder has no such block.
    State begin(const std::optional<BlockHeader>& header);
    /// Takes the next bytes.
    State append(std::string_view bytes);
    /// Takes the header after the read; only this can yield Use.
    State end(const std::optional<BlockHeader>& header);
    /// Gives the read up.
    State timeOut();

    State state() const { return this->current; }
    ReadFailure failure() const { return this->reason; }
    /// @return Whether the holder still has to keep the block pinned for this read.
    bool pinned() const { return this->current == State::Reading; }
    /// @return The bytes of the block; empty unless the state is Use.
    std::string_view bytes() const;

private:
    State fail(ReadFailure failure);
    ReadFailure check(const std::optional<BlockHeader>& header) const;

    ChainHash hash;
    ChainHash scope;
    State current = State::Waiting;
    ReadFailure reason = ReadFailure::None;
    BlockHeader first;
    std::string content;
};

} // namespace goldcrestwood
