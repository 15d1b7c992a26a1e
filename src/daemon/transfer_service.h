#pragma once

/// @file
/// Transfers blocks between engines and stores within this daemon's shares of the stores' links.

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "daemon/metrics.h"
#include "daemon/peer_directory.h"
#include "daemon/peer_mesh.h"
#include "goldcrestwood/catalog.h"
#include "goldcrestwood/transfers.h"

namespace goldcrestwood {

/// Blocks to transfer between an engine and a store.
struct BlockTransfer {
    UpstreamId store;
    std::string storeAddress;
    std::string engineAddress;
    TransferClass kind = TransferClass::FirstToken;
    std::vector<std::uint64_t> hashes;
    std::uint64_t bytes = 0;
    Duration timeout = Duration(0);
};

/// Receives the hashes of the blocks that were transferred.
using TransferHandler = std::function<void(const std::vector<std::uint64_t>&)>;

class TransferService {
public:
    /// @param mesh, directory, metrics Must outlive the service.
    TransferService(PeerMesh& mesh, PeerDirectory& directory, Metrics& metrics);
    ~TransferService();

    void start();
    void stop();
    void configure(const std::shared_ptr<const CatalogView>& view);

    /// Imports blocks and waits for them; the transfer's timeout applies to the wait for the start and again to the import.
    /// @return The blocks that arrived, or nothing if the transfer was dropped or failed.
    std::optional<std::vector<std::uint64_t>> import(const BlockTransfer& transfer);
    /// Queues an export or a prefetch, which may be dropped.
    /// @param onTransferred Called with the transferred blocks, on a thread of the service.
    void queue(const BlockTransfer& transfer, TransferHandler onTransferred);
    /// @return The link estimate from which the router computes the cost of an import.
    LinkEstimate estimate(const UpstreamId& store);

private:
    enum class Stage : std::uint8_t {
        Waiting,
        Started,
        Dropped,
    };

    struct Job {
        BlockTransfer transfer;
        Stage stage = Stage::Waiting;
        TransferHandler onTransferred;
        bool background = false;
    };

    TransferId submit(const BlockTransfer& transfer, bool background);
    void apply(const TransferActions& actions);
    std::optional<std::vector<std::uint64_t>> runTransfer(TransferId id, const BlockTransfer& transfer);
    void runTicks();
    void runBackgroundTransfers();
    void reportDemands();
    void onDemand(const InstanceId& daemon, const LinkDemand& demand);

    PeerMesh& mesh;
    PeerDirectory& directory;
    Metrics& metrics;
    std::mutex mutex;
    std::condition_variable changed;
    TransferQueue transfers;
    std::map<UpstreamId, double> capacities;
    std::map<UpstreamId, LinkBroker> brokers;
    std::map<TransferId, Job> jobs;
    std::deque<TransferId> ready;
    std::uint64_t lastId = 0;
    TimePoint nextDemands;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace goldcrestwood
