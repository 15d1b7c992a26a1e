/// @file
/// Cost of applying log records to the catalog and the claim table, over accounts and keys, and sizes of records and snapshots.

#include <chrono>
#include <cstdio>
#include <memory>
#include <vector>

#include <malloc.h>

#include "goldcrestwood/catalog.h"
#include "goldcrestwood/claims.h"
#include "goldcrestwood/journal.h"
#include "goldcrestwood/lease.h"

using namespace goldcrestwood;
using namespace std::chrono_literals;

namespace {

/// @return Heap bytes in use.
std::size_t liveBytes() { return mallinfo2().uordblks; }

/// @return Mean time of a call of @p work in nanoseconds.
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
    const ClientAccount account("account-5");
    std::size_t found = 0;
    const auto lookup = nanoseconds(200000, [&](std::size_t) { found += view->account(account) ? 1 : 0; });
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

} // namespace

int main()
{
    benchCatalog();
    benchClaims();
    benchRecords();
    benchJournal();
    return 0;
}
