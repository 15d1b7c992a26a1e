#include "daemon/claim_service.h"

#include <utility>

#include "daemon/clock.h"

namespace goldcrestwood {

namespace {

    constexpr Duration stepInterval = std::chrono::milliseconds(50);
    constexpr Duration streamsInterval = std::chrono::milliseconds(200);
    /// Call timeout during a log outage, when only outcomes that the fold already holds can be returned.
    constexpr Duration outageTimeout = std::chrono::seconds(1);
    /// Time after the deadline for which the caller's thread still waits for the final answer.
    constexpr Duration answerGrace = std::chrono::seconds(1);

} // namespace

ClaimFold::ClaimFold(const ClaimTableSettings& settings)
    : claims(std::make_unique<ClaimOwner>(settings, ClaimOwnerSettings()))
{
}

void ClaimFold::apply(const AppliedRecord& record)
{
    const auto added = this->claims->onApplied(record);
    this->replies.insert(this->replies.end(), added.begin(), added.end());
}

void ClaimFold::onCompletion(const Completion& completion, Duration retryAfter)
{
    const auto added = this->claims->onCompletion(completion, retryAfter);
    this->replies.insert(this->replies.end(), added.begin(), added.end());
}

void ClaimFold::restore(const std::vector<FoldPart>& parts)
{
    for (const auto& [name, bytes] : parts) {
        if (name != "ClaimTableState")
            continue;
        if (const auto state = decode<ClaimTableState>(bytes))
            this->claims->restore(*state);
    }
}

std::vector<FoldPart> ClaimFold::parts() const
{
    return { { "ClaimTableState", encode(this->claims->table().state()) } };
}

std::vector<AddressedReply> ClaimFold::takeReplies()
{
    return std::exchange(this->replies, {});
}

ClaimService::ClaimService(const Settings& daemonSettings, PeerMesh& peerMesh, PeerDirectory& peerDirectory, Metrics& processMetrics,
    std::function<bool()> logOutage)
    : settings(daemonSettings)
    , mesh(peerMesh)
    , directory(peerDirectory)
    , metrics(processMetrics)
    , isLogOutage(std::move(logOutage))
    , claimant(ClaimantSettings(), peerMesh.self(), peerMesh.incarnation())
    , random(peerMesh.incarnation())
{
    this->directory.handlePosted<ClaimRecord>("ClaimRecord", [this](const ClaimRecord& message) { this->onOwnerRequest(message); });
    this->directory.handlePosted<ClaimWithdrawal>("ClaimWithdrawal", [this](const ClaimWithdrawal& message) { this->onOwnerRequest(message); });
    this->directory.handlePosted<ClaimOutcome>("ClaimOutcome", [this](const ClaimOutcome& message) { this->onOwnerRequest(message); });
    this->directory.handlePosted<ClaimReply>("ClaimReply", [this](const ClaimReply& reply) { this->onReply(reply); });
    this->directory.handle("ClaimQuery", [this](const PeerMessage& message, const PeerReply& reply) {
        const auto query = decode<ClaimQuery>(message.payload);
        if (!query)
            return reply({});
        QueryAnswer answer;
        {
            const std::lock_guard lock(this->mutex);
            answer = this->claimant.onQuery(*query);
            this->runActions(answer.actions);
        }
        if (answer.reply)
            reply({ "ClaimReply", encode(*answer.reply) });
    });
}

ClaimService::~ClaimService()
{
    this->stop();
}

ClaimTableSettings ClaimService::tableSettings() const
{
    ClaimTableSettings table;
    table.shards = this->settings.platform.claimShards;
    return table;
}

void ClaimService::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void ClaimService::stop()
{
    {
        const std::lock_guard lock(this->outboxMutex);
        this->stopping = true;
    }
    this->outboxChanged.notify_all();
    this->changed.notify_all();
    if (this->thread.joinable())
        this->thread.join();
    std::map<std::uint32_t, std::shared_ptr<ClaimJournal>> ended;
    {
        const std::lock_guard lock(this->streamsMutex);
        ended.swap(this->streams);
    }
}

void ClaimService::enqueue(Outgoing outgoing)
{
    {
        const std::lock_guard lock(this->outboxMutex);
        this->outbox.push_back(std::move(outgoing));
    }
    this->outboxChanged.notify_one();
}

void ClaimService::run()
{
    TimePoint nextStreams;
    while (true) {
        std::deque<Outgoing> sending;
        {
            std::unique_lock lock(this->outboxMutex);
            this->outboxChanged.wait_for(lock, stepInterval, [this] { return this->stopping || !this->outbox.empty(); });
            if (this->stopping)
                return;
            sending.swap(this->outbox);
        }
        for (const auto& send : sending)
            send();
        const auto now = monotonicNow();
        {
            const std::lock_guard lock(this->mutex);
            if (now >= this->claimant.nextWake())
                this->runActions(this->claimant.poll(now, this->random));
        }
        if (now >= nextStreams) {
            nextStreams = now + streamsInterval;
            this->adjustStreams();
            this->writeSnapshots();
        }
    }
}

void ClaimService::adjustStreams()
{
    std::vector<std::shared_ptr<ClaimJournal>> ended;
    for (std::uint32_t shard = 0; shard < this->settings.platform.claimShards; ++shard) {
        const auto owners = this->mesh.ownersOf(claimStreamKey(shard));
        const bool wanted = owners.owner == this->mesh.self() || owners.standby == this->mesh.self();
        const std::lock_guard lock(this->streamsMutex);
        const auto found = this->streams.find(shard);
        if (wanted && found == this->streams.end()) {
            const JournalWriter writer { this->mesh.self(), this->mesh.incarnation() };
            auto journal = std::make_shared<ClaimJournal>(claimStream(shard), writer, this->settings.platform, ClaimFold(this->tableSettings()));
            journal->onUpdate([this](ClaimFold& fold) {
                for (auto& [to, reply] : fold.takeReplies())
                    this->enqueue([this, to = to, reply = reply] { this->directory.post(to, "ClaimReply", reply); });
            });
            journal->start();
            this->streams.emplace(shard, std::move(journal));
        } else if (!wanted && found != this->streams.end()) {
            ended.push_back(found->second);
            this->streams.erase(found);
        }
    }
}

void ClaimService::writeSnapshots()
{
    std::vector<std::shared_ptr<ClaimJournal>> owned;
    {
        const std::lock_guard lock(this->streamsMutex);
        for (const auto& [shard, journal] : this->streams) {
            if (this->mesh.ownersOf(claimStreamKey(shard)).owner == this->mesh.self())
                owned.push_back(journal);
        }
    }
    for (const auto& journal : owned)
        journal->writeSnapshotIfDue(true);
}

std::shared_ptr<ClaimJournal> ClaimService::journalOf(const ClaimKey& key)
{
    const std::lock_guard lock(this->streamsMutex);
    const auto found = this->streams.find(claimShard(key, this->settings.platform.claimShards));
    return found == this->streams.end() ? nullptr : found->second;
}

template <typename Message>
void ClaimService::onOwnerRequest(const Message& message)
{
    const auto journal = this->journalOf(message.key);
    if (!journal)
        return;
    const auto replies = journal->withJournal([&](ClaimFold& fold, Journal& stream) {
        return fold.owner().onRequest(message.id.claimant, message, stream, monotonicNow(), wallClock());
    });
    for (const auto& [to, reply] : replies)
        this->enqueue([this, to = to, reply = reply] { this->directory.post(to, "ClaimReply", reply); });
}

void ClaimService::onReply(const ClaimReply& reply)
{
    const std::lock_guard lock(this->mutex);
    for (auto& [request, mailbox] : this->mailboxes) {
        if (mailbox.key == reply.key && reply.verdict == ClaimVerdict::Held)
            mailbox.holder = reply.holder;
    }
    this->runActions(this->claimant.onReply(reply, monotonicNow(), this->random));
}

void ClaimService::sendToOwner(const SendToOwner& action)
{
    if (const auto* claim = std::get_if<ClaimRecord>(&action.message))
        this->postToOwner(action.rank, "ClaimRecord", *claim);
    else if (const auto* withdrawal = std::get_if<ClaimWithdrawal>(&action.message))
        this->postToOwner(action.rank, "ClaimWithdrawal", *withdrawal);
    else if (const auto* outcome = std::get_if<ClaimOutcome>(&action.message))
        this->postToOwner(action.rank, "ClaimOutcome", *outcome);
}

template <typename Message>
void ClaimService::postToOwner(std::uint32_t rank, const char* kind, const Message& message)
{
    const auto owners = this->mesh.ownersOf(claimStreamKey(claimShard(message.key, this->settings.platform.claimShards)));
    const auto target = rank == 0 || owners.standby.empty() ? owners.owner : owners.standby;
    if (!target.empty())
        this->enqueue([this, target, kind, message] { this->directory.post(target, kind, message); });
}

void ClaimService::runActions(const ClaimantActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendToOwner>(&action)) {
            this->sendToOwner(*send);
        } else if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
            if (const auto request = this->requestByClaim.find(dispatch->id); request != this->requestByClaim.end())
                this->mailboxes[request->second].dispatch = *dispatch;
            else
                this->refuseDispatch(dispatch->id);
        } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
            if (const auto mailbox = this->mailboxes.find(answer->request); mailbox != this->mailboxes.end())
                mailbox->second.answer = answer->answer;
        } else if (const auto* ask = std::get_if<QueryHolder>(&action)) {
            this->enqueue([this, holder = ask->holder, query = ask->query] {
                this->directory.callAsync<ClaimReply>(holder, "ClaimQuery", query, this->settings.peers.timeout,
                    [this](const ClaimReply& reply) { this->onReply(reply); });
            });
        }
    }
    if (!actions.empty())
        this->changed.notify_all();
}

