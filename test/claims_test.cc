/// @file
/// At-most-once execution despite log failures, lost and duplicate messages, pauses, crashes and competing owners.

#include <memory>

#include <catch2/catch.hpp>

#include "goldcrestwood/claim_owner.h"
#include "goldcrestwood/claimant.h"
#include "simulation.h"

using namespace goldcrestwood;
using namespace goldcrestwood::simulation;

namespace {

constexpr std::uint32_t shards = 2;
const ClaimTableSettings tableSettings { .shards = shards };

/// One execution at the service.
struct Run {
    std::uint64_t request = 0;
    TimePoint at;
};

/// A service whose calls must not run twice. It may run a call late, respond late or not respond.
class FakeService {
public:
    explicit FakeService(World& simulatedWorld)
        : world(simulatedWorld)
    {
    }

    void call(std::uint64_t request, const ClaimKey& key, const std::function<void(DispatchResult)>& done)
    {
        auto report = [&](Duration delay, const DispatchResult& result) { this->world.after(delay, [=] { done(result); }); };
        if (this->world.chance(0.1))
            return report(this->world.randomDuration(20ms), DispatchNotSent());
        if (this->world.chance(0.05))
            return report(this->world.randomDuration(500ms), DispatchUnknown());
        const auto arrival = this->world.randomDuration(this->world.chance(0.1) ? 3s : 50ms);
        const bool isAnswerLost = this->world.chance(0.15);
        this->world.after(arrival, [=, this] {
            this->runs[key].push_back({ request, this->world.now });
            ClaimOutcome outcome;
            outcome.status = 200;
            outcome.body = "run " + std::to_string(++this->total);
            this->world.after(this->world.randomDuration(50ms), [=] { done(isAnswerLost ? DispatchResult(DispatchUnknown()) : DispatchAnswered { outcome }); });
        });
    }

    std::map<ClaimKey, std::vector<Run>> runs;

private:
    World& world;
    int total = 0;
};

/// A caller's request and its answer.
struct Request {
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    TimePoint startedAt;
    TimePoint deadline;
    std::optional<ClaimAnswer> answer;
    TimePoint answeredAt;
    int dispatches = 0;
};

/// The state of one shard in one daemon.
struct ShardFold {
    ClaimOwner owner { tableSettings, ClaimOwnerSettings() };
    std::function<void(const std::vector<AddressedReply>&)> send;

    static std::set<std::string> kinds() { return ClaimOwner::recordKinds(); }
    void apply(const AppliedRecord& record) { this->send(this->owner.onApplied(record)); }
    void complete(const Completion& completion) { this->send(this->owner.onCompletion(completion, 1s)); }
    std::vector<FoldPart> parts() const { return { { "claims", encode(this->owner.table().state()) } }; }
    void restore(const std::vector<FoldPart>& parts) { this->owner.restore(*decode<ClaimTableState>(parts.at(0).state)); }
    void afterRead(std::uint64_t) { }
};

class Site;

/// A daemon that accepts calls and serves every shard for which it receives messages.
class Daemon {
public:
    Daemon(Site& containingSite, std::string name);

    void start();
    void restart()
    {
        this->process.crash();
        this->start();
    }
    void begin(std::uint64_t request);
    void onMessage(const InstanceId& from, const ClaimMessage& message);
    void onReply(const ClaimReply& reply);
    void onQuery(const InstanceId& from, const ClaimQuery& query);

    InstanceId instance;
    Process process;
    std::vector<std::unique_ptr<ShardFold>> folds;
    std::vector<std::unique_ptr<StreamRunner<ShardFold>>> runners;

private:
    void keepPolling();
    void execute(const ClaimantActions& actions);

    Site& site;
    std::unique_ptr<Claimant> claimant;
};

/// All daemons, the log, the service and the callers.
class Site {
public:
    explicit Site(std::uint64_t seed)
        : world(seed)
        , service(this->world)
    {
        for (std::uint32_t shard = 0; shard < shards; ++shard)
            this->logs.push_back(std::make_unique<FakeLog>(this->world));
        for (const auto* name : { "a", "b", "c" })
            this->daemons.push_back(std::make_unique<Daemon>(*this, name));
    }

