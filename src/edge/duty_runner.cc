#include "edge/duty_runner.h"

#include "daemon/clock.h"
#include "edge/beliefs.h"
#include "edge/log.h"
#include "goldcrestwood/log_position.h"
#include "platform/store_calls.h"

namespace goldcrestwood {

namespace {

    using edge::LogClass;

    /// The system's own topic in the store.
    constexpr const char* dutyTopic = "goldcrestwood.duty";
    constexpr Duration idleInterval = std::chrono::milliseconds(50);
    constexpr Duration workInterval = std::chrono::milliseconds(60);
    constexpr Duration answerTimeout = std::chrono::milliseconds(900);
    /// How long the store holds a read of another holder's progress.
    constexpr Duration followHold = std::chrono::milliseconds(500);
    constexpr Duration upstreamTimeout = std::chrono::milliseconds(500);
    /// Time between two queries to a replica that is loading weights.
    constexpr Duration loadQueryInterval = std::chrono::milliseconds(100);
    /// Added per concurrent load, so that the holder makes at most 200 calls a second.
    constexpr Duration extraIntervalPerLoad = std::chrono::milliseconds(5);
    /// Query interval for a replica that is finishing its runs before its order; only checks that it is alive.
    constexpr Duration drainQueryInterval = std::chrono::milliseconds(600);
    /// Replicas under order get no requests until this long after the holder's last record.
    constexpr Duration dutyRecordLifetime = std::chrono::milliseconds(2500);
    /// Additional wait before a claim per rank, so that usually only one daemon appends.
    constexpr Duration rankDelay = std::chrono::milliseconds(150);
    /// Pause after a failed call to the store when only usage reports wait, which have seconds; other daemons than the holder only
    /// look whether they must take over.
    constexpr Duration holderRetryDelay = std::chrono::milliseconds(700);
    constexpr Duration followerRetryDelay = std::chrono::seconds(2);

} // namespace

DutyRunner::DutyRunner(EdgeState& edgeState, const asio::any_io_executor& loop, ServiceQueues& serviceQueues, PeerLink& peerLink)
    : state(edgeState)
    , executor(loop)
    , queues(serviceQueues)
    , peers(peerLink)
    , store(loop, edgeState.transferMemory, edgeState.settings.storeAddress)
    , lease(edgeState.settings.instance, edgeState.settings.peerAddress, edgeState.incarnation,
          DutyLeaseSettings { .handoverGap = edgeState.settings.bounds.leaseTime, .upstreamsCheckFences = edgeState.settings.bounds.fencesChecked })
    , usage(edgeState, loop, peerLink, this->lease)
    , scale(edgeState, loop, serviceQueues, peerLink, this->lease)
{
}

std::vector<WeightCandidate> DutyRunner::candidates(const std::string& model) const
{
    std::vector<WeightCandidate> result;
    const auto now = monotonicNow();
    this->state.board.forEach([&](const RegistryEntry& entry) {
        if (const auto weights = entry.weights.find(model); weights != entry.weights.end() && !entry.isDraining && !this->state.board.isLeaving(entry.id))
            result.push_back({ entry.id, weights->second, this->state.board.requestsAt(entry.id, now), this->state.board.backoffRemaining(entry.id, now) > Duration(0) });
    });
    return result;
}

std::optional<NamedWeights> DutyRunner::nextTarget() const
{
    for (const auto& [model, target] : this->state.weightTargets)
        for (const auto& candidate : this->candidates(model))
            if (candidate.version < target.newest())
                return NamedWeights { model, target.newest() };
    return std::nullopt;
}

bool DutyRunner::isHolderHealthy() const
{
    if (!this->lease.last())
        return false;
    for (const auto* report : this->peers.view().live(monotonicNow()))
        if (report->heartbeat.instance == this->lease.last()->holder)
            return report->heartbeat.readsStore && report->heartbeat.isReady;
    return false;
}

bool DutyRunner::isCallWorkDue() const
{
    return this->usage.isWorkDue() || this->scale.isWorkDue(this->isHolderHealthy());
}

bool DutyRunner::isClaimDue() const
{
    if (this->lease.isOwnPredecessor())
        return true;
    // Feed readers are healthy, reach the store and tend to have more capacity.
    const auto rank = this->state.readerRank().value_or(this->state.feedReaders.size());
    return monotonicNow() - *this->claimableSince >= rankDelay * static_cast<int>(rank);
}

DutyRecord DutyRunner::makeRecord()
{
    DutyRecord record;
    record.holder = this->state.settings.instance;
    record.address = this->state.settings.peerAddress;
    record.incarnation = this->state.incarnation;
    record.fence = this->lease.fence();
    record.era = logEra(this->lease.end());
    if (this->plan) {
        record.ordered = this->plan->ordered();
        record.done = this->plan->done();
    }
    this->usage.addTo(record);
    this->scale.addTo(record);
    return record;
}

void DutyRunner::applyRecord(const DutyRecord& record)
{
    applyDutyRecord(this->state, record, monotonicNow());
    this->queues.dispatchAll();
}

bool DutyRunner::continuesTopic(const HttpAnswer& answer)
{
    const auto known = logEra(this->lease.end());
    const auto era = platform::decodeEra(answer, known);
    if (!era) {
        edge::log(LogClass::Decision, "answer_rejected", { { "topic", dutyTopic }, { "finding", toString(era.error().front()) } });
        return false;
    }
    if (*era <= known)
        return *era == known;
    if (this->lease.hasReadTopic()) {
        this->copiedUpTo.reset();
        edge::log(LogClass::Lifecycle, "store_restored",
            { { "topic", dutyTopic }, { "era", static_cast<std::int64_t>(*era) }, { "read_to", static_cast<std::int64_t>(logOffset(this->lease.end())) }, { "fence", static_cast<std::int64_t>(this->lease.fence()) } });
    }
    this->lease.onRestored(*era, suspensionAwareNow());
    this->usage.onStoreReturned();
    return false;
}

Task<bool> DutyRunner::readTopic(Duration hold)
{
    const auto from = this->lease.end();
    const auto call = platform::readCall(dutyTopic, from, hold);
    const auto answer = co_await this->store.call(call, hold + answerTimeout);
    if (!answer || (answer->status != 200 && answer->status != 404 && answer->status != 410))
        co_return false;
    if (!this->continuesTopic(*answer))
        co_return false;
    const auto era = logEra(from);
    if (answer->status == 404) {
        this->lease.onReadTo(logPosition(era, 0));
        co_return true;
    }
    if (answer->status == 410) {
        const auto gone = platform::decodeAppend(*answer);
        // The oldest records that are left may have counts of usage that still have to be reported.
        if (this->state.usage && gone.oldestOffset && logPosition(era, *gone.oldestOffset) > from) {
            this->lease.skipTo(logPosition(era, *gone.oldestOffset));
            co_return true;
        }
        // The removed records are too old to matter; continue at the end.
        const auto next = gone.endOffset ? gone.endOffset : gone.oldestOffset;
        this->lease.onReadTo(next ? logPosition(era, *next) : from);
        if (!this->copiedUpTo)
            this->copiedUpTo = this->lease.end();
        co_return true;
    }
    const auto slice = platform::decodeSlice(answer->body);
    if (!slice)
        co_return false;
    // Orders in the store's copy are older than those that its loss has removed.
    if (!this->copiedUpTo)
        this->copiedUpTo = logPosition(era, slice->endOffset);
    auto position = from;
    for (const auto& raw : slice->records) {
        if (const auto record = decode<DutyRecord>(raw)) {
            this->lease.onRecord(*record, position, suspensionAwareNow());
            this->usage.onRecord(*record);
            this->scale.onRecord(*record);
            if (position >= *this->copiedUpTo)
                this->applyRecord(*record);
        }
        ++position;
    }
    this->lease.onReadTo(slice->records.empty() ? logPosition(era, slice->endOffset) : position);
    co_return true;
}

Task<bool> DutyRunner::append(const DutyRecord& record)
{
    const auto sent = suspensionAwareNow();
    const auto era = logEra(this->lease.end());
    // A separate variable, because g++ 12 cannot compile an initializer list in the awaiting expression.
    const std::vector<std::string> records(1, encode(record));
    const auto call = platform::appendCall(dutyTopic, records, this->lease.end());
    const auto answer = co_await this->store.call(call, answerTimeout);
    const auto outcome = answer ? platform::decodeAppend(*answer) : platform::AppendAnswer {};
    // An offset of the lost log may match the end of the restored one by chance.
    const bool isContinued = answer && this->continuesTopic(*answer);
    if (!outcome.isAcknowledged || !isContinued) {
        edge::log(LogClass::Decision, "duty_append_failed",
            { { "status", static_cast<std::int64_t>(answer ? answer->status : 0) }, { "end", static_cast<std::int64_t>(this->lease.end()) } });
        this->lease.onAppendFailed();
        co_return false;
    }
    this->lease.onAppended(record, logPosition(era, outcome.firstOffset), sent);
    this->usage.onAppended(record);
    this->scale.onAppended(record);
    this->applyRecord(record);
    co_return true;
}

Task<> DutyRunner::run()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        ErrorCode ignored;
        timer.expires_after(idleInterval);
        co_await timer.async_wait(into(ignored));
        // The holder no longer writes, for example during a store outage: its replicas serve again.
        if (!this->state.duty || monotonicNow() - this->state.duty->second > dutyRecordLifetime)
            this->state.board.setLoadingWeights({});
        const auto target = this->nextTarget();
        if (!target) {
            this->plan.reset();
            this->state.board.setLoadingWeights({});
        }
        if (!target && !this->isCallWorkDue()) {
            this->claimableSince.reset();
            continue;
        }
        // Other daemons receive the topic from a feed reader.
        if (this->state.readerRank() || this->lease.isLastHolder())
            co_await this->work(target);
    }
}

