/// @file
/// Splitting and hashing of prompts as specified in docs/interfaces.md, and the separation of scopes.

#include <catch2/catch.hpp>

#include <set>

#include "goldcrestwood/chain.h"

using namespace goldcrestwood;

namespace {

const ChainScope scope { ClientAccount("bakery"), ServiceName("kiln-voice"), VersionName("v1"), "default" };

PromptChain chainOf(const ChainScope& chainScope, std::string_view prompt)
{
    return makeChain(WhitespaceTokenizer {}, chainScope, prompt, 2);
}

} // namespace

TEST_CASE("blocks are hashed as a chain that starts with the scope")
{
    const auto chain = chainOf(scope, " glaze  batch\nreview of\tkiln");
    const auto seed = stableHash("bakery\nkiln-voice\nv1\ndefault");
    const auto first = stableHash("glaze batch", seed);
    const auto second = stableHash("review of", first);
    CHECK(chain.scope.value == seed);
    CHECK(chain.blocks == std::vector { ChainHash { first }, ChainHash { second } });
    CHECK(chain.tokens == 5);
    CHECK(ownerKey(chain).value == first);
    CHECK(chainOf(scope, "").blocks.empty());
    CHECK(ownerKey(chainOf(scope, "glaze")) == chain.scope);
}

TEST_CASE("chains of different scopes share no block")
{
    std::set<ChainHash> seen;
    std::size_t blocks = 0;
    for (const auto* account : { "bakery", "kiln" }) {
        for (const auto* version : { "v1", "v2" }) {
            for (const auto* tokenizer : { "default", "bytes" }) {
                const auto chain = chainOf({ ClientAccount(account), scope.service, VersionName(version), tokenizer }, "a b c d");
                seen.insert(chain.blocks.begin(), chain.blocks.end());
                blocks += chain.blocks.size();
            }
        }
    }
    CHECK(blocks == 16);
    CHECK(seen.size() == blocks);
}

TEST_CASE("names that could be mistaken for another scope give no blocks")
{
    const ChainScope ambiguous { ClientAccount("bakery\nkiln-voice"), ServiceName("v1"), VersionName("default"), "" };
    CHECK_FALSE(scopeHash(ambiguous));
    CHECK(chainOf(ambiguous, "a b c d").blocks.empty());
    CHECK(chainOf(ambiguous, "a b c d").tokens == 4);
}

TEST_CASE("hashes are written as 16 hexadecimal digits")
{
    CHECK(toString(ChainHash { 0xabc }) == "0000000000000abc");
    CHECK(parseChainHash("0000000000000abc") == ChainHash { 0xabc });
    for (const auto* text : { "", "abc", "0000000000000abg", "00000000000000abc", "-000000000000abc" })
        CHECK_FALSE(parseChainHash(text));
}
