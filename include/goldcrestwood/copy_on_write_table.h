#pragma once

/// @file
/// A table of named entries whose copies share unchanged entries.

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

/// A value type: copying costs one pointer per bucket, and a change copies the pointers of one bucket.
template <typename Entry>
class CopyOnWriteTable {
public:
    /// An entry with the revision of its last change.
    struct Row {
        std::string key;
        std::uint64_t revision = 0;
        Entry entry;
    };

    /// @return The entry of @p key, or null; valid while an unmodified copy of this table exists.
    const Entry* find(std::string_view key) const
    {
        const auto* row = this->findRow(key);
        return row ? &row->entry : nullptr;
    }

    /// @return The row of @p key, or null.
    const Row* findRow(std::string_view key) const
    {
        const auto& bucket = this->buckets[bucketOf(key)];
        if (!bucket)
            return nullptr;
        const auto position = lowerBound(*bucket, key);
        return position != bucket->end() && (*position)->key == key ? position->get() : nullptr;
    }

    /// Adds or replaces an entry.
    void set(std::string key, Entry entry, std::uint64_t revision)
    {
        auto& bucket = this->buckets[bucketOf(key)];
        auto rows = bucket ? *bucket : Rows();
        const auto position = lowerBound(rows, key);
        const bool exists = position != rows.end() && (*position)->key == key;
        auto row = std::make_shared<const Row>(Row { std::move(key), revision, std::move(entry) });
        if (exists)
            *position = std::move(row);
        else
            rows.insert(position, std::move(row));
        this->count += exists ? 0 : 1;
        bucket = std::make_shared<const Rows>(std::move(rows));
    }

    /// Removes an entry, if present.
    void erase(std::string_view key)
    {
        auto& bucket = this->buckets[bucketOf(key)];
        if (!this->findRow(key))
            return;
        auto rows = *bucket;
        rows.erase(lowerBound(rows, key));
        bucket = std::make_shared<const Rows>(std::move(rows));
        --this->count;
    }

    std::size_t size() const { return this->count; }

    /// Calls @p visit with each Row, in unspecified order.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto& bucket : this->buckets) {
            if (!bucket)
                continue;
            for (const auto& row : *bucket)
                visit(*row);
        }
    }

private:
    using Rows = std::vector<std::shared_ptr<const Row>>;
    static constexpr std::size_t bucketCount = 64;

    static std::size_t bucketOf(std::string_view key) { return stableHash(key) % bucketCount; }

    template <typename Range>
    static auto lowerBound(Range& rows, std::string_view key)
    {
        return std::lower_bound(rows.begin(), rows.end(), key,
            [](const auto& row, std::string_view wanted) { return row->key < wanted; });
    }

    std::array<std::shared_ptr<const Rows>, bucketCount> buckets;
    std::size_t count = 0;
};

} // namespace goldcrestwood
