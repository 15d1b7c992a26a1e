#pragma once

/// @file
/// Runs calls at most once: makes this daemon's claims and runs the claim streams of which it is owner or standby.

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "daemon/journal_driver.h"
#include "daemon/metrics.h"
#include "daemon/peer_directory.h"
#include "goldcrestwood/claim_owner.h"
#include "goldcrestwood/claimant.h"
#include "goldcrestwood/claims.h"

namespace goldcrestwood {

/// State built from a claim stream, with the replies that are ready to send.
class ClaimFold {
public:
    explicit ClaimFold(const ClaimTableSettings& settings);

    static std::set<std::string> kinds() { return ClaimOwner::recordKinds(); }
    void apply(const AppliedRecord& record);
    void onCompletion(const Completion& completion, Duration retryAfter);
    void restore(const std::vector<FoldPart>& parts);
    std::vector<FoldPart> parts() const;

    ClaimOwner& owner() { return *this->claims; }
    const ClaimOwner& owner() const { return *this->claims; }
    /// @return The replies added since the last call of this function.
    std::vector<AddressedReply> takeReplies();

private:
    std::unique_ptr<ClaimOwner> claims;
    std::vector<AddressedReply> replies;
};

using ClaimJournal = JournalDriver<ClaimFold>;

/// A call that must run at most once.
struct ClaimedCall {
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    Duration timeout = Duration(0);
};

/// Sends the call once, on a new connection, without retries.
using DispatchCall = std::function<DispatchResult(const ClaimId&)>;
/// Queries the service for the outcome of the key's call; returns nothing if the service does not report that it ran.
using StatusQuery = std::function<std::optional<ClaimOutcome>(const ClaimId& holder)>;

/// Status of one claim stream in the state dump.
struct ClaimStreamStatus {
    std::uint32_t shard = 0;
    std::size_t keys = 0;
    JournalStatus journal;
};

class ClaimService {
public:
    /// @param settings, mesh, directory, metrics Must outlive the service.
    /// @param logOutage Returns whether the platform's log is failing.
    ClaimService(const Settings& settings, PeerMesh& mesh, PeerDirectory& directory, Metrics& metrics, std::function<bool()> logOutage);
    ~ClaimService();

    void start();
    void stop();

    /// Claims and dispatches a call and records its outcome, or returns the outcome of an earlier call with the same key.
    ClaimAnswer execute(const ClaimedCall& call, const DispatchCall& dispatch, const StatusQuery& status);

    ClaimTableSettings tableSettings() const;
    std::vector<ClaimStreamStatus> status();
    /// @return Number of calls in progress, including those whose outcome is not yet recorded.
    std::size_t unfinishedCount();

private:
    /// Results that the thread of a request waits for.
    struct Mailbox {
        ClaimKey key;
        std::optional<Dispatch> dispatch;
        std::optional<ClaimAnswer> answer;
        std::optional<ClaimId> holder;
    };

    /// Sends a message; called without any lock held.
    using Outgoing = std::function<void()>;

    void run();
    void adjustStreams();
    void writeSnapshots();
    void runActions(const ClaimantActions& actions);
    void sendToOwner(const SendToOwner& action);
    template <typename Message>
    void postToOwner(std::uint32_t rank, const char* kind, const Message& message);
    template <typename Message>
    void onOwnerRequest(const Message& message);
    void onReply(const ClaimReply& reply);
    void refuseDispatch(const ClaimId& id);
    void enqueue(Outgoing outgoing);
    std::shared_ptr<ClaimJournal> journalOf(const ClaimKey& key);

    const Settings& settings;
    PeerMesh& mesh;
    PeerDirectory& directory;
    Metrics& metrics;
    std::function<bool()> isLogOutage;

    std::mutex mutex;
    std::condition_variable changed;
    Claimant claimant;
    Random random;
    std::map<std::uint64_t, Mailbox> mailboxes;
    std::map<ClaimId, std::uint64_t> requestByClaim;
    std::uint64_t lastRequest = 0;

    std::mutex streamsMutex;
    std::map<std::uint32_t, std::shared_ptr<ClaimJournal>> streams;

    std::mutex outboxMutex;
    std::condition_variable outboxChanged;
    std::deque<Outgoing> outbox;
    bool stopping = false;
    std::thread thread;
};

} // namespace goldcrestwood
