#pragma once

/// @file
/// Finds the event boundaries in a byte stream.

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwood {

/// Tracks event boundaries in linear time without buffering, and detects a faulty upstream that sends endless bytes without
/// an event.
class EventBoundaries {
public:
    /// Normal events have a few hundred bytes; longer data is not an event stream.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// @param piece The next bytes of the stream.
    /// @return Length of @p piece up to the end of its last complete event; 0 if no event ends in it.
    std::size_t consume(std::string_view piece)
    {
        constexpr std::string_view boundary = "\n\n";
        for (auto at = piece.find(boundary); at != std::string_view::npos; at = piece.find(boundary, at + boundary.size()))
            ++this->eventCount;
        if (this->endsInNewline && piece.starts_with('\n'))
            ++this->eventCount;
        const auto found = piece.rfind(boundary);
        auto completeBytes = found == std::string_view::npos ? 0 : found + boundary.size();
        if (completeBytes == 0 && this->endsInNewline && piece.starts_with('\n'))
            completeBytes = 1;
        this->pendingBytes = completeBytes > 0 ? piece.size() - completeBytes : this->pendingBytes + piece.size();
        this->endsInNewline = completeBytes < piece.size() && piece.ends_with('\n');
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
    bool endsInNewline = false;
};

} // namespace goldcrestwood
