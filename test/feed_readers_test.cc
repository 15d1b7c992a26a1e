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

TEST_CASE("all daemons of a small site are readers, and a large site has few readers")
{
    CHECK(feedReaders(siteOf(7)).size() == 7);
    CHECK(feedReaders(siteOf(90)).size() == 8);
    CHECK(feedReaders(siteOf(340)).size() == 8);
    CHECK(feedReaders({}).empty());
    // An engine serves twelve followers at once.
    CHECK(followsEngines(7));
    CHECK_FALSE(followsEngines(13));
}

TEST_CASE("the readers do not depend on the order of the candidates, and a new daemon replaces at most one of them")
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

TEST_CASE("queries spread over the readers, and each answers about as many at any site size")
{
    for (const auto size : { std::size_t { 90 }, std::size_t { 340 } }) {
        const auto daemons = siteOf(size);
        const auto readers = feedReaders(daemons);
        std::map<InstanceId, double> perSecond;
        for (const auto& daemon : daemons)
            perSecond[readerFor(daemon.instance, readers)] += 1 / toSeconds(queryInterval(size));
        REQUIRE(perSecond.size() == readers.size());
        for (const auto& [reader, rate] : perSecond)
            CHECK(rate < 80); // Twice the even share at 340 daemons.
    }
    CHECK(readerFor(InstanceId("d1"), {}) == InstanceId());
}
