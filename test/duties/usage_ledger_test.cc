#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "goldcrestwood/duties/usage_ledger.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const Duration start = 1000s; // Begin of window 200.
const ClientAccount one("one");
const ClientAccount two("two");

UsageNotice noticeOf(const char* instance, std::uint64_t incarnation, Duration clock, std::vector<UsageWindow> counted)
{
    UsageNotice notice;
    notice.instance = InstanceId(instance);
    notice.incarnation = incarnation;
    notice.clockMs = static_cast<std::uint64_t>(clock / 1ms);
    notice.counted = std::move(counted);
    return notice;
}

} // namespace

TEST_CASE("runs count in the window in which they started")
{
    UsageLedger ledger(InstanceId("a"), 1);
    ledger.onRun(one, start + 4999ms);
    ledger.onRun(one, start + 5s);
    ledger.onRun(two, start + 5s);
    CHECK(ledger.totals(200) == UsageWindow { 200, { { one, 1 } } });
    CHECK(ledger.totals(201) == UsageWindow { 201, { { one, 1 }, { two, 1 } } });
    CHECK(ledger.totals(202).counts.empty());
}

TEST_CASE("lost, repeated and reordered reports change no total once the last one has arrived")
{
    std::mt19937 random(1);
    for (int round = 0; round < 100; ++round) {
        UsageLedger sender(InstanceId("a"), 1);
        UsageLedger receiver(InstanceId("b"), 1);
        std::vector<UsageNotice> inFlight;
        for (int step = 0; step < 40; ++step) {
            const auto now = start + step * 200ms;
            for (auto runs = random() % 4; runs > 0; --runs)
                sender.onRun(random() % 2 == 0 ? one : two, now);
            for (auto& counted : sender.takeChanges())
                inFlight.push_back(noticeOf("a", 1, now, counted));
        }
        std::shuffle(inFlight.begin(), inFlight.end(), random);
        for (const auto& notice : inFlight)
            if (random() % 2 == 0)
                receiver.onNotice(notice, start + 9s);
        sender.markAllChanged();
        for (auto& counted : sender.takeChanges())
            receiver.onNotice(noticeOf("a", 1, start + 9s, counted), start + 9s);
        for (std::uint64_t window = 200; window < 202; ++window)
            CHECK(receiver.totals(window) == sender.totals(window));
    }
}

TEST_CASE("a new process of a machine adds to what the earlier one reported")
{
    UsageLedger ledger(InstanceId("b"), 1);
    ledger.onNotice(noticeOf("a", 1, start, { { 200, { { one, 5 } } } }), start);
    ledger.onNotice(noticeOf("a", 2, start, { { 200, { { one, 2 } } } }), start);
    ledger.onNotice(noticeOf("a", 2, start, { { 200, { { one, 1 } } } }), start);
    CHECK(ledger.totals(200).counts == std::vector<AccountRuns> { { one, 7 } });
}

TEST_CASE("only changed counts are sent, a few times, in pieces that fit into a datagram")
{
    UsageSettings settings;
    UsageLedger ledger(InstanceId("a"), 1, settings);
    for (int number = 0; number < 1000; ++number)
        ledger.onRun(ClientAccount("account-" + std::to_string(number)), start);
    std::size_t sent = 0;
    for (const auto& counted : ledger.takeChanges()) {
        CHECK(encode(noticeOf("a-long-name-of-an-instance", 1, start, counted)).size() <= settings.maxDatagramBytes + 100);
        sent += counted.front().counts.size();
    }
    CHECK(sent == 1000);
    for (unsigned repeat = 1; repeat < settings.sendsPerChange; ++repeat)
        CHECK_FALSE(ledger.takeChanges().empty());
    CHECK(ledger.takeChanges().empty());
}

TEST_CASE("a window stays open for daemons whose clocks are behind, and a delayed datagram does not prolong it for long")
{
    UsageLedger ledger(InstanceId("b"), 1);
    CHECK(ledger.closesAt(200, start) == start + 6500ms);
    ledger.onNotice(noticeOf("a", 1, start - 200ms, {}), start);
    CHECK(ledger.closesAt(200, start) == start + 6500ms);
    ledger.onNotice(noticeOf("c", 1, start - 4s, {}), start);
    CHECK(ledger.closesAt(200, start) == start + 10500ms);
    CHECK(ledger.closesAt(200, start + 3s) == start + 6500ms);
    // The bound holds whatever a peer says.
    ledger.onNotice(noticeOf("d", 1, 1s, {}), start);
    CHECK(ledger.closesAt(200, start) == start + 12500ms);
    ledger.onNotice(noticeOf("a", 1, start - 5s, {}), start + 500ms);
    CHECK(ledger.closesAt(200, start + 3100ms) == start + 6500ms + 700ms);
}

TEST_CASE("old windows are folded and bounded, and late reports of them are not added twice")
{
    UsageSettings settings;
    settings.maxWindows = 10;
    UsageLedger ledger(InstanceId("b"), 1, settings);
    for (std::uint64_t window = 200; window < 220; ++window)
        ledger.onNotice(noticeOf("a", 1, start, { { window, { { one, 3 } } } }), start + (window - 200) * 5s);
    ledger.sweep(start + 100s);
    CHECK(ledger.oldest() == 210);
    CHECK(ledger.floor() == 210);
    ledger.onNotice(noticeOf("a", 1, start, { { 210, { { one, 4 } } } }), start + 100s);
    CHECK(ledger.totals(210).counts == std::vector<AccountRuns> { { one, 3 } });
    ledger.onNotice(noticeOf("a", 1, start, { {
                                                  209,
                                                  { { one, 4 } },
                                              },
                                                { 5000, { { one, 1 } } } }),
        start + 100s);
    CHECK(ledger.totals(209).counts.empty());
    CHECK(ledger.totals(5000).counts.empty());
    CHECK_FALSE(ledger.onRun(one, start));
}
