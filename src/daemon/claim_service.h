#pragma once

/// @file
/// At-most-once calls: this daemon's claims, and the claim streams that it owns or stands by for.

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

/// The fold of a claim stream with the replies that it has ready.
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
    /// @return The replies collected since the last call.
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

/// Sends the call once, on a fresh connection, without a retry.
using DispatchCall = std::function<DispatchResult(const ClaimId&)>;
/// Asks the service whether the key's call has run; nothing where it cannot tell.
using StatusQuery = std::function<std::optional<ClaimOutcome>(const ClaimId& holder)>;

/// What the state dump shows of one claim stream.
struct ClaimStreamStatus {
    std::uint32_t shard = 0;
    std::size_t keys = 0;
    JournalStatus journal;
};

class ClaimService {
public:
    /// @param settings, mesh, directory, metrics Must outlive the service.
    /// @param logOutage Tells whether the platform's log is failing.
    ClaimService(const Settings& settings, PeerMesh& mesh, PeerDirectory& directory, Metrics& metrics, std::function<bool()> logOutage);
    ~ClaimService();

    void start();
    void stop();

    /// Claims, dispatches and records a call, or finds the outcome of an earlier one.
    ClaimAnswer execute(const ClaimedCall& call, const DispatchCall& dispatch, const StatusQuery& status);

    ClaimTableSettings tableSettings() const;
    std::vector<ClaimStreamStatus> status();
    /// @return Calls in hand, among them those whose outcome is not yet recorded.
    std::size_t unfinished();

private:
    /// What the thread of a request waits for.
    struct Mailbox {
        ClaimKey key;
        std::optional<Dispatch> dispatch;
        std::optional<ClaimAnswer> answer;
        std::optional<ClaimId> holder;
    };

    /// A message to send without any lock held.
    using Outgoing = std::function<void()>;

    void run();
    void adjustStreams();
    void writeSnapshots();
    void carryOut(const ClaimantActions& actions);
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
    std::map<ClaimId, std::uint64_t> requestOf;
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