Task<> DutyRunner::work(const std::optional<NamedWeights>& target)
{
    if (this->state.isStopping && !this->lease.isLastHolder()) {
        if (target)
            co_await this->followTopic(followHold);
        co_return;
    }
    if (this->lease.mustRead()) {
        const bool isRead = co_await this->readTopic(Duration(0));
        if (!isRead && !target)
            co_await this->pause(this->lease.isLastHolder() ? holderRetryDelay : followerRetryDelay);
        // The topic may show that another daemon has done the work.
        if (!isRead || this->lease.mustRead() || (!target && !this->isCallWorkDue()))
            co_return;
    }
    // Usage reports have time for the whole gap between two holders. Weights do not, but the calls of the reports wait for its end.
    const auto now = suspensionAwareNow();
    const bool mayClaim = this->lease.mayClaim(!target || this->isHolderHealthy(), now);
    if (!mayClaim)
        this->claimableSince.reset();
    else if (!this->claimableSince)
        this->claimableSince = monotonicNow();
    const bool isHolder = this->lease.isLastHolder() && !this->lease.isTermPending(now);
    if (!isHolder && !(mayClaim && this->isClaimDue())) {
        const bool isFollowed = co_await this->readTopic(mayClaim ? rankDelay : followHold);
        if (!isFollowed && !target)
            co_await this->pause(followerRetryDelay);
        co_return;
    }
    if (!this->lease.mayClaim(true, now)) {
        const auto until = now + this->state.settings.bounds.leaseTime + this->state.settings.bounds.freezeSlack;
        this->usage.holdCalls(until);
        this->scale.holdCalls(until);
    }
    if (target)
        co_await this->runPlan(*target);
    else
        co_await this->runCalls();
}

