#include "goldcrestwood/crash_suspects.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

namespace {

    /// @return Probability of at least @p least successes in @p count trials.
    double binomialTail(std::size_t least, std::size_t count, double probability)
    {
        if (probability >= 1)
            return 1;
        const auto n = static_cast<double>(count);
        double sum = 0;
        for (auto successes = least; successes <= count; ++successes) {
            const auto k = static_cast<double>(successes);
            sum += std::exp(std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1) + k * std::log(probability) + (n - k) * std::log1p(-probability));
        }
        return sum;
    }

    /// Time after a change of the evidence for which it is weighed again and again.
    constexpr Duration evaluationTime = std::chrono::seconds(10);

    /// Interval in which outcomes are counted.
    constexpr Duration countInterval = std::chrono::milliseconds(100);

    TimePoint fromAge(std::uint64_t milliseconds, TimePoint now)
    {
        return now - fromAgeMs(milliseconds);
    }

    /// @return The number of groups of times that are at least @p gap apart.
    std::size_t countEvents(const std::vector<TimePoint>& times, Duration gap)
    {
        std::size_t events = 0;
        std::optional<TimePoint> last;
        for (const auto time : times)
            if (!last || time - *last >= gap) {
                ++events;
                last = time;
            }
        return events;
    }

} // namespace

std::vector<std::string> CrashSuspects::sharedParts(const std::vector<PromptPart>& parts)
{
    // Longer ids and lists are not worth their memory.
    constexpr std::size_t maxIdBytes = 128;
    constexpr std::size_t maxParts = 64;
    std::vector<std::string> result;
    for (std::size_t index = 0; index + 1 < parts.size() && result.size() < maxParts; ++index)
        if (parts[index].id.size() <= maxIdBytes)
            result.push_back(parts[index].id);
    return result;
}

