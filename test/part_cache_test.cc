#include <catch2/catch.hpp>

#include "goldcrestwood/part_cache.h"

using namespace goldcrestwood;

namespace {

/// @return Parts with distinct ids.
std::vector<PromptPart> distinctParts(std::size_t count, std::uint32_t tokens, const std::string& prefix)
{
    std::vector<PromptPart> parts(count);
    for (std::size_t number = 0; number < count; ++number)
        parts[number] = { prefix + std::to_string(number), tokens };
    return parts;
}

} // namespace

// Fault: parts without tokens were kept for good, as an entry was evicted only while the tokens exceeded the engine's memory.
TEST_CASE("what a cache lists is bounded, whatever parts the requests name")
{
    const auto tokens = GENERATE(0U, 1U, 20U);
    const auto capacity = GENERATE(0U, 100'000U);
    const auto* prefix = GENERATE("p", "an id of more bytes than any other that an engine would ever be given for a part of a prompt, "
                                       "in a list that would take its memory from all others");
    PartCache cache;
    cache.setCapacity(capacity);
    cache.setMaxParts(500);
    for (int request = 0; request < 100; ++request)
        cache.use("scope", distinctParts(100, tokens, prefix + std::to_string(request) + '-'));
    CHECK(cache.size() <= (tokens == 0 || std::string(prefix).size() > 128 ? 0 : 500));
}

TEST_CASE("parts without tokens do not interrupt a prompt's leading parts")
{
    PartCache cache;
    cache.use("scope", { { "a", 100 }, { "empty", 0 }, { "b", 50 } });
    CHECK(cache.size() == 2);
    CHECK(cache.heldTokens("scope", { { "a", 100 }, { "other", 0 }, { "b", 50 }, { "c", 10 } }) == 150);
    cache.shrink("scope", "a", 0);
    CHECK(cache.heldTokens("scope", { { "a", 100 }, { "b", 50 } }) == 0);
    cache.clear();
    CHECK(cache.size() == 0);
}

TEST_CASE("the parts that were used last are kept")
{
    PartCache cache;
    cache.setMaxParts(2);
    cache.use("scope", { { "a", 10 } });
    cache.use("scope", { { "b", 10 } });
    cache.use("scope", { { "a", 10 }, { "c", 10 } });
    CHECK(cache.heldTokens("scope", { { "a", 10 }, { "c", 10 } }) == 20);
    CHECK_FALSE(cache.holds("scope", { "b", 10 }));
}
