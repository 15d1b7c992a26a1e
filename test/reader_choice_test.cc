#include <catch2/catch.hpp>

#include <random>

#include "goldcrestwood/reader_choice.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

EdgeHeartbeat beat(std::size_t number, std::uint64_t sequence = 1, bool isUp = true)
{
    EdgeHeartbeat message;
    message.instance = InstanceId("d" + std::to_string(number));
    message.incarnation = 1;
    message.sequence = sequence;
    message.intervalMs = 1000;
    message.capacity = number % 20 == 0 ? 0.5 : 0.12;
    message.isReady = message.readsStore = isUp;
    return message;
}

/// A view that knows all daemons by name and has heard some; according to a peer that is no reader, some do not read yet.
DaemonView partialView(std::size_t daemons, std::size_t self, std::mt19937_64& random)
{
    DaemonView view;
    DaemonNews news { 9, 2, true, {} };
    for (std::size_t number = 0; number < daemons; ++number) {
        if (number == self)
            continue;
        if (random() % 5 == 0)
            view.onHeartbeat(beat(number), start);
        else
            news.daemons.push_back({ beat(number, 1, random() % 3 != 0), true });
    }
    view.onNews(news, false, start);
    return view;
}

} // namespace

TEST_CASE("daemons with different views choose the same readers")
{
    const auto daemons = GENERATE(std::size_t { 7 }, std::size_t { 79 }, std::size_t { 295 }, std::size_t { 340 });
    std::mt19937_64 random(daemons);
    std::vector<InstanceId> expected;
    for (std::size_t self = 0; self < std::min<std::size_t>(daemons, 40); ++self) {
        ReaderChoice choice;
        const auto readers = choice.choose(partialView(daemons, self, random), beat(self), start);
        if (expected.empty())
            expected = readers;
        CHECK(readers == expected);
        CHECK(readers.size() == std::min<std::size_t>(daemons, 8));
    }
}

TEST_CASE("a reader that does not answer, stops or loses the store is replaced, and the others are kept")
{
    DaemonView view;
    for (std::size_t number = 1; number < 79; ++number)
        view.onHeartbeat(beat(number), start);
    ReaderChoice choice;
    const auto before = choice.choose(view, beat(0), start);
    const auto numberOf = [](const InstanceId& id) { return std::stoul(id.value.substr(1)); };
    std::vector<InstanceId> others;
    for (const auto& reader : before)
        if (reader != InstanceId("d0"))
            others.push_back(reader);
    REQUIRE(others.size() >= 7);
    const auto silent = others[0];
    const auto stopping = others[1];
    const auto cutOff = others[2];
    auto now = start;
    for (std::uint64_t sequence = 2; sequence < 8; ++sequence) {
        now += 1s;
        for (std::size_t number = 1; number < 79; ++number) {
            auto message = beat(number, sequence);
            if (message.instance == stopping)
                message.isReady = false;
            if (message.instance == cutOff)
                message.readsStore = false;
            if (message.instance != silent)
                view.onHeartbeat(message, now);
        }
        view.sweep(now);
        choice.choose(view, beat(0), now);
    }
    const auto& after = choice.readers();
    CHECK(after.size() == 8);
    for (const auto& gone : { silent, stopping, cutOff })
        CHECK(std::find(after.begin(), after.end(), gone) == after.end());
    for (const auto& reader : before)
        if (reader != silent && reader != stopping && reader != cutOff)
            CHECK(std::find(after.begin(), after.end(), reader) != after.end());
    CHECK(numberOf(after.front()) < 79);
}

TEST_CASE("an outage of the store does not change the readers, because other daemons would fare no better")
{
    // Load pattern: 295 daemons; if each failed reader were replaced, all daemons would call the store in turn during the outage.
    DaemonView view;
    for (std::size_t number = 1; number < 295; ++number)
        view.onHeartbeat(beat(number), start);
    ReaderChoice choice;
    const auto before = choice.choose(view, beat(0), start);
    auto now = start;
    for (std::uint64_t sequence = 2; sequence < 8; ++sequence) {
        now += 1s;
        for (std::size_t number = 1; number < 295; ++number) {
            auto message = beat(number, sequence);
            const bool isReader = std::find(before.begin(), before.end(), message.instance) != before.end();
            message.readsStore = !isReader;
            view.onHeartbeat(message, now);
        }
        auto self = beat(0, sequence);
        self.readsStore = std::find(before.begin(), before.end(), self.instance) == before.end();
        CHECK(choice.choose(view, self, now) == before);
    }
}
