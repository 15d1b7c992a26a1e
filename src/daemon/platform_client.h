#pragma once

/// @file
/// Adapters to the platform: the append-only log and the list of instances.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/http_client.h"
#include "goldcrestwood/journal.h"
#include "goldcrestwood/membership.h"

namespace goldcrestwood {

/// Calls the log; keeps one connection for reads, which is replaced after a failure.
class LogClient {
public:
    LogClient(std::string logAddress, Duration exchangeTimeout, Duration readWait);

    /// Appends @p records in one exchange, on a new connection.
    AppendResult append(const std::string& stream, const std::vector<std::string>& records);

    /// Reads from @p offset on; waits a while for the first new record.
    /// @param limit Records at most.
    /// @return The records, or nothing in an outage.
    tl::expected<LogRecords, HttpFailure> read(const std::string& stream, std::uint64_t offset, std::uint32_t limit);

private:
    std::string address;
    Duration timeout;
    Duration wait;
    HttpConnection reader;
};

/// @return The lagging list, or nothing when it cannot be had.
tl::expected<std::vector<ListedInstance>, HttpFailure> listInstances(const std::string& address, Duration timeout);

} // namespace goldcrestwood
