/// @file
/// Tests that Relay delivers complete answers although pieces are misrouted, stale, duplicated or missing.

#include <catch2/catch.hpp>

#include "goldcrestwood/random.h"
#include "goldcrestwood/relay.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

const RequestId request("r1");

template <typename Action>
const Action* find(const RelayActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

StreamPiece piece(const RunId& run, std::uint64_t index)
{
    return { request, run, index, "t" + std::to_string(index) };
}

/// An upstream that answers with `length` tokens, behind an unreliable connection.
struct UnreliableUpstream {
    Random random;
    std::uint64_t length = 40;
    std::uint64_t connection = 1;
    RunId run = RunId("run");
    std::uint64_t position = 0;
    bool silent = false;
    bool gone = false;
    std::vector<std::pair<std::uint64_t, StreamPiece>> stale;

    bool occurs(double chance) { return uniform(this->random) < chance; }

    void open(std::uint64_t newConnection, const RunId& newRun, std::uint64_t from)
    {
        this->connection = newConnection;
        this->gone = newRun == this->run ? this->gone : false;
        this->run = newRun;
        this->position = from;
        this->silent = false;
    }

    RelayActions feed(Relay& relay, TimePoint now)
    {
        if (this->gone)
            return this->occurs(0.5) ? relay.onUpstreamGone(this->connection, now) : RelayActions();
        if (this->silent)
            return {};
        if (this->occurs(0.02))
            this->silent = true;
        if (this->occurs(0.01))
            this->gone = true;
        if (this->occurs(0.03))
            return relay.onConnectionLost(this->connection, now);
        if (this->occurs(0.05))
            return relay.onPiece(this->connection, { RequestId("other"), this->run, this->position, "crossed" }, now);
        if (!this->stale.empty() && this->occurs(0.2)) {
            const auto& [from, old] = this->stale[std::size_t(uniform(this->random) * double(this->stale.size()))];
            return relay.onPiece(from, { old.request, old.run, old.index, "late" }, now);
        }
        if (this->occurs(0.02))
            ++this->position;
        if (this->position >= this->length)
            return relay.onFinish(this->connection, { request, this->run, this->length }, now);
        const auto next = piece(this->run, this->position);
        if (!this->occurs(0.1))
            ++this->position;
        this->stale.push_back({ this->connection, next });
        return relay.onPiece(this->connection, next, now);
    }
};

} // namespace

TEST_CASE("an unreliable stream yields the complete answer exactly once or an explicit error")
{
    const auto seed = GENERATE(range(1, 301));
    INFO("seed " << seed);
    UnreliableUpstream upstream;
    upstream.random.seed(std::uint64_t(seed));
    const std::uint64_t first = seed % 3 == 0 ? 7 : 0;
    upstream.position = first;
    RelaySettings settings;
    settings.maxRuns = 6;
    StreamTraits traits;
    traits.resumes = seed % 5 != 0;
    TimePoint now(1s);
    Relay relay(request, upstream.run, traits, settings, first, now);
    std::vector<std::string> answer;
    std::optional<FinishStream> finish;
    std::optional<FailStream> failure;
    for (int step = 0; step < 20000 && !finish && !failure; ++step) {
        now += 10ms;
        auto actions = upstream.feed(relay, now);
        if (actions.empty() && relay.wakeAt() && now >= *relay.wakeAt())
            actions = relay.onTimer(now);
        for (const auto& action : actions) {
            if (const auto* token = std::get_if<ForwardToken>(&action))
                answer.push_back(token->token);
            if (const auto* again = std::get_if<Reconnect>(&action))
                upstream.open(again->connection, again->run, again->fromToken);
            if (const auto* elsewhere = std::get_if<RunElsewhere>(&action))
                upstream.open(elsewhere->connection, elsewhere->run, elsewhere->startToken);
            if (const auto* restart = std::get_if<Restart>(&action))
                upstream.open(restart->connection, restart->run, 0);
            if (const auto* done = std::get_if<FinishStream>(&action))
                finish = *done;
            if (const auto* failed = std::get_if<FailStream>(&action))
                failure = *failed;
        }
    }
    REQUIRE((finish.has_value() || failure.has_value()));
    for (std::size_t i = 0; i < answer.size(); ++i)
        REQUIRE(answer[i] == "t" + std::to_string(first + i));
    if (finish)
        CHECK(first + answer.size() == upstream.length);
    else
        CHECK(failure->tokensSent == first + answer.size());
}

TEST_CASE("a stall causes reconnects, then a run at another upstream, then an error")
{
    TimePoint now(1s);
    RelaySettings settings;
    StreamTraits traits;
    Relay relay(request, RunId("run"), traits, settings, 0, now);
    relay.onPiece(1, piece(RunId("run"), 0), now);
    CHECK(relay.onTimer(now + settings.stallLimit - 1us).empty());
    for (std::uint32_t i = 0; i < settings.maxReconnects; ++i) {
        now += settings.stallLimit;
        const auto actions = relay.onTimer(now);
        REQUIRE(find<Reconnect>(actions));
        CHECK(find<Reconnect>(actions)->fromToken == 1);
    }
    now += settings.stallLimit;
    const auto moved = relay.onTimer(now);
    REQUIRE(find<RunElsewhere>(moved));
    CHECK(find<CancelRun>(moved)->run == RunId("run"));
    CHECK(find<RunElsewhere>(moved)->startToken == 1);
    CHECK(find<RunElsewhere>(moved)->tokens == std::vector<std::string> { "t0" });
    // The old connection delivers again; its pieces are stale.
    CHECK(relay.onPiece(1, piece(RunId("run"), 1), now).empty());
    CHECK(relay.counts().stale == 1);
    CHECK(find<FailStream>(relay.onRetryRefused())->error == StreamError::RetryRefused);
    CHECK(relay.ended());
}

TEST_CASE("a stream that cannot be continued ends with an error once a token was sent")
{
    const StreamTraits notContinuable { false, false, true };
    const TimePoint now(1s);
    Relay started(request, RunId("run"), notContinuable, {}, 0, now);
    started.onPiece(1, piece(RunId("run"), 0), now);
    CHECK(find<FailStream>(started.onConnectionLost(1, now))->error == StreamError::UpstreamGone);
    Relay nothingSent(request, RunId("run"), notContinuable, {}, 0, now);
    CHECK(find<Restart>(nothingSent.onConnectionLost(1, now)));
    const StreamTraits notRepeatable { false, false, false };
    Relay failing(request, RunId("run"), notRepeatable, {}, 0, now);
    CHECK(find<FailStream>(failing.onConnectionLost(1, now)));
}

TEST_CASE("the run of a disconnected caller continues for the resume window")
{
    TimePoint now(1s);
    RelaySettings settings;
    settings.stallLimit = 100s;
    Relay relay(request, RunId("run"), {}, settings, 0, now);
    relay.onPiece(1, piece(RunId("run"), 0), now);
    relay.onCallerDisconnected(now);
    relay.onPiece(1, piece(RunId("run"), 1), now + 1s);
    const auto missed = relay.onCallerResumed(1);
    REQUIRE(missed.size() == 1);
    CHECK(find<ForwardToken>(missed)->index == 1);
    relay.onCallerDisconnected(now + 2s);
    CHECK(relay.onTimer(now + 2s + settings.resumeWindow - 1us).empty());
    CHECK(find<CancelRun>(relay.onTimer(now + 2s + settings.resumeWindow)));
    CHECK(relay.ended());
    const auto tooLate = relay.onCallerResumed(1);
    CHECK(find<FailStream>(tooLate));
    CHECK_FALSE(find<FinishStream>(tooLate));
}