Task<> DutyRunner::pause(Duration duration)
{
    asio::steady_timer timer(this->executor);
    timer.expires_after(duration);
    ErrorCode ignored;
    co_await timer.async_wait(into(ignored));
}

Task<> DutyRunner::runCalls()
{
    const auto fenceBefore = this->lease.fence();
    const auto record = this->makeRecord();
    const bool isAppended = co_await this->append(record);
    if (!isAppended)
        co_await this->pause(holderRetryDelay);
    else if (fenceBefore != this->lease.fence())
        edge::log(LogClass::Decision, "duty_claimed", { { "fence", static_cast<std::int64_t>(this->lease.fence()) }, { "work", "calls" } });
}

Task<> DutyRunner::followTopic(Duration hold)
{
    // The loop retries a failed read.
    static_cast<void>(co_await this->readTopic(hold));
}

Task<> DutyRunner::runPlan(const NamedWeights& target)
{
    if (!this->plan || this->plan->weights() != target)
        this->plan.emplace(target);
    const auto now = monotonicNow();
    const auto all = this->candidates(target.model);
    std::set<UpstreamId> present;
    for (const auto& candidate : all)
        present.insert(candidate.upstream);
    this->plan->expire(present, now);
    const auto started = this->plan->start(all, now);
    const auto doneBefore = this->lease.last() ? this->lease.last()->done.size() : 0;
    const bool hasNews = !started.empty() || this->plan->done().size() != doneBefore || this->isCallWorkDue();
    const auto fenceBefore = this->lease.fence();
    if (hasNews || this->lease.isRenewalDue(suspensionAwareNow()) || !this->lease.mayOrder(suspensionAwareNow())) {
        const auto next = this->makeRecord();
        const bool isAppended = co_await this->append(next);
        if (!isAppended)
            co_return;
    }
    if (fenceBefore != this->lease.fence())
        edge::log(LogClass::Decision, "duty_claimed",
            { { "fence", static_cast<std::int64_t>(this->lease.fence()) }, { "model", target.model }, { "version", static_cast<std::int64_t>(target.version) } });
    for (const auto& entry : this->plan->ordered())
        if (this->updatingUpstreams.insert(entry.upstream).second)
            asio::co_spawn(this->executor, this->updateUpstream(entry.upstream), asio::detached);
    asio::steady_timer timer(this->executor);
    timer.expires_after(workInterval);
    ErrorCode ignored;
    co_await timer.async_wait(into(ignored));
}

