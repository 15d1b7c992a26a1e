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

std::vector<DaemonCapacity> capacitiesOf(const std::vector<InstanceId>& readers, const std::vector<DaemonCapacity>& daemons)
{
    std::vector<DaemonCapacity> result;
    for (const auto& daemon : daemons)
        if (std::find(readers.begin(), readers.end(), daemon.instance) != readers.end())
            result.push_back(daemon);
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
            perSecond[readerFor(daemon.instance, readers, daemons)] += 1 / toSeconds(queryInterval(size));
        REQUIRE(perSecond.size() == readers.size());
        for (const auto& [reader, rate] : perSecond)
            CHECK(rate < 80); // Twice the even share at 340 daemons.
    }
    CHECK(readerFor(InstanceId("d1"), {}, {}) == InstanceId());
}

TEST_CASE("the readers of a site with few large daemons are mostly the large ones, in more than one failure domain")
{
    // 79 daemons with other names each time: 8 of half a core, the others of an eighth.
    int small = 0;
    constexpr int sites = 50;
    for (int site = 0; site < sites; ++site) {
        std::vector<DaemonCapacity> daemons;
        daemons.reserve(79);
        for (int number = 0; number < 79; ++number)
            daemons.push_back({ InstanceId(std::to_string(site) + "-" + std::to_string(number)), number % 10 == 0 ? 0.5 : 0.125, FailureDomain("z" + std::to_string(number % 4)) });
        for (const auto& reader : capacitiesOf(feedReaders(daemons), daemons))
            small += reader.capacity < 0.5 ? 1 : 0;
    }
    // Each small reader would delay the changes of a tenth of the site.
    CHECK(small < 2 * sites);
}

TEST_CASE("a failure domain with all large daemons does not hold all readers")
{
    std::vector<DaemonCapacity> daemons;
    daemons.reserve(40);
    for (int number = 0; number < 40; ++number)
        daemons.push_back({ InstanceId("d" + std::to_string(number)), number < 10 ? 1.0 : 0.1, FailureDomain(number < 10 ? "large" : "small") });
    const auto readers = capacitiesOf(feedReaders(daemons), daemons);
    CHECK(std::count_if(readers.begin(), readers.end(), [](const auto& reader) { return reader.domain == FailureDomain("large"); }) == 4);
    daemons.resize(10);
    CHECK(feedReaders(daemons).size() == 8);
}

TEST_CASE("most daemons keep their reader when a daemon comes or goes")
{
    auto daemons = siteOf(79);
    const auto readers = feedReaders(daemons);
    const auto before = daemons;
    daemons.erase(daemons.begin() + 41);
    int moved = 0;
    for (const auto& daemon : daemons)
        moved += readerFor(daemon.instance, readers, daemons) == readerFor(daemon.instance, readers, before) ? 0 : 1;
    CHECK(moved < 8);
    // A daemon that does not know the site yet finds a reader too.
    CHECK(readerFor(InstanceId("new"), readers, {}) != InstanceId());
}
