#pragma once

/// @file
/// The fold of claims: which request may execute a call that must run at most once, and how it ended.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "goldcrestwood/journal_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Bounds of the claim folds; equal on all daemons of a site.
struct ClaimTableSettings {
    /// Log streams that the keys are spread over.
    std::uint32_t shards = 64;
    /// How long a key is remembered after its claim, in time of the fold.
    Duration keyWindow = std::chrono::hours(24);
    /// The time of the fold advances by at most this much with each record, so that a writer whose clock is ahead
    /// cannot expire the keys at once.
    Duration clockStep = std::chrono::seconds(10);
    /// Keys of one shard at most; a claim on a new key beyond it is dead.
    std::size_t keys = 200000;
    /// Withdrawn claims of one shard that are remembered at most.
    std::size_t withdrawn = 20000;
    /// Bytes of a recorded body at most; of a larger one only size and digest are kept.
    std::size_t outcomeBody = 4096;
};

/// @return A digest of the scope of an idempotency key; different scopes have different digests.
ClaimKey claimKey(const ClientAccount& account, const ServiceName& service, std::string_view idempotencyKey);

/// @return A hash of a request body, to tell another body from a repeat.
std::uint64_t claimBodyHash(std::string_view body);

/// @return The shard of a key, from 0.
std::uint32_t claimShard(const ClaimKey& key, std::uint32_t shards);

/// @return The name of the log stream of a shard.
std::string claimStream(std::uint32_t shard);

/// Builds the record of an answer.
/// @param body The whole answer; beyond the bound the record keeps only its size and digest.
ClaimOutcome makeOutcome(const ClaimKey& key, const ClaimId& id, std::uint32_t status, std::string contentType,
    std::string body, const ClaimTableSettings& settings);

/// The fold of one claim stream. The first live claim of a key holds it; a withdrawn claim is dead even if it lands later.
class ClaimTable {
public:
    explicit ClaimTable(const ClaimTableSettings& settings);
    ClaimTable(const ClaimTableSettings& settings, const ClaimTableState& state);

    void apply(const ClaimRecord& claim);
    void apply(const ClaimWithdrawal& withdrawal);
    void apply(const ClaimOutcome& outcome);

    /// @param key What is asked about.
    /// @param id The claim that asks.
    /// @param bodyHash Hash of its body.
    /// @return How @p id stands; nothing if the key is free for it.
    std::optional<ClaimReply> reply(const ClaimKey& key, const ClaimId& id, std::uint64_t bodyHash) const;

    /// @return Whether a claim on a new key would be dead for want of room.
    bool isFull() const { return this->entries.size() >= this->settings.keys; }

    /// @return Keys remembered.
    std::size_t size() const { return this->entries.size(); }

    /// @return The fold for a snapshot.
    ClaimTableState state() const;

private:
    struct Entry {
        ClaimId holder;
        std::uint64_t bodyHash = 0;
        Duration since = Duration(0);
        std::string outcome; ///< Encoded without key and id, which take most of its memory; empty if there is none.
        bool isAnswered = false;
    };

    struct KeyHash {
        std::size_t operator()(const ClaimKey& key) const { return key.low; }
    };

    struct IdHash {
        std::size_t operator()(const ClaimId& id) const;
    };

    struct Aged {
        Duration since = Duration(0);
        ClaimKey key;
    };

    void advance(Duration at);
    static std::optional<ClaimOutcome> outcomeOf(const ClaimKey& key, const Entry& entry);
    static void setOutcome(Entry& entry, ClaimOutcome outcome);

    ClaimTableSettings settings;
    Duration time = Duration(0);
    std::unordered_map<ClaimKey, Entry, KeyHash> entries;
    std::deque<Aged> ages;
    std::unordered_set<ClaimId, IdHash> withdrawnIds;
    std::deque<ClaimMark> withdrawn;
};

} // namespace goldcrestwood
