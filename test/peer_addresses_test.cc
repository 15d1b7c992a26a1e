#include <catch2/catch.hpp>

#include "goldcrestwood/peer_addresses.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

} // namespace

TEST_CASE("addresses of replaced machines are removed; seeds and addresses still heard of are kept")
{
    PeerAddresses addresses({ "seed:1" });
    // A day of replacements: one machine every 48 s.
    auto now = start;
    for (int machine = 0; machine < 1800; ++machine, now += 48s) {
        addresses.onHeard("machine" + std::to_string(machine) + ":1", now);
        addresses.onHeard("stays:1", now);
        addresses.sweep(now);
    }
    const auto all = addresses.all();
    CHECK(all.size() < 30);
    CHECK(std::count(all.begin(), all.end(), "seed:1") == 1);
    CHECK(std::count(all.begin(), all.end(), "stays:1") == 1);
}

TEST_CASE("addresses survive a partition of minutes")
{
    PeerAddresses addresses;
    addresses.onHeard("parted:1", start);
    addresses.sweep(start + 10min);
    CHECK(addresses.all() == std::vector<std::string> { "parted:1" });
}
