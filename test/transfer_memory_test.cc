#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

#include "goldcrestwood/transfer_memory.h"

using namespace goldcrestwood;

namespace {

/// An answer that is being received.
struct Answer {
    explicit Answer(TransferMemory& memory)
        : share(memory, [this] { this->isGivenUp = true; })
    {
    }

    bool isGivenUp = false;
    TransferMemory::Share share;
};

} // namespace

// Fault: answers without end from several upstreams, each below its own bound, exceeded the memory of the process.
TEST_CASE("of the answers that exceed the memory together, the largest is given up")
{
    TransferMemory memory(1000);
    Answer endless(memory);
    Answer small(memory);
    REQUIRE(endless.share.resize(900));
    REQUIRE(small.share.resize(100));
    CHECK(small.share.resize(101));
    CHECK(endless.isGivenUp);
    CHECK_FALSE(small.isGivenUp);
    CHECK(memory.used() == 101);
    CHECK_FALSE(endless.share.resize(10));
    CHECK(memory.evictions() == 1);
}

TEST_CASE("an answer that outgrows the memory itself is refused, and its memory is free again")
{
    TransferMemory memory(1000);
    {
        Answer small(memory);
        Answer endless(memory);
        REQUIRE(small.share.resize(100));
        CHECK_FALSE(endless.share.resize(950));
        CHECK_FALSE(endless.isGivenUp); // It was told by the result.
        CHECK(memory.used() == 100);
    }
    CHECK(memory.used() == 0);
}

TEST_CASE("a whole answer is kept until its caller has taken it")
{
    TransferMemory memory(1000);
    auto whole = std::make_unique<Answer>(memory);
    REQUIRE(whole->share.resize(800));
    whole->share.complete();
    Answer other(memory);
    CHECK_FALSE(other.share.resize(300));
    CHECK_FALSE(whole->isGivenUp);
    whole.reset();
    Answer next(memory);
    CHECK(next.share.resize(300));
}

TEST_CASE("ordinary answers are never given up while others never end")
{
    constexpr std::uint64_t limit = 1'000'000;
    constexpr std::uint64_t ordinaryBytes = 10'000;
    for (unsigned seed = 0; seed < 50; ++seed) {
        std::mt19937 random(seed);
        TransferMemory memory(limit);
        std::vector<std::unique_ptr<Answer>> ordinary;
        std::vector<std::pair<std::unique_ptr<Answer>, std::uint64_t>> endless;
        for (int step = 0; step < 2000; ++step) {
            INFO("seed " << seed << " step " << step);
            if (ordinary.size() < 40) {
                ordinary.push_back(std::make_unique<Answer>(memory));
                CHECK(ordinary.back()->share.resize(1 + random() % ordinaryBytes));
                if (random() % 2 == 0)
                    ordinary.back()->share.complete();
            } else
                ordinary.erase(ordinary.begin() + static_cast<std::ptrdiff_t>(random() % ordinary.size()));
            if (endless.size() < 12)
                endless.emplace_back(std::make_unique<Answer>(memory), 0);
            auto& [answer, bytes] = endless[random() % endless.size()];
            bytes += random() % 60'000;
            if (!answer->share.resize(bytes)) {
                answer = std::make_unique<Answer>(memory);
                bytes = 0;
            }
            CHECK(memory.used() <= limit);
            for (const auto& one : ordinary)
                CHECK_FALSE(one->isGivenUp);
        }
    }
}
