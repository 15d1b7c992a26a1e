#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "goldcrestwood/duties/usage_reporter.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const Duration start = 1000s; // Begin of window 200.
const ClientAccount one("one");

TimePoint monotonic(Duration wall)
{
    return TimePoint(wall);
}

/// A daemon with its counts and its view of the reports.
struct Daemon {
    UsageLedger ledger;
    UsageReporter reporter;
    Duration since; ///< From when on it hears all notices.

    explicit Daemon(const char* name, Duration wall = start, bool isFirstStart = true, std::uint64_t incarnation = 1)
        : ledger(InstanceId(name), incarnation)
        , reporter({}, isFirstStart, wall, 100ms)
        , since(wall)
    {
    }

    DutyRecord record(std::uint64_t era, Duration wall) const
    {
        const auto plan = this->reporter.plan(this->ledger, era, usageWindowAt({}, this->since) + 1, wall);
        DutyRecord result;
        result.era = era;
        result.settledEnd = plan.settledEnd;
        result.acknowledgedEnd = plan.acknowledgedEnd;
        result.usage = plan.usage;
        return result;
    }

    /// Appends the windows that are closed.
    DutyRecord append(std::uint64_t era, Duration wall)
    {
        auto result = this->record(era, wall);
        this->reporter.onRecord(result, wall);
        return result;
    }
};

} // namespace

TEST_CASE("a window is appended once it is closed, and reported after that")
{
    Daemon daemon("a");
    daemon.ledger.onRun(one, start + 1s);
    CHECK_FALSE(daemon.reporter.isRecordDue(daemon.ledger, start + 6400ms));
    REQUIRE(daemon.reporter.isRecordDue(daemon.ledger, start + 6500ms));
    CHECK_FALSE(daemon.reporter.nextCall(monotonic(start + 6500ms)));
    daemon.append(0, start + 6500ms);
    CHECK_FALSE(daemon.reporter.isRecordDue(daemon.ledger, start + 6500ms));
    const auto call = daemon.reporter.nextCall(monotonic(start + 6500ms));
    REQUIRE(call);
    CHECK(*call == UsageWindow { 200, { { one, 1 } } });
    daemon.reporter.onOutcome(200, DutyOutcome::Accepted, monotonic(start + 6500ms));
    CHECK_FALSE(daemon.reporter.nextCall(monotonic(start + 7s)));
    CHECK(daemon.reporter.acknowledgedEnd() == 201);
}

TEST_CASE("refused and unanswered calls are repeated with the same counts, and given up 12 s after they were due")
{
    for (const auto outcome : { DutyOutcome::Fenced, DutyOutcome::TooManyCalls, DutyOutcome::Unknown }) {
        Daemon daemon("a");
        daemon.ledger.onRun(one, start);
        daemon.append(0, start + 6500ms);
        daemon.reporter.onOutcome(200, outcome, monotonic(start + 6500ms));
        daemon.ledger.onRun(one, start);
        CHECK_FALSE(daemon.reporter.nextCall(monotonic(start + 7s)));
        REQUIRE(daemon.reporter.nextCall(monotonic(start + 9s)));
        CHECK(daemon.reporter.nextCall(monotonic(start + 9s))->counts.front().runs == 1);
        CHECK(daemon.reporter.wasSent(200));
        CHECK(daemon.reporter.takeExpired(start + 26s).empty());
        CHECK(daemon.reporter.takeExpired(start + 27s) == std::vector<std::uint64_t> { 200 });
        CHECK_FALSE(daemon.reporter.nextCall(monotonic(start + 27s)));
    }
}

TEST_CASE("a successor sums up what it received if the holder died before the append, and repeats the topic's counts otherwise")
{
    Daemon holder("a");
    Daemon successor("b");
    holder.ledger.onRun(one, start);
    holder.ledger.onRun(one, start);
    successor.ledger.onRun(one, start);
    const auto lost = successor.record(0, start + 6500ms);
    CHECK(lost.usage.front().counts.front().runs == 1);
    // The topic decides, although the successor counted less.
    successor.reporter.onRecord(holder.append(0, start + 6500ms), start + 9s);
    CHECK_FALSE(successor.reporter.isRecordDue(successor.ledger, start + 9s));
    CHECK(successor.reporter.nextCall(monotonic(start + 9s))->counts.front().runs == 2);
}

