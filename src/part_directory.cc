#include "goldcrestwood/part_directory.h"

#include <algorithm>
#include <iterator>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    constexpr char separator = '\n';

    std::string keyOf(const std::string& scope, const std::string& id)
    {
        return scope + separator + id;
    }

    /// Retained changes; a daemon that needs older ones gets the full contents.
    constexpr std::size_t maxRetainedChanges = 4000;

    /// Contents of this age have expired everywhere; a larger age would overflow the time from which it is subtracted.
    constexpr std::uint64_t maxReportedAgeMs = 60'000;

} // namespace

void PartDirectory::setStores(const std::vector<CacheStore>& configured)
{
    std::map<std::string, Store> next;
    for (const auto& description : configured) {
        auto& store = next[description.address];
        if (const auto known = this->stores.find(description.address); known != this->stores.end())
            store = std::move(known->second);
        store.description = description;
    }
    const auto before = this->layoutHash();
    this->stores = std::move(next);
    if (this->layoutHash() != before)
        this->discardChanges();
}

std::vector<std::string> PartDirectory::addresses() const
{
    std::vector<std::string> result;
    for (const auto& [address, store] : this->stores)
        result.push_back(address);
    return result;
}

std::uint64_t PartDirectory::layoutHash() const
{
    std::uint64_t result = 0;
    for (const auto& [address, store] : this->stores)
        result = stableHash(address, result);
    return result;
}

void PartDirectory::discardChanges()
{
    // Requests from an earlier sequence number get the full contents.
    this->firstChange += this->changes.size() + 1;
    this->changes.clear();
}

void PartDirectory::recordChange(const std::string& address, const StoredPart& part)
{
    const auto storeIndex = static_cast<std::uint32_t>(std::distance(this->stores.begin(), this->stores.find(address)));
    this->changes.push_back({ storeIndex, part.scope, part.id, part.tokens });
    if (this->changes.size() > maxRetainedChanges) {
        this->changes.pop_front();
        ++this->firstChange;
    }
}

void PartDirectory::applyChange(Store& store, const StoredPart& part)
{
    auto& tokens = store.parts[keyOf(part.scope, part.id)];
    store.tokens += part.tokens;
    store.tokens -= tokens;
    tokens = part.tokens;
    if (tokens == 0)
        store.parts.erase(keyOf(part.scope, part.id));
}

void PartDirectory::onListing(const std::string& address, std::uint64_t epoch, const std::vector<StoredPart>& parts, TimePoint heard)
{
    const auto found = this->stores.find(address);
    if (found == this->stores.end())
        return;
    auto& store = found->second;
    if (!store.epochSince || store.epoch != epoch)
        store.epochSince = heard;
    if (!store.isKnown || store.epoch != epoch)
        store.followedSince = heard;
    store.heard = store.epoch == epoch ? std::max(store.heard, heard) : heard;
    store.isKnown = true;
    store.epoch = epoch;
    store.parts.clear();
    store.tokens = 0;
    for (const auto& part : parts)
        applyChange(store, part);
    this->discardChanges();
}

bool PartDirectory::onEvents(const std::string& address, std::uint64_t epoch, const std::vector<StoredPart>& news, TimePoint heard)
{
    const auto found = this->stores.find(address);
    if (found == this->stores.end())
        return true;
    auto& store = found->second;
    if (!store.isKnown || store.epoch != epoch) {
        store.isKnown = false;
        return false;
    }
    store.heard = std::max(store.heard, heard);
    for (const auto& part : news) {
        applyChange(store, part);
        this->recordChange(address, part);
    }
    return true;
}

void PartDirectory::onUnreachable(const std::string& address)
{
    if (const auto found = this->stores.find(address); found != this->stores.end())
        found->second.isKnown = false;
}

bool PartDirectory::isUsable(const Store& store, TimePoint now) const
{
    return store.isKnown && now - store.heard <= this->settings.contentsLifetime;
}

std::optional<PartDirectory::Source> PartDirectory::find(
    const std::string& scope, const PromptPart& part, const FailureDomain& near, TimePoint now) const
{
    if (this->weightUse.isRetired(scope))
        return std::nullopt;
    const auto key = keyOf(scope, part.id);
    std::optional<Source> result;
    for (const auto& [address, store] : this->stores) {
        if (!this->isUsable(store, now))
            continue;
        const auto held = store.parts.find(key);
        if (held == store.parts.end() || held->second < part.tokens)
            continue;
        result = Source { address, store.description.domain };
        if (store.description.domain == near)
            break;
    }
    return result;
}

