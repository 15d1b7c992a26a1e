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

/// Client of the log; keeps one connection for reads and replaces it after a failure.
class LogClient {
public:
    LogClient(std::string logAddress, Duration exchangeTimeout, Duration readWait);

    /// Appends @p records in one exchange, on a new connection.
    AppendResult append(const std::string& stream, const std::vector<std::string>& records);

    /// Reads from @p offset on; waits up to the read wait for the first new record.
    /// @param limit Maximum number of records.
    /// @return The records, or the failure in an outage.
    tl::expected<LogRecords, HttpFailure> read(const std::string& stream, std::uint64_t offset, std::uint32_t limit);

private:
    std::string address;
    Duration timeout;
    Duration wait;
    HttpConnection reader;
};

/// @return The list of instances, which lags behind, or the failure if it is not available.
tl::expected<std::vector<ListedInstance>, HttpFailure> listInstances(const std::string& address, Duration timeout);

} // namespace goldcrestwood
