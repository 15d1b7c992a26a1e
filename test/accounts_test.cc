/// @file
/// Admission control: site-wide rates, fairness among accounts and priorities, bounded queue, early refusals.

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "goldcrestwood/accounts.h"
#include "goldcrestwood/random.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const ServiceName kiln("kiln-voice");

AccountEntry account(const std::string& name, Priority priority, double weight = 1, double rate = 10000)
{
    AccountEntry entry;
    entry.name = ClientAccount(name);
    entry.priority = priority;
    entry.weight = weight;
    entry.requestsPerSecond = rate;
    entry.burstRequests = rate;
    return entry;
}

AdmissionRequest requestOf(const std::string& name, TimePoint deadline)
{
    return { ClientAccount(name), kiln, 1, deadline };
}

/// Runs admitted requests one at a time and counts them by account.
struct Counter {
    Admission admission;
    std::map<AdmissionId, std::string> names;
    std::map<std::string, int> served;

    void offer(const std::string& name, TimePoint now, int count, Duration patience = 1000s)
    {
        for (int i = 0; i < count; ++i) {
            const auto decision = this->admission.offer(requestOf(name, now + patience), now);
            if (const auto* queued = std::get_if<Queued>(&decision))
                this->names[queued->id] = name;
        }
    }

    void serve(TimePoint now, int count)
    {
        for (int i = 0; i < count; ++i) {
            for (const auto id : this->admission.poll(now).admitted) {
                ++this->served[this->names[id]];
                this->admission.release(id, now);
            }
        }
    }
};

} // namespace

TEST_CASE("a large account cannot starve a small one, and the rest is shared by weight")
{
    const TimePoint now(1s);
    Counter counter { Admission(InstanceId("i")), {}, {} };
    counter.admission.configure({ account("large", Priority::Normal), account("small", Priority::Normal),
                                    account("heavy", Priority::Normal, 3) },
        1, now);
    counter.offer("large", now, 500);
    counter.offer("small", now, 10);
    counter.offer("heavy", now, 400);
    counter.admission.setCapacity(kiln, 1);
    counter.serve(now, 50);
    CHECK(counter.served["small"] == 10);
    counter.served.clear();
    counter.serve(now, 200);
    CHECK(counter.served["heavy"] == Approx(3 * counter.served["large"]).margin(4));
    // An account that returns just after its queue ran empty does not overtake the waiting ones.
    counter.served.clear();
    for (int i = 0; i < 100; ++i) {
        counter.offer("small", now, 1);
        counter.serve(now, 1);
    }
    CHECK(counter.served["small"] <= 25);
}

TEST_CASE("priorities are served in order and none starves")
{
    const TimePoint now(1s);
    AdmissionSettings settings;
    Counter counter { Admission(InstanceId("i"), settings), {}, {} };
    counter.admission.configure({ account("vip", Priority::Important), account("usual", Priority::Normal),
                                    account("night", Priority::Batch) },
        1, now);
    for (const auto* name : { "night", "usual", "vip" })
        counter.offer(name, now, 300);
    counter.admission.setCapacity(kiln, 1);
    counter.serve(now, 320);
    CHECK(counter.served["night"] == 320 / int(settings.queue.batchEvery));
    CHECK(counter.served["usual"] >= 320 / int(settings.queue.normalEvery) - 1);
    CHECK(counter.served["vip"] >= 260);
}

TEST_CASE("a full queue evicts requests of large accounts in favour of small ones")
{
    const TimePoint now(1s);
    AdmissionSettings settings;
    settings.maxQueued = 50;
    Admission admission(InstanceId("i"), settings);
    admission.configure({ account("large", Priority::Normal), account("small", Priority::Normal), account("night", Priority::Batch) }, 1, now);
    for (int i = 0; i < 50; ++i)
        CHECK(std::holds_alternative<Queued>(admission.offer(requestOf("large", now + 1000s), now)));
    const auto last = admission.offer(requestOf("large", now + 1000s), now);
    REQUIRE(std::holds_alternative<Refused>(last));
    CHECK(std::get<Refused>(last).reason == AdmissionRefusal::QueueFull);
    CHECK(std::holds_alternative<Refused>(admission.offer(requestOf("night", now + 1000s), now)));
    CHECK(std::holds_alternative<Queued>(admission.offer(requestOf("small", now + 1000s), now)));
    REQUIRE(admission.wakeAt());
    CHECK(*admission.wakeAt() <= now);
    const auto outcome = admission.poll(now);
    REQUIRE(outcome.refused.size() == 1);
    CHECK(outcome.refused[0].reason == AdmissionRefusal::QueueFull);
    CHECK(outcome.refused[0].retryAfter > 0s);
    CHECK(admission.waiting(kiln) == 50);
}

