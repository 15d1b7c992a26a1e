#include "goldcrestwood/chain.h"

#include <algorithm>
#include <charconv>

namespace goldcrestwood {

namespace {

    constexpr std::size_t hexDigits = 16;
    constexpr std::string_view whiteSpace = " \t\r\n\v\f";

} // namespace

std::string toString(ChainHash hash)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(hexDigits, '0');
    for (std::size_t i = 0; i < hexDigits; ++i)
        text[hexDigits - 1 - i] = digits[(hash.value >> (4 * i)) & 0xf];
    return text;
}

std::optional<ChainHash> parseChainHash(std::string_view text)
{
    ChainHash hash;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, hash.value, 16);
    if (text.size() != hexDigits || error != std::errc {} || stop != end)
        return std::nullopt;
    return hash;
}

std::optional<ChainHash> scopeHash(const ChainScope& scope)
{
    std::string text = scope.account.value;
    for (const auto* part : { &scope.service.value, &scope.version.value, &scope.tokenizer }) {
        text += '\n';
        text += *part;
    }
    constexpr auto separators = 3;
    if (std::count(text.begin(), text.end(), '\n') != separators)
        return std::nullopt;
    return ChainHash { stableHash(text) };
}

ChainHash ownerKey(const PromptChain& chain)
{
    return chain.blocks.empty() ? chain.scope : chain.blocks.front();
}

std::string_view WhitespaceTokenizer::takeToken(std::string_view& rest) const
{
    const auto begin = std::min(rest.find_first_not_of(whiteSpace), rest.size());
    const auto end = std::min(rest.find_first_of(whiteSpace, begin), rest.size());
    const auto token = rest.substr(begin, end - begin);
    rest.remove_prefix(end);
    return token;
}

} // namespace goldcrestwood
