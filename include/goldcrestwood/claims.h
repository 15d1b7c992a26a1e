#pragma once

/// @file
/// State of the claims, built from the log: which request may execute a call that must run at most once, and its outcome.

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

/// Bounds of the claim tables; must be equal on all daemons of a site.
struct ClaimTableSettings {
    /// Number of log streams over which the keys are partitioned.
    std::uint32_t shards = 64;
    /// How long a key is kept after its claim, measured in the table's time.
    Duration keyWindow = std::chrono::hours(24);
    /// Maximum step of the table's time per record, so that a writer whose clock is ahead cannot expire all keys at once.
    Duration maxClockStep = std::chrono::seconds(10);
    /// Maximum number of keys in a shard; further claims on new keys have no effect.
    std::size_t maxKeys = 200000;
    /// Maximum number of withdrawn claims kept per shard.
    std::size_t maxWithdrawn = 20000;
    /// Maximum size of a recorded body in bytes; of larger bodies only size and digest are kept.
    std::size_t maxOutcomeBodyBytes = 4096;
};

/// @return A digest of an idempotency key and its scope; different scopes give different digests.
ClaimKey claimKey(const ClientAccount& account, const ServiceName& service, std::string_view idempotencyKey);

/// @return A hash of a request body, to distinguish a repeated request from one with another body.
std::uint64_t claimBodyHash(std::string_view body);

/// @return The shard of a key, counted from 0.
std::uint32_t claimShard(const ClaimKey& key, std::uint32_t shards);

/// @return The name of the log stream of a shard.
std::string claimStream(std::uint32_t shard);

/// Builds the record of a response.
/// @param body The complete response body; of a body above the bound the record keeps only size and digest.
ClaimOutcome makeOutcome(const ClaimKey& key, const ClaimId& id, std::uint32_t status, std::string contentType,
    std::string body, const ClaimTableSettings& settings);

/// The state of one claim stream, built by applying its records in order. The first valid claim on a key holds the key; a
/// withdrawn claim has no effect even if its record is appended after the withdrawal.
class ClaimTable {
public:
    explicit ClaimTable(const ClaimTableSettings& settings);
    ClaimTable(const ClaimTableSettings& settings, const ClaimTableState& state);

    void apply(const ClaimRecord& claim);
    void apply(const ClaimWithdrawal& withdrawal);
    void apply(const ClaimOutcome& outcome);

    /// @param id The claim on @p key to look up.
    /// @param bodyHash Hash of the request body of this claim.
    /// @return The verdict on @p id, or nothing if the key is free for it.
    std::optional<ClaimReply> reply(const ClaimKey& key, const ClaimId& id, std::uint64_t bodyHash) const;

    /// @return Whether claims on new keys are ignored because the table is full.
    bool isFull() const { return this->entries.size() >= this->settings.maxKeys; }

    /// @return Number of keys in the table.
    std::size_t size() const { return this->entries.size(); }

    /// @return The state, for a snapshot.
    ClaimTableState state() const;

private:
    struct Entry {
        ClaimId holder;
        std::uint64_t bodyHash = 0;
        Duration since = Duration(0);
        std::string outcome; ///< Encoded without key and id, to save memory; empty if there is none.
        bool isAnswered = false;
    };

    struct KeyHash {
        std::size_t operator()(const ClaimKey& key) const { return key.low; }
    };

    struct IdHash {
        std::size_t operator()(const ClaimId& id) const;
    };

    struct KeyAge {
        Duration since = Duration(0);
        ClaimKey key;
    };

    void advanceTime(Duration at);
    static std::optional<ClaimOutcome> outcomeOf(const ClaimKey& key, const Entry& entry);
    static void setOutcome(Entry& entry, ClaimOutcome outcome);

    ClaimTableSettings settings;
    Duration tableTime = Duration(0);
    std::unordered_map<ClaimKey, Entry, KeyHash> entries;
    std::deque<KeyAge> keysByAge;
    std::unordered_set<ClaimId, IdHash> withdrawnIds;
    std::deque<ClaimMark> withdrawn;
};

} // namespace goldcrestwood
