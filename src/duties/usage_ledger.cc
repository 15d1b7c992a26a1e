#include "goldcrestwood/duties/usage_ledger.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    /// Smaller differences are the time that datagrams take rather than a difference of clocks.
    constexpr Duration minSkew = std::chrono::milliseconds(500);
    /// Clocks of processes that were not heard from for this long do not count; processes report each second while they forward runs.
    constexpr Duration clockLifetime = std::chrono::seconds(3);
    /// A late datagram makes a clock seem behind, so the estimate follows it by at most this much.
    constexpr Duration maxClockStep = std::chrono::milliseconds(500);
    /// Bytes of a window and of a count in a datagram, apart from the account's name.
    constexpr std::size_t windowBytes = 16;
    constexpr std::size_t countBytes = 12;

} // namespace

UsageLedger::UsageLedger(InstanceId instance, std::uint64_t incarnation, UsageSettings usageSettings)
    : self(std::move(instance), incarnation)
    , settings(usageSettings)
{
}

UsageLedger::Window* UsageLedger::openWindow(std::uint64_t window)
{
    if (window < this->keptFrom)
        return nullptr;
    auto& result = this->windows[window];
    // Its totals contain counts of the same process already.
    return result.isFolded ? nullptr : &result;
}

bool UsageLedger::onRun(const ClientAccount& account, Duration wall)
{
    const auto window = usageWindowAt(this->settings, wall);
    auto* open = this->openWindow(window);
    if (open == nullptr)
        return false;
    ++open->processes[this->self][account];
    this->unsent[window][account] = this->settings.sendsPerChange;
    return true;
}

void UsageLedger::onNotice(const UsageNotice& notice, Duration wall)
{
    const Process process(notice.instance, notice.incarnation);
    if (process == this->self)
        return;
    const auto senderClock = std::chrono::milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(notice.clockMs, 1ULL << 45U)));
    const auto ahead = std::chrono::duration_cast<Duration>(senderClock) - wall;
    auto [clock, isNew] = this->clocks.try_emplace(process, Clock { ahead, wall });
    if (!isNew)
        clock->second = { std::max(ahead, clock->second.ahead - maxClockStep), wall };
    const auto last = usageWindowAt(this->settings, wall + this->settings.maxSkew);
    for (const auto& entry : notice.counted) {
        auto* open = entry.window > last ? nullptr : this->openWindow(entry.window);
        if (open == nullptr)
            continue;
        auto& counts = open->processes[process];
        for (const auto& [account, runs] : entry.counts)
            counts[account] = std::max(counts[account], runs);
    }
}

std::vector<std::vector<UsageWindow>> UsageLedger::takeChanges()
{
    std::vector<std::vector<UsageWindow>> result;
    std::size_t bytes = this->settings.maxDatagramBytes;
    for (auto& [window, accounts] : this->unsent) {
        const auto found = this->windows.find(window);
        if (found == this->windows.end() || found->second.isFolded) {
            accounts.clear();
            continue;
        }
        const auto& own = found->second.processes[this->self];
        for (auto& [account, sends] : accounts) {
            const bool beginsWindow = result.empty() || result.back().empty() || result.back().back().window != window;
            const auto added = account.value.size() + countBytes + (beginsWindow ? windowBytes : 0);
            if (bytes + added > this->settings.maxDatagramBytes) {
                result.emplace_back();
                bytes = windowBytes;
            }
            if (result.back().empty() || result.back().back().window != window)
                result.back().push_back({ window, {} });
            result.back().back().counts.push_back({ account, own.at(account) });
            bytes += added;
            --sends;
        }
        std::erase_if(accounts, [](const auto& entry) { return entry.second == 0; });
    }
    std::erase_if(this->unsent, [](const auto& entry) { return entry.second.empty(); });
    return result;
}

void UsageLedger::markAllChanged()
{
    for (const auto& [window, kept] : this->windows)
        if (const auto own = kept.processes.find(this->self); own != kept.processes.end())
            for (const auto& [account, runs] : own->second)
                this->unsent[window][account] = this->settings.sendsPerChange;
}

UsageWindow UsageLedger::totals(std::uint64_t window) const
{
    UsageWindow result { window, {} };
    const auto found = this->windows.find(window);
    if (found == this->windows.end())
        return result;
    auto totals = found->second.folded;
    for (const auto& [process, counts] : found->second.processes)
        for (const auto& [account, runs] : counts)
            totals[account] += runs;
    for (const auto& [account, runs] : totals)
        result.counts.push_back({ account, runs });
    return result;
}

Duration UsageLedger::closesAt(std::uint64_t window, Duration wall) const
{
    Duration behind(0);
    for (const auto& [process, clock] : this->clocks)
        if (wall - clock.heard < clockLifetime && -clock.ahead > minSkew)
            behind = std::max(behind, -clock.ahead);
    return usageWindowEnd(this->settings, window) + this->settings.closeDelay + std::min(behind, this->settings.maxSkew);
}

std::optional<std::uint64_t> UsageLedger::oldest() const
{
    return this->windows.empty() ? std::nullopt : std::optional(this->windows.begin()->first);
}

void UsageLedger::discardBelow(std::uint64_t window)
{
    this->keptFrom = std::max(this->keptFrom, window);
    this->windows.erase(this->windows.begin(), this->windows.lower_bound(this->keptFrom));
    this->unsent.erase(this->unsent.begin(), this->unsent.lower_bound(this->keptFrom));
}

void UsageLedger::sweep(Duration wall)
{
    std::erase_if(this->clocks, [&](const auto& entry) { return wall - entry.second.heard > this->settings.foldDelay; });
    for (auto& [window, kept] : this->windows) {
        if (usageWindowEnd(this->settings, window) + this->settings.foldDelay > wall)
            break;
        if (kept.isFolded)
            continue;
        for (const auto& entry : this->totals(window).counts)
            kept.folded[entry.account] = entry.runs;
        kept.processes.clear();
        kept.isFolded = true;
    }
    if (this->windows.size() > this->settings.maxWindows)
        this->discardBelow(std::next(this->windows.begin(), static_cast<std::ptrdiff_t>(this->windows.size() - this->settings.maxWindows))->first);
}

} // namespace goldcrestwood
