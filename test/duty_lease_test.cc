#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "goldcrestwood/duty_lease.h"
#include "goldcrestwood/log_position.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

std::string addressOf(const char* holder)
{
    return std::string(holder) + ":7000";
}

DutyRecord recordOf(const char* holder, std::uint64_t incarnation = 1)
{
    return { InstanceId(holder), addressOf(holder), incarnation, 0, {}, {}, 0, 0, 0, {}, {} };
}

DutyLease leaseOf(const char* instance, bool checksFences = true)
{
    DutyLeaseSettings settings;
    settings.upstreamsCheckFences = checksFences;
    return { InstanceId(instance), addressOf(instance), 1, settings };
}

} // namespace

TEST_CASE("no daemon claims before it has read the topic")
{
    auto lease = leaseOf("a");
    CHECK_FALSE(lease.mayClaim(false, start));
    lease.onReadTo(0);
    CHECK(lease.mayClaim(false, start));
}

TEST_CASE("a holder may give orders until its term ends, counted from the sending of the record")
{
    auto lease = leaseOf("a");
    lease.onReadTo(0);
    lease.onAppended(recordOf("a"), 4, start);
    CHECK(lease.fence() == 5);
    CHECK(lease.mayOrder(start + 1100ms));
    CHECK_FALSE(lease.mayOrder(start + 1200ms));
    lease.onAppended(recordOf("a"), 5, start + 1s);
    CHECK(lease.fence() == 5);
    CHECK(lease.mayOrder(start + 2100ms));
}

TEST_CASE("a claim by another daemon ends the holder's orders immediately")
{
    auto lease = leaseOf("a");
    lease.onReadTo(0);
    lease.onAppended(recordOf("a"), 0, start);
    lease.onRecord(recordOf("b"), 1, start + 10ms);
    CHECK_FALSE(lease.mayOrder(start + 20ms));
    CHECK(lease.fence() == 0);
}

TEST_CASE("a restarted process claims immediately, because its predecessor on the machine has ended")
{
    auto lease = leaseOf("a", false);
    lease.onRecord(recordOf("a", 7), 3, start);
    lease.onReadTo(4);
    CHECK_FALSE(lease.isLastHolder());
    CHECK_FALSE(lease.mayOrder(start));
    CHECK(lease.mayClaim(true, start));
    lease.onAppended(recordOf("a"), 4, start);
    CHECK(lease.fence() == 5);
}

TEST_CASE("a machine with the same name but another address is another holder")
{
    auto lease = leaseOf("a", false);
    auto record = recordOf("a", 7);
    record.address = "b:7000";
    lease.onRecord(record, 3, start);
    lease.onReadTo(4);
    CHECK_FALSE(lease.isLastHolder());
    CHECK_FALSE(lease.mayClaim(true, start + 1s));
    CHECK_FALSE(lease.mayClaim(false, start + 4400ms));
}

TEST_CASE("a claimant waits for the handover gap, except after an unhealthy holder if upstreams check fences")
{
    auto lease = leaseOf("b");
    lease.onRecord(recordOf("a"), 0, start);
    lease.onReadTo(1);
    CHECK_FALSE(lease.mayClaim(false, start + 1400ms));
    CHECK(lease.mayClaim(false, start + 1500ms));
    CHECK_FALSE(lease.mayClaim(true, start + 4400ms));
    CHECK(lease.mayClaim(true, start + 4500ms));

    auto unchecked = leaseOf("b", false);
    unchecked.onRecord(recordOf("a"), 0, start);
    unchecked.onReadTo(1);
    CHECK_FALSE(unchecked.mayClaim(false, start + 4400ms));
}

TEST_CASE("an append with an unknown outcome requires a read")
{
    auto lease = leaseOf("a");
    lease.onReadTo(0);
    lease.onAppendFailed();
    CHECK(lease.mustRead());
    CHECK_FALSE(lease.mayClaim(false, start));
    // The append had succeeded.
    lease.onRecord(recordOf("a"), 0, start + 1s);
    lease.onReadTo(1);
    CHECK(lease.isLastHolder());
}

