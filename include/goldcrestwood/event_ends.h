#pragma once

/// @file
/// Where events end in a stream of bytes.

#include <cstddef>
#include <string_view>

namespace goldcrestwood {

/// Follows the ends of events without keeping their bytes, in time linear in them. Load pattern: a faulty upstream sends
/// bytes that are no events, without end.
class EventEnds {
public:
    /// An event of the users' streams has a few hundred bytes; what does not end by then is no event stream.
    static constexpr std::size_t largestEvent = 1U << 20U;

    /// @param piece The next bytes of the stream.
    /// @return Length of the part of @p piece that ends with an event; 0 if none ends in it.
    std::size_t next(std::string_view piece)
    {
        constexpr std::string_view end = "\n\n";
        const auto found = piece.rfind(end);
        auto whole = found == std::string_view::npos ? 0 : found + end.size();
        if (whole == 0 && this->endsInNewline && piece.starts_with('\n'))
            whole = 1;
        this->open = whole > 0 ? piece.size() - whole : this->open + piece.size();
        this->endsInNewline = whole < piece.size() && piece.ends_with('\n');
        return whole;
    }

    /// @return Whether the event at the end of the stream is too long to be one.
    bool isOverlong() const { return this->open > largestEvent; }

private:
    std::size_t open = 0; ///< Bytes since the last end.
    bool endsInNewline = false;
};

} // namespace goldcrestwood