TEST_CASE("a request that cannot meet its deadline is refused at once, with a Retry-After computed from the queue")
{
    TimePoint now(1s);
    Admission admission(InstanceId("i"));
    admission.configure({ account("usual", Priority::Normal) }, 1, now);
    admission.setCapacity(kiln, 1);
    auto first = admission.offer(requestOf("usual", now + 1s), now);
    now += 2s;
    admission.release(std::get<Admitted>(first).id, now);
    first = admission.offer(requestOf("usual", now + 1s), now);
    REQUIRE(std::holds_alternative<Admitted>(first));
    for (int i = 0; i < 5; ++i)
        admission.offer(requestOf("usual", now + 100s), now);
    const auto late = admission.offer(requestOf("usual", now + 3s), now);
    REQUIRE(std::holds_alternative<Refused>(late));
    CHECK(std::get<Refused>(late).reason == AdmissionRefusal::TooLate);
    // Six requests of 2 s each, minus the 3 s until the deadline.
    CHECK(std::get<Refused>(late).retryAfter == 9s);
    CHECK(std::get<Refused>(admission.offer(requestOf("nobody", now), now)).reason == AdmissionRefusal::UnknownAccount);
    // A queued request is refused as soon as its deadline passes.
    const auto queued = admission.offer(requestOf("usual", now + 20s), now);
    REQUIRE(std::holds_alternative<Queued>(queued));
    REQUIRE(admission.wakeAt());
    CHECK(*admission.wakeAt() == now + 20s);
    const auto outcome = admission.poll(now + 20s);
    REQUIRE(outcome.refused.size() == 1);
    CHECK(outcome.refused[0].id == std::get<Queued>(queued).id);
}

TEST_CASE("after a loss of capacity, requests that can no longer be served in time are refused at once")
{
    TimePoint now(1s);
    Admission admission(InstanceId("i"));
    admission.configure({ account("usual", Priority::Important) }, 1, now);
    admission.setCapacity(kiln, 10);
    for (int i = 0; i < 10; ++i)
        REQUIRE(std::holds_alternative<Admitted>(admission.offer(requestOf("usual", now + 5s), now)));
    // Ten at a time and half a second each: twenty a second.
    for (int i = 0; i < 80; ++i)
        REQUIRE(std::holds_alternative<Queued>(admission.offer(requestOf("usual", now + 5s), now)));
    CHECK(admission.poll(now).empty());
    admission.setCapacity(kiln, 2);
    const auto refused = admission.poll(now).refused;
    CHECK(refused.size() > 40);
    CHECK(refused.size() < 70);
    CHECK(admission.waiting(kiln) == 80 - refused.size());
}

TEST_CASE("the site's rate limit holds while demand moves between daemons")
{
    const auto seed = GENERATE(range(1, 11));
    INFO("seed " << seed);
    Random random { std::uint64_t(seed) };
    const SiteRate site { 70, 70 };
    RateSettings settings;
    RateIssuer issuer(site, settings);
    TimePoint now(1s);
    std::vector<AccountBucket> buckets(7, AccountBucket(site, 7, settings, now));
    int taken = 0;
    int late = 0;
    std::size_t busy = 0;
    for (int step = 0; step < 60000; ++step, now += 1ms) {
        if (step % 8000 == 0)
            busy = std::size_t(7 * uniform(random));
        // Four times the site's rate, 90 % of it at one daemon.
        if (uniform(random) < 0.28) {
            const auto index = uniform(random) < 0.9 ? busy : std::size_t(7 * uniform(random));
            const auto refused = buckets[index].take(now);
            taken += refused ? 0 : 1;
            late += refused ? 0 : int(step >= 20000);
        }
        for (std::size_t i = 0; i < buckets.size(); ++i) {
            const auto demand = buckets[i].poll(ClientAccount("a"), InstanceId("i" + std::to_string(i)), now);
            if (!demand || uniform(random) < 0.1)
                continue;
            if (const auto share = issuer.onDemand(*demand, now))
                buckets[i].onShare(*share, now);
            CHECK_FALSE(issuer.onDemand(*demand, now));
            double sum = 0;
            for (const auto& bucket : buckets)
                sum += bucket.rate(now);
            REQUIRE(sum <= site.requestsPerSecond * (1 + settings.silentShare) + 0.001);
        }
    }
    INFO("taken " << taken << " of which late " << late);
    CHECK(taken <= 70 + 60 * 70 * (1 + settings.silentShare));
    // An even split would admit 10 a second at the busy daemon and 28 at the others.
    CHECK(late > 40 * (10 + 28) * 1.2);
}