    /// Delivers a message between daemons; it may be delayed, lost or duplicated.
    template <typename Receive>
    void deliver(const InstanceId& to, Receive receive)
    {
        if (this->world.chance(this->messageLossProbability))
            return;
        auto& daemon = *this->daemons[static_cast<std::size_t>(to.value[0] - 'a')];
        const int copies = this->world.chance(0.05) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            daemon.process.after(this->world.randomDuration(this->world.chance(0.05) ? 2s : 3ms), [&daemon, receive] { receive(daemon); });
    }

    std::uint64_t sendRequest(Daemon& daemon, const ClaimKey& key, std::uint64_t bodyHash)
    {
        const auto id = this->requests.size();
        this->requests.push_back({ key, bodyHash, this->world.now, this->world.now + 200ms + this->world.randomDuration(2s), {}, {}, 0 });
        daemon.process.after(0us, [&daemon, id] { daemon.begin(id); });
        return id;
    }

    World world;
    std::vector<std::unique_ptr<FakeLog>> logs;
    FakeService service;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::deque<Request> requests;
    double messageLossProbability = 0.05;
};

Daemon::Daemon(Site& containingSite, std::string name)
    : instance(std::move(name))
    , process(containingSite.world)
    , site(containingSite)
{
    this->start();
}

void Daemon::start()
{
    this->claimant = std::make_unique<Claimant>(ClaimantSettings(), this->instance, this->process.incarnation);
    this->folds.clear();
    this->runners.clear();
    for (const auto& log : this->site.logs) {
        auto& fold = *this->folds.emplace_back(std::make_unique<ShardFold>());
        fold.send = [this](const std::vector<AddressedReply>& replies) {
            for (const auto& reply : replies)
                this->site.deliver(reply.to, [answer = reply.reply](Daemon& daemon) { daemon.onReply(answer); });
        };
        this->runners.push_back(std::make_unique<StreamRunner<ShardFold>>(this->process, *log, fold, JournalSettings(), this->instance));
        this->runners.back()->keepGoing();
    }
    this->keepPolling();
}

void Daemon::keepPolling()
{
    this->execute(this->claimant->poll(this->site.world.now, this->site.world.random));
    this->process.after(5ms, [this] { this->keepPolling(); });
}

void Daemon::begin(std::uint64_t request)
{
    const auto& wanted = this->site.requests[request];
    this->execute(this->claimant->begin(request, wanted.key, wanted.bodyHash, wanted.deadline, this->site.world.now, this->site.world.random));
}

void Daemon::onMessage(const InstanceId& from, const ClaimMessage& message)
{
    const auto visit = [&](const auto& record) {
        const auto shard = claimShard(record.key, shards);
        auto& runner = *this->runners[shard];
        const auto wallTime = std::chrono::duration_cast<Duration>(this->site.world.now.time_since_epoch());
        this->folds[shard]->send(this->folds[shard]->owner.onRequest(from, record, runner.journal, this->site.world.now, wallTime));
        runner.pump();
    };
    std::visit(visit, message);
}

void Daemon::onReply(const ClaimReply& reply)
{
    this->execute(this->claimant->onReply(reply, this->site.world.now, this->site.world.random));
}

void Daemon::onQuery(const InstanceId& from, const ClaimQuery& query)
{
    const auto answer = this->claimant->onQuery(query);
    if (answer.reply)
        this->site.deliver(from, [reply = *answer.reply](Daemon& daemon) { daemon.onReply(reply); });
    this->execute(answer.actions);
}

void Daemon::execute(const ClaimantActions& actions)
{
    auto& world = this->site.world;
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendToOwner>(&action)) {
            // The daemon's view of the owner changes from time to time.
            const auto owner = static_cast<std::size_t>(world.now.time_since_epoch() / 3s) + send->rank + world.randomIndex(8) / 7;
            this->site.deliver(InstanceId(std::string(1, static_cast<char>('a' + owner % 3))),
                [from = this->instance, message = send->message](Daemon& daemon) { daemon.onMessage(from, message); });
        } else if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
            const auto number = this->claimant->requestOf(dispatch->id).value();
            auto& request = this->site.requests[number];
            ++request.dispatches;
            this->site.service.call(number, request.key, this->process.here<DispatchResult>([this, id = dispatch->id](const auto& result) {
                this->execute(this->claimant->onDispatchResult(id, result, this->site.world.now, this->site.world.random));
            }));
        } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
            auto& request = this->site.requests[answer->request];
            CHECK_FALSE(request.answer);
            request.answer = answer->answer;
            request.answeredAt = world.now;
        } else {
            const auto& ask = std::get<QueryHolder>(action);
            this->site.deliver(ask.holder, [from = this->instance, query = ask.query](Daemon& daemon) { daemon.onQuery(from, query); });
        }
    }
}

