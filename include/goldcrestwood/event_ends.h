#pragma once

/// @file
/// Finds the event boundaries in a byte stream.

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace goldcrestwood {

/// Tracks event boundaries in linear time without buffering, and detects a faulty upstream that sends endless bytes without
/// an event.
class EventBoundaries {
public:
    /// Normal events have a few hundred bytes; longer data is not an event stream.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// @param piece The next bytes of the stream. Lines end with LF, CRLF or CR; an empty line ends an event.
    /// @return Length of @p piece up to the end of its last complete event; 0 if no event ends in it.
    std::size_t consume(std::string_view piece)
    {
        std::size_t completeBytes = 0;
        for (std::size_t at = 0; at < piece.size(); ++at) {
            const char byte = piece[at];
            if (std::exchange(this->endsInCr, byte == '\r') && byte == '\n') {
                // Second byte of a CRLF; it belongs to the event that the CR has ended.
                if (completeBytes == at && (at > 0 || this->pendingBytes == 0))
                    completeBytes = at + 1;
                continue;
            }
            if (byte != '\n' && byte != '\r') {
                this->isLineEmpty = false;
                this->hasContent = true;
                continue;
            }
            if (this->isLineEmpty) {
                completeBytes = at + 1;
                this->eventCount += std::exchange(this->hasContent, false) ? 1 : 0;
            }
            this->isLineEmpty = true;
        }
        this->pendingBytes = completeBytes > 0 ? piece.size() - completeBytes : this->pendingBytes + piece.size();
        return completeBytes;
    }

    /// @return Whether the bytes so far end inside an event.
    bool isInsideEvent() const { return this->pendingBytes > 0; }

    /// @return Number of complete events so far.
    std::uint64_t count() const { return this->eventCount; }

    /// @return Whether the unfinished event at the end of the stream exceeds the size limit.
    bool isOverlong() const { return this->pendingBytes > maxEventBytes; }

private:
    std::size_t pendingBytes = 0; ///< Bytes since the last event boundary.
    std::uint64_t eventCount = 0;
    bool isLineEmpty = true; ///< Whether the current line has no bytes so far.
    bool hasContent = false; ///< Whether a line since the last event boundary has any.
    bool endsInCr = false;
};

} // namespace goldcrestwood
