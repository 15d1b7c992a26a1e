#include "goldcrestwood/keyed_feed.h"

#include <algorithm>
#include <set>

#include "goldcrestwood/log_position.h"

namespace goldcrestwood {

namespace {

    /// One of this many renewals of a key is passed on, which repairs a peer's state that is wrong for another reason.
    constexpr std::uint32_t forwardingInterval = 16;

} // namespace

std::optional<std::strong_ordering> KeyedFeed::compareRevisions(const KeyedRecord& left, const KeyedRecord& right) const
{
    if (!left.value || !right.value)
        return std::nullopt;
    const auto leftRevision = this->revisionOf(left.key, *left.value);
    const auto rightRevision = this->revisionOf(right.key, *right.value);
    if (!leftRevision || !rightRevision)
        return std::nullopt;
    return *leftRevision <=> *rightRevision;
}

bool KeyedFeed::isNewer(const KeyedRecord& record, const KeyedRecord& held) const
{
    if (logEra(record.offset) != logEra(held.offset))
        if (const auto order = this->compareRevisions(record, held); order && *order != std::strong_ordering::equal)
            return *order == std::strong_ordering::greater;
    return record.offset > held.offset;
}

std::optional<KeyedRecord> KeyedFeed::merge(const KeyedRecord& record, std::uint64_t forwardFrom)
{
    const auto forwarded = std::max(record.offset, forwardFrom);
    const auto [position, isNew] = this->newest.try_emplace(record.key, Entry { record, forwarded, 0 });
    if (isNew)
        return record.value ? std::optional(record) : std::nullopt;
    auto& held = position->second;
    if (!this->isNewer(record, held.record))
        return std::nullopt;
    const bool isSame = record.value && held.record.value && this->isEquivalent(*record.value, *held.record.value);
    held.record = record;
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
    auto news = this->mergeAll(records, 0);
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
        held = { removal, std::max(removal.offset, this->nextOffset), 0 };
        news.push_back(removal);
    }
    auto changed = this->mergeAll(records, this->nextOffset);
    this->apply({}, listedUpTo);
    news.insert(news.end(), changed.begin(), changed.end());
    return news;
}

std::vector<KeyedRecord> KeyedFeed::applyRestoredListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo)
{
    std::vector<KeyedRecord> comparable;
    for (const auto& record : records)
        if (const auto held = this->newest.find(record.key); held == this->newest.end() || this->compareRevisions(record, held->second.record))
            comparable.push_back(record);
    auto news = this->mergeAll(comparable, this->nextOffset);
    this->apply({}, listedUpTo);
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

} // namespace goldcrestwood
