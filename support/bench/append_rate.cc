/// @file
/// Append rate of many journals that share a rate-limited log: group commit with spacing, compared with simpler strategies.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "goldcrestwood/journal.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

constexpr auto roundTrip = Duration(5ms);
constexpr auto simulatedTime = std::chrono::seconds(60);
constexpr auto step = Duration(500us);

/// Load of a site on its log.
struct Load {
    std::size_t journals = 0;
    double recordsPerSecond = 0; ///< Per journal.
    double appendsPerSecond = 0; ///< Rate limit of the log over all journals.
};

struct RunResult {
    double attemptsPerSecond = 0;
    double refusedAttempts = 0; ///< Share of the attempts.
    double lostRecords = 0; ///< Share of the records that were dropped.
    double meanWaitMs = 0;
    double tailWaitMs = 0; ///< 99th percentile.
};

/// One journal whose records arrive at a constant rate.
class Writer {
public:
    Writer(const JournalSettings& settings, std::size_t number)
        : journal(settings, InstanceId("writer-" + std::to_string(number)), 1, {})
        , random(number + 1)
        , arrivalPhase(uniform(this->random))
    {
    }

    /// @param takeToken Takes a token of the log's rate limit; returns false if none is left.
    template <typename TakeToken>
    void advance(TimePoint now, TimePoint start, const Load& load, TakeToken takeToken)
    {
        const auto expectedArrivals = load.recordsPerSecond * toSeconds(now - start) + this->arrivalPhase;
        for (; static_cast<double>(this->arrived) < expectedArrivals; ++this->arrived) {
            const auto id = this->journal.submit("Note", std::string(60, 'x'), now);
            if (id)
                this->submitted[id->sequence] = now;
            else
                ++this->lost;
        }
        if (this->inFlight && now >= this->answerAt)
            this->finish(now);
        auto poll = this->journal.poll(now, this->random);
        this->lost += poll.completions.size();
        for (auto& action : poll.actions) {
            if (auto* append = std::get_if<AppendAction>(&action))
                this->begin(std::move(*append), takeToken(), now);
        }
    }

    std::size_t attempts = 0;
    std::size_t refused = 0;
    std::size_t arrived = 0;
    std::size_t lost = 0;
    std::vector<double> waits;

private:
    void begin(AppendAction append, bool accepted, TimePoint now)
    {
        ++this->attempts;
        this->refused += accepted ? 0 : 1;
        this->inFlight = std::move(append);
        this->isAccepted = accepted;
        this->answerAt = now + roundTrip;
    }

    void finish(TimePoint now)
    {
        const auto result = this->isAccepted ? AppendResult(AppendOk()) : AppendResult(AppendRejected());
        this->journal.onAppendResult(this->inFlight->exchange, result, now, this->random);
        for (const auto& bytes : this->inFlight->records) {
            if (const auto record = decode<LogRecord>(bytes); this->isAccepted && record)
                this->waits.push_back(toSeconds(now - this->submitted[record->id.sequence]) * 1e3);
        }
        this->inFlight.reset();
    }

    Journal journal;
    Random random;
    double arrivalPhase;
    std::map<std::uint64_t, TimePoint> submitted;
    std::optional<AppendAction> inFlight;
    bool isAccepted = false;
    TimePoint answerAt;
};

RunResult run(const Load& load, const JournalSettings& settings)
{
    std::vector<std::unique_ptr<Writer>> writers;
    for (std::size_t number = 0; number < load.journals; ++number)
        writers.push_back(std::make_unique<Writer>(settings, number));
    const TimePoint start(1h);
    double tokens = 0;
    const auto takeToken = [&tokens] {
        const bool hasToken = tokens >= 1;
        tokens -= hasToken ? 1 : 0;
        return hasToken;
    };
    for (auto now = start; now < start + simulatedTime; now += step) {
        tokens = std::min(load.appendsPerSecond / 10, tokens + load.appendsPerSecond * toSeconds(step));
        for (const auto& writer : writers)
            writer->advance(now, start, load, takeToken);
    }
    RunResult result;
    std::size_t arrived = 0;
    std::vector<double> waits;
    for (const auto& writer : writers) {
        result.attemptsPerSecond += static_cast<double>(writer->attempts) / toSeconds(simulatedTime);
        result.refusedAttempts += static_cast<double>(writer->refused) / toSeconds(simulatedTime);
        result.lostRecords += static_cast<double>(writer->lost);
        arrived += writer->arrived;
        waits.insert(waits.end(), writer->waits.begin(), writer->waits.end());
    }
    result.refusedAttempts /= result.attemptsPerSecond;
    result.lostRecords /= static_cast<double>(arrived);
    std::sort(waits.begin(), waits.end());
    for (const auto wait : waits)
        result.meanWaitMs += wait / static_cast<double>(waits.size());
    result.tailWaitMs = waits.empty() ? 0 : waits[waits.size() * 99 / 100];
    return result;
}

void print(const char* strategy, const Load& load, const JournalSettings& settings)
{
    const auto result = run(load, settings);
    std::printf("%-9zu %10.0f %9.0f  %-28s %11.1f %9.3f %8.3f %9.1f %9.1f\n", load.journals, load.recordsPerSecond,
        load.appendsPerSecond, strategy, result.attemptsPerSecond, result.refusedAttempts, result.lostRecords,
        result.meanWaitMs, result.tailWaitMs);
}

} // namespace

int main()
{
    std::printf("%-9s %10s %9s  %-28s %11s %9s %8s %9s %9s\n", "journals", "records/s", "limit/s", "way", "attempts/s",
        "refused", "lost", "wait ms", "99th ms");
    for (const auto& load : { Load { 7, 3, 300 }, Load { 7, 100, 300 }, Load { 16, 137, 300 },
             Load { 32, 69, 300 }, Load { 32, 69, 500 }, Load { 64, 34, 300 }, Load { 64, 34, 500 } }) {
        JournalSettings ungrouped;
        ungrouped.batchRecords = 1;
        ungrouped.spacingCeiling = Duration(0);
        JournalSettings unspaced;
        unspaced.spacingCeiling = Duration(0);
        print("one record an append", load, ungrouped);
        print("group commit, backoff alone", load, unspaced);
        print("group commit and spacing", load, JournalSettings());
    }
    return 0;
}
