#include "goldcrestwood/keyed_feed.h"

#include <algorithm>
#include <set>

#include "goldcrestwood/log_position.h"

namespace goldcrestwood {

namespace {

    /// One of this many renewals of a key is passed on, which repairs a peer's state that is wrong for another reason.
    constexpr std::uint32_t forwardingInterval = 16;
    /// After this many consecutive lower revisions a writer has begun to count anew. Far more than the writes of an upstream that the
    /// store carries out seconds late.
    constexpr std::uint32_t minRecountedWrites = 12;

} // namespace

KeyedFeed::Revision KeyedFeed::revisionIn(const KeyedRecord& record) const
{
    return record.value ? this->revisionOf(record.key, *record.value) : std::nullopt;
}

KeyedFeed::Revision KeyedFeed::lastRevision(Entry& entry) const
{
    if (!entry.revision)
        entry.revision = this->revisionIn(entry.record);
    return *entry.revision ? *entry.revision : entry.record.replaced;
}

bool KeyedFeed::countsAnew(Entry& entry, const KeyedRecord& record, const KeyRevision& revision)
{
    auto& older = entry.older;
    if (record.offset <= std::max(entry.record.offset, older.offset))
        return false;
    const bool continues = older.writes > 0 && older.revision.first == revision.first && older.revision.second < revision.second;
    older = { record.offset, revision, continues ? older.writes + 1 : 1 };
    return older.writes >= minRecountedWrites;
}

bool KeyedFeed::outlives(const KeyRevision& revision, std::uint64_t offset, const KeyedRecord& removal)
{
    if (revision != *removal.replaced)
        return revision > *removal.replaced;
    return offset > removal.offset && logEra(offset) == logEra(removal.offset);
}

bool KeyedFeed::supersedes(Entry& entry, const KeyedRecord& record, const Revision& revision) const
{
    const auto& held = entry.record;
    const auto last = this->lastRevision(entry);
    if (!revision) {
        const bool isRemovalOfOlder = !record.value && record.replaced && held.value && last && !outlives(*last, held.offset, record);
        return record.offset > held.offset || isRemovalOfOlder;
    }
    if (!last)
        return record.offset > held.offset;
    const bool isNewer = held.value ? std::pair(*revision, record.offset) > std::pair(*last, held.offset) : outlives(*revision, record.offset, held);
    return isNewer || (*revision < *last && countsAnew(entry, record, *revision));
}

void KeyedFeed::replace(Entry& entry, const KeyedRecord& record, const Revision& revision) const
{
    // Only a removal or an unreadable value leaves a later record with nothing to be compared to.
    const auto replaced = revision ? std::nullopt : std::max(this->lastRevision(entry), record.replaced);
    entry.record = record;
    entry.record.replaced = replaced;
    entry.revision = revision;
    entry.older = {};
    entry.removalSeen.reset();
}

std::optional<KeyedRecord> KeyedFeed::merge(const KeyedRecord& record, std::uint64_t forwardFrom)
{
    auto forwarded = std::max(record.offset, forwardFrom);
    const auto [position, isNew] = this->newest.try_emplace(record.key, Entry { record, forwarded, 0, {}, {}, {} });
    if (isNew)
        return record.value ? std::optional(record) : std::nullopt;
    auto& held = position->second;
    const bool isSame = record.value && held.record.value && this->isEquivalent(*record.value, *held.record.value);
    // Most records are renewals, whose revisions are not worth reading: their order does not matter.
    if (isSame && logEra(record.offset) == logEra(held.record.offset)) {
        if (record.offset <= held.record.offset)
            return std::nullopt;
        held.record = record;
        held.revision.reset();
        held.older = {};
    } else {
        const auto revision = this->revisionIn(record);
        if (!this->supersedes(held, record, revision)) {
            if (!record.value && !held.record.value)
                held.record.replaced = std::max(held.record.replaced, record.replaced);
            return std::nullopt;
        }
        // Peers have read beyond the record that this one replaces.
        if (record.offset < held.record.offset)
            forwarded = std::max(forwarded, this->nextOffset);
        this->replace(held, record, revision);
    }
    held.confirmations = isSame ? held.confirmations + 1 : 0;
    if (!isSame || held.confirmations % forwardingInterval == 0)
        held.lastForwarded = std::max(held.lastForwarded, forwarded);
    return record;
}

std::vector<KeyedRecord> KeyedFeed::mergeAll(const std::vector<KeyedRecord>& records, std::uint64_t forwardFrom)
{
    std::vector<KeyedRecord> news;
    for (const auto& record : records)
        if (auto changed = this->merge(record, forwardFrom))
            news.push_back(std::move(*changed));
    return news;
}

std::vector<KeyedRecord> KeyedFeed::apply(const std::vector<KeyedRecord>& records, std::uint64_t readUpTo)
{
    std::vector<KeyedRecord> news;
    for (const auto& record : records)
        if (!this->wasGoneWhenListed(record))
            if (auto changed = this->merge(record, 0))
                news.push_back(std::move(*changed));
    if (!this->known)
        this->removalsFrom = readUpTo;
    this->nextOffset = std::max(this->nextOffset, readUpTo);
    this->known = true;
    return news;
}

std::vector<KeyedRecord> KeyedFeed::applyListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo)
{
    std::set<std::string> listed;
    for (const auto& record : records)
        listed.insert(record.key);
    std::vector<KeyedRecord> removals;
    for (const auto& [key, held] : this->newest)
        if (held.record.value && held.record.offset < listedUpTo && !listed.contains(key))
            removals.push_back({ key, std::nullopt, listedUpTo - 1 });
    // A removal may have the same offset as the key's record, which merge() would ignore; the entry is replaced directly.
    std::vector<KeyedRecord> news;
    for (auto& removal : removals) {
        auto& held = this->newest[removal.key];
        removal.offset = std::max(removal.offset, held.record.offset);
        this->replace(held, removal, std::nullopt);
        held.lastForwarded = std::max(removal.offset, this->nextOffset);
        held.confirmations = 0;
        news.push_back(removal);
    }
    auto changed = this->mergeAll(records, this->nextOffset);
    this->apply({}, listedUpTo);
    this->removalsFrom = std::max(this->removalsFrom, listedUpTo);
    this->lastListing = std::max(this->lastListing, listedUpTo);
    news.insert(news.end(), changed.begin(), changed.end());
    return news;
}

