/// @file
/// At most one lease holder gives orders to an upstream at a time, with and without fencing checks, under pauses and log outages.

#include <memory>

#include <catch2/catch.hpp>

#include "goldcrestwood/lease.h"
#include "simulation.h"

using namespace goldcrestwood;
using namespace goldcrestwood::simulation;

namespace {

const LeaseSettings settings { .term = 5s, .renewalInterval = 1500ms, .margin = 500ms, .maxOrderDuration = 1s, .maxClaimJitter = 500ms, .retryInterval = 1s };

/// An order received by an upstream.
struct Order {
    std::uint64_t fence = 0;
    TimePoint sent;
    TimePoint arrived;
};

struct LeaseFold {
    LeaseTable table;
    std::function<void()> observed;

    static std::set<std::string> kinds() { return { "LeaseClaim", "LeaseRenewal", "LeaseRelease", "SnapshotChunk" }; }

    template <typename Record>
    void applyAs(const AppliedRecord& record, const char* kind)
    {
        if (record.kind == kind)
            this->table.apply(record.offset, record.id, *decode<Record>(record.payload));
    }

    void apply(const AppliedRecord& record)
    {
        this->applyAs<LeaseClaim>(record, "LeaseClaim");
        this->applyAs<LeaseRenewal>(record, "LeaseRenewal");
        this->applyAs<LeaseRelease>(record, "LeaseRelease");
    }

    void complete(const Completion&) { }
    std::vector<FoldPart> parts() const { return { { "leases", encode(this->table.state()) } }; }
    void restore(const std::vector<FoldPart>& parts) { this->table = LeaseTable(*decode<LeaseTableState>(parts.at(0).state)); }
    void afterRead(std::uint64_t) { this->observed(); }
};

/// Orders received by the upstreams, by arrival.
struct Upstreams {
    std::vector<Order> unchecked;
    std::vector<Order> accepted;
    std::uint64_t highestFence = 0;
    int refused = 0;
};

/// A daemon that gives orders whenever its lease permits. Its clock runs up to 3% fast or slow.
class OrderingDaemon {
public:
    OrderingDaemon(World& site, FakeLog& stream, Upstreams& receivers, std::string name)
        : process(site)
        , log(stream)
        , upstreams(receivers)
        , instance(std::move(name))
    {
        this->start();
    }

    void start()
    {
        this->clockRate = 0.97 + 0.06 * uniform(this->process.world.random);
        this->holder = std::make_unique<LeaseHolder>(settings, "orders", this->instance, this->process.incarnation);
        this->fold = std::make_unique<LeaseFold>();
        this->fold->observed = [this] { this->holder->observe(this->fold->table, this->clock(), this->process.world.random); };
        this->runner = std::make_unique<StreamRunner<LeaseFold>>(this->process, this->log, *this->fold, JournalSettings(), this->instance);
        this->runner->keepGoing();
        this->keepOrdering();
    }

    void restart()
    {
        this->process.crash();
        this->start();
    }

    TimePoint clock() const
    {
        const auto elapsed = this->process.world.now.time_since_epoch();
        return TimePoint(fromSeconds(toSeconds(elapsed) * this->clockRate));
    }

    void keepOrdering()
    {
        if (const auto record = this->holder->poll(this->clock()))
            this->submit(*record);
        this->order();
        this->process.after(this->process.world.randomDuration(100ms), [this] { this->keepOrdering(); });
    }

    void submit(const LeaseRecord& record)
    {
        const char* kinds[] = { "LeaseClaim", "LeaseRenewal", "LeaseRelease" };
        const auto payload = std::visit([](const auto& message) { return encode(message); }, record);
        (void)this->runner->journal.submit(kinds[record.index()], payload, this->process.world.now);
    }

    /// Sends an order that arrives after up to 20 ms or up to maxOrderDuration, even if the sender pauses or crashes.
    void order()
    {
        auto& world = this->process.world;
        const auto sent = world.now;
        const auto delay = world.randomDuration(world.chance(0.2) ? settings.maxOrderDuration : 20ms);
        if (const auto fence = this->holder->fenceForOrder(this->clock(), false))
            world.after(delay, [&all = this->upstreams, fence = *fence, sent, &world] { all.unchecked.push_back({ fence, sent, world.now }); });
        if (const auto fence = this->holder->fenceForOrder(this->clock(), true)) {
            world.after(delay, [&all = this->upstreams, fence = *fence, sent, &world] {
                if (fence < all.highestFence) {
                    ++all.refused;
                    return;
                }
                all.highestFence = fence;
                all.accepted.push_back({ fence, sent, world.now });
            });
        }
    }