Task<std::optional<platform::EngineReport>> DutyRunner::readReport(HttpCaller& caller, UpstreamId upstream)
{
    const auto* entry = this->state.board.find(upstream);
    const auto born = entry == nullptr ? 0 : entry->born;
    const auto call = platform::reportCall();
    const auto answer = co_await caller.call(call, upstreamTimeout);
    if (!answer)
        co_return std::nullopt;
    auto report = platform::decodeReport(answer->body);
    const bool isExpected = answer->status == 200 && report;
    applyCallAnswer(this->state, upstream, born, *answer, isExpected, call.target);
    co_return isExpected ? std::optional(std::move(*report)) : std::nullopt;
}

Task<unsigned> DutyRunner::sendOrder(HttpCaller& caller, UpstreamId upstream, platform::WeightOrder order)
{
    const auto* entry = this->state.board.find(upstream);
    const auto born = entry == nullptr ? 0 : entry->born;
    const auto call = platform::orderCall(order, upstream.value);
    const auto answer = co_await caller.call(call, upstreamTimeout);
    if (!answer)
        co_return 0;
    // An answer to an order is a status alone.
    applyCallAnswer(this->state, upstream, born, *answer, false, call.target);
    co_return answer->status;
}

Task<> DutyRunner::queryUpstream(HttpCaller& caller, UpstreamId upstream)
{
    const auto report = co_await this->readReport(caller, upstream);
    if (!this->plan || !report)
        co_return;
    const auto target = this->plan->weights();
    const auto version = report->weights.find(target.model);
    this->plan->onReport(upstream, version == report->weights.end() ? 0 : version->second, report->isBusy, monotonicNow());
    if (report->isBusy || !this->plan->isOrderDue(upstream, this->state.board.requestsAt(upstream, monotonicNow()), monotonicNow()) || !this->lease.mayOrder(suspensionAwareNow()))
        co_return;
    this->plan->onOrderSent(upstream, monotonicNow());
    const platform::WeightOrder order { target, platform::WeightStrategy::Retain, this->state.settings.instance.value, this->lease.fence(), report->acceptedOrders };
    const auto status = co_await this->sendOrder(caller, upstream, order);
    edge::log(LogClass::Decision, "weights_ordered",
        { { "upstream", upstream.value }, { "model", target.model }, { "version", static_cast<std::int64_t>(target.version) },
            { "fence", static_cast<std::int64_t>(order.fence) }, { "status", static_cast<std::int64_t>(status) },
            { "orders_seen", static_cast<std::int64_t>(report->acceptedOrders) } });
}

Task<> DutyRunner::updateUpstream(UpstreamId upstream)
{
    const auto* entry = this->state.board.find(upstream);
    if (entry == nullptr) {
        this->updatingUpstreams.erase(upstream);
        co_return;
    }
    HttpCaller caller(this->executor, this->state.transferMemory, entry->address, HttpCaller::maxUpstreamAnswerBytes);
    asio::steady_timer timer(this->executor);
    const auto isRunning = [&] {
        if (!this->plan)
            return false;
        const auto ordered = this->plan->ordered();
        return std::any_of(ordered.begin(), ordered.end(), [&](const auto& one) { return one.upstream == upstream; });
    };
    TimePoint lastQuery;
    while (isRunning()) {
        const auto now = monotonicNow();
        const bool isLoading = this->plan->isLoading(upstream);
        const bool isDue = this->plan->isOrderDue(upstream, this->state.board.requestsAt(upstream, now), now);
        const bool isResting = this->state.board.backoffRemaining(upstream, now) > Duration(0);
        if (!isResting && (isLoading || isDue || now - lastQuery >= drainQueryInterval)) {
            lastQuery = now;
            co_await this->queryUpstream(caller, upstream);
        }
        timer.expires_after(isLoading ? std::max(loadQueryInterval, extraIntervalPerLoad * static_cast<int>(this->plan ? this->plan->loadCount(now) : 0)) : workInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
    }
    this->updatingUpstreams.erase(upstream);
}

} // namespace goldcrestwood