bool CrashSuspects::addCrash(std::uint64_t crash, const std::vector<std::string>& parts, TimePoint at, bool isOwn, TimePoint now)
{
    const auto [found, isNew] = this->crashes.try_emplace(crash, Crash { at, isOwn, {}, {} });
    auto& entry = found->second;
    entry.isOwn = entry.isOwn || isOwn;
    entry.at = std::min(entry.at, at);
    bool hasChanged = isNew;
    for (const auto& part : parts) {
        if (part.empty() || entry.suspects.contains(part) || entry.parts.size() >= this->settings.maxPartsPerCrash)
            continue;
        entry.parts.insert(part);
        if (const auto answer = this->answered.find(part); answer != this->answered.end() && answer->second > at) {
            this->reportClearance(part, answer->second, now);
            continue;
        }
        entry.suspects.insert(part);
        hasChanged = true;
    }
    if (hasChanged)
        this->lastChange = now;
    while (this->crashes.size() > this->settings.maxCrashes)
        this->crashes.erase(std::min_element(this->crashes.begin(), this->crashes.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
    return hasChanged;
}

void CrashSuspects::startPeriod(TimePoint now)
{
    this->periodStart = now;
    for (auto& [part, count] : this->requestsByPart)
        count.last = std::exchange(count.current, 0);
    std::erase_if(this->requestsByPart, [](const auto& entry) { return entry.second.last == 0; });
    for (auto& [service, count] : this->requestsByService)
        count.last = std::exchange(count.current, 0);
}

void CrashSuspects::onRequest(const ServiceName& service, const std::vector<std::string>& parts, TimePoint now)
{
    if (now - this->periodStart >= this->settings.sharePeriod)
        this->startPeriod(now);
    ++this->requestsByService[service].current;
    if (!parts.empty())
        ++this->allRequests;
    this->allParts += parts.size();
    for (const auto& part : parts) {
        if (this->requestsByPart.size() >= this->settings.maxTrackedParts && !this->requestsByPart.contains(part))
            continue;
        auto& count = this->requestsByPart[part];
        count.service = service;
        ++count.current;
    }
}

void CrashSuspects::addOutcomes(const ServiceName& service, std::size_t answers, std::size_t breaks, TimePoint now)
{
    auto& counts = this->outcomes[service];
    if (counts.empty() || now - counts.back().from >= countInterval)
        counts.push_back({ now, 0, 0 });
    counts.back().answered += answers;
    counts.back().broken += breaks;
}

void CrashSuspects::onCrash(std::uint64_t crash, const ServiceName& service, std::size_t requests, const std::vector<std::string>& parts, TimePoint now)
{
    this->addOutcomes(service, 0, requests, now);
    if (this->addCrash(crash, parts, now, true, now))
        this->hasNews = true;
}

void CrashSuspects::reportClearance(const std::string& part, TimePoint began, TimePoint now)
{
    this->cleared[part] = { began, now, true };
    this->hasNews = true;
}

void CrashSuspects::onAnsweredPart(const std::string& part, TimePoint began, bool isOwn, TimePoint now)
{
    if (this->answered.size() < this->settings.maxTrackedParts || this->answered.contains(part)) {
        auto& last = this->answered[part];
        last = std::max(last, began);
    }
    bool isRelevant = false;
    for (auto& [key, crash] : this->crashes)
        if (crash.at < began && crash.suspects.erase(part) > 0)
            isRelevant = true;
    if (const auto found = this->quarantines.find(part); found != this->quarantines.end() && found->second.since < began && now < found->second.end) {
        found->second.end = now;
        found->second.isLifted = true;
        isRelevant = true;
    }
    if (!isRelevant)
        return;
    if (isOwn)
        this->reportClearance(part, began, now);
    else
        this->cleared[part] = { began, now, false };
}

void CrashSuspects::onAnswer(const ServiceName& service, const std::vector<std::string>& parts, TimePoint began, TimePoint now)
{
    this->addOutcomes(service, 1, 0, now);
    this->clearParts(parts, began, now);
}

void CrashSuspects::clearParts(const std::vector<std::string>& parts, TimePoint began, TimePoint now)
{
    for (const auto& part : parts)
        this->onAnsweredPart(part, began, true, now);
}

void CrashSuspects::onNotice(const CrashNotice& notice, TimePoint now)
{
    for (const auto& answer : notice.answered)
        this->onAnsweredPart(answer.part, fromAge(answer.ageMs, now), false, now);
    for (const auto& crash : notice.crashes)
        this->addCrash(crash.crash, { crash.part }, fromAge(crash.ageMs, now), false, now);
    for (const auto& entry : notice.quarantined) {
        const auto since = fromAge(entry.ageMs, now);
        if (const auto answer = this->answered.find(entry.part); answer != this->answered.end() && answer->second > since) {
            this->reportClearance(entry.part, answer->second, now);
            continue;
        }
        const auto own = this->quarantines.find(entry.part);
        // It is the same one if it began before the end of ours.
        if (own != this->quarantines.end() && since < own->second.end)
            continue;
        const auto left = std::min(fromAgeMs(entry.leftMs), this->settings.maxQuarantine);
        this->quarantines.insert_or_assign(entry.part, Quarantine { since, now + left, std::max(entry.count, 1U), false });
    }
}

std::optional<CrashNotice> CrashSuspects::notice(bool withPeers, TimePoint now) const
{
    CrashNotice result;
    std::vector<std::pair<TimePoint, std::uint64_t>> recent;
    for (const auto& [key, crash] : this->crashes)
        if ((withPeers || crash.isOwn) && now - crash.at <= this->settings.reportLifetime)
            recent.emplace_back(crash.at, key);
    std::sort(recent.rbegin(), recent.rend());
    std::size_t bytes = 0;
    const auto fits = [&](const auto& list, const std::string& part) {
        bytes += part.size();
        return list.size() < this->settings.maxReported && bytes <= this->settings.maxReportedBytes;
    };
    for (const auto& [part, entry] : this->quarantines)
        if (now < entry.end && fits(result.quarantined, part))
            result.quarantined.push_back({ part, ageMs(entry.since, now), ageMs(now, entry.end), entry.count });
    std::vector<std::pair<TimePoint, std::string>> clearances;
    for (const auto& [part, clearance] : this->cleared)
        if (withPeers || clearance.isOwn)
            clearances.emplace_back(clearance.at, part);
    std::sort(clearances.rbegin(), clearances.rend());
    for (const auto& [at, part] : clearances)
        if (fits(result.answered, part))
            result.answered.push_back({ part, ageMs(this->cleared.at(part).began, now) });
    for (const auto& [at, key] : recent) {
        const auto& suspects = this->crashes.at(key).suspects;
        // A crash without suspects counts as well: it makes a part that is in few crashes less suspicious.
        if (suspects.empty() && fits(result.crashes, {}))
            result.crashes.push_back({ key, {}, ageMs(at, now) });
        for (const auto& part : suspects)
            if (fits(result.crashes, part))
                result.crashes.push_back({ key, part, ageMs(at, now) });
    }
    if (result == CrashNotice {})
        return std::nullopt;
    return result;
}

bool CrashSuspects::isExplained(const Crash& crash) const
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto& part) {
        const auto found = this->quarantines.find(part);
        return found != this->quarantines.end() && crash.at < found->second.end;
    });
}

