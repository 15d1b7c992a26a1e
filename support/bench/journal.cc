/// @file
/// Slopes of the log's folds over accounts and keys, sizes of records and snapshots, and what group commit saves.

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <malloc.h>

#include "goldcrestwood/catalog.h"
#include "goldcrestwood/claims.h"
#include "goldcrestwood/journal.h"
#include "goldcrestwood/lease.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

/// @return Bytes in use on the heap.
std::size_t liveBytes() { return mallinfo2().uordblks; }

/// @return Time of one call of @p work in nanoseconds.
template <typename Work>
double nanoseconds(std::size_t repeats, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < repeats; ++index)
        work(index);
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    return spent.count() / static_cast<double>(repeats);
}

AccountEntry makeAccount(std::size_t number, double weight)
{
    AccountEntry entry;
    entry.name = ClientAccount("account-" + std::to_string(number));
    entry.keySalt = std::string(32, 'a');
    entry.keyHash = std::string(64, 'b');
    entry.weight = weight;
    return entry;
}

UpstreamEntry makeUpstream(std::size_t number)
{
    UpstreamEntry entry;
    entry.id = UpstreamId("replica-" + std::to_string(number));
    entry.service = ServiceName("kiln-voice");
    entry.domain = FailureDomain("nha-be");
    entry.address = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8000";
    return entry;
}

ConfigurationEdit makeSite(std::size_t accounts, std::size_t upstreams)
{
    ConfigurationEdit edit;
    edit.changed.services.emplace_back().name = ServiceName("kiln-voice");
    edit.changed.domains.emplace_back().name = FailureDomain("nha-be");
    for (std::size_t number = 0; number < accounts; ++number)
        edit.changed.accounts.push_back(makeAccount(number, 1));
    for (std::size_t number = 0; number < upstreams; ++number)
        edit.changed.upstreams.push_back(makeUpstream(number));
    return edit;
}

void benchCatalogOf(std::size_t accounts, std::size_t upstreams)
{
    const auto site = makeSite(accounts, upstreams);
    const auto before = liveBytes();
    auto catalog = std::make_unique<Catalog>(CatalogSettings());
    catalog->apply(0, site);
    const auto siteBytes = liveBytes() - before;
    std::size_t editBytes = 0;
    const auto edit = nanoseconds(2000, [&](std::size_t index) {
        ConfigurationEdit change;
        change.base = catalog->view()->revision;
        change.changed.accounts.push_back(makeAccount(index % accounts, static_cast<double>(index + 2)));
        editBytes = encode(change).size();
        catalog->apply(index + 1, change);
    });
    const auto view = catalog->view();
    const ClientAccount wanted("account-5");
    std::size_t found = 0;
    const auto lookup = nanoseconds(200000, [&](std::size_t) { found += view->account(wanted) ? 1 : 0; });
    std::string snapshot;
    const auto write = nanoseconds(5, [&](std::size_t) { snapshot = encode(catalog->state()); });
    std::printf("%-10zu %-10zu %12zu %10.1f %10.0f %12zu %14zu %12.2f\n", accounts, upstreams,
        siteBytes / (accounts + upstreams), edit / 1e3, found ? lookup : 0, editBytes, snapshot.size(), write / 1e6);
}

void benchCatalog()
{
    std::printf("%-10s %-10s %12s %10s %10s %12s %14s %12s\n", "accounts", "upstreams", "bytes/entry", "edit us",
        "lookup ns", "edit bytes", "snapshot bytes", "snapshot ms");
    benchCatalogOf(10, 12);
    benchCatalogOf(1000, 500);
    benchCatalogOf(8600, 4500);
}

ClaimRecord makeClaim(std::size_t number)
{
    const auto key = claimKey(ClientAccount("kiln"), ServiceName("orders"), std::to_string(number));
    return { key, { InstanceId("thu-duc-1"), 1, number }, number, 1000s };
}

void benchClaimsOf(std::size_t keys, std::size_t outcomeBytes)
{
    const ClaimTableSettings settings;
    std::vector<ClaimRecord> claims;
    for (std::size_t number = 0; number < keys; ++number)
        claims.push_back(makeClaim(number));
    auto outcome = makeOutcome(
        claims[0].key, claims[0].id, 200, "application/json", std::string(outcomeBytes, 'x'), settings);
    outcome.at = 1000s;
    const auto before = liveBytes();
    auto table = std::make_unique<ClaimTable>(settings);
    const auto claim = nanoseconds(keys, [&](std::size_t index) { table->apply(claims[index]); });
    const auto claimedBytes = (liveBytes() - before) / keys;
    const auto record = nanoseconds(keys, [&](std::size_t index) {
        outcome.key = claims[index].key;
        outcome.id = claims[index].id;
        table->apply(outcome);
    });
    const auto bytes = (liveBytes() - before) / keys;
    std::string snapshot;
    const auto write = nanoseconds(1, [&](std::size_t) { snapshot = encode(table->state()); });
    std::printf("%-10zu %10zu %14zu %14zu %10.0f %12.0f %16.1f %12.2f\n", keys, outcomeBytes, claimedBytes, bytes,
        claim, record, static_cast<double>(snapshot.size()) / static_cast<double>(keys), write / 1e6);
}

void benchClaims()
{
    std::printf("\n%-10s %10s %14s %14s %10s %12s %16s %12s\n", "keys", "body bytes", "B/claimed key", "B/ended key",
        "claim ns", "outcome ns", "snapshot B/key", "snapshot ms");
    for (const std::size_t body : { 0, 200 }) {
        for (const std::size_t keys : { 10, 1000, 8600, 100000 })
            benchClaimsOf(keys, body);
    }
}

