/// @file
/// Tests which addresses an answer contains and how answers degrade.

#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "goldcrestwood/resolver.h"

using namespace goldcrestwood;

namespace {

const Region home("saigon");
const FailureDomain thuDuc("thu-duc");
const FailureDomain nhaBe("nha-be");

ResolverCandidate candidate(int number, const FailureDomain& domain, const Region& region = home)
{
    const auto text = std::to_string(number);
    return { InstanceId("i" + text), "10.0.0." + text + ":80", domain, region, MemberState::Alive, MemberPhase::Ready,
        false, false, 0 };
}

std::set<std::string> addressesOf(const ResolverAnswer& answer)
{
    std::set<std::string> addresses;
    for (const auto& endpoint : answer.endpoints)
        addresses.insert(endpoint.address);
    return addresses;
}

ResolverAnswer resolve(const std::vector<ResolverCandidate>& candidates, const std::optional<FailureDomain>& hint = {})
{
    Random random(3);
    return resolveEndpoints({}, candidates, home, hint, random);
}

} // namespace

TEST_CASE("an answer excludes instances that must not get new work")
{
    std::vector<ResolverCandidate> all(9, candidate(1, thuDuc));
    for (int i = 0; i < 9; ++i)
        all[static_cast<std::size_t>(i)] = candidate(i, thuDuc);
    all[1].phase = MemberPhase::Leaving;
    all[2].phase = MemberPhase::Starting;
    all[3].phase = MemberPhase::Isolated;
    all[4].state = MemberState::Dead;
    all[5].state = MemberState::Suspect;
    all[6].domainOut = true;
    all[7].listedLeaving = true;
    all[8].state = MemberState::Listed;
    const auto answer = resolve(all);
    CHECK(answer.level == ResolverLevel::Normal);
    CHECK(addressesOf(answer) == std::set<std::string> { "10.0.0.0:80" });
    CHECK(answer.lifetime > Duration(0));
}

TEST_CASE("an answer is never empty while an instance is usable, and never contains an excluded one")
{
    const auto seed = GENERATE(range(1U, 200U));
    INFO("seed " << seed);
    Random random(seed);
    std::vector<ResolverCandidate> all;
    bool usable = false;
    std::set<std::string> excluded;
    for (int i = 0; i < 4; ++i) {
        auto entry = candidate(i, random() % 2 == 0 ? thuDuc : nhaBe, random() % 3 == 0 ? Region("hanoi") : home);
        entry.state = static_cast<MemberState>(random() % 4);
        entry.phase = static_cast<MemberPhase>(random() % 5);
        entry.domainOut = random() % 3 == 0;
        entry.listedLeaving = random() % 3 == 0;
        const bool live = entry.state == MemberState::Alive || entry.state == MemberState::Suspect;
        const bool accepts = entry.phase == MemberPhase::Ready || entry.phase == MemberPhase::Leaving;
        if (live && accepts && !entry.domainOut)
            usable = true;
        else
            excluded.insert(entry.address);
        all.push_back(entry);
    }
    const auto answer = resolveEndpoints({}, all, home, thuDuc, random);
    CHECK(answer.endpoints.empty() != usable);
    for (const auto& address : addressesOf(answer))
        CHECK_FALSE(excluded.contains(address));
}

TEST_CASE("an isolated daemon returns unreachable instances, but not itself")
{
    std::vector<ResolverCandidate> all { candidate(0, thuDuc), candidate(1, thuDuc), candidate(2, nhaBe),
        candidate(3, nhaBe) };
    all[1].state = MemberState::Dead;
    all[2].state = MemberState::Suspect;
    all[3].state = MemberState::Dead;
    all[3].phase = MemberPhase::Left;
    const auto answer = resolve(candidatesWhenIsolated(all, InstanceId("i0")));
    CHECK(addressesOf(answer) == std::set<std::string> { "10.0.0.1:80", "10.0.0.2:80" });
}

TEST_CASE("fallback levels are used in order")
{
    auto elsewhere = candidate(1, FailureDomain("far"), Region("hanoi"));
    auto suspect = candidate(2, thuDuc);
    suspect.state = MemberState::Suspect;
    auto leaving = candidate(3, thuDuc);
    leaving.phase = MemberPhase::Leaving;
    CHECK(resolve({ leaving, suspect, elsewhere, candidate(4, thuDuc) }).level == ResolverLevel::Normal);
    CHECK(resolve({ leaving, suspect, elsewhere }).level == ResolverLevel::OtherRegion);
    CHECK(resolve({ leaving, suspect }).level == ResolverLevel::Suspect);
    CHECK(resolve({ leaving }).level == ResolverLevel::Leaving);
    CHECK(resolve({}).level == ResolverLevel::None);
}

TEST_CASE("the caller's failure domain is preferred unless it is busy")
{
    std::vector<ResolverCandidate> all;
    all.reserve(7);
    for (int i = 0; i < 7; ++i)
        all.push_back(candidate(i, i % 2 == 0 ? thuDuc : nhaBe));
    const auto shareOf = [&] {
        double inside = 0;
        double total = 0;
        for (const auto& endpoint : resolve(all, thuDuc).endpoints) {
            total += endpoint.weight;
            inside += endpoint.domain == thuDuc ? endpoint.weight : 0;
        }
        return inside / total;
    };
    CHECK(shareOf() > 0.9);
    CHECK(shareOf() < 1);
    for (auto& entry : all)
        entry.utilisation = entry.domain == thuDuc ? 0.95 : 0.2;
    CHECK(shareOf() < 0.2);
}

TEST_CASE("callers are spread over many instances in proportion to their headroom")
{
    std::vector<ResolverCandidate> all;
    for (int i = 0; i < 85; ++i) {
        all.push_back(candidate(i, i % 2 == 0 ? thuDuc : nhaBe));
        all.back().utilisation = i < 20 ? 0.9 : 0.3;
    }
    Random random(7);
    std::map<std::string, double> load;
    for (int i = 0; i < 4000; ++i) {
        const auto answer = resolveEndpoints({}, all, home, {}, random);
        REQUIRE(answer.endpoints.size() == 8);
        double total = 0;
        for (const auto& endpoint : answer.endpoints)
            total += endpoint.weight;
        for (const auto& endpoint : answer.endpoints)
            load[endpoint.address] += endpoint.weight / total;
    }
    double busy = 0;
    double largest = 0;
    for (int i = 0; i < 85; ++i) {
        const auto share = load["10.0.0." + std::to_string(i) + ":80"];
        busy += i < 20 ? share : 0;
        largest = std::max(largest, share);
    }
    CHECK(busy / 4000 < 0.08);
    CHECK(largest / 4000 < 2.0 / 65);
}
