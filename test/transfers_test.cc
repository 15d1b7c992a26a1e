/// @file
/// Tests link shares with lost grants and changing owners, the order and deadlines of transfers, and the export policy.

#include <catch2/catch.hpp>

#include <map>

#include "goldcrestwood/export_policy.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/return_history.h"
#include "goldcrestwood/transfers.h"

using namespace goldcrestwood;

namespace {

const UpstreamId store("glaze-memory");
const TimePoint start { std::chrono::seconds(1000) };
constexpr double capacity = 64e6;
constexpr std::uint64_t mebibyte = 1 << 20;

InstanceId daemon(std::size_t number)
{
    return InstanceId("daemon-" + std::to_string(number));
}

Transfer makeTransfer(std::uint64_t id, TransferClass kind, std::uint64_t bytes, Duration deadline)
{
    return { { id }, store, kind, bytes, start + deadline };
}

std::vector<ChainHash> chainOf(std::uint64_t first, std::size_t blocks)
{
    std::vector<ChainHash> chain;
    for (std::size_t i = 0; i < blocks; ++i)
        chain.push_back({ first * 1000 + i });
    return chain;
}

} // namespace

TEST_CASE("shares in use never exceed the capacity of the link, even if messages are lost")
{
    const auto seed = GENERATE(range(1, 20));
    INFO("seed " << seed);
    Random random(static_cast<std::uint64_t>(seed));
    constexpr std::size_t daemons = 7;
    const TransferSettings settings;
    struct Held {
        double share = 0;
        TimePoint until;
    };
    std::map<std::size_t, Held> held;
    std::optional<LinkBroker> broker(std::in_place, settings, capacity, daemons, start);
    const auto floorShare = capacity * settings.floorShare / daemons;
    auto now = start;
    for (int step = 0; step < 500; ++step) {
        now += std::chrono::milliseconds(random() % 500);
        // Another owner takes over and waits until the grants of this one have expired.
        if (random() % 100 == 0)
            broker.emplace(settings, capacity, daemons, now + settings.grantLifetime);
        const auto index = random() % daemons;
        const LinkDemand demand { store, random() % 80'000'000, random() % 30'000'000, random() % 30'000'000 };
        const auto share = broker->demand(daemon(index), demand, now);
        if (random() % 4 && (static_cast<double>(share.bytesPerSecond) > floorShare || now >= held[index].until))
            held[index] = { static_cast<double>(share.bytesPerSecond), now + share.lifetime };
        auto sum = 0.0;
        for (std::size_t i = 0; i < daemons; ++i)
            sum += now < held[i].until ? std::max(held[i].share, floorShare) : floorShare;
        CHECK(sum <= capacity * 1.0001);
        CHECK(broker->granted(now) <= capacity * 1.0001);
    }
}

TEST_CASE("a link is divided by demand with priority for waiting requests")
{
    LinkBroker broker({}, capacity, 2, start);
    const LinkDemand background { store, 0, 0, 100'000'000 };
    const LinkDemand urgent { store, 20'000'000, 0, 0 };
    auto now = start;
    LinkShare first;
    LinkShare second;
    for (int round = 0; round < 6; ++round) {
        first = broker.demand(daemon(1), background, now);
        second = broker.demand(daemon(2), urgent, now);
        now += std::chrono::seconds(1);
    }
    CHECK(second.bytesPerSecond >= 20'000'000);
    CHECK(first.bytesPerSecond > second.bytesPerSecond);
    CHECK(second.speed >= second.bytesPerSecond);
}

TEST_CASE("transfers start by class and deadline, and those that would miss their deadline are dropped")
{
    TransferSettings settings;
    settings.burst = std::chrono::milliseconds(16);
    TransferQueue queue(settings);
    queue.setLink(store, capacity, 1, start);
    queue.grant({ store, 64'000'000, 64'000'000, std::chrono::seconds(100) }, start);
    const auto longDeadline = std::chrono::seconds(10);
    auto now = start + std::chrono::milliseconds(100);
    CHECK(queue.submit(makeTransfer(1, TransferClass::Export, 64 * mebibyte, longDeadline), now).start.size() == 1);
    CHECK(queue.submit(makeTransfer(2, TransferClass::Export, mebibyte, longDeadline), now) == TransferActions {});
    CHECK(queue.submit(makeTransfer(3, TransferClass::FirstToken, mebibyte, longDeadline), now) == TransferActions {});
    CHECK(queue.submit(makeTransfer(4, TransferClass::FirstToken, mebibyte, std::chrono::seconds(5)), now) == TransferActions {});
    const auto late = queue.submit(makeTransfer(5, TransferClass::FirstToken, mebibyte, std::chrono::milliseconds(600)), now);
    CHECK(late.drop == std::vector { DropTransfer { { 5 } } });
    CHECK(queue.estimate(store, now).backlogBytes > 64e6);
    queue.finish({ 2 }, 0, now);

    std::vector<std::uint64_t> order;
    for (int step = 0; step < 20; ++step) {
        now = queue.nextStart(now).value_or(now);
        for (const auto& started : queue.tick(now).start)
            order.push_back(started.id.value);
    }
    CHECK(order == std::vector<std::uint64_t> { 4, 3 });
    CHECK_FALSE(queue.nextStart(now));
}

