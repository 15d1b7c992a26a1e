#include "goldcrestwood/return_history.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

namespace {

    /// @return Bucket index of a gap, with the fraction within the bucket.
    double gapPosition(Duration gap)
    {
        const auto position = std::log2(std::max(1.0, toSeconds(gap)));
        return std::min(position, static_cast<double>(ReturnHistory::gapBuckets) - 0.001);
    }

    double shareBelow(const std::array<double, ReturnHistory::gapBuckets>& gaps, Duration gap)
    {
        const auto position = gapPosition(gap);
        const auto whole = static_cast<std::size_t>(position);
        auto below = gaps[whole] * (position - static_cast<double>(whole));
        auto all = 0.0;
        for (std::size_t i = 0; i < gaps.size(); ++i) {
            below += i < whole ? gaps[i] : 0;
            all += gaps[i];
        }
        return all > 0 ? below / all : 0;
    }

} // namespace

ReturnHistory::ReturnHistory(const ReturnHistorySettings& initialSettings)
    : settings(initialSettings)
    , prompts(initialSettings.maxPrompts)
    , accounts(initialSettings.maxAccounts)
{
}

std::optional<PromptReturn> ReturnHistory::observe(
    const ClientAccount& account, const std::vector<ChainHash>& chain, TimePoint now)
{
    if (chain.empty())
        return std::nullopt;
    auto& record = this->accounts.at(account);
    record.lastSeen = now;
    record.prompts = record.prompts * this->settings.decay + 1;
    record.returns *= this->settings.decay;

    std::optional<PromptReturn> result;
    for (auto length = chain.size(); length > 0 && !result; --length) {
        const auto last = chain[length - 1];
        if (const auto* prompt = this->prompts.find(last)) {
            result = PromptReturn { now - prompt->lastSeen, static_cast<std::uint32_t>(length) };
            this->prompts.erase(last);
        }
    }
    this->prompts.at(chain.back()).lastSeen = now;
    if (!result)
        return result;
    record.returns += 1;
    for (auto& count : record.gaps)
        count *= this->settings.decay;
    record.gaps[static_cast<std::size_t>(gapPosition(result->gap))] += 1;
    return result;
}

double ReturnHistory::returnChance(const ClientAccount& account) const
{
    const auto* record = this->accounts.find(account);
    if (!record)
        return this->settings.initialChance;
    const auto prior = this->settings.initialWeight;
    return (record->returns + prior * this->settings.initialChance) / (record->prompts + prior);
}

double ReturnHistory::chanceWithin(const ClientAccount& account, Duration elapsed, Duration horizon) const
{
    const auto* record = this->accounts.find(account);
    if (!record)
        return 0;
    const auto chance = this->returnChance(account);
    const auto before = chance * shareBelow(record->gaps, elapsed);
    const auto after = chance * shareBelow(record->gaps, elapsed + horizon);
    return before < 1 ? (after - before) / (1 - before) : 0;
}

} // namespace goldcrestwood
