/// @file
/// Permits: the daemons together stay within the limit whatever faults occur in the network, the daemons and the upstream.

#include "permits_site.h"

using namespace goldcrestwood;
using namespace goldcrestwood::permits_model;
using namespace std::chrono_literals;

namespace {

ConcurrencySettings coldOnly(std::uint32_t bound)
{
    ConcurrencySettings limits;
    limits.cold = bound;
    limits.max = bound;
    return limits;
}

} // namespace

TEST_CASE("floor shares of all daemons fit into the cold bound")
{
    std::vector<InstanceId> listed;
    for (int i = 0; i < 40; ++i) {
        listed.push_back(InstanceId("i" + std::to_string(i)));
        for (const std::uint32_t bound : { 1U, 2U, 3U, 16U, 100U }) {
            std::uint32_t sum = 0;
            for (const auto& id : listed)
                sum += floorShare(target, listed, id, bound);
            CHECK(sum <= bound);
            CHECK(sum == std::min<std::uint32_t>({ bound / 2, std::uint32_t(listed.size()), 2 }));
        }
    }
}

TEST_CASE("requests in flight from all daemons together stay within the cold bound")
{
    const auto seed = GENERATE(range(1, 41));
    INFO("seed " << seed);
    Faults faults;
    faults.loss = 0.1;
    faults.duplication = 0.2;
    faults.maxDelay = seed % 3 == 0 ? Duration(3s) : Duration(200ms);
    faults.partitions = seed % 2 == 0;
    faults.pauses = seed % 4 < 2;
    faults.restarts = seed % 5 == 0;
    faults.upstreamRestarts = seed % 7 == 0;
    Site site(std::uint64_t(seed), faults, coldOnly(seed % 3 == 1 ? 5 : 2));
    site.finishProbability = seed % 4 == 1 ? 0.004 : 0.05;
    site.run(60s);
    CHECK(site.served > 20);
}

TEST_CASE("without faults, the whole bound is used and all daemons are served")
{
    Site site(7, {}, coldOnly(2));
    site.run(20s);
    const auto before = site.servedBy;
    const auto total = site.served;
    site.run(40s);
    INFO("served " << site.served - total);
    // A bound of two and a mean request time of 100 ms allow 800 requests in 40 s.
    CHECK(site.served - total > 500);
    for (std::size_t i = 0; i < 7; ++i)
        CHECK(site.servedBy[i] - before[i] > 40);
}

TEST_CASE("a restarted upstream falls back to the cold bound at once")
{
    const auto seed = GENERATE(range(1, 11));
    INFO("seed " << seed);
    ConcurrencySettings limits;
    limits.max = 24;
    Site site(std::uint64_t(seed), {}, limits);
    for (auto& daemon : site.daemons)
        daemon.demand = 6;
    site.run(30s);
    CHECK(site.maxInFlight > 16);
    ++site.epoch;
    site.checkBound = false;
    site.maxInFlight = 0;
    // Each daemon notices the restart at its first response or broken stream; requests started before that stay bounded.
    const auto restartedAt = site.now;
    while (site.issuer()->epoch() < site.epoch)
        site.step();
    CHECK(site.now - restartedAt < 500ms);
    CHECK(site.issuer()->limit() == limits.cold);
    site.run(50ms);
    INFO("in flight right after the restart " << site.requestsAtUpstream() << ", maximum " << site.maxInFlight);
    site.finishProbability = 0;
    const auto started = site.requestsAtUpstream();
    site.run(2s);
    // Responses of the new process have begun to raise the limit again.
    CHECK(site.requestsAtUpstream() <= std::max(started, site.issuer()->limit()));
    CHECK(site.issuer()->limit() < 8);
}

