#pragma once

/// @file
/// Keeps the newest record per key of a log topic, merged from the store and from peers; a key never reverts to an older record.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwood {

/// The newest record of a key; no value means that the key was removed.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    auto operator<=>(const KeyedRecord&) const = default;
};

/// Merges records by offset, so that stale reads and slow peers have no effect.
class KeyedFeed {
public:
    /// Whether two values of a key are equivalent. Load pattern: thousands of upstreams renew their entries each second, and
    /// only a few of these renewals need to reach peers.
    using IsEquivalent = bool (*)(const std::string&, const std::string&);

    explicit KeyedFeed(IsEquivalent comparison = [](const std::string&, const std::string&) { return false; })
        : isEquivalent(comparison)
    {
    }

    /// Applies records in any order.
    /// @param readUpTo All records before this offset are known to have been read.
    /// @return The records that were newer than those held.
    std::vector<KeyedRecord> apply(const std::vector<KeyedRecord>& records, std::uint64_t readUpTo);

    /// Applies a listing of all keys. A key missing from it is removed, unless it was written after the listing.
    /// @param listedUpTo End offset of the topic when the listing began.
    /// @return The records that were newer than those held, including removals.
    std::vector<KeyedRecord> applyListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo);

    /// @return The offset to read from next.
    std::uint64_t end() const { return this->nextOffset; }

    /// @return Whether a listing or a peer's records have been applied.
    bool isKnown() const { return this->known; }

    /// @return The changes from @p offset on, including removals and a sample of the unchanged renewals, ordered by offset.
    std::vector<KeyedRecord> since(std::uint64_t offset) const;

private:
    std::optional<KeyedRecord> merge(const KeyedRecord& record);

    struct Entry {
        KeyedRecord record;
        std::uint64_t lastForwarded = 0; ///< Offset of the last record to pass on to peers.
        std::uint32_t confirmations = 0; ///< Equivalent records since the last change.
    };

    IsEquivalent isEquivalent;
    std::map<std::string, Entry> newest;
    std::uint64_t nextOffset = 0;
    bool known = false;
};

} // namespace goldcrestwood
