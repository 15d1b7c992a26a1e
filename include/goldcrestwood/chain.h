#pragma once

/// @file
/// Cuts a prompt into cache blocks and hashes them as a chain.

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

/// Identifies a cache block by its tokens, all tokens before it and its scope.
struct ChainHash {
    std::uint64_t value = 0;

    auto operator<=>(const ChainHash&) const = default;
};

/// @return @p hash as 16 hexadecimal digits.
std::string toString(ChainHash hash);

/// @return The hash that @p text writes as 16 hexadecimal digits, or nothing.
std::optional<ChainHash> parseChainHash(std::string_view text);

/// Who may share blocks: chains of different scopes have no block in common.
struct ChainScope {
    ClientAccount account;
    ServiceName service;
    VersionName version;
    std::string tokenizer;

    auto operator<=>(const ChainScope&) const = default;
};

/// @return The seed of all chains of @p scope, or nothing where a name holds a line feed,
/// since two scopes could then have the same seed.
std::optional<ChainHash> scopeHash(const ChainScope& scope);

/// The block hashes of a prompt. Only whole blocks have a hash.
struct PromptChain {
    ChainHash scope;
    std::vector<ChainHash> blocks;
    /// Tokens of the whole prompt, those after the last whole block included.
    std::uint32_t tokens = 0;
    /// Tokens of a block.
    std::uint32_t blockTokens = 0;

    bool operator==(const PromptChain&) const = default;
};

/// @return The key by which a chain's owner is chosen; chains with the same first block share it.
ChainHash ownerKey(const PromptChain& chain);

/// Takes tokens from the front of a text, and says what stands between two in a block's text.
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

/// A token is a word between white space.
struct WhitespaceTokenizer {
    /// @return The next token, which is removed from @p rest; empty at the end.
    std::string_view takeToken(std::string_view& rest) const;
    std::string_view separator() const { return " "; }
};

/// @param blockTokens Tokens of a block; at least 1.
/// @return The chain of @p prompt; it has no blocks where the scope can't be hashed safely.
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
