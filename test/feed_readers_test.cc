#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "goldcrestwood/feed_readers.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

std::vector<DaemonCapacity> siteOf(std::size_t daemons)
{
    std::vector<DaemonCapacity> result;
    for (std::size_t number = 0; number < daemons; ++number)
        result.push_back({ InstanceId("d" + std::to_string(number)), number % 10 == 0 ? 0.5 : 0.12 });
    return result;
}

} // namespace

TEST_CASE("a small site's daemons all read, a large one's readers stay few")
{
    CHECK(feedReaders(siteOf(7)).size() == 7);
    CHECK(feedReaders(siteOf(90)).size() == 8);
    CHECK(feedReaders(siteOf(340)).size() == 8);
    CHECK(feedReaders({}).empty());
    // An engine answers twelve followers at once.
    CHECK(followsEngines(7));
    CHECK_FALSE(followsEngines(13));
}

TEST_CASE("daemons that know the same peers in another order agree on the readers, and one more changes one of them at most")
{
    auto daemons = siteOf(90);
    const auto readers = feedReaders(daemons);
    std::reverse(daemons.begin(), daemons.end());
    CHECK(feedReaders(daemons) == readers);
    daemons.push_back({ InstanceId("new"), 0.5 });
    const auto later = feedReaders(daemons);
    const auto kept = std::count_if(readers.begin(), readers.end(), [&](const auto& reader) { return std::find(later.begin(), later.end(), reader) != later.end(); });
    CHECK(kept >= 7);
}

TEST_CASE("questions spread over the readers, and a reader answers about as many at any size")
{
    for (const auto size : { std::size_t { 90 }, std::size_t { 340 } }) {
        const auto daemons = siteOf(size);
        const auto readers = feedReaders(daemons);
        std::map<InstanceId, double> perSecond;
        for (const auto& daemon : daemons)
            perSecond[readerFor(daemon.instance, readers)] += 1 / toSeconds(askInterval(size));
        REQUIRE(perSecond.size() == readers.size());
        for (const auto& [reader, rate] : perSecond)
            CHECK(rate < 80); // Twice an even share at 340 daemons.
    }
    CHECK(readerFor(InstanceId("d1"), {}) == InstanceId());
}