TEST_CASE("a daemon leaves the work to a holder that is heard from, unless nothing is appended")
{
    Daemon daemon("b");
    UsageNotice notice;
    notice.isHolder = true;
    notice.settledEnd = notice.acknowledgedEnd = 200;
    daemon.reporter.onNotice(notice, start + 6s, monotonic(start + 6s));
    CHECK_FALSE(daemon.reporter.isTakeoverDue(daemon.ledger, start + 7s, monotonic(start + 7s)));
    CHECK(daemon.reporter.isTakeoverDue(daemon.ledger, start + 9s, monotonic(start + 9s)));
    daemon.reporter.onNotice(notice, start + 10s, monotonic(start + 10s));
    CHECK(daemon.reporter.isTakeoverDue(daemon.ledger, start + 10600ms, monotonic(start + 10600ms)));
    notice.settledEnd = 201;
    daemon.reporter.onNotice(notice, start + 11s, monotonic(start + 11s));
    CHECK_FALSE(daemon.reporter.isTakeoverDue(daemon.ledger, start + 11200ms, monotonic(start + 11200ms)));
    // The holder has died before the report of window 200 was accepted.
    CHECK(daemon.reporter.isTakeoverDue(daemon.ledger, start + 14s, monotonic(start + 14s)));
}

TEST_CASE("windows that waited for the store are reported oldest first, also when they are late")
{
    Daemon daemon("a");
    for (int window = 0; window < 12; ++window)
        daemon.ledger.onRun(one, start + window * 5s);
    auto now = start + 62s;
    CHECK(daemon.append(0, now).usage.size() == 8);
    CHECK(daemon.append(0, now).usage.size() == 4);
    CHECK(daemon.reporter.takeExpired(now).empty());
    for (std::uint64_t window = 200; window < 212; ++window, now += 100ms) {
        REQUIRE(daemon.reporter.nextCall(monotonic(now))->window == window);
        daemon.reporter.onOutcome(window, DutyOutcome::Accepted, monotonic(now));
        CHECK_FALSE(daemon.reporter.nextCall(monotonic(now + 50ms)));
    }
}

TEST_CASE("after the store's return only exact counts are reported again")
{
    Daemon holder("a");
    Daemon witness("b");
    Daemon restarted("c", start + 12s, false, 2);
    for (auto* daemon : { &holder, &witness, &restarted })
        daemon->ledger.onRun(one, start);
    holder.ledger.onRun(one, start);
    const auto record = holder.append(1, start + 6500ms);
    UsageNotice notice;
    notice.isHolder = true;
    notice.settledEnd = 201;
    notice.acknowledgedEnd = 200;
    notice.logged = record.usage;
    witness.reporter.onNotice(notice, start + 6500ms, monotonic(start + 6500ms));
    holder.reporter.onStoreReturned();
    const auto again = holder.append(2, start + 7s);
    CHECK(again.usage == record.usage);
    CHECK(witness.append(2, start + 7s).usage == record.usage);
    // This process cannot know what the lost record said.
    const auto plan = restarted.reporter.plan(restarted.ledger, 2, 203, start + 12s);
    CHECK(plan.usage.empty());
    CHECK(plan.missed == std::vector<std::uint64_t> { 200, 201 });
}

TEST_CASE("different counts of one window are never sent, whichever is found later")
{
    Daemon daemon("a");
    daemon.ledger.onRun(one, start);
    daemon.append(1, start + 6500ms);
    DutyRecord other;
    other.era = 2;
    other.settledEnd = 201;
    other.usage = { { 200, { { one, 7 } } } };
    daemon.reporter.onStoreReturned();
    daemon.reporter.onRecord(other, start + 8s);
    CHECK(daemon.reporter.conflicts() == 1);
    CHECK_FALSE(daemon.reporter.nextCall(monotonic(start + 20s)));
}

