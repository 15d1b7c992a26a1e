#pragma once

/// @file
/// Estimates for each client account how often and after which gap its prompts return.

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "goldcrestwood/chain.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/sampled_map.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct ReturnHistorySettings {
    /// Maximum remembered prompts, keyed by their last block.
    std::size_t maxPrompts = 16384;
    /// Maximum remembered accounts.
    std::size_t maxAccounts = 2048;
    /// Factor by which an account's earlier observations decay with each new one.
    double decay = 0.995;
    /// Prior return probability of an account without observations.
    double initialChance = 0.2;
    /// Weight of the prior, in observations.
    double initialWeight = 4;
};

/// The return of an earlier prompt.
struct PromptReturn {
    Duration gap = Duration(0);
    /// Blocks of the earlier prompt; the new one starts with them.
    std::uint32_t sharedBlocks = 0;

    bool operator==(const PromptReturn&) const = default;
};

/// Decayed return statistics by account. Gaps are counted in buckets whose bounds double, starting at one second.
class ReturnHistory {
public:
    static constexpr std::size_t gapBuckets = 24;

    explicit ReturnHistory(const ReturnHistorySettings& initialSettings = {});

    /// Records a prompt.
    /// @return The return, if the prompt continues or repeats a remembered one.
    std::optional<PromptReturn> observe(const ClientAccount& account, const std::vector<ChainHash>& chain, TimePoint now);

    /// @return Probability that a prompt of @p account ever returns.
    double returnChance(const ClientAccount& account) const;

    /// @return Probability that a prompt last seen @p elapsed ago returns within @p horizon.
    double chanceWithin(const ClientAccount& account, Duration elapsed, Duration horizon) const;

private:
    struct Prompt {
        TimePoint lastSeen;

        TimePoint usefulness() const { return this->lastSeen; }
    };

    struct Account {
        double prompts = 0;
        double returns = 0;
        std::array<double, gapBuckets> gaps {};
        TimePoint lastSeen;

        TimePoint usefulness() const { return this->lastSeen; }
    };

    ReturnHistorySettings settings;
    SampledMap<ChainHash, Prompt> prompts;
    SampledMap<ClientAccount, Account> accounts;
};

} // namespace goldcrestwood
