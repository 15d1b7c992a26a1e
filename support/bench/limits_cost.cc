/// @file
/// Decision time, memory and message bytes of permits and admission, over accounts, replicas and daemons.

#include <chrono>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include <malloc.h>

#include "goldcrestwood/accounts.h"
#include "goldcrestwood/hash.h"
#include "goldcrestwood/permits.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/ticket.h"
#include "goldcrestwood/view_quorum.h"

using namespace goldcrestwood;

namespace {

constexpr TimePoint startTime { std::chrono::hours(1) };

/// Calls @p action @p count times.
/// @return Mean time of a call in nanoseconds.
template <typename Action>
double nanoseconds(std::size_t count, Action action)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i)
        action(i);
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    return spent.count() / static_cast<double>(count);
}

/// @return Time of a 64-byte hash in nanoseconds, as a unit that makes results of different machines comparable.
double hashNanoseconds()
{
    const std::string text(64, 'x');
    std::uint64_t hash = 0;
    const auto perCall = nanoseconds(1000000, [&](std::size_t) { hash = stableHash(text, hash); });
    return hash == 0 ? 0 : perCall;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void printAdmission(double hashTime)
{
    std::printf("Admission: offer, poll and release of one request while every account has one waiting\n");
    std::printf("%10s %12s %10s %14s\n", "accounts", "ns", "hashes", "bytes/account");
    for (const std::size_t count : { 10UL, 1000UL, 8600UL }) {
        Random random(1);
        const auto before = heapBytes();
        AdmissionSettings settings;
        settings.maxQueued = 2 * count;
        Admission admission(InstanceId("i"), settings);
        std::vector<AccountEntry> entries(count);
        for (std::size_t i = 0; i < count; ++i) {
            entries[i].name = ClientAccount("account-" + std::to_string(i));
            entries[i].requestsPerSecond = 1e5;
            entries[i].burstRequests = 1e5;
        }
        admission.configure(entries, 7, startTime);
        const auto after = heapBytes();
        const ServiceName service("kiln-voice");
        const auto deadline = startTime + std::chrono::hours(10);
        for (const auto& entry : entries)
            admission.offer({ entry.name, service, 1, deadline }, startTime);
        admission.setCapacity(service, 1);
        const auto perCall = nanoseconds(100000, [&](std::size_t i) {
            const auto now = startTime + std::chrono::microseconds(100 * i);
            const auto& entry = entries[static_cast<std::size_t>(uniform(random) * static_cast<double>(count))];
            admission.offer({ entry.name, service, 1, deadline }, now);
            for (const auto id : admission.poll(now).admitted)
                admission.release(id, now);
        });
        std::printf("%10zu %12.0f %10.0f %14.0f\n", count, perCall, perCall / hashTime,
            static_cast<double>(after - before) / static_cast<double>(count));
    }
}

void printHolders(double hashTime)
{
    std::printf("\nPermits of one daemon: acquire, first token, release, poll at a random one of its holders\n");
    std::printf("%10s %12s %10s %14s\n", "replicas", "ns", "hashes", "bytes/replica");
    for (const std::size_t count : { 10UL, 100UL, 1000UL, 4500UL }) {
        Random random(1);
        const auto before = heapBytes();
        std::vector<PermitHolder> holders;
        for (std::size_t i = 0; i < count; ++i)
            holders.emplace_back(UpstreamId("kv" + std::to_string(i)), InstanceId("i"), 1, ConcurrencySettings(), PermitSettings(), startTime);
        const auto after = heapBytes();
        std::uint64_t granted = 0;
        const auto perCall = nanoseconds(300000, [&](std::size_t i) {
            const auto now = startTime + std::chrono::microseconds(100 * i);
            const auto index = static_cast<std::size_t>(uniform(random) * static_cast<double>(count));
            auto& holder = holders[index];
            holder.setWaiting(1);
            if (const auto request = holder.poll(now))
                holder.onGrant({ request->upstream, 1, request->sequence, 1, 2, false, std::chrono::seconds(2) }, now);
            if (const auto permit = holder.tryAcquire(now)) {
                ++granted;
                holder.onFirstToken(1, 1);
                holder.release(*permit, PermitEnd::Succeeded);
            }
        });
        std::printf("%10zu %12.0f %10.0f %14.0f\n", count, perCall, perCall / hashTime,
            static_cast<double>(after - before) / static_cast<double>(count));
    }
}

void printIssuers(double hashTime)
{
    std::printf("\nOwner of one upstream: answer to a request while all holders compete\n");
    std::printf("%10s %12s %10s %14s\n", "holders", "ns", "hashes", "state bytes");
    for (const std::size_t count : { 1UL, 7UL, 24UL, 85UL }) {
        PermitIssuer issuer(UpstreamId("kv"), ConcurrencySettings(), PermitSettings(), startTime);
        issuer.onHandover({ UpstreamId("kv"), 1, 32, {}, true }, startTime);
        issuer.setAuthority(startTime + std::chrono::hours(10));
        std::vector<PermitHolder> holders;
        for (std::size_t i = 0; i < count; ++i)
            holders.emplace_back(UpstreamId("kv"), InstanceId("i" + std::to_string(i)), 1, ConcurrencySettings(), PermitSettings(), startTime);
        std::size_t answers = 0;
        std::size_t next = 0;
        const auto perCall = nanoseconds(50000, [&](std::size_t i) {
            const auto now = startTime + fromSeconds(static_cast<double>(i) / static_cast<double>(count));
            auto& holder = holders[next];
            next = next + 1 == holders.size() ? 0 : next + 1;
            holder.setWaiting(2);
            if (const auto request = holder.poll(now))
                answers += issuer.onRequest(*request, now).size();
        });
        std::printf("%10zu %12.0f %10.0f %14zu\n", count, perCall, perCall / hashTime, issuer.stateBytes());
    }
}

/// Prints the bytes per second that one daemon sends: permit requests and grants, view reports, rate demands and shares.
void printBytes()
{
    PermitRequest request { UpstreamId("kiln-voice-0123"), InstanceId("thu-duc-123"), 1700000000, 100000, 99999, 12, 4, 3, 5, 100000,
        12, 1.04, false };
    const PermitGrant grant { request.upstream, request.incarnation, request.sequence, 12, 5, true, std::chrono::seconds(2) };
    const ViewReport report { request.holder, ~0ULL, 1700000000, 100000, 1700000000, 100000 };
    const RateDemand demand { ClientAccount("khangai-trials"), request.holder, 100000, 12.5 };
    const RateShare share { demand.account, 100000, 12.5, 30, std::chrono::seconds(3) };
    const auto pair = static_cast<double>(encode(request).size() + encode(grant).size());
    const auto view = static_cast<double>(encode(report).size());
    const auto rate = static_cast<double>(encode(demand).size() + encode(share).size());
    std::printf("\nMessages: request %zu bytes, grant %zu, view report %zu, rate demand and share %.0f\n", encode(request).size(),
        encode(grant).size(), encode(report).size(), rate);
    std::printf("%8s %9s %10s %9s %12s %10s %10s %10s\n", "daemons", "replicas", "requests/s", "accounts", "pairs/daemon", "permits",
        "views", "rates");
    struct Site {
        double daemons;
        double replicas;
        double requests;
        double accounts;
        double regions;
    };
    const auto settings = PermitSettings();
    const auto renewals = 1 / toSeconds(settings.renewAfter);
    for (const auto& [daemons, replicas, requests, accounts, regions] :
        { Site { 7, 15, 25, 10, 1 }, Site { 70, 900, 2200, 1700, 1 }, Site { 340, 4500, 11000, 8600, 4 } }) {
        // A daemon renews permits only for replicas that it uses: the expected number of its region's replicas in a renewal interval.
        const auto regionReplicas = replicas / regions;
        const auto requestsPerRenewal = requests / daemons / renewals;
        const auto pairs = regionReplicas * (1 - std::exp(-requestsPerRenewal / regionReplicas));
        // Each daemon sends requests as a holder and grants as an owner; both count as sent bytes.
        const auto permits = pairs * renewals * pair;
        const auto views = (daemons / regions - 1) * view;
        // Assumes that a tenth of the accounts exceed the share that needs no report, and at most one account per request.
        const auto rates = std::min(0.1 * accounts, requests / daemons) * rate;
        std::printf("%8.0f %9.0f %10.0f %9.0f %12.1f %8.0f/s %8.0f/s %8.0f/s\n", daemons, replicas, requests, accounts, pairs, permits,
            views, rates);
    }
}

void printTickets(double hashTime)
{
    const TicketSigner signer({ "0123456789abcdef0123456789abcdef" });
    const Ticket ticket { "req-0123456789", ClientAccount("bakery"), ServiceName("kiln-voice"), UpstreamId("kv-3"), "run-1", 41, 1000 };
    std::size_t bytes = 0;
    const auto sign = nanoseconds(20000, [&](std::size_t) { bytes = signer.sign(ticket).size(); });
    const auto text = signer.sign(ticket);
    std::size_t accepted = 0;
    const auto verify = nanoseconds(20000, [&](std::size_t) { accepted += signer.verify(text, ticket.account, 1) ? 1 : 0; });
    std::printf("\nTicket: %zu bytes, sign %.0f ns (%.0f hashes), check %.0f ns (%.0f hashes)\n", bytes, sign, sign / hashTime, verify, verify / hashTime);
}

} // namespace

int main()
{
    const auto hashTime = hashNanoseconds();
    std::printf("Reference: hash of 64 bytes %.1f ns\n\n", hashTime);
    printAdmission(hashTime);
    printHolders(hashTime);
    printIssuers(hashTime);
    printBytes();
    printTickets(hashTime);
}