std::map<std::string, CrashSuspects::Evidence> CrashSuspects::collectEvidence() const
{
    std::map<std::string, Evidence> result;
    for (const auto& [key, crash] : this->crashes) {
        if (this->isExplained(crash))
            continue;
        for (const auto& part : crash.suspects)
            result[part].times.push_back(crash.at);
    }
    for (auto& [part, evidence] : result) {
        std::sort(evidence.times.begin(), evidence.times.end());
        evidence.chance = this->chanceOf(part, evidence);
    }
    return result;
}

double CrashSuspects::chanceOf(const std::string& part, const Evidence& evidence) const
{
    const auto share = this->shareOf(part);
    if (evidence.times.size() < this->settings.minCrashes || !share)
        return 1;
    const auto partsPerRequest = this->partsPerRequest();
    std::size_t total = 0;
    double sum = 0;
    for (const auto& [key, crash] : this->crashes) {
        if (crash.at < evidence.times.front() || this->isExplained(crash))
            continue;
        ++total;
        const auto requests = std::max(static_cast<double>(crash.parts.size()) / partsPerRequest, this->settings.minRequestsPerCrash);
        sum += 1 - std::pow(1 - *share, requests);
    }
    const auto count = evidence.times.size();
    return binomialTail(count, total, sum / static_cast<double>(total)) * std::pow(this->brokenShare(part, evidence.times.front()), static_cast<double>(count));
}

double CrashSuspects::partsPerRequest() const
{
    return this->allParts > 0 ? static_cast<double>(this->allParts) / static_cast<double>(this->allRequests) : 1;
}

double CrashSuspects::brokenShare(const std::string& part, TimePoint from) const
{
    // Starts with one of each, as few outcomes prove little.
    OutcomeCount sum { from, 1, 1 };
    const auto requests = this->requestsByPart.find(part);
    for (const auto& [service, counts] : this->outcomes) {
        if (requests != this->requestsByPart.end() && requests->second.service != service)
            continue;
        for (auto count = counts.rbegin(); count != counts.rend() && count->from >= from; ++count) {
            sum.answered += count->answered;
            sum.broken += count->broken;
        }
    }
    return std::max(this->settings.minBrokenShare, static_cast<double>(sum.broken) / static_cast<double>(sum.answered + sum.broken));
}

std::optional<double> CrashSuspects::shareOf(const std::string& part) const
{
    const auto found = this->requestsByPart.find(part);
    std::size_t with = 0;
    std::size_t all = 0;
    if (found != this->requestsByPart.end()) {
        const auto& total = this->requestsByService.at(found->second.service);
        with = found->second.current + found->second.last;
        all = total.current + total.last;
    } else if (this->requestsByPart.size() >= this->settings.maxTrackedParts) {
        // Its requests may have come without being counted.
        return std::nullopt;
    } else {
        // Only peers have met the part; its service is taken to be the one with the fewest requests.
        for (const auto& [service, total] : this->requestsByService)
            all = all == 0 ? total.current + total.last : std::min(all, total.current + total.last);
    }
    if (all < this->settings.minRequests)
        return std::nullopt;
    // The share may be larger than in this sample: no request at all is still likely where two are expected.
    constexpr std::size_t countMargin = 2;
    return std::min(1.0, static_cast<double>(with + countMargin) / static_cast<double>(all + countMargin));
}

