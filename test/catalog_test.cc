/// @file
/// Concurrent edits, drain orders with and without the log, and that accepted edits are never undone.

#include <memory>

#include <catch2/catch.hpp>

#include "goldcrestwood/catalog.h"
#include "simulation.h"

using namespace goldcrestwood;
using namespace goldcrestwood::simulation;

namespace {

AccountEntry account(const std::string& name, double weight)
{
    AccountEntry entry;
    entry.name = ClientAccount(name);
    entry.weight = weight;
    return entry;
}

UpstreamEntry upstream(const std::string& id, const std::string& address)
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = ServiceName("kiln-voice");
    entry.address = address;
    entry.domain = FailureDomain("nha-be");
    return entry;
}

Configuration baseConfiguration()
{
    Configuration all;
    all.services.emplace_back().name = ServiceName("kiln-voice");
    all.domains.emplace_back().name = FailureDomain("nha-be");
    all.upstreams.push_back(upstream("k1", "10.0.0.1:80"));
    all.accounts.push_back(account("bakery", 1));
    return all;
}

DrainOrder drain(std::uint64_t sequence, DomainState state)
{
    return { { InstanceId("a"), 1, sequence }, DrainTarget::Domain, "nha-be", state };
}

/// Results of all daemons' folds, for comparison.
struct FoldResults {
    std::map<std::uint64_t, EditResult> decided;
    std::map<std::uint64_t, ConfigurationEdit> accepted;
    std::map<std::uint64_t, std::string> stateAt;
};

struct CatalogFold {
    FoldResults& results;
    Revision& highest;
    Catalog catalog { CatalogSettings { .maxRemovals = 5, .maxSeenOrders = 1024 } };
    bool isReady = false;

    CatalogFold(FoldResults& all, Revision& seen)
        : results(all)
        , highest(seen)
    {
    }

    static std::set<std::string> kinds() { return { "ConfigurationEdit", "SnapshotChunk" }; }

    void apply(const AppliedRecord& record)
    {
        const auto edit = *decode<ConfigurationEdit>(record.payload);
        const auto result = this->catalog.apply(record.offset, edit);
        CHECK(this->results.decided.try_emplace(record.offset, result).first->second == result);
        if (result.isAccepted())
            this->results.accepted[record.offset] = edit;
    }

    void complete(const Completion&) { }
    std::vector<FoldPart> parts() const { return { { "catalog", encode(this->catalog.state()) } }; }
    void restore(const std::vector<FoldPart>& parts)
    {
        this->catalog = Catalog(CatalogSettings { .maxRemovals = 5, .maxSeenOrders = 1024 }, *decode<CatalogState>(parts.at(0).state));
    }

    void afterRead(std::uint64_t next)
    {
        const auto state = encode(this->catalog.state());
        CHECK(this->results.stateAt.try_emplace(next, state).first->second == state);
    }

    /// Checks that a serving daemon's revision never decreases, also across restarts.
    void checkServing()
    {
        const auto revision = this->catalog.view()->revision;
        CHECK(revision >= this->highest);
        this->highest = revision;
    }
};

/// A daemon that receives edits of operators, often based on an old revision.
class Editor {
public:
    Editor(World& site, FakeLog& stream, FoldResults& all, std::string name)
        : process(site)
        , log(stream)
        , results(all)
        , instance(std::move(name))
    {
        this->start();
    }

    void start()
    {
        JournalSettings settings;
        settings.readRecords = 16;
        this->fold = std::make_unique<CatalogFold>(this->results, this->highest);
        this->runner = std::make_unique<StreamRunner<CatalogFold>>(this->process, this->log, *this->fold, settings, this->instance);
        this->runner->keepGoing();
        this->keepEditing();
    }

    void restart()
    {
        this->process.crash();
        this->start();
    }

    void keepEditing()
    {
        if (this->runner->gate.isReady())
            this->fold->checkServing();
        if (this->isEditing && this->runner->gate.isReady())
            this->edit();
        this->process.after(this->process.world.randomDuration(300ms), [this] { this->keepEditing(); });
    }