std::vector<KeyedRecord> KeyedFeed::applyRestoredListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo)
{
    std::vector<KeyedRecord> comparable;
    for (const auto& record : records)
        if (const auto held = this->newest.find(record.key); held == this->newest.end() || (this->revisionIn(record) && this->revisionIn(held->second.record)))
            comparable.push_back(record);
    auto news = this->mergeAll(comparable, this->nextOffset);
    this->apply({}, listedUpTo);
    this->removalsFrom = std::max(this->removalsFrom, listedUpTo);
    return news;
}

bool KeyedFeed::hasRecordBefore(std::uint64_t position) const
{
    return std::any_of(this->newest.begin(), this->newest.end(), [&](const auto& entry) { return entry.second.record.value && entry.second.record.offset < position; });
}

std::vector<KeyedRecord> KeyedFeed::since(std::uint64_t offset) const
{
    std::vector<KeyedRecord> result;
    for (const auto& [key, held] : this->newest)
        if (held.lastForwarded >= offset)
            result.push_back(held.record);
    std::sort(result.begin(), result.end(),
        [](const auto& left, const auto& right) { return left.offset < right.offset; });
    return result;
}

bool KeyedFeed::wasGoneWhenListed(const KeyedRecord& record) const
{
    return record.value && record.offset < this->lastListing && logEra(record.offset) == logEra(this->lastListing) && !this->newest.contains(record.key);
}

bool KeyedFeed::lacksRemovalsSince(std::uint64_t offset) const
{
    return offset > 0 && offset < this->removalsFrom && logEra(offset) == logEra(this->nextOffset);
}

std::vector<KeyedRecord> KeyedFeed::removals() const
{
    std::vector<KeyedRecord> result;
    for (const auto& [key, held] : this->newest)
        if (!held.record.value)
            result.push_back(held.record);
    return result;
}

void KeyedFeed::forgetRemovals(TimePoint now, Duration lifetime)
{
    for (auto position = this->newest.begin(); position != this->newest.end();) {
        auto& held = position->second;
        if (!held.record.value && !held.removalSeen)
            held.removalSeen = now;
        const bool isForgotten = held.removalSeen && now - *held.removalSeen > lifetime;
        if (isForgotten)
            this->removalsFrom = std::max(this->removalsFrom, held.lastForwarded + 1);
        position = isForgotten ? this->newest.erase(position) : std::next(position);
    }
}

} // namespace goldcrestwood
