#include "goldcrestwood/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

const char* toString(RetryRefusal refusal)
{
    switch (refusal) {
    case RetryRefusal::TokensSent:
        return "TokensSent";
    case RetryRefusal::NotRepeatable:
        return "NotRepeatable";
    case RetryRefusal::Attempts:
        return "Attempts";
    case RetryRefusal::Budget:
        return "Budget";
    }
    return "Unknown";
}

RetryBudget::RetryBudget(RetrySettings bounds)
    : settings(bounds)
    , balance(bounds.maxBalance)
{
}

void RetryBudget::onRequest()
{
    this->balance = std::min(this->settings.maxBalance, this->balance + this->settings.share);
}

RetryDecision RetryBudget::decide(const FailedAttempt& attempt, Random& random)
{
    if (attempt.tokensSent && !attempt.continuable)
        return { RetryRefusal::TokensSent, Duration(0) };
    if (!attempt.repeatable)
        return { RetryRefusal::NotRepeatable, Duration(0) };
    if (attempt.attempts >= this->settings.attempts)
        return { RetryRefusal::Attempts, Duration(0) };
    if (this->balance < 1)
        return { RetryRefusal::Budget, Duration(0) };
    this->balance -= 1;
    const auto bound = toSeconds(this->settings.initialBackoff) * std::exp2(std::max(attempt.attempts, 1U) - 1U);
    // Full jitter spreads the retries of requests that failed together.
    return { std::nullopt, fromSeconds(uniform(random) * std::min(bound, toSeconds(this->settings.maxBackoff))) };
}

std::optional<std::size_t> preferOtherDomain(
    const std::vector<FailureDomain>& candidates, const std::vector<FailureDomain>& failed)
{
    if (candidates.empty())
        return std::nullopt;
    auto isOther = [&](const FailureDomain& domain) {
        return std::find(failed.begin(), failed.end(), domain) == failed.end();
    };
    const auto other = std::find_if(candidates.begin(), candidates.end(), isOther);
    return other == candidates.end() ? 0 : static_cast<std::size_t>(other - candidates.begin());
}

FirstByteHedge::FirstByteHedge(TimePoint sent, Duration deadline)
    : due(sent + deadline)
{
}

bool FirstByteHedge::shouldHedge(TimePoint now)
{
    if (this->settled || now < this->due)
        return false;
    this->settled = true;
    return true;
}

std::optional<TimePoint> FirstByteHedge::wakeAt() const
{
    return this->settled ? std::nullopt : std::optional(this->due);
}

} // namespace goldcrestwood