template <typename Message>
std::size_t recordBytes(const char* kind, const Message& message)
{
    return encode(LogRecord { 1, { InstanceId("thu-duc-1"), 1764813600000000, 123456 }, kind, encode(message) }).size();
}

void benchRecords()
{
    const auto claim = makeClaim(1);
    const auto outcome = makeOutcome(
        claim.key, claim.id, 200, "application/json", std::string(200, 'x'), ClaimTableSettings());
    const DrainOrder order { { InstanceId("thu-duc-1"), 1764813600000000, 5 }, DrainTarget::Domain, "nha-be",
        DomainState::Out };
    std::printf("\nrecord bytes: claim %zu, withdrawal %zu, outcome with a body of 200 bytes %zu, lease renewal %zu, "
                "drain order %zu\n",
        recordBytes("ClaimRecord", claim), recordBytes("ClaimWithdrawal", ClaimWithdrawal { claim.key, claim.id, 1000s }),
        recordBytes("ClaimOutcome", outcome), recordBytes("LeaseRenewal", LeaseRenewal { "orders", 123456, 77 }),
        recordBytes("DrainOrder", order));
}

void benchJournal()
{
    constexpr std::size_t records = 100000;
    Random random(1);
    Journal journal(JournalSettings(), InstanceId("a"), 1, { "ClaimRecord" });
    LogRecords log;
    const auto payload = encode(makeClaim(1));
    for (std::size_t offset = 0; offset < records; ++offset) {
        const RecordId id { InstanceId("writer-" + std::to_string(offset % 340)), 1, offset };
        log.records.push_back({ offset, encode(LogRecord { 1, id, "ClaimRecord", payload }) });
    }
    log.next = records;
    const TimePoint now(1h);
    const auto exchange = std::get<ReadAction>(journal.poll(now, random).actions.at(0)).exchange;
    std::size_t applied = 0;
    const auto spent = nanoseconds(1, [&](std::size_t) { applied = journal.onRecords(exchange, log, now).applied.size(); });
    std::printf("read back of %zu records of 340 writers: %.0f ns a record\n", applied,
        spent / static_cast<double>(records));
}

struct CommitResult {
    double appendsPerSecond = 0;
    double meanWaitMs = 0;
    double refusedShare = 0;
};

/// Records arrive evenly for a simulated minute; each append takes one round trip.
class CommitRun {
public:
    CommitRun(double rate, Duration trip, std::size_t batchRecords)
        : recordsPerSecond(rate)
        , roundTrip(trip)
        , journal(settingsOf(batchRecords), InstanceId("a"), 1, { "Note" })
    {
    }

    CommitResult run()
    {
        for (; this->now < this->start + 60s; this->now += 200us) {
            this->arrive();
            this->finishAppend();
            this->poll();
        }
        const auto share = static_cast<double>(this->refused) / static_cast<double>(this->arrived);
        const auto done = static_cast<double>(std::max<std::uint64_t>(this->offset, 1));
        return { static_cast<double>(this->appends) / 60, this->waited / done * 1e3, share };
    }

private:
    static JournalSettings settingsOf(std::size_t batchRecords)
    {
        JournalSettings settings;
        settings.batchRecords = batchRecords;
        return settings;
    }

    void arrive()
    {
        const auto due = this->recordsPerSecond * toSeconds(this->now - this->start);
        for (; static_cast<double>(this->arrived) < due; ++this->arrived) {
            if (const auto id = this->journal.submit("Note", std::string(60, 'x'), this->now))
                this->submitted[*id] = this->now;
            else
                ++this->refused;
        }
    }

    void finishAppend()
    {
        if (!this->inFlight || this->now < this->answerAt)
            return;
        this->journal.onAppendResult(this->inFlight->exchange, AppendOk { this->offset }, this->now, this->random);
        for (const auto& bytes : this->inFlight->records)
            this->waited += toSeconds(this->now - this->submitted[decode<LogRecord>(bytes)->id]);
        this->offset += this->inFlight->records.size();
        this->inFlight.reset();
    }

    void poll()
    {
        auto poll = this->journal.poll(this->now, this->random);
        this->refused += poll.completions.size();
        for (auto& action : poll.actions) {
            auto* append = std::get_if<AppendAction>(&action);
            if (!append)
                continue;
            ++this->appends;
            this->inFlight = std::move(*append);
            this->answerAt = this->now + this->roundTrip;
        }
    }

    double recordsPerSecond;
    Duration roundTrip;
    Journal journal;
    Random random { 1 };
    TimePoint start { 1h };
    TimePoint now { 1h };
    std::map<RecordId, TimePoint> submitted;
    std::optional<AppendAction> inFlight;
    TimePoint answerAt;
    std::size_t appends = 0;
    std::size_t refused = 0;
    std::size_t arrived = 0;
    std::uint64_t offset = 0;
    double waited = 0;
};

void benchCommit()
{
    std::printf("\ngroup commit beside one record an append; round trip 5 ms\n%-10s %10s %10s %10s   %14s %10s %10s\n",
        "records/s", "appends/s", "wait ms", "refused", "one: appends/s", "wait ms", "refused");
    for (const double rate : { 1.0, 10.0, 100.0, 300.0, 1000.0, 3000.0 }) {
        const auto grouped = CommitRun(rate, 5ms, JournalSettings().batchRecords).run();
        const auto single = CommitRun(rate, 5ms, 1).run();
        std::printf("%-10.0f %10.1f %10.2f %10.3f   %14.1f %10.2f %10.3f\n", rate, grouped.appendsPerSecond,
            grouped.meanWaitMs, grouped.refusedShare, single.appendsPerSecond, single.meanWaitMs, single.refusedShare);
    }
}

} // namespace

int main()
{
    benchCatalog();
    benchClaims();
    benchRecords();
    benchJournal();
    benchCommit();
    return 0;
}
