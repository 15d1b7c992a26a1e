#pragma once

/// @file
/// A hash map of bounded size that evicts the least useful of a few sampled entries.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestwood {

/// When full, an insertion compares the next few entries in round-robin order and evicts the least useful.
/// @tparam Value Has `usefulness()`, which returns an ordered value.
template <typename Key, typename Value>
class SampledMap {
public:
    /// Number of entries that an eviction compares.
    static constexpr std::size_t sampleSize = 8;

    explicit SampledMap(std::size_t maxEntries)
        : capacity(maxEntries)
    {
    }

    std::size_t size() const { return this->entries.size(); }
    std::uint64_t evictions() const { return this->evicted; }

    /// @return The value of @p key, or null. Valid until the next insertion or removal.
    Value* find(const Key& key)
    {
        const auto found = this->places.find(key);
        return found == this->places.end() ? nullptr : &this->entries[found->second].second;
    }

    const Value* find(const Key& key) const
    {
        const auto found = this->places.find(key);
        return found == this->places.end() ? nullptr : &this->entries[found->second].second;
    }

    /// @return The value of @p key, default-constructed if absent.
    Value& at(const Key& key)
    {
        if (auto* value = this->find(key))
            return *value;
        if (this->entries.size() >= this->capacity && !this->entries.empty())
            this->evictOne();
        this->places.emplace(key, this->entries.size());
        return this->entries.emplace_back(key, Value {}).second;
    }

    void erase(const Key& key)
    {
        if (const auto found = this->places.find(key); found != this->places.end())
            this->removeAt(found->second);
    }

    /// Calls @p visit with the key and value of the next @p count entries, in round-robin order.
    template <typename Visit>
    void visitSome(std::size_t count, Visit visit)
    {
        for (std::size_t i = 0; i < count && i < this->entries.size(); ++i) {
            auto& [key, value] = this->entries[this->advance()];
            visit(key, value);
        }
    }

private:
    std::size_t advance()
    {
        this->cursor = (this->cursor + 1) % this->entries.size();
        return this->cursor;
    }

    void evictOne()
    {
        auto worst = this->advance();
        for (std::size_t i = 1; i < sampleSize; ++i) {
            const auto index = this->advance();
            if (this->entries[index].second.usefulness() < this->entries[worst].second.usefulness())
                worst = index;
        }
        this->removeAt(worst);
        ++this->evicted;
    }

    void removeAt(std::size_t index)
    {
        this->places.erase(this->entries[index].first);
        if (index + 1 != this->entries.size()) {
            this->entries[index] = std::move(this->entries.back());
            this->places[this->entries[index].first] = index;
        }
        this->entries.pop_back();
    }

    std::size_t capacity;
    std::size_t cursor = 0;
    std::uint64_t evicted = 0;
    std::vector<std::pair<Key, Value>> entries;
    std::unordered_map<Key, std::size_t> places;
};

} // namespace goldcrestwood