    void edit()
    {
        auto& world = this->process.world;
        if (!this->seen || world.chance(0.5))
            this->seen = this->fold->catalog.view();
        auto wanted = this->seen->configuration();
        const auto name = "account-" + std::to_string(world.randomIndex(6));
        std::erase_if(wanted.accounts, [&](const auto& entry) { return entry.name.value == name; });
        if (world.chance(0.7))
            wanted.accounts.push_back(account(name, uniform(world.random) + 1));
        auto edit = diff(this->seen->configuration(), wanted);
        edit.base = this->seen->revision;
        if (!isEmpty(edit))
            (void)this->runner->journal.submit("ConfigurationEdit", encode(edit), world.now);
    }

    Process process;
    FakeLog& log;
    FoldResults& results;
    InstanceId instance;
    Revision highest = 0;
    std::shared_ptr<const CatalogView> seen;
    std::unique_ptr<CatalogFold> fold;
    std::unique_ptr<StreamRunner<CatalogFold>> runner;
    bool isEditing = true;
};

std::map<std::string, AccountEntry> accountsOf(const Configuration& configuration)
{
    std::map<std::string, AccountEntry> all;
    for (const auto& entry : configuration.accounts)
        all[entry.name.value] = entry;
    return all;
}

} // namespace

TEST_CASE("accepted edits apply on all daemons and are never lost or undone")
{
    const auto seed = GENERATE(range(1, 11));
    INFO("seed " << seed);
    World world(seed);
    FakeLog log(world);
    FoldResults results;
    std::vector<std::unique_ptr<Editor>> editors;
    for (const auto* name : { "a", "b", "c" })
        editors.push_back(std::make_unique<Editor>(world, log, results, name));
    for (int round = 0; round < 60; ++round) {
        auto& editor = *editors[world.randomIndex(3)];
        if (world.chance(0.15) && isHistoryHeld(editors, log.first(), &editor))
            editor.restart();
        if (world.chance(0.2))
            editor.process.pause(world.randomDuration(5s));
        log.faults.isUnavailable = world.chance(0.2);
        auto& writer = *editors[world.randomIndex(3)]->runner;
        if (!writer.journal.needsState() && writer.gate.isReady())
            writer.writeSnapshot(world.chance(0.3));
        if (log.next() > 80 && world.chance(0.3) && isHistoryHeld(editors, log.next() - 80))
            log.expire(log.next() - 80);
        if (world.chance(0.5))
            shareHistory(editors, log.first());
        world.runFor(world.randomDuration(2s));
    }
    log.faults = LogFaults::none();
    for (const auto& editor : editors)
        editor->isEditing = false;
    world.runFor(20s);
    shareHistory(editors, log.first());
    world.runFor(5s);

    std::map<std::string, AccountEntry> expected;
    for (const auto& [offset, edit] : results.accepted) {
        for (const auto& entry : edit.changed.accounts)
            expected[entry.name.value] = entry;
        for (const auto& entry : edit.removed)
            expected.erase(entry.key);
    }
    CHECK(results.accepted.size() > 20);
    CHECK(results.decided.size() > results.accepted.size());
    for (const auto& editor : editors) {
        CHECK(editor->runner->journal.next() == log.next());
        CHECK(accountsOf(editor->fold->catalog.view()->configuration()) == expected);
    }
}

