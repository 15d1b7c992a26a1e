#pragma once

/// @file
/// Which prompt parts lie whole in which store of KV cache.

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

namespace goldcrestwood {

/// A part of which a store says how much it holds; 0 tokens: no more.
struct StoredPart {
    std::string scope;
    std::string id;
    std::uint32_t tokens = 0;

    auto operator<=>(const StoredPart&) const = default;
};

struct PartDirectorySettings {
    /// What was heard of a store counts for so long: a store that restarts may hold the same part half-written.
    Duration knowledgeLifetime = std::chrono::milliseconds(1800);
    /// After a restart nothing is saved for so long, so that no daemon still takes the old contents for whole.
    Duration restartPause = std::chrono::milliseconds(2500);
    /// A store is filled up to this share: what it holds for certain and what is on its way together.
    double fillShare = 0.97;
};

/// Contents of the stores, from their events. A store drops nothing by itself, so what is known to be whole stays whole
/// until the store restarts or the part is freed.
class PartDirectory {
public:
    explicit PartDirectory(PartDirectorySettings directorySettings = {})
        : settings(directorySettings)
    {
    }

    void setStores(const std::vector<CacheStore>& configured);
    std::vector<std::string> addresses() const;

    /// All that a store holds, at a start or after a gap in its events.
    void onListing(const std::string& address, std::uint64_t epoch, const std::vector<StoredPart>& parts, TimePoint now);
    /// @return Whether the events follow on what is known; if not, a listing is needed.
    bool onEvents(const std::string& address, std::uint64_t epoch, const std::vector<StoredPart>& news, TimePoint now);
    /// The store does not answer: nothing is known of it.
    void onSilence(const std::string& address);

    /// @param from Number of the first change that is wanted; 0 for all that is held.
    /// @return What changed since, or all that is held if the changes are not kept any more.
    CacheNews newsSince(std::uint64_t from, TimePoint now) const;
    /// @return Whether the news follows on what is known; if not, all that is held is needed.
    bool applyNews(const CacheNews& news, TimePoint now);

    /// A store that holds a part.
    struct Source {
        std::string address;
        FailureDomain domain;
    };

    /// @return A store that holds the whole part, one in @p near if there is one.
    std::optional<Source> find(const std::string& scope, const PromptPart& part, const FailureDomain& near, TimePoint now) const;

    /// @return Where to save a part that no store holds; nothing if there is no room.
    std::optional<std::string> placeFor(const std::string& scope, const PromptPart& part, TimePoint now) const;

    /// A store does not know who reads from it: a part may be freed only if nobody fetches it any more.
    /// @return Parts in a store whose scope begins with none of @p scopesInUse.
    std::vector<StoredPart> garbage(const std::string& address, const std::vector<std::string>& scopesInUse) const;
    /// @return The epoch of a store that is known, or nothing.
    std::optional<std::uint64_t> epochOf(const std::string& address) const;
    std::uint64_t heldTokens(const std::string& address) const;

private:
    struct Store {
        CacheStore description;
        bool isKnown = false;
        std::uint64_t epoch = 0;
        TimePoint heard;
        std::optional<TimePoint> restarted;
        std::uint64_t tokens = 0;
        std::unordered_map<std::string, std::uint32_t> parts; ///< Tokens by scope and id.
    };

    bool isUsable(const Store& store, TimePoint now) const;
    static void change(Store& store, const StoredPart& part);
    void keepChange(const std::string& address, const StoredPart& part);
    void forgetChanges();
    /// @return Hash of the stores' addresses.
    std::uint64_t layout() const;

    PartDirectorySettings settings;
    std::map<std::string, Store> stores;
    std::deque<CachePartRecord> changes; ///< The latest, the oldest first.
    std::uint64_t firstChange = 1; ///< Number of the first one kept.
};

} // namespace goldcrestwood