TEST_CASE("a successor grants at once after a handover and charges grants of the former owner")
{
    const auto limits = coldOnly(2);
    const TimePoint now(1000s);
    PermitSettings settings;
    settings.maxFloorRequests = 0;
    PermitIssuer former(target, limits, settings, now - 100s);
    former.setAuthority(now + 100s);
    PermitHolder busy(target, InstanceId("busy"), 1, limits, settings, now);
    busy.setWaiting(2);
    auto grantOf = [](const std::vector<PermitMessage>& messages) { return std::get<AddressedGrant>(messages.at(0)).grant; };
    former.poll(now);
    busy.onGrant(grantOf(former.onRequest(*busy.poll(now), now)), now);
    REQUIRE(busy.free(now) == 2);

    const auto handover = former.handOver(now);
    CHECK(handover.authoritative);
    CHECK(grantOf(former.onRequest(*busy.poll(now + 900ms), now + 900ms)).count == 0);

    PermitIssuer successor(target, limits, settings, now);
    successor.setAuthority(now + 100s);
    // An owner that lost its majority does not know what others have granted since.
    PermitIssuer minorityOwner(target, limits, settings, now - 100s);
    successor.onHandover(minorityOwner.handOver(now), now);
    PermitHolder early(target, InstanceId("early"), 1, limits, settings, now);
    early.setWaiting(2);
    CHECK(grantOf(successor.onRequest(*early.poll(now), now)).count == 0);
    successor.onHandover(handover, now);
    PermitHolder other(target, InstanceId("other"), 1, limits, settings, now);
    other.setWaiting(1);
    CHECK(grantOf(successor.onRequest(*other.poll(now), now)).count == 0);
    busy.setWaiting(0);
    busy.onOwnerChange();
    // The first report still includes the peak demand of the time before it.
    successor.onRequest(*busy.poll(now + 3s), now + 3s);
    successor.onRequest(*busy.poll(now + 4s), now + 4s);
    other.setWaiting(2);
    CHECK(grantOf(successor.onRequest(*other.poll(now + 4s), now + 4s)).count == 2);
}

TEST_CASE("late, duplicate and reordered grants have no effect beyond their term")
{
    PermitSettings settings;
    const TimePoint now(1000s);
    PermitHolder holder(target, InstanceId("h"), 3, coldOnly(9), settings, now);
    holder.setWaiting(9);
    const auto first = *holder.poll(now);
    const auto second = *holder.poll(now + 200ms);
    auto answer = [&](const PermitRequest& request, std::uint32_t count) {
        return PermitGrant { target, request.incarnation, request.sequence, 0, count, false, settings.term };
    };
    holder.onGrant(answer(second, 4), now + 300ms);
    holder.onGrant(answer(first, 9), now + 310ms);
    holder.onGrant(answer(second, 4), now + 320ms);
    CHECK(holder.free(now + 330ms) == 4);
    CHECK(holder.free(now + 200ms + settings.term - 1us) == 4);
    CHECK(holder.free(now + 200ms + settings.term) == 0);
    holder.onGrant(answer(second, 4), now + 200ms + settings.term);
    CHECK(holder.free(now + 200ms + settings.term) == 0);
    auto foreign = answer(*holder.poll(now + 4s), 9);
    foreign.incarnation = 2;
    holder.onGrant(foreign, now + 4s);
    CHECK(holder.free(now + 4s) == 0);
}

TEST_CASE("a floor share that moved to another daemon stays charged until its requests have ended")
{
    const TimePoint now(1000s);
    PermitSettings settings;
    PermitIssuer issuer(target, coldOnly(2), settings, now);
    issuer.onHandover({ target, 1, 2, {}, true }, now);
    issuer.setFloors({ InstanceId("a") }, now);
    CHECK(issuer.charged() == 1);
    issuer.setFloors({ InstanceId("a") }, now);
    CHECK(issuer.charged() == 1);
    issuer.setFloors({ InstanceId("b") }, now);
    CHECK(issuer.charged() == 2);
    issuer.poll(now + settings.orphanChargeTime + settings.term + settings.clockMargin);
    CHECK(issuer.charged() == 1);
}

TEST_CASE("a permit that one daemon does not use goes to another within a few messages")
{
    const ConcurrencySettings bounds { 1, 8 };
    PermitSettings times;
    times.maxFloorRequests = 0;
    TimePoint now(1000s);
    PermitIssuer owner(target, bounds, times, now - 100s);
    PermitHolder first(target, InstanceId("nha-be-0"), 1, bounds, times, now);
    PermitHolder second(target, InstanceId("nha-be-1"), 1, bounds, times, now);
    const auto deliver = [&](const std::vector<PermitMessage>& messages) {
        for (const auto& message : messages) {
            if (const auto* addressed = std::get_if<AddressedGrant>(&message))
                (addressed->to == InstanceId("nha-be-0") ? first : second).onGrant(addressed->grant, now);
        }
    };
    const auto step = [&] {
        now += times.requestInterval;
        owner.setAuthority(now + 1s);
        owner.onUnanimous(now);
        for (auto* holder : { &first, &second }) {
            if (const auto request = holder->poll(now))
                deliver(owner.onRequest(*request, now));
        }
    };
    first.setWaiting(1);
    step();
    step();
    const auto permit = first.tryAcquire(now);
    REQUIRE(permit);
    first.setWaiting(0);
    first.release(*permit, PermitEnd::Succeeded);

    second.setWaiting(1);
    step();
    first.onContention();
    constexpr int maxSteps = 5;
    for (int i = 0; i < maxSteps; ++i)
        step();
    CHECK(second.tryAcquire(now));
}
