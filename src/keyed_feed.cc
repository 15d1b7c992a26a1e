#include "goldcrestwood/keyed_feed.h"

#include <algorithm>
#include <set>

namespace goldcrestwood {

namespace {

    /// One of this many renewals of a key is passed on, which repairs a peer's state that is wrong for another reason.
    constexpr std::uint32_t forwardingInterval = 16;

} // namespace

std::optional<KeyedRecord> KeyedFeed::merge(const KeyedRecord& record)
{
    const auto [position, isNew] = this->newest.try_emplace(record.key, Entry { record, record.offset, 0 });
    if (isNew)
        return record.value ? std::optional(record) : std::nullopt;
    auto& held = position->second;
    if (record.offset <= held.record.offset)
        return std::nullopt;
    const bool isSame = record.value && held.record.value && this->isEquivalent(*record.value, *held.record.value);
    held.record = record;
    held.confirmations = isSame ? held.confirmations + 1 : 0;
    if (!isSame || held.confirmations % forwardingInterval == 0)
        held.lastForwarded = record.offset;
    return record;
}

std::vector<KeyedRecord> KeyedFeed::apply(const std::vector<KeyedRecord>& records, std::uint64_t readUpTo)
{
    std::vector<KeyedRecord> news;
    for (const auto& record : records)
        if (auto changed = this->merge(record))
            news.push_back(std::move(*changed));
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
        held = { removal, removal.offset, 0 };
        news.push_back(removal);
    }
    auto changed = this->apply(records, listedUpTo);
    news.insert(news.end(), changed.begin(), changed.end());
    return news;
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
