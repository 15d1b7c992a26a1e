#include "goldcrestwood/relay.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    RelayActions singleAction(RelayAction action)
    {
        RelayActions actions;
        actions.push_back(std::move(action));
        return actions;
    }

} // namespace

const char* toString(StreamError error)
{
    switch (error) {
    case StreamError::UpstreamGone:
        return "UpstreamGone";
    case StreamError::AttemptsUsed:
        return "AttemptsUsed";
    case StreamError::RetryRefused:
        return "RetryRefused";
    }
    return "Unknown";
}

Relay::Relay(RequestId id, RunId start, StreamTraits allowed, RelaySettings bounds, std::uint64_t nextToken, TimePoint now)
    : request(std::move(id))
    , firstRun(start)
    , currentRun(std::move(start))
    , traits(allowed)
    , settings(bounds)
    , firstToken(nextToken)
    , next(nextToken)
    , progressToken(nextToken)
    , progressAt(now)
{
}

RelayActions Relay::onPiece(std::uint64_t from, const StreamPiece& piece, TimePoint now)
{
    if (piece.request != this->request) {
        ++this->counters.misrouted;
        return {};
    }
    if (this->done || from != this->currentConnection || piece.run != this->currentRun) {
        ++this->counters.stale;
        return {};
    }
    if (piece.index < this->next) {
        ++this->counters.duplicates;
        if (piece.index == this->progressToken) {
            ++this->progressToken;
            this->progressAt = now;
        }
        return {};
    }
    if (piece.index > this->next) {
        ++this->counters.gaps;
        return this->recover(false, now);
    }
    this->progressAt = now;
    this->reconnectsWithoutProgress = 0;
    this->tokens.push_back(piece.token);
    this->progressToken = ++this->next;
    return singleAction(ForwardToken { piece.index, piece.token });
}

RelayActions Relay::onFinish(std::uint64_t from, const StreamFinish& finish, TimePoint now)
{
    if (finish.request != this->request) {
        ++this->counters.misrouted;
        return {};
    }
    if (this->done || from != this->currentConnection || finish.run != this->currentRun) {
        ++this->counters.stale;
        return {};
    }
    if (finish.tokens > this->next) {
        ++this->counters.gaps;
        return this->recover(false, now);
    }
    this->done = true;
    this->complete = true;
    return singleAction(FinishStream { this->next });
}

RelayActions Relay::onConnectionLost(std::uint64_t lostConnection, TimePoint now)
{
    return this->done || lostConnection != this->currentConnection ? RelayActions() : this->recover(false, now);
}

RelayActions Relay::onUpstreamGone(std::uint64_t lostConnection, TimePoint now)
{
    return this->done || lostConnection != this->currentConnection ? RelayActions() : this->recover(true, now);
}

RelayActions Relay::onRetryRefused()
{
    return this->done ? RelayActions() : this->fail(StreamError::RetryRefused);
}

void Relay::onCallerDisconnected(TimePoint now)
{
    if (!this->done && !this->callerDisconnectedAt)
        this->callerDisconnectedAt = now;
}

RelayActions Relay::onCallerResumed(std::uint64_t nextToken)
{
    this->callerDisconnectedAt.reset();
    if (this->done && !this->complete)
        return this->fail(StreamError::UpstreamGone);
    if (nextToken < this->firstToken || nextToken > this->next)
        return this->fail(StreamError::UpstreamGone);
    RelayActions actions;
    for (auto index = nextToken; index < this->next; ++index)
        actions.push_back(ForwardToken { index, this->tokens[index - this->firstToken] });
    if (this->done)
        actions.push_back(FinishStream { this->next });
    return actions;
}

RelayActions Relay::onTimer(TimePoint now)
{
    if (this->done)
        return {};
    if (this->callerDisconnectedAt && now >= *this->callerDisconnectedAt + this->settings.resumeWindow) {
        this->done = true;
        return singleAction(CancelRun { this->currentRun });
    }
    if (now >= this->progressAt + this->settings.stallLimit)
        return this->recover(false, now);
    return {};
}

std::optional<TimePoint> Relay::wakeAt() const
{
    if (this->done)
        return std::nullopt;
    const auto stall = this->progressAt + this->settings.stallLimit;
    return this->callerDisconnectedAt ? std::min(stall, *this->callerDisconnectedAt + this->settings.resumeWindow) : stall;
}

RelayActions Relay::recover(bool upstreamGone, TimePoint now)
{
    this->progressAt = now;
    const bool canResume = this->traits.resumes && !upstreamGone;
    if (!canResume || this->reconnectsWithoutProgress >= this->settings.maxReconnects)
        return this->rerun();
    ++this->reconnectsWithoutProgress;
    ++this->counters.reconnects;
    ++this->currentConnection;
    this->progressToken = this->next;
    return singleAction(Reconnect { this->currentRun, this->next, this->currentConnection });
}

RelayActions Relay::rerun()
{
    const bool nothingSent = this->next == 0;
    if (nothingSent ? !this->traits.repeatable : !this->traits.continuable)
        return this->fail(StreamError::UpstreamGone);
    if (this->runs >= this->settings.maxRuns)
        return this->fail(StreamError::AttemptsUsed);
    auto actions = singleAction(CancelRun { this->currentRun });
    ++this->runs;
    ++this->counters.reruns;
    this->reconnectsWithoutProgress = 0;
    this->currentRun = RunId(this->firstRun.value + "." + std::to_string(this->runs));
    ++this->currentConnection;
    if (nothingSent)
        actions.push_back(Restart { this->currentRun, this->currentConnection });
    else if (this->firstToken > 0)
        actions.push_back(this->replay());
    else
        actions.push_back(RunElsewhere { this->currentRun, this->next, this->tokens, this->currentConnection });
    return actions;
}

RelayAction Relay::replay()
{
    // This daemon does not know the tokens that another daemon sent, so the new run starts with the prompt
    // alone and generates them again.
    this->progressToken = 0;
    return RunElsewhere { this->currentRun, 0, {}, this->currentConnection };
}

RelayActions Relay::fail(StreamError error)
{
    this->done = true;
    auto actions = singleAction(CancelRun { this->currentRun });
    actions.push_back(FailStream { error, this->next });
    return actions;
}

} // namespace goldcrestwood