std::optional<std::string> PartDirectory::storeFor(const std::string& scope, const PromptPart& part, TimePoint now) const
{
    if (this->weightUse.isRetired(scope))
        return std::nullopt;
    const auto key = keyOf(scope, part.id);
    std::optional<std::string> best;
    double bestScore = 0;
    for (const auto& [address, store] : this->stores) {
        const bool mayHaveJustRestarted = !store.epochSince || now - *store.epochSince < this->settings.restartSaveDelay;
        const auto room = static_cast<double>(store.description.cacheTokens) * this->settings.maxFillShare;
        if (!this->isUsable(store, now) || mayHaveJustRestarted || static_cast<double>(store.tokens + part.tokens) > room)
            continue;
        const auto size = static_cast<double>(std::max<std::uint64_t>(store.description.cacheTokens, 1));
        if (const auto score = weightedScore(stableHash(key), address, size); score > bestScore) {
            bestScore = score;
            best = address;
        }
    }
    return best;
}

std::vector<StoredPart> PartDirectory::obsoleteParts(const std::string& address, TimePoint confirmed, TimePoint now) const
{
    std::vector<StoredPart> result;
    const auto found = this->stores.find(address);
    if (found == this->stores.end() || !this->isUsable(found->second, now) || now - found->second.followedSince < this->weightUse.freeAfter())
        return result;
    for (const auto& [key, tokens] : found->second.parts) {
        if (!this->weightUse.isUnused(key, confirmed))
            continue;
        const auto separatorAt = key.find(separator);
        result.push_back({ key.substr(0, separatorAt), key.substr(separatorAt + 1), tokens });
    }
    return result;
}

std::optional<std::uint64_t> PartDirectory::epochOf(const std::string& address) const
{
    const auto found = this->stores.find(address);
    if (found == this->stores.end() || !found->second.isKnown)
        return std::nullopt;
    return found->second.epoch;
}

std::uint64_t PartDirectory::heldTokens(const std::string& address) const
{
    const auto found = this->stores.find(address);
    return found == this->stores.end() ? 0 : found->second.tokens;
}

CacheNews PartDirectory::changesSince(std::uint64_t from, TimePoint now) const
{
    CacheNews news;
    news.layout = this->layoutHash();
    news.end = this->firstChange + this->changes.size();
    news.isWhole = from < this->firstChange || from > news.end;
    std::uint32_t storeIndex = 0;
    for (const auto& [address, store] : this->stores) {
        const bool isCurrent = this->isUsable(store, now);
        news.epochs.push_back(isCurrent ? store.epoch : 0);
        news.agesMs.push_back(isCurrent ? static_cast<std::uint64_t>((now - store.heard) / std::chrono::milliseconds(1)) : 0);
        if (isCurrent && news.isWhole)
            for (const auto& [key, tokens] : store.parts) {
                const auto separatorAt = key.find(separator);
                news.parts.push_back({ storeIndex, key.substr(0, separatorAt), key.substr(separatorAt + 1), tokens });
            }
        ++storeIndex;
    }
    if (!news.isWhole)
        news.parts.assign(this->changes.begin() + static_cast<std::ptrdiff_t>(from - this->firstChange), this->changes.end());
    return news;
}

bool PartDirectory::applyChanges(const CacheNews& news, TimePoint asked)
{
    if (news.layout != this->layoutHash() || news.epochs.size() != this->stores.size())
        return false;
    std::vector<std::vector<StoredPart>> byStore(this->stores.size());
    for (const auto& part : news.parts)
        if (part.store < byStore.size())
            byStore[part.store].push_back({ part.scope, part.id, part.tokens });
    bool isContinuous = true;
    std::size_t storeIndex = 0;
    for (const auto& address : this->addresses()) {
        const auto epoch = news.epochs[storeIndex];
        // Daemons of an older version send no ages.
        const auto age = storeIndex < news.agesMs.size() ? std::min(news.agesMs[storeIndex], maxReportedAgeMs) : 0;
        const auto heard = asked - std::chrono::milliseconds(age);
        const auto& parts = byStore[storeIndex++];
        if (epoch == 0)
            this->onUnreachable(address);
        else if (news.isWhole)
            this->onListing(address, epoch, parts, heard);
        else
            isContinuous = this->onEvents(address, epoch, parts, heard) && isContinuous;
    }
    return isContinuous;
}

} // namespace goldcrestwood