TEST_CASE("a cancelled transfer returns its unused allowance, and the assumed speed falls back after a grant expired")
{
    TransferQueue queue;
    queue.setLink(store, capacity, 7, start);
    queue.grant({ store, 32'000'000, 64'000'000, std::chrono::seconds(3) }, start);
    auto now = start + std::chrono::seconds(2);
    queue.submit(makeTransfer(1, TransferClass::FirstToken, 100 * mebibyte, std::chrono::seconds(60)), now);
    const auto before = queue.estimate(store, now).backlogBytes;
    queue.finish({ 1 }, 0, now);
    CHECK(before > 0);
    CHECK(queue.estimate(store, now).backlogBytes == 0);
    CHECK(queue.demand(store, now).firstToken > 0);
    const auto lapsed = queue.estimate(store, start + std::chrono::seconds(4));
    CHECK(lapsed.bytesPerSecond == Approx(capacity * TransferSettings {}.ungrantedSpeedShare));
    queue.submit(makeTransfer(2, TransferClass::FirstToken, 100 * mebibyte, std::chrono::seconds(60)), now);
    queue.submit(makeTransfer(3, TransferClass::FirstToken, 100 * mebibyte, std::chrono::seconds(60)), now);
    queue.submit(makeTransfer(4, TransferClass::FirstToken, mebibyte, std::chrono::seconds(60)), now);
    CHECK(queue.removeLink(store).drop == std::vector { DropTransfer { { 3 } }, DropTransfer { { 4 } } });
    CHECK(queue.estimate(store, now) == LinkEstimate {});
    CHECK(queue.submit({ { 9 }, UpstreamId("other"), TransferClass::Export, 1, start }, now).drop.size() == 1);
}

TEST_CASE("the return chance is learnt from an account's returning prompts, not from one-off prompts")
{
    ReturnHistory history;
    const ClientAccount bakery("bakery");
    const ClientAccount clerk("clerk");
    auto now = start;
    for (std::uint64_t i = 0; i < 200; ++i) {
        now += std::chrono::seconds(1);
        history.observe(clerk, chainOf(100'000 + i, 2), now);
        const auto prompt = i % 100;
        // Each prompt returns after 100 seconds with two more blocks.
        const auto back = history.observe(bakery, chainOf(prompt, i < 100 ? 3 : 5), now);
        CHECK(back.has_value() == (i >= 100));
        if (back)
            CHECK(*back == PromptReturn { std::chrono::seconds(100), 3 });
    }
    CHECK(history.returnChance(bakery) > 0.4);
    CHECK(history.returnChance(clerk) < 0.05);
    CHECK(history.chanceWithin(bakery, std::chrono::seconds(60), std::chrono::seconds(70)) > 0.4);
    CHECK(history.chanceWithin(bakery, std::chrono::seconds(1), std::chrono::seconds(30)) < 0.05);
    CHECK(history.chanceWithin(bakery, std::chrono::seconds(200), std::chrono::seconds(200)) < 0.05);
}

TEST_CASE("only blocks that are likely to return and that no store holds are exported")
{
    const auto chain = chainOf(1, 4);
    const FailureDomain near("thu-duc");
    const FailureDomain far("nha-be");
    const std::vector<ExportTarget> targets {
        { store, near, { 64e6, 0 }, 0.5 },
        { UpstreamId("glaze-memory-2"), far, { 64e6, 0 }, 0.5 },
    };
    const ExportSettings settings;
    auto plan = [&](const ChainCoverage& coverage) { return planExports(settings, chain, coverage, targets); };

    CHECK(plan({ {}, {}, { 0, 0, 0, 0 }, 0.1 }).empty());
    CHECK(plan({ {}, {}, { 0, 0, 0, 0 }, 0.9 }).at(0).blocks == std::vector<std::uint32_t> { 0, 1, 2, 3 });
    CHECK(plan({ {}, {}, { 1, 1, 0, 0 }, 0.1 }).at(0).blocks == std::vector<std::uint32_t> { 0, 1 });
    // Blocks after a hole are not worth exporting.
    CHECK(plan({ {}, {}, { 0, 1, 1, 1 }, 0.1 }).empty());
    CHECK(plan({ {}, { { store, Tier::StoreDisk, 0, 3, 1 } }, { 1, 1, 1, 1 }, 0.1 }).at(0).blocks == std::vector<std::uint32_t> { 3 });
    // A frequently used block gets a second copy in the other domain.
    const auto copies = plan({ {}, { { store, Tier::StoreMemory, 0, 4, 1 } }, { 20, 20, 1, 1 }, 0.1 });
    REQUIRE(copies.size() == 1);
    CHECK(copies[0] == ExportOrder { UpstreamId("glaze-memory-2"), { 0, 1 } });

    const std::vector<ExportTarget> busy { { store, near, { 64e6, 640e6 }, 0.5 } };
    CHECK(planExports(settings, chain, { {}, {}, { 1, 1, 1, 1 }, 0.9 }, busy).empty());
}
