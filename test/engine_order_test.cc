#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <vector>

#include "goldcrestwood/engine_order.h"

using namespace goldcrestwood;

namespace {

struct Prompt {
    double arrivesMs = 0;
    std::uint64_t tokens = 0;
    std::size_t order = 0;
};

/// Simulates one engine that prefills one prompt at a time, the lowest order first.
/// @return Share of the prompts of up to @p limit tokens whose prefill ended within @p objectiveMs.
double onTimeShare(std::vector<Prompt> prompts, std::uint64_t limit, double objectiveMs)
{
    constexpr double tokensPerMs = 80;
    std::vector<Prompt> waiting;
    std::size_t next = 0;
    double now = 0;
    double onTime = 0;
    double all = 0;
    while (next < prompts.size() || !waiting.empty()) {
        while (next < prompts.size() && prompts[next].arrivesMs <= now)
            waiting.push_back(prompts[next++]);
        if (waiting.empty()) {
            now = prompts[next].arrivesMs;
            continue;
        }
        const auto first = std::min_element(waiting.begin(), waiting.end(), [](const auto& left, const auto& right) { return left.order < right.order; });
        now += static_cast<double>(first->tokens) / tokensPerMs;
        if (first->tokens <= limit) {
            ++all;
            onTime += now - first->arrivesMs <= objectiveMs ? 1 : 0;
        }
        waiting.erase(first);
    }
    return onTime / all;
}

} // namespace

TEST_CASE("classes order by rank, then short prompts first, and stay within the engine's range")
{
    CHECK(engineClass(0, 100000) < engineClass(1, 10));
    CHECK(engineClass(1, 100) < engineClass(1, 100000));
    CHECK(engineClass(50, 100000) == engineClasses - 1);
}

TEST_CASE("short prompts meet their objective among long ones of the same rank")
{
    // The engine is 70 % utilized; a quarter of the prompts has 12,000 tokens.
    std::mt19937 random(11);
    std::exponential_distribution<double> gap(1 / 60.0);
    std::vector<Prompt> byArrival;
    double now = 0;
    for (int number = 0; number < 5000; ++number) {
        now += gap(random);
        const std::uint64_t tokens = random() % 4 == 0 ? 12000 : 900;
        byArrival.push_back({ now, tokens, 0 });
    }
    auto byClass = byArrival;
    for (auto& prompt : byClass)
        prompt.order = engineClass(1, prompt.tokens);
    CHECK(onTimeShare(byArrival, 900, 300) < 0.9);
    CHECK(onTimeShare(byClass, 900, 300) > 0.97);
    // Long prompts wait a little longer, but have a longer objective.
    CHECK(onTimeShare(byClass, 20000, 800) > 0.9);
}