TEST_CASE("of two concurrent edits of an entry one is accepted and the other gets the conflict")
{
    Catalog catalog { CatalogSettings() };
    const auto first = catalog.apply(0, diff({}, baseConfiguration()));
    REQUIRE(first.isAccepted());
    CHECK(first.revision == 1);
    const auto before = catalog.view();
    auto left = baseConfiguration();
    left.accounts[0].weight = 2;
    auto right = baseConfiguration();
    right.accounts[0].weight = 3;
    auto other = baseConfiguration();
    other.upstreams.push_back(upstream("k2", "10.0.0.2:80"));
    auto edit = [&](const Configuration& wanted) {
        auto change = diff(baseConfiguration(), wanted);
        change.base = first.revision;
        return change;
    };
    CHECK(catalog.apply(5, edit(left)).revision == 6);
    const auto lost = catalog.apply(6, edit(right));
    REQUIRE(lost.conflicts.size() == 1);
    CHECK(lost.conflicts[0].entry == EntryRef { EntryTable::Account, "bakery" });
    CHECK(lost.conflicts[0].changedAt == 6);
    CHECK(catalog.apply(7, edit(other)).isAccepted());
    CHECK(catalog.apply(8, edit(left)).isAccepted());
    CHECK(catalog.view()->account(ClientAccount("bakery"))->weight == 2);
    CHECK(before->account(ClientAccount("bakery"))->weight == 1);

    ConfigurationEdit removal { 9, {}, { { EntryTable::Account, "bakery" } }, "" };
    REQUIRE(catalog.apply(9, removal).isAccepted());
    CHECK_FALSE(catalog.apply(10, edit(right)).isAccepted());
    CHECK_FALSE(catalog.view()->account(ClientAccount("bakery")));

    // Edits based on a revision before a forgotten removal are refused, because conflicts can no longer be detected.
    Catalog noRemovals { CatalogSettings { .maxRemovals = 0, .maxSeenOrders = 1 } };
    REQUIRE(noRemovals.apply(0, diff({}, baseConfiguration())).isAccepted());
    removal.base = 1;
    REQUIRE(noRemovals.apply(5, removal).isAccepted());
    CHECK_FALSE(noRemovals.apply(6, edit(right)).isAccepted());
}

TEST_CASE("an edit that breaks references after another one is refused, and validation reports all errors")
{
    Catalog catalog { CatalogSettings() };
    REQUIRE(catalog.apply(0, diff({}, baseConfiguration())).isAccepted());
    ConfigurationEdit noService { 1, {}, { { EntryTable::Service, "kiln-voice" }, { EntryTable::Upstream, "k1" } }, "" };
    ConfigurationEdit newUpstream { 1, {}, {}, "" };
    newUpstream.changed.upstreams.push_back(upstream("k2", "10.0.0.2:80"));
    auto after = catalog;
    CHECK(catalog.apply(1, noService).isAccepted());
    const auto unknown = catalog.apply(2, newUpstream);
    REQUIRE(unknown.conflicts.size() == 1);
    CHECK(unknown.conflicts[0].message == "Service kiln-voice is used but not configured");
    CHECK(after.apply(1, newUpstream).isAccepted());
    CHECK(after.apply(2, noService).conflicts.size() == 1);

    auto broken = baseConfiguration();
    broken.upstreams.push_back(upstream("k1", "10.0.0.1:80"));
    broken.versions.push_back({ ServiceName("crock-desk"), VersionName("v1"), "weights", {} });
    broken.accounts.push_back(account("", 1));
    CHECK(validate(baseConfiguration()).empty());
    CHECK(validate(broken).size() == 4);
}

TEST_CASE("a domain drained during a log outage stays out until the order is recorded")
{
    Catalog catalog { CatalogSettings() };
    REQUIRE(catalog.apply(0, diff({}, baseConfiguration())).isAccepted());
    const FailureDomain domain("nha-be");
    const auto& entry = *catalog.view()->upstream(UpstreamId("k1"));
    CHECK(catalog.view()->takesWork(entry));
    CHECK(catalog.addProvisional(drain(2, DomainState::Out)));
    CHECK_FALSE(catalog.addProvisional(drain(2, DomainState::Out)));
    CHECK_FALSE(catalog.addProvisional(drain(4, DomainState::In)));
    CHECK_FALSE(catalog.view()->isInService(domain));
    CHECK(catalog.drains() == std::vector<DrainStatus> { { drain(2, DomainState::Out), false } });

    CHECK(catalog.apply(1, drain(6, DomainState::In)));
    CHECK_FALSE(catalog.view()->isInService(domain));
    CHECK(catalog.apply(2, drain(2, DomainState::Out)));
    CHECK(catalog.drains() == std::vector<DrainStatus> { { drain(2, DomainState::Out), true } });
    CHECK(catalog.provisional().empty());
    CHECK_FALSE(Catalog(CatalogSettings(), catalog.state()).view()->isInService(domain));

    CHECK(catalog.apply(3, drain(8, DomainState::In)));
    CHECK(catalog.view()->takesWork(entry));
    CHECK_FALSE(catalog.apply(4, drain(2, DomainState::Out)));
    CHECK_FALSE(catalog.addProvisional(drain(2, DomainState::Out)));
    CHECK(catalog.view()->takesWork(entry));
}
