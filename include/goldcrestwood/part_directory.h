#pragma once

/// @file
/// Directory of the prompt parts that each KV cache store holds completely.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/part_cache.h"
#include "goldcrestwood/time.h"
#include "goldcrestwood/traffic.h"
#include "goldcrestwood/weight_use.h"

namespace goldcrestwood {

/// How much of a part a store reports to hold; 0 tokens: it was freed.
struct StoredPart {
    std::string scope;
    std::string id;
    std::uint32_t tokens = 0;

    auto operator<=>(const StoredPart&) const = default;
};

struct PartDirectorySettings {
    /// How long a store's contents stay valid without news of it: after a restart it may hold the same part half-written.
    Duration contentsLifetime = std::chrono::milliseconds(1800);
    /// How long nothing is saved to a store whose epoch is new to this daemon, so that no daemon still takes the contents before
    /// a restart for complete. A daemon that has just started cannot tell whether the store has restarted.
    Duration restartSaveDelay = std::chrono::milliseconds(2500);
    /// Share of a store's capacity that its known and incoming parts together may fill.
    double maxFillShare = 0.97;
};

/// Contents of the stores, from their events. A store evicts nothing by itself, so a complete part stays complete until
/// the store restarts or the part is freed.
class PartDirectory {
public:
    explicit PartDirectory(PartDirectorySettings directorySettings = {})
        : settings(directorySettings)
    {
    }

    void setStores(const std::vector<CacheStore>& configured);
    std::vector<std::string> addresses() const;

    /// Replaces the contents of a store, at startup or after a gap in its events.
    /// @param heard When the store had these contents.
    void onListing(const std::string& address, std::uint64_t epoch, const std::vector<StoredPart>& parts, TimePoint heard);
    /// @param heard When the store had reported these events.
    /// @return Whether the events continue the known contents; if not, a listing is needed.
    bool onEvents(const std::string& address, std::uint64_t epoch, const std::vector<StoredPart>& news, TimePoint heard);
    /// The store does not answer; its contents become unknown.
    void onUnreachable(const std::string& address);

    /// @param from Sequence number of the first change to return; 0 for the full contents.
    /// @return The changes since @p from, or the full contents if these changes are no longer retained.
    CacheNews changesSince(std::uint64_t from, TimePoint now) const;
    /// @param asked When the news were requested. Contents expire as they do at the daemon that sent the news: a lifetime that began
    /// anew with each daemon that passes them on would outlast the time after which a restarted store is filled again.
    /// @return Whether the changes continue the known contents; if not, the full contents are needed.
    bool applyChanges(const CacheNews& news, TimePoint asked);

    /// Location of a part.
    struct Source {
        std::string address;
        FailureDomain domain;
    };

    /// @return A store that holds the whole part, preferably in @p near.
    std::optional<Source> find(const std::string& scope, const PromptPart& part, const FailureDomain& near, TimePoint now) const;

    /// @return The store to save a part in that no store holds; nothing if none has room.
    std::optional<std::string> storeFor(const std::string& scope, const PromptPart& part, TimePoint now) const;

    /// Takes the weight versions of all known engines; call a few times a second.
    void onWeights(const WeightVersions& versions, TimePoint now) { this->weightUse.onView(versions, now); }
    /// @return How long weights must be unused before their blocks are freed.
    Duration freeAfter() const { return this->weightUse.freeAfter(); }

    /// Lists parts that can be freed. A store does not know its readers, so a part may be freed only if no daemon fetches it.
    /// @param confirmed Time for which the weight versions are known to be complete.
    /// @return Parts of unused weights in a store. None while the store was followed for a short time only: after a partition,
    /// daemons on its side may still use weights that all others have replaced.
    std::vector<StoredPart> obsoleteParts(const std::string& address, TimePoint confirmed, TimePoint now) const;
    /// @return The epoch of a store, or nothing if its contents are unknown.
    std::optional<std::uint64_t> epochOf(const std::string& address) const;
    std::uint64_t heldTokens(const std::string& address) const;

private:
    struct Store {
        CacheStore description;
        bool isKnown = false;
        std::uint64_t epoch = 0;
        TimePoint heard;
        TimePoint followedSince; ///< Since when the contents are known without a break.
        std::optional<TimePoint> epochSince; ///< When the present epoch was first seen.
        std::uint64_t tokens = 0;
        std::unordered_map<std::string, std::uint32_t> parts; ///< Tokens by scope and part id.
    };

    bool isUsable(const Store& store, TimePoint now) const;
    static void applyChange(Store& store, const StoredPart& part);
    void recordChange(const std::string& address, const StoredPart& part);
    void discardChanges();
    /// @return Hash of the stores' addresses.
    std::uint64_t layoutHash() const;

    PartDirectorySettings settings;
    WeightUse weightUse;
    std::map<std::string, Store> stores;
    std::deque<CachePartRecord> changes; ///< Retained changes, oldest first.
    std::uint64_t firstChange = 1; ///< Sequence number of the oldest retained change.
};

} // namespace goldcrestwood
