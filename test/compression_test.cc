#include <catch2/catch.hpp>

#include "goldcrestwood/compression.h"

using namespace goldcrestwood;

TEST_CASE("compressed bytes are restored, and text of many routes takes a fraction of its size")
{
    std::string text;
    for (int number = 0; number < 3000; ++number)
        text += R"({"name":"route-)" + std::to_string(number) + R"(","path_prefix":"/route)" + std::to_string(number * 7919 % 100000) + R"(/","kind":"safe","timeout_ms":2000,"service":"plain"},)";
    const auto compressed = compress(text);
    CHECK(compressed.size() < text.size() / 5);
    CHECK(decompress(compressed, text.size()).value() == text);
    CHECK(decompress(compress(""), 0).value().empty());
}

TEST_CASE("damaged compressed bytes and wrong sizes are errors")
{
    const std::string text(5000, 'a');
    auto compressed = compress(text);
    CHECK_FALSE(decompress(compressed, text.size() - 1));
    CHECK_FALSE(decompress(compressed, text.size() + 1));
    CHECK_FALSE(decompress(compressed.substr(0, compressed.size() / 2), text.size()));
    compressed[compressed.size() / 2] = static_cast<char>(compressed[compressed.size() / 2] ^ 0x55);
    CHECK_FALSE(decompress(compressed, text.size()));
    CHECK_FALSE(decompress("", 1));
}