void injectFaults(Site& site)
{
    auto& daemon = *site.daemons[site.world.randomIndex(3)];
    if (site.world.chance(0.1))
        daemon.restart();
    if (site.world.chance(0.2))
        daemon.process.pause(site.world.randomDuration(4s));
    for (const auto& log : site.logs)
        log->faults.isUnavailable = site.world.chance(0.15);
    for (auto& runner : daemon.runners) {
        if (!runner->journal.needsState())
            runner->writeSnapshot(site.world.chance(0.2));
    }
}

/// @return Whether the answer was 'not run' although an earlier request with the same key had run.
bool checkRequest(std::uint64_t number, const Request& request, const std::vector<Run>& runs)
{
    CHECK(request.dispatches <= 1);
    const auto* notRun = request.answer ? std::get_if<AnswerNotRun>(&*request.answer) : nullptr;
    const bool isRefused = notRun || (request.answer && std::holds_alternative<AnswerMismatch>(*request.answer));
    for (const auto& run : runs) {
        if (isRefused)
            CHECK(run.request != number);
    }
    const bool ranBefore = !runs.empty() && runs.front().at < request.startedAt;
    if (notRun && notRun->scope == NotRunScope::Key)
        CHECK_FALSE(ranBefore);
    return notRun && ranBefore;
}

} // namespace

TEST_CASE("a claim appended after its withdrawal has no effect and the key stays free")
{
    const auto key = claimKey(ClientAccount("kiln"), ServiceName("orders"), "1");
    const ClaimId late { InstanceId("a"), 1, 1 };
    const ClaimId next { InstanceId("b"), 1, 1 };
    ClaimTable table(tableSettings);
    table.apply(ClaimWithdrawal { key, late, 10s });
    table.apply(ClaimRecord { key, late, 7, 11s });
    CHECK(table.reply(key, late, 7)->verdict == ClaimVerdict::Withdrawn);
    CHECK_FALSE(table.reply(key, next, 7));
    table.apply(ClaimRecord { key, next, 7, 12s });
    const auto restored = ClaimTable(tableSettings, table.state());
    CHECK(restored.reply(key, next, 7)->verdict == ClaimVerdict::Won);
    CHECK(restored.reply(key, late, 7)->holder == next);
    CHECK(restored.reply(key, { InstanceId("c"), 1, 1 }, 8)->verdict == ClaimVerdict::Mismatch);
}