TEST_CASE("a holder whose record the store has lost gives no orders, and nobody claims before its term has ended")
{
    auto lease = leaseOf("a");
    lease.onReadTo(logPosition(1, 0));
    lease.onAppended(recordOf("a"), logPosition(1, 7), start);
    const auto fence = lease.fence();
    CHECK(lease.mayOrder(start + 1s));
    lease.onRestored(2, start + 1s);
    CHECK_FALSE(lease.mayOrder(start + 1s));
    CHECK(lease.mustRead());
    lease.onReadTo(logPosition(2, 3));
    CHECK_FALSE(lease.mayClaim(false, start + 2s));
    CHECK(lease.mayClaim(false, start + 2500ms));
    lease.onAppended(recordOf("a"), logPosition(2, 3), start + 2500ms);
    CHECK(lease.fence() > fence);
}

TEST_CASE("a process that finds an earlier return of the store at its start claims without a wait")
{
    auto lease = leaseOf("a");
    lease.onRestored(4, start);
    lease.onReadTo(logPosition(4, 9));
    CHECK(lease.mayClaim(false, start));
}

namespace {

/// Daemons act at random. An append succeeds only at the end offset that the daemon knows, and its answer may be lost. Orders of two
/// holders must be at least 3 s apart, with rising fences.
/// @param storeReturns Whether the store comes back from older copies at times.
void playHolders(unsigned seed, bool storeReturns)
{
    std::mt19937 random(seed);
    std::vector<DutyRecord> log;
    std::uint64_t era = 0;
    std::vector<DutyLease> leases { leaseOf("a", false), leaseOf("b", false), leaseOf("c", false) };
    const char* names[] = { "a", "b", "c" };
    std::vector<TimePoint> pausedUntil(3, start);
    std::size_t lastHolder = 3;
    TimePoint lastOrder = start - 100s;
    std::uint64_t lastFence = 0;
    std::size_t orders = 0;
    for (auto now = start; now < start + 60s; now += 50ms) {
        if (storeReturns && random() % 200 == 0) {
            log.resize(random() % (log.size() + 1));
            ++era;
        }
        for (std::size_t who = 0; who < leases.size(); ++who) {
            auto& lease = leases[who];
            if (now < pausedUntil[who])
                continue;
            if (random() % 60 == 0) {
                pausedUntil[who] = now + std::chrono::milliseconds(random() % 6000);
                continue;
            }
            const bool isCurrent = logEra(lease.end()) == era;
            if (!isCurrent && random() % 2 == 0)
                lease.onRestored(era, now);
            else if (isCurrent && (lease.mustRead() || random() % 3 == 0)) {
                for (auto offset = logOffset(lease.end()); offset < log.size(); ++offset)
                    lease.onRecord(log[offset], logPosition(era, offset), now);
                lease.onReadTo(logPosition(era, log.size()));
            }
            if (lease.mayClaim(random() % 2 == 0, now) && (!lease.mayOrder(now) || lease.isRenewalDue(now))) {
                // Without knowing of the store's return, the end may match by chance.
                const bool isAppended = logOffset(lease.end()) == log.size();
                if (isAppended)
                    log.push_back(recordOf(names[who]));
                if (isAppended && logEra(lease.end()) == era && random() % 10 != 0)
                    lease.onAppended(log.back(), logPosition(era, log.size() - 1), now);
                else
                    lease.onAppendFailed();
            }
            if (!lease.mayOrder(now))
                continue;
            ++orders;
            INFO("seed " << seed << " at " << (now - start).count());
            if (who != lastHolder) {
                REQUIRE(now - lastOrder >= 3s);
                REQUIRE(lease.fence() > lastFence);
            }
            lastHolder = who;
            lastOrder = now;
            lastFence = lease.fence();
        }
    }
    CHECK(orders > 0);
}

} // namespace

TEST_CASE("pauses, lost answers and late reads in any order leave one holder at a time")
{
    for (unsigned seed = 0; seed < 300; ++seed)
        playHolders(seed, false);
}

TEST_CASE("one holder at a time orders, with rising fences, while the store returns from older copies")
{
    for (unsigned seed = 0; seed < 300; ++seed)
        playHolders(seed, true);
}
