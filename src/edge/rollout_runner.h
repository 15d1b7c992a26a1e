#pragma once

/// @file
/// Evaluates roll-outs and reports their status to the operator. Runs on the feed readers.

#include <map>

#include "edge/edge_state.h"
#include "edge/http_call.h"
#include "platform/decode.h"

namespace goldcrestwood {

class RolloutRunner {
public:
    RolloutRunner(EdgeState& state, const asio::any_io_executor& executor);

    /// Evaluates the roll-outs for the life of the process.
    Task<> run();

private:
    /// What this daemon knows of an order's reported status.
    struct Report {
        std::uint64_t order = 0;
        TimePoint firstSeen; ///< When this daemon first evaluated the order.
        bool isActiveReported = false;
        bool isFinalReported = false;
        std::uint64_t storeEra = 0; ///< Returns of the store from an older copy, which may have lost the status, before the report.
    };

    void evaluate(Rollout& rollout);
    /// Reverts an order whose start time is unknown once it must have ended: no daemon that evaluated it is left.
    void expireUntimed(Rollout& rollout, const Report& report);
    Task<> reportStatus(ServiceName service);
    /// Writes a status unless another daemon has written one in the meantime.
    Task<bool> writeStatus(ServiceName service, RolloutState status);

    EdgeState& state;
    asio::any_io_executor executor;
    HttpCaller store;
    std::map<ServiceName, Report> reports;
};

} // namespace goldcrestwood
