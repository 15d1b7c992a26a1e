#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

#include "goldcrestwood/event_ends.h"

using namespace goldcrestwood;

TEST_CASE("event boundaries are found regardless of how the bytes are split")
{
    std::string text;
    for (int number = 0; number < 40; ++number)
        text += "id: " + std::to_string(number) + "\ndata: x\n\n";
    text += "id: 40\nda";
    const auto expected = text.rfind("\n\n") + 2;
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        std::mt19937_64 random(seed);
        EventBoundaries ends;
        std::size_t begin = 0;
        std::size_t lastEnd = 0;
        while (begin < text.size()) {
            const auto size = std::min<std::size_t>(1 + random() % 9, text.size() - begin);
            if (const auto completeBytes = ends.consume(std::string_view(text).substr(begin, size)); completeBytes > 0)
                lastEnd = begin + completeBytes;
            // The bytes passed on so far end with a complete event.
            REQUIRE((lastEnd == 0 || text.substr(lastEnd - 2, 2) == "\n\n"));
            begin += size;
        }
        CHECK(lastEnd == expected);
        CHECK_FALSE(ends.isOverlong());
    }
}

TEST_CASE("bytes without an event boundary are rejected, with and without newlines")
{
    for (const auto& piece : { std::string(16384, 'x'), std::string(8191, 'x') + "\n" + std::string(8191, 'x') }) {
        EventBoundaries ends;
        std::size_t sent = 0;
        while (!ends.isOverlong()) {
            CHECK(ends.consume(piece) == 0);
            sent += piece.size();
            REQUIRE(sent <= 2 * EventBoundaries::maxEventBytes);
        }
    }
    // A long stream of short events is accepted.
    EventBoundaries ends;
    for (int number = 0; number < 100000; ++number)
        ends.consume("data: 0123456789012345\n\n");
    CHECK_FALSE(ends.isOverlong());
}

TEST_CASE("events end at an empty line, whatever ends the lines and however the bytes are split")
{
    for (const std::string lineEnd : { "\n", "\r\n", "\r" }) {
        const auto lines = [&](const std::vector<std::string>& list) {
            std::string text;
            for (const auto& line : list)
                text.append(line).append(lineEnd);
            return text;
        };
        std::string whole;
        for (int number = 0; number < 20; ++number)
            whole += lines({ "id: " + std::to_string(number), "data: x", "" });
        for (const bool isCut : { false, true }) {
            const auto text = isCut ? whole + lines({ "id: 20", "data: x" }) : whole;
            for (std::size_t size = 1; size <= 40; ++size) {
                EventBoundaries ends;
                std::size_t lastEnd = 0;
                for (std::size_t begin = 0; begin < text.size(); begin += size)
                    if (const auto completeBytes = ends.consume(std::string_view(text).substr(begin, size)); completeBytes > 0)
                        lastEnd = begin + completeBytes;
                INFO("line end of " << lineEnd.size() << ", pieces of " << size);
                CHECK(lastEnd == whole.size());
                CHECK(ends.count() == 20);
                CHECK(ends.isInsideEvent() == isCut);
            }
        }
    }
}
