#pragma once

/// @file
/// Validates the read of one cache block, so that a freed, replaced or partly written block is never used.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrestwood/chain.h"

namespace goldcrestwood {

/// Blocks with a larger announced size are rejected.
constexpr std::uint64_t maxBlockBytes = std::uint64_t { 1 } << 30;

/// Header of a block, which the holder sends before and after the bytes.
struct BlockHeader {
    ChainHash hash;
    /// Seed of the block's chain, derived from account, service, version and tokenizer.
    ChainHash scope;
    /// Increases with each write to the slot.
    std::uint64_t generation = 0;
    /// Whether the block is complete and immutable.
    bool sealed = false;
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0;

    bool operator==(const BlockHeader&) const = default;
};

/// Why a block cannot be used and must be recomputed.
enum class ReadFailure : std::uint8_t {
    None, ///< No failure so far.
    Absent, ///< The holder does not have it.
    NotSealed, ///< It is not fully written yet.
    OtherBlock, ///< The slot holds another block.
    OtherScope, ///< It belongs to another account, service, version or tokenizer.
    Replaced, ///< It was overwritten during the read.
    WrongSize, ///< There are too few or too many bytes.
    WrongChecksum, ///< The bytes do not match the checksum.
    TimedOut, ///< The holder did not answer in time.
};

/// @return A short name for logs and metrics.
const char* toString(ReadFailure failure);

/// @return The checksum of a block's bytes.
std::uint64_t blockChecksum(std::string_view bytes);

/// The read of one block: call `begin` before the first byte, `append` for each piece and `end` after the last.
/// The holder keeps the block pinned from `begin` until the read ends.
class BlockRead {
public:
    enum class State : std::uint8_t {
        Waiting, ///< No header received yet.
        Reading, ///< The block is pinned and its bytes are being received.
        Verified, ///< The bytes are valid.
        Failed, ///< The bytes must not be used.
    };

    /// @param wanted Hash of the block.
    /// @param requestScope Scope of the request, which the block must have.
    BlockRead(ChainHash wanted, ChainHash requestScope);

    /// Handles the header before the bytes; empty if the holder has no such block.
    State begin(const std::optional<BlockHeader>& header);
    /// Adds the next bytes.
    State append(std::string_view bytes);
    /// Handles the header after the bytes; only this call can lead to Verified.
    State end(const std::optional<BlockHeader>& header);
    /// Abandons the read.
    State timeOut();

    State state() const { return this->current; }
    ReadFailure failure() const { return this->reason; }
    /// @return Whether the holder must keep the block pinned for this read.
    bool pinned() const { return this->current == State::Reading; }
    /// @return The bytes of the block; empty unless the state is Verified.
    std::string_view bytes() const;

private:
    State fail(ReadFailure failure);
    ReadFailure check(const std::optional<BlockHeader>& header) const;

    ChainHash hash;
    ChainHash scope;
    State current = State::Waiting;
    ReadFailure reason = ReadFailure::None;
    BlockHeader firstHeader;
    std::string content;
};

} // namespace goldcrestwood
