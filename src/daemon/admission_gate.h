#pragma once

/// @file
/// Blocking admission: the thread of each request waits until the request is admitted or refused.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/metrics.h"
#include "daemon/peer_directory.h"
#include "daemon/permit_service.h"
#include "goldcrestwood/accounts.h"
#include "goldcrestwood/catalog.h"

namespace goldcrestwood {

/// Status of a service's queue in the state dump.
struct AdmissionStatus {
    ServiceName service;
    std::size_t waiting = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t capacity = 0;
};

class AdmissionGate {
public:
    /// @param permits, mesh, directory, metrics Must outlive the gate.
    AdmissionGate(PermitService& permits, PeerMesh& mesh, PeerDirectory& directory, Metrics& metrics);
    ~AdmissionGate();

    void start();
    void stop();
    void configure(std::shared_ptr<const CatalogView> view);

    /// Blocks until the request is admitted or refused.
    tl::expected<Admitted, Refused> admit(const AdmissionRequest& request);
    void release(const Admitted& admitted);

    std::vector<AdmissionStatus> status();

private:
    void run();
    void tick();
    void pollDecisions(TimePoint now);
    void reportDemands();
    void onDemand(const RateDemand& demand);

    PermitService& permits;
    PeerMesh& mesh;
    PeerDirectory& directory;
    Metrics& metrics;
    std::mutex mutex;
    std::condition_variable decided;
    std::condition_variable wake;
    Admission admission;
    std::shared_ptr<const CatalogView> view;
    std::map<AdmissionId, std::optional<AdmissionDecision>> waiters;
    std::map<ServiceName, std::uint32_t> capacity;
    std::map<ClientAccount, RateIssuer> issuers;
    TimePoint nextDemands;
    bool stopping = false;
    std::thread thread;
};

} // namespace goldcrestwood
