/// @file
/// Owners and standbys as daemons join, leave and flap.

#include <catch2/catch.hpp>

#include <set>

#include "goldcrestwood/hash.h"
#include "goldcrestwood/ownership.h"
#include "goldcrestwood/random.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const Region home("saigon");

OwnerCandidate daemon(std::size_t number)
{
    return { InstanceId("daemon-" + std::to_string(number)), FailureDomain("domain-" + std::to_string(number % 3)),
        home };
}

std::vector<OwnedResource> makeResources(std::size_t count)
{
    std::vector<OwnedResource> resources;
    for (std::size_t i = 0; i < count; ++i)
        resources.push_back({ stableHash("upstream-" + std::to_string(i)), home,
            FailureDomain("domain-" + std::to_string(i % 3)) });
    return resources;
}

} // namespace

TEST_CASE("after any sequence of changes all daemons agree on the owners, which match a full ranking")
{
    const auto seed = GENERATE(range(1U, 9U));
    INFO("seed " << seed);
    Random random(seed);
    const auto resources = makeResources(300);
    constexpr std::size_t daemons = 9;
    Ownership first({}, daemon(0).id);
    Ownership second({}, daemon(1).id);
    first.setResources(resources);
    TimePoint now(1h);
    std::vector<bool> usable(daemons, false);
    std::map<std::uint64_t, OwnerRole> roles;
    const auto apply = [&](const std::vector<OwnershipChange>& changes) {
        for (const auto& change : changes) {
            CHECK(roles[change.key] == change.before);
            roles[change.key] = change.after;
        }
    };
    for (int i = 0; i < 120; ++i) {
        const auto number = random() % daemons;
        usable[number] = random() % 3 != 0;
        apply(first.onMember(daemon(number), usable[number], now));
        now += 500ms;
        apply(first.poll(now));
    }
    now += 10s;
    apply(first.poll(now));
    for (std::size_t i = daemons; i-- > 0;)
        second.onMember(daemon(i), usable[i], now);
    second.poll(now + 10s);
    second.setResources(resources);
    for (const auto& resource : resources) {
        const auto owners = first.ownersOf(resource.key);
        CHECK(owners == second.ownersOf(resource.key));
        CHECK(owners == first.rank(resource));
        CHECK((owners.owner != owners.standby || owners.owner.empty()));
        CHECK(first.roleOf(resource.key) == roles[resource.key]);
    }
}

TEST_CASE("resources are spread evenly over owners, and the standby is in the resource's failure domain")
{
    Ownership ownership({}, daemon(0).id);
    const auto resources = makeResources(4500);
    ownership.setResources(resources);
    const TimePoint now(1h);
    for (std::size_t i = 0; i < 30; ++i)
        ownership.onMember(daemon(i), true, now);
    ownership.poll(now + 5s);
    std::map<InstanceId, std::size_t> owned;
    for (const auto& resource : resources) {
        const auto [owner, standby] = ownership.ownersOf(resource.key);
        ++owned[owner];
        CHECK(daemon(std::stoul(standby.value.substr(7))).domain == resource.domain);
    }
    for (const auto& [id, count] : owned)
        CHECK(count < 2 * 4500 / 30);
    CHECK(owned.size() == 30);
}

TEST_CASE("a leaving daemon moves only its own resources, and a flapping one gains none until it is stable")
{
    Ownership ownership({}, daemon(0).id);
    const auto resources = makeResources(1000);
    ownership.setResources(resources);
    TimePoint now(1h);
    for (std::size_t i = 0; i < 10; ++i)
        ownership.onMember(daemon(i), true, now);
    ownership.poll(now += 5s);
    std::map<std::uint64_t, Owners> before;
    for (const auto& resource : resources)
        before[resource.key] = ownership.ownersOf(resource.key);
    ownership.onMember(daemon(4), false, now);
    for (const auto& [key, owners] : before) {
        if (owners.owner != daemon(4).id)
            CHECK(ownership.ownersOf(key).owner == owners.owner);
        else
            CHECK(ownership.ownersOf(key).owner != daemon(4).id);
    }
    for (int i = 0; i < 10; ++i) {
        ownership.onMember(daemon(4), true, now);
        ownership.poll(now += 2s);
        ownership.onMember(daemon(4), false, now);
        for (const auto& resource : resources)
            CHECK(ownership.ownersOf(resource.key).owner != daemon(4).id);
    }
    ownership.onMember(daemon(4), true, now);
    ownership.poll(now + 4s);
    for (const auto& [key, owners] : before)
        CHECK(ownership.ownersOf(key) == owners);
}

TEST_CASE("a starting daemon owns nothing until it has had time to discover the others")
{
    Ownership ownership({}, daemon(0).id);
    ownership.setResources(makeResources(100));
    const TimePoint now(1h);
    CHECK(ownership.onMember(daemon(0), true, now).empty());
    CHECK(ownership.poll(now + 1s).empty());
    ownership.onMember(daemon(1), true, now + 1s);
    std::size_t gained = 0;
    for (const auto& change : ownership.poll(now + 5s))
        gained += change.after == OwnerRole::Owner ? 1 : 0;
    CHECK(gained > 20);
    CHECK(gained < 80);
    CHECK_FALSE(ownership.onForgotten(daemon(1).id).empty());
    CHECK(ownership.ownersOf(makeResources(1)[0].key).standby.empty());
}