namespace {

/// Daemons count, tell each other and append in turn; a holder may die around its append, its report may be executed or lost, and
/// the store returns from older copies. All reports of a window must be equal, and none may exceed what was run.
void playSite(unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<DutyRecord> log;
    std::uint64_t era = 1;
    std::map<std::uint64_t, std::vector<AccountRuns>> reported;
    std::map<std::uint64_t, std::uint64_t> runs;
    std::vector<std::unique_ptr<Daemon>> daemons;
    const char* names[] = { "a", "b", "c" };
    std::vector<std::uint64_t> eras(3, era);
    std::vector<std::size_t> read(3, 0);
    for (const auto* name : names)
        daemons.push_back(std::make_unique<Daemon>(name));
    std::size_t holder = 0;
    std::vector<std::uint64_t> incarnations(3, 1);
    for (auto now = start; now < start + 200s; now += 250ms) {
        INFO("seed " << seed << " at " << now.count());
        if (random() % 150 == 0) {
            log.resize(log.size() - std::min<std::size_t>(log.size(), random() % 3));
            ++era;
        }
        for (std::size_t who = 0; who < daemons.size(); ++who) {
            for (auto count = random() % 3; count > 0; --count) {
                ++runs[usageWindowAt({}, now)];
                daemons[who]->ledger.onRun(one, now);
            }
            for (const auto& counted : daemons[who]->ledger.takeChanges())
                for (auto& other : daemons) {
                    UsageNotice notice;
                    notice.instance = InstanceId(names[who]);
                    notice.incarnation = incarnations[who];
                    notice.clockMs = static_cast<std::uint64_t>(now / 1ms);
                    notice.counted = counted;
                    if (random() % 10 != 0 && other != daemons[who])
                        other->ledger.onNotice(notice, now);
                }
        }
        if (random() % 100 == 0)
            holder = random() % daemons.size();
        auto& daemon = *daemons[holder];
        if (eras[holder] != era) {
            daemon.reporter.onStoreReturned();
            eras[holder] = era;
            read[holder] = 0;
        }
        for (; read[holder] < log.size(); ++read[holder])
            daemon.reporter.onRecord(log[read[holder]], now);
        bool dies = false;
        if (daemon.reporter.isRecordDue(daemon.ledger, now)) {
            dies = random() % 15 == 0;
            const auto record = daemon.record(era, now);
            if (!dies || random() % 2 == 0)
                log.push_back(record);
            if (!dies) {
                daemon.reporter.onRecord(record, now);
                ++read[holder];
            }
        }
        if (const auto call = dies ? std::nullopt : daemon.reporter.nextCall(monotonic(now))) {
            UsageNotice notice;
            notice.isHolder = true;
            notice.settledEnd = daemon.reporter.settledEnd();
            notice.acknowledgedEnd = daemon.reporter.acknowledgedEnd();
            notice.logged = { *call };
            for (auto& other : daemons)
                if (other != daemons[holder])
                    other->reporter.onNotice(notice, now, monotonic(now));
            if (random() % 4 != 0) {
                const auto [known, isNew] = reported.try_emplace(call->window, call->counts);
                REQUIRE(known->second == call->counts);
                for (const auto& entry : call->counts)
                    REQUIRE(entry.runs <= runs[call->window]);
            }
            daemon.reporter.onOutcome(call->window, random() % 3 == 0 ? DutyOutcome::Unknown : DutyOutcome::Accepted, monotonic(now));
        }
        dies = dies || random() % 150 == 0;
        if (dies) {
            daemons[holder] = std::make_unique<Daemon>(names[holder], now, false, ++incarnations[holder]);
            eras[holder] = 0;
            read[holder] = 0;
            holder = random() % daemons.size();
        }
    }
    CHECK(reported.size() >= 20);
}

} // namespace

TEST_CASE("all reports of a window are equal while holders die, calls are lost and the store returns from older copies")
{
    for (unsigned seed = 0; seed < 300; ++seed)
        playSite(seed);
}