    Process process;
    FakeLog& log;
    Upstreams& upstreams;
    InstanceId instance;
    double clockRate = 1;
    std::unique_ptr<LeaseHolder> holder;
    std::unique_ptr<LeaseFold> fold;
    std::unique_ptr<StreamRunner<LeaseFold>> runner;
};

} // namespace

TEST_CASE("at most one holder gives orders to an upstream at a time")
{
    const auto seed = GENERATE(range(1, 16));
    INFO("seed " << seed);
    World world(seed);
    FakeLog log(world);
    Upstreams upstreams;
    std::vector<std::unique_ptr<OrderingDaemon>> daemons;
    for (const auto* name : { "a", "b", "c" })
        daemons.push_back(std::make_unique<OrderingDaemon>(world, log, upstreams, name));
    for (int round = 0; round < 80; ++round) {
        auto& daemon = *daemons[world.randomIndex(3)];
        const bool isHolder = daemon.holder->isHeld(daemon.clock());
        if (world.chance(isHolder ? 0.3 : 0.05))
            daemon.process.pause(world.randomDuration(12s));
        else if (world.chance(0.1))
            daemon.restart();
        else if (isHolder && world.chance(0.1))
            daemon.holder->release();
        log.faults.isUnavailable = world.chance(0.15);
        if (world.chance(0.2) && !daemon.runner->journal.needsState())
            daemon.runner->writeSnapshot(false);
        world.runFor(world.randomDuration(5s));
        int holders = 0;
        for (const auto& each : daemons)
            holders += each->holder->isHeld(each->clock()) ? 1 : 0;
        CHECK(holders <= 1);
    }

    std::set<std::uint64_t> fences;
    for (const auto* orders : { &upstreams.unchecked, &upstreams.accepted }) {
        std::uint64_t highest = 0;
        for (const auto& order : *orders) {
            CHECK(order.fence >= highest);
            highest = std::max(highest, order.fence);
            fences.insert(order.fence);
        }
    }
    CHECK(fences.size() > 3);
    CHECK(upstreams.unchecked.size() > 100);
}

TEST_CASE("a paused holder finds its lease expired, and a late renewal does not restore it")
{
    Random random(1);
    LeaseTable table;
    const RecordId first { InstanceId("a"), 1, 2 };
    const RecordId second { InstanceId("b"), 1, 2 };
    LeaseHolder holder(settings, "orders", InstanceId("a"), 1);
    LeaseHolder successor(settings, "orders", InstanceId("b"), 1);
    const TimePoint start(1h);
    holder.observe(table, start, random);
    const auto claim = std::get<LeaseClaim>(*holder.poll(start + 1s));
    REQUIRE(table.apply(10, first, claim));
    holder.observe(table, start + 1s, random);
    successor.observe(table, start + 1s, random);
    CHECK(holder.fenceForOrder(start + 2s, false) == 11);
    const auto renewal = std::get<LeaseRenewal>(*holder.poll(start + 4s));

    CHECK_FALSE(holder.fenceForOrder(start + 5600ms, true));
    CHECK_FALSE(successor.poll(start + 5900ms));
    const auto next = std::get<LeaseClaim>(*successor.poll(start + 6600ms));
    auto renewedFirst = table;
    CHECK(renewedFirst.apply(11, first, renewal));
    CHECK_FALSE(renewedFirst.apply(12, second, next));
    REQUIRE(table.apply(11, second, next));
    CHECK_FALSE(table.apply(12, first, renewal));
    successor.observe(table, start + 7s, random);
    CHECK(successor.fenceForOrder(start + 7s, true) == 12);
    CHECK_FALSE(successor.fenceForOrder(start + 7900ms, false));
    CHECK(successor.fenceForOrder(start + 8s, false) == 12);
    CHECK(table.find("orders")->holder == InstanceId("b"));

    // The term counts from the sending of the renewal, however late it is read back.
    holder.observe(renewedFirst, start + 8400ms, random);
    CHECK(holder.fenceForOrder(start + 8400ms, true) == 11);
    CHECK_FALSE(holder.fenceForOrder(start + 8600ms, true));
    // A claim that refers to a replaced lease loses, although the attempts have the same number.
    auto other = table;
    REQUIRE(other.apply(20, first, { "orders", 12, next.attempt, 5s, next.attempt }));
    CHECK_FALSE(other.apply(21, second, { "orders", 12, next.attempt, 5s, next.attempt }));
}