void ClaimService::refuseDispatch(const ClaimId& id)
{
    // The caller was already answered, so the call must no longer run.
    this->enqueue([this, id] {
        const std::lock_guard lock(this->mutex);
        this->runActions(this->claimant.onDispatchResult(id, DispatchNotSent(), monotonicNow(), this->random));
    });
}

ClaimAnswer ClaimService::execute(const ClaimedCall& call, const DispatchCall& dispatch, const StatusQuery& status)
{
    const auto timeout = this->isLogOutage() ? std::min(call.timeout, outageTimeout) : call.timeout;
    std::unique_lock lock(this->mutex);
    const auto now = monotonicNow();
    const auto deadline = now + timeout;
    const auto request = ++this->lastRequest;
    this->mailboxes[request].key = call.key;
    const auto actions = this->claimant.begin(request, call.key, call.bodyHash, deadline, now, this->random);
    for (const auto& action : actions) {
        const auto* send = std::get_if<SendToOwner>(&action);
        if (const auto* claim = send ? std::get_if<ClaimRecord>(&send->message) : nullptr)
            this->requestByClaim[claim->id] = request;
    }
    this->runActions(actions);
    const auto mailbox = [&]() -> Mailbox& { return this->mailboxes.at(request); };
    this->changed.wait_until(lock, deadline + answerGrace, [&] { return mailbox().dispatch || mailbox().answer; });
    if (mailbox().dispatch) {
        const auto id = mailbox().dispatch->id;
        // If the deadline passed before this thread woke, the call is not sent and the claim is withdrawn.
        DispatchResult result = DispatchNotSent();
        if (!mailbox().answer) {
            lock.unlock();
            result = dispatch(id);
            lock.lock();
        }
        this->runActions(this->claimant.onDispatchResult(id, result, monotonicNow(), this->random));
        this->changed.wait_until(lock, deadline + answerGrace, [&] { return mailbox().answer.has_value(); });
    }
    auto answer = mailbox().answer.value_or(AnswerUnknown { std::chrono::seconds(1) });
    const auto holder = mailbox().holder;
    const bool dispatched = mailbox().dispatch.has_value();
    this->mailboxes.erase(request);
    std::erase_if(this->requestByClaim, [request](const auto& entry) { return entry.second == request; });
    if (const auto* unknown = std::get_if<AnswerUnknown>(&answer); unknown && !dispatched && !holder)
        return AnswerNotRun { NotRunScope::Request, unknown->retryAfter };
    if (!std::holds_alternative<AnswerUnknown>(answer) || !holder)
        return answer;
    lock.unlock();
    const auto found = status(*holder);
    lock.lock();
    if (!found)
        return answer;
    this->runActions(this->claimant.onStatusFound(*holder, *found));
    return AnswerOutcome { *found, true };
}

std::vector<ClaimStreamStatus> ClaimService::status()
{
    std::map<std::uint32_t, std::shared_ptr<ClaimJournal>> open;
    {
        const std::lock_guard lock(this->streamsMutex);
        open = this->streams;
    }
    std::vector<ClaimStreamStatus> result;
    for (const auto& [shard, journal] : open) {
        const auto keys = journal->withFold([](ClaimFold& fold) { return fold.owner().table().size(); });
        result.push_back({ shard, keys, journal->status() });
    }
    return result;
}

std::size_t ClaimService::unfinishedCount()
{
    const std::lock_guard lock(this->mutex);
    return this->claimant.size();
}

} // namespace goldcrestwood
