#pragma once

/// @file
/// Estimate of the prompt parts that an engine holds.

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestwood {

/// A part of a prompt; requests with the same part share its cache blocks.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

/// Model of an engine's cache: an LRU list of prompt parts, bounded by the engine's memory and by the number of parts. Parts without tokens
/// hold nothing, and parts with ids over 128 bytes are not worth their memory: neither is listed.
class PartCache {
public:
    static constexpr std::size_t defaultMaxParts = 8192;

    /// @param count Most parts that are listed.
    void setMaxParts(std::size_t count);

    /// @param capacityTokens Size of the engine's cache, tokens; 0: unbounded.
    void setCapacity(std::uint64_t capacityTokens);

    /// @return Tokens of the prompt's leading parts that are held.
    std::uint64_t heldTokens(const std::string& scope, const std::vector<PromptPart>& parts) const;

    /// @return Whether all tokens of the part are held.
    bool holds(const std::string& scope, const PromptPart& part) const;

    /// The engine has just prefilled or reused all @p parts.
    void use(const std::string& scope, const std::vector<PromptPart>& parts);

    /// The engine reports that it holds the first @p tokens of a part.
    void add(const std::string& scope, const std::string& id, std::uint32_t tokens);
    /// The engine reports that it holds no more than @p tokens of a part.
    void shrink(const std::string& scope, const std::string& id, std::uint32_t tokens);
    void clear();

    std::size_t size() const { return this->index.size(); }

private:
    struct Entry {
        std::string key;
        std::uint32_t tokens = 0;
    };

    void touch(const std::string& scope, const std::string& id, std::uint32_t tokens);
    void evict();

    std::uint64_t capacity = 0;
    std::size_t maxParts = defaultMaxParts;
    std::uint64_t held = 0;
    std::list<Entry> order; ///< Most recently used first.
    std::unordered_map<std::string_view, std::list<Entry>::iterator> index; ///< By the keys of the entries.
};

} // namespace goldcrestwood