TEST_CASE("a key is kept for its window even if one clock is wrong, and a large response is kept as a digest")
{
    ClaimTableSettings settings;
    settings.keyWindow = 60s;
    const auto key = [](int number) { return claimKey(ClientAccount("kiln"), ServiceName("orders"), std::to_string(number)); };
    const auto id = [](int number) { return ClaimId { InstanceId("a"), 1, static_cast<std::uint64_t>(number) }; };
    ClaimTable table(settings);
    table.apply(ClaimRecord { key(1), id(1), 7, 1000s });
    table.apply(ClaimRecord { key(2), id(2), 7, 900000s });
    CHECK(table.reply(key(1), id(1), 7));
    auto outcome = makeOutcome(key(1), id(1), 200, "text/plain", std::string(settings.maxOutcomeBodyBytes + 1, 'x'), settings);
    table.apply(outcome);
    const auto recorded = table.reply(key(1), id(9), 7)->outcome;
    CHECK(recorded->body.empty());
    CHECK(recorded->bodyBytes == settings.maxOutcomeBodyBytes + 1);
    CHECK(recorded->bodyDigest.size() == 64);
    for (int second = 1010; second <= 1080; second += 10)
        table.apply(ClaimRecord { key(second), id(second), 7, std::chrono::seconds(second) });
    CHECK_FALSE(table.reply(key(1), id(1), 7));
    CHECK(table.reply(key(1030), id(1030), 7));
    CHECK(claimKey(ClientAccount("a"), ServiceName("bc"), "d") != claimKey(ClientAccount("ab"), ServiceName("c"), "d"));
}

TEST_CASE("a call runs at most once, 'not run' answers are correct, and all requests get the same outcome")
{
    const auto seed = GENERATE(range(1, 21));
    INFO("seed " << seed);
    Site site(seed);
    constexpr std::uint64_t body = 7;
    std::vector<ClaimKey> keys;
    for (int round = 0; round < 60; ++round) {
        injectFaults(site);
        keys.push_back(claimKey(ClientAccount("kiln"), ServiceName("orders"), std::to_string(round)));
        for (int copy = 0; copy < 3; ++copy) {
            const auto& key = keys[keys.size() - 1 - site.world.randomIndex(std::min<std::size_t>(keys.size(), 4))];
            site.sendRequest(*site.daemons[site.world.randomIndex(3)], key, site.world.chance(0.05) ? body + 1 : body);
            site.world.runFor(site.world.randomDuration(site.world.chance(0.5) ? 20ms : 800ms));
        }
    }
    for (const auto& log : site.logs)
        log->faults = LogFaults::none();
    site.messageLossProbability = 0;
    site.world.runFor(20s);
    const auto firstFinalRequest = site.requests.size();
    for (const auto& key : keys) {
        for (const auto& daemon : site.daemons)
            site.sendRequest(*daemon, key, body);
        site.world.runFor(50ms);
    }
    site.world.runFor(10s);

    std::map<ClaimKey, std::set<std::string>> outcomes;
    std::map<std::size_t, int> answers;
    int ranEarlier = 0;
    for (std::size_t index = 0; index < site.requests.size(); ++index) {
        const auto& request = site.requests[index];
        ranEarlier += checkRequest(index, request, site.service.runs[request.key]) ? 1 : 0;
        if (index >= firstFinalRequest)
            REQUIRE(request.answer);
        if (!request.answer)
            continue;
        ++answers[request.answer->index()];
        if (const auto* outcome = std::get_if<AnswerOutcome>(&*request.answer))
            outcomes[request.key].insert(outcome->outcome.body);
    }
    for (const auto& [key, runs] : site.service.runs)
        CHECK(runs.size() <= 1);
    for (const auto& [key, bodies] : outcomes)
        CHECK(bodies.size() == 1);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const auto state = site.daemons[0]->folds[shard]->parts();
        CHECK(site.daemons[1]->folds[shard]->parts() == state);
        CHECK(site.daemons[2]->folds[shard]->parts() == state);
    }
    INFO("not run " << answers[0] << ", unknown " << answers[1] << ", outcome " << answers[2] << ", mismatch " << answers[3] << "; not run of a request whose key ran earlier " << ranEarlier);
    CHECK(answers[0] > 0);
    CHECK(answers[1] > 0);
    CHECK(answers[2] > 60);
}
