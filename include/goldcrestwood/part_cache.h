#pragma once

/// @file
/// Which prompt parts an engine most likely still holds.

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestwood {

/// A part of a prompt; requests that share it share its cache blocks.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

/// An engine's cache as a list of parts in order of last use, bounded by the engine's memory.
class PartCache {
public:
    /// @param capacityTokens Tokens of cache the engine holds; 0: unbounded.
    void setCapacity(std::uint64_t capacityTokens);

    /// @return Tokens of the prompt's leading parts that are held.
    std::uint64_t heldTokens(const std::string& scope, const std::vector<PromptPart>& parts) const;

    /// @return Whether the whole part is held.
    bool holds(const std::string& scope, const PromptPart& part) const;

    /// The engine read or used all @p parts now.
    void use(const std::string& scope, const std::vector<PromptPart>& parts);

    /// The engine says that it holds a part, up to @p tokens.
    void add(const std::string& scope, const std::string& id, std::uint32_t tokens);
    /// The engine says that @p tokens of a part are left.
    void shrink(const std::string& scope, const std::string& id, std::uint32_t tokens);
    void clear();

    std::size_t size() const { return this->index.size(); }

private:
    struct Entry {
        std::string key;
        std::uint32_t tokens = 0;
    };

    void touch(const std::string& key, std::uint32_t tokens);
    void evict();

    std::uint64_t capacity = 0;
    std::uint64_t held = 0;
    std::list<Entry> order; ///< The most recently used first.
    std::unordered_map<std::string, std::list<Entry>::iterator> index;
};

} // namespace goldcrestwood
