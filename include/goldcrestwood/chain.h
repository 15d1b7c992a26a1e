#pragma once

/// @file
/// Splits a prompt into cache blocks and computes their chained hashes.

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestwood/hash.h"
#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// Identifies a cache block by its tokens, all preceding tokens and its scope.
struct ChainHash {
    std::uint64_t value = 0;

    auto operator<=>(const ChainHash&) const = default;
};

/// @return @p hash as 16 hexadecimal digits.
std::string toString(ChainHash hash);

/// @return The hash written in @p text as 16 hexadecimal digits, or nothing if @p text has another form.
std::optional<ChainHash> parseChainHash(std::string_view text);

/// The scope within which blocks may be shared: chains of different scopes have no block in common.
struct ChainScope {
    ClientAccount account;
    ServiceName service;
    VersionName version;
    std::string tokenizer;

    auto operator<=>(const ChainScope&) const = default;
};

/// @return The seed of all chains of @p scope, or nothing if a name contains a line feed, since two scopes could then have the
/// same seed.
std::optional<ChainHash> scopeHash(const ChainScope& scope);

/// The block hashes of a prompt. Only complete blocks have a hash.
struct PromptChain {
    ChainHash scope;
    std::vector<ChainHash> blocks;
    /// Number of tokens of the whole prompt, including those after the last complete block.
    std::uint32_t tokens = 0;
    /// Number of tokens in a block.
    std::uint32_t blockTokens = 0;

    bool operator==(const PromptChain&) const = default;
};

/// @return The key that determines the owner of a chain; chains with the same first block have the same key.
ChainHash ownerKey(const PromptChain& chain);

/// Takes tokens from the front of a text, and defines the separator between tokens in the text of a block.
template <typename T>
concept Tokenizer = requires(const T& tokenizer, std::string_view& rest)
{
    {
        tokenizer.takeToken(rest)
        } -> std::same_as<std::string_view>;
    {
        tokenizer.separator()
        } -> std::same_as<std::string_view>;
};

/// Splits a text into tokens at white space.
struct WhitespaceTokenizer {
    /// @return The next token, which is removed from @p rest; empty at the end.
    std::string_view takeToken(std::string_view& rest) const;
    std::string_view separator() const { return " "; }
};

/// @param blockTokens Number of tokens in a block; at least 1.
/// @return The chain of @p prompt; it has no blocks if the scope has no hash.
template <Tokenizer T>
PromptChain makeChain(const T& tokenizer, const ChainScope& scope, std::string_view prompt, std::uint32_t blockTokens)
{
    const auto seed = scopeHash(scope);
    PromptChain chain { seed.value_or(ChainHash {}), {}, 0, blockTokens };
    auto previous = chain.scope;
    std::string block;
    for (auto token = tokenizer.takeToken(prompt); !token.empty(); token = tokenizer.takeToken(prompt)) {
        if (chain.tokens % blockTokens != 0)
            block += tokenizer.separator();
        block += token;
        ++chain.tokens;
        if (chain.tokens % blockTokens != 0)
            continue;
        previous = ChainHash { stableHash(block, previous.value) };
        block.clear();
        if (seed)
            chain.blocks.push_back(previous);
    }
    return chain;
}

} // namespace goldcrestwood

template <>
struct std::hash<goldcrestwood::ChainHash> {
    std::size_t operator()(goldcrestwood::ChainHash key) const noexcept { return key.value; }
};
