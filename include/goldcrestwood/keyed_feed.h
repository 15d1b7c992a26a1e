#pragma once

/// @file
/// Keeps the newest record per key of a log topic, merged from the store and from peers; a key never reverts to an older record,
/// also if the store carries out a write late or returns from an older copy of its data.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// A number that the writer of a key raises with each change, in two parts; of two values the one with the higher number is newer.
using KeyRevision = std::pair<std::uint64_t, std::uint64_t>;

/// The newest record of a key; no value means that the key was removed.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0; ///< Position in the topic (see log_position.h).
    std::optional<KeyRevision> replaced {}; ///< Of a record without a revision: the highest one that the key had before, if known.

    auto operator<=>(const KeyedRecord&) const = default;
};

/// Merges records so that stale reads and slow peers have no effect: by the revision that a key's writer counts, else by position.
class KeyedFeed {
public:
    /// Whether two values of a key are equivalent. Load pattern: thousands of upstreams renew their entries each second, and
    /// only a few of these renewals need to reach peers.
    using IsEquivalent = bool (*)(const std::string&, const std::string&);
    using Revision = std::optional<KeyRevision>;
    /// @return The revision of a key's value, or nothing if the writer does not count its changes.
    using RevisionOf = Revision (*)(const std::string& key, const std::string& value);

    /// Treats each record as a change.
    static bool isNeverEquivalent(const std::string& /*left*/, const std::string& /*right*/) { return false; }
    /// For writers that do not count their changes.
    static Revision noRevision(const std::string& /*key*/, const std::string& /*value*/) { return std::nullopt; }

    explicit KeyedFeed(IsEquivalent comparison = &isNeverEquivalent, RevisionOf revision = &noRevision)
        : isEquivalent(comparison)
        , revisionOf(revision)
    {
    }

    /// Applies records in any order.
    /// @param readUpTo All records before this offset are known to have been read.
    /// @return The records that were newer than those held.
    std::vector<KeyedRecord> apply(const std::vector<KeyedRecord>& records, std::uint64_t readUpTo);

    /// Applies a listing of all keys. A key missing from it is removed, unless it was written after the listing.
    /// @param listedUpTo End of the topic when the listing began.
    /// @return The records that were newer than those held, including removals.
    std::vector<KeyedRecord> applyListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo);

    /// Applies a listing of a store that has just returned from an older copy of its data. What the writers wrote since the copy
    /// is missing until they have written it again, so a key that is held keeps its value unless the listed one has a higher revision.
    /// @return The records that were newer than those held.
    std::vector<KeyedRecord> applyRestoredListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo);

    /// @return The position to read from next.
    std::uint64_t end() const { return this->nextOffset; }

    /// @return Whether a key's record was written before @p position.
    bool hasRecordBefore(std::uint64_t position) const;

    /// @return Whether a listing or a peer's records have been applied.
    bool isKnown() const { return this->known; }

    /// @return The changes from @p offset on, including removals and a sample of the unchanged renewals, ordered by position.
    std::vector<KeyedRecord> since(std::uint64_t offset) const;

    /// @return The removed keys. A daemon that starts later needs them to recognize what the store writes late.
    std::vector<KeyedRecord> removals() const;

    /// Forgets the keys whose removal was first seen here longer ago than @p lifetime.
    void forgetRemovals(TimePoint now, Duration lifetime);

    /// @return Whether since(@p offset) may lack removals: those from before a listing was never seen, or they have been forgotten. Then
    /// only a listing tells what is gone. Not after a return of the store: the reader's own listing tells what that has lost.
    bool lacksRemovalsSince(std::uint64_t offset) const;

private:
    /// @param forwardFrom Lowest position at which a change is passed on: peers have read further than a listed record's position.
    std::optional<KeyedRecord> merge(const KeyedRecord& record, std::uint64_t forwardFrom);
    std::vector<KeyedRecord> mergeAll(const std::vector<KeyedRecord>& records, std::uint64_t forwardFrom);
    /// @return Whether @p record has a key that a later listing lacked, so that it has been removed since. A store that has returned from
    /// an older copy may have lost the key instead.
    bool wasGoneWhenListed(const KeyedRecord& record) const;
    /// @return The revision of a record's value, or nothing if it has none.
    Revision revisionIn(const KeyedRecord& record) const;

    /// Consecutive records of a key whose revisions are lower than one before.
    struct OlderWrites {
        std::uint64_t offset = 0; ///< Position of the last one.
        KeyRevision revision;
        std::uint32_t writes = 0;
    };

    struct Entry {
        KeyedRecord record;
        std::uint64_t lastForwarded = 0; ///< Position of the last record to pass on to peers.
        std::uint32_t confirmations = 0; ///< Equivalent records since the last change.
        std::optional<Revision> revision; ///< Of the record, once it has been read.
        OlderWrites older;
        std::optional<TimePoint> removalSeen; ///< When forgetRemovals() first found the key removed.
    };

    /// @return The revision of the last value in @p entry that had one, also after the key's removal.
    Revision lastRevision(Entry& entry) const;

    /// Positions do not tell the older of two values: the store may carry out a write seconds late, also after the key's removal, and
    /// after a return from a copy what was lost is written again in its old order.
    /// @return Whether @p record, with @p revision, is newer than the one held in @p entry, which counts the older ones.
    bool supersedes(Entry& entry, const KeyedRecord& record, const Revision& revision) const;
    /// @return Whether a value with @p revision at @p offset was written after the removal in @p removal. The same revision may be
    /// that of another write, but a store that returns from an older copy of its data brings back a value that was removed.
    static bool outlives(const KeyRevision& revision, std::uint64_t offset, const KeyedRecord& removal);
    /// Holds @p record, with @p revision, and remembers the last revision if it has none.
    void replace(Entry& entry, const KeyedRecord& record, const Revision& revision) const;
    /// Keeps a writer whose clock has gone back, or an odd record with a huge revision, from blocking a key for good.
    /// @return Whether @p record, with a lower revision, is one of many that the key's writer has counted up from there.
    static bool countsAnew(Entry& entry, const KeyedRecord& record, const KeyRevision& revision);

    IsEquivalent isEquivalent;
    RevisionOf revisionOf;
    std::map<std::string, Entry> newest;
    std::uint64_t nextOffset = 0;
    std::uint64_t removalsFrom = 0; ///< Lowest position from which all removals are held.
    std::uint64_t lastListing = 0; ///< End of the topic when the last listing began.
    bool known = false;
};

} // namespace goldcrestwood