bool CrashSuspects::isConclusive(const std::string& part, const Evidence& evidence, TimePoint now) const
{
    const auto events = countEvents(evidence.times, this->settings.eventGap);
    if (const auto earlier = this->quarantines.find(part); earlier != this->quarantines.end() && !earlier->second.isLifted && events >= this->settings.minCrashesAgain)
        return true;
    return evidence.chance <= this->settings.maxChance && now - evidence.times.front() >= this->settings.minObservation
        && events >= this->settings.minEvents;
}

void CrashSuspects::quarantine(const std::string& part, TimePoint now)
{
    auto& entry = this->quarantines[part];
    auto length = this->settings.quarantine;
    for (std::uint32_t earlier = 0; earlier < entry.count && length < this->settings.maxQuarantine; ++earlier)
        length *= 2;
    ++entry.count;
    entry.since = now;
    entry.end = now + std::min(length, this->settings.maxQuarantine);
    entry.isLifted = false;
    this->hasNews = true;
}

std::vector<std::string> CrashSuspects::sweep(TimePoint now)
{
    this->dropOld(now);
    std::vector<std::string> result;
    // Without further crashes, later answers hardly change the weight of the evidence.
    if (now - this->lastChange > evaluationTime)
        return result;
    while (true) {
        const auto all = this->collectEvidence();
        auto best = all.end();
        for (auto entry = all.begin(); entry != all.end(); ++entry)
            if ((best == all.end() || entry->second.chance < best->second.chance) && this->isConclusive(entry->first, entry->second, now))
                best = entry;
        if (best == all.end())
            return result;
        // The crashes that it explains are no evidence on other parts.
        this->quarantine(best->first, now);
        result.push_back(best->first);
    }
}

void CrashSuspects::dropOld(TimePoint now)
{
    std::erase_if(this->crashes, [&](const auto& entry) { return now - entry.second.at > this->settings.evidenceLifetime; });
    for (auto& [service, counts] : this->outcomes)
        while (!counts.empty() && now - counts.front().from > this->settings.evidenceLifetime)
            counts.pop_front();
    std::erase_if(this->answered, [&](const auto& entry) { return now - entry.second > this->settings.answerLifetime && !this->quarantines.contains(entry.first); });
    std::erase_if(this->cleared, [&](const auto& entry) { return now - entry.second.at > this->settings.reportLifetime; });
    std::erase_if(this->quarantines, [&](const auto& entry) { return now - entry.second.end > this->settings.maxQuarantine; });
}

bool CrashSuspects::isSuspected(const std::vector<std::string>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
        const auto count = std::count_if(this->crashes.begin(), this->crashes.end(),
            [&](const auto& entry) { return entry.second.suspects.contains(part) && !this->isExplained(entry.second); });
        return static_cast<std::size_t>(count) >= this->settings.minCrashesToSuspect;
    });
}

std::optional<Duration> CrashSuspects::quarantineLeft(const std::vector<std::string>& parts, TimePoint now) const
{
    std::optional<Duration> result;
    if (this->quarantines.empty())
        return result;
    for (const auto& part : parts)
        if (const auto found = this->quarantines.find(part); found != this->quarantines.end() && now < found->second.end)
            result = std::max(result.value_or(Duration(0)), found->second.end - now);
    return result;
}

std::vector<std::pair<std::string, Duration>> CrashSuspects::quarantined(TimePoint now) const
{
    std::vector<std::pair<std::string, Duration>> result;
    for (const auto& [part, entry] : this->quarantines)
        if (now < entry.end)
            result.emplace_back(part, entry.end - now);
    return result;
}

} // namespace goldcrestwood
