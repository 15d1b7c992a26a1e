#pragma once

/// @file
/// Learns for each client account how often and after which gap its prompts return.

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
    /// Prompts remembered, by their last block.
    std::size_t maxPrompts = 16384;
    /// Accounts remembered.
    std::size_t maxAccounts = 2048;
    /// Weight of earlier observations that an account keeps with each new one.
    double memory = 0.995;
    /// Return chance of an account that has shown nothing yet.
    double initialChance = 0.2;
    /// Observations that the initial chance counts for.
    double initialWeight = 4;
};

/// A prompt that came back.
struct PromptReturn {
    Duration gap = Duration(0);
    /// Blocks of the earlier prompt, which the new one starts with.
    std::uint32_t sharedBlocks = 0;

    bool operator==(const PromptReturn&) const = default;
};

/// Gaps are counted in buckets whose bounds double, from one second on.
class ReturnHistory {
public:
    static constexpr std::size_t gapBuckets = 24;

    explicit ReturnHistory(const ReturnHistorySettings& initialSettings = {});

    /// Notes a prompt.
    /// @return The return, where the prompt continues or repeats a remembered one.
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
