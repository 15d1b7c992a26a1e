#pragma once

/// @file
/// The newest record of each key of a log topic, merged from the store and from peers without ever going back.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwood {

/// The newest record of a key; without a value the key was removed.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    auto operator<=>(const KeyedRecord&) const = default;
};

/// Folds records by offset, so that stale reads and slow peers change nothing.
class KeyedFeed {
public:
    /// Whether two values of a key say the same. Load pattern: thousands of upstreams confirm their entries each second, and
    /// peers need hear of few of these.
    using SaysSame = bool (*)(const std::string&, const std::string&);

    explicit KeyedFeed(SaysSame comparison = [](const std::string&, const std::string&) { return false; })
        : saysSame(comparison)
    {
    }

    /// Applies records in any order.
    /// @param readUpTo The records that are known to be complete end before this offset.
    /// @return The records that were news.
    std::vector<KeyedRecord> apply(const std::vector<KeyedRecord>& records, std::uint64_t readUpTo);

    /// Applies a listing of all keys. A key that it lacks is gone, unless it was written after the listing.
    /// @param listedUpTo Where the topic ended when the listing began.
    /// @return The records that were news, removals included.
    std::vector<KeyedRecord> applyListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo);

    /// @return The offset from which to read on.
    std::uint64_t end() const { return this->readTo; }

    /// @return Whether a listing or a peer's records have been applied.
    bool isKnown() const { return this->known; }

    /// @return The records from @p offset on that said something new, and a few that did not; removals included, in order of
    /// their offsets.
    std::vector<KeyedRecord> since(std::uint64_t offset) const;

private:
    std::optional<KeyedRecord> merge(const KeyedRecord& record);

    struct Entry {
        KeyedRecord record;
        std::uint64_t changed = 0; ///< Offset of the last record that is passed on.
        std::uint32_t confirmations = 0; ///< Records since then that said the same.
    };

    SaysSame saysSame;
    std::map<std::string, Entry> newest;
    std::uint64_t readTo = 0;
    bool known = false;
};

} // namespace goldcrestwood
