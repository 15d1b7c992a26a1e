#pragma once

/// @file
/// Adapters to the platform: the append-only log and the list of instances.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/http_client.h"
#include "goldcrestwood/names.h"

namespace goldcrestwood {

/// What is known of an append that did not answer with an offset.
enum class AppendFailure {
    NotAppended, ///< The log refused it: certainly not in the log.
    Unknown, ///< It may be in the log, or land there later.
};

/// One stored record.
struct StoredRecord {
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const StoredRecord&) const = default;
};

/// A range of a stream.
struct RecordRange {
    std::uint64_t firstRetained = 0;
    std::uint64_t next = 0;
    std::vector<StoredRecord> records;

    bool operator==(const RecordRange&) const = default;
};

/// Calls the log; keeps one connection for reads, which is replaced after a failure.
class LogClient {
public:
    LogClient(std::string logAddress, Duration exchangeTimeout, Duration readWait);

    /// Appends @p records in one exchange, on a new connection.
    /// @return The offset of the first.
    tl::expected<std::uint64_t, AppendFailure> append(const std::string& stream, const std::vector<std::string>& records);

    /// Reads from @p offset on; waits a while for the first new record.
    /// @return The range, or nothing in an outage.
    tl::expected<RecordRange, HttpFailure> read(const std::string& stream, std::uint64_t offset);

private:
    std::string address;
    Duration timeout;
    Duration wait;
    HttpConnection reader;
};

/// One line of the platform's list of instances.
struct ListedInstance {
    InstanceId id;
    std::string address;
    FailureDomain domain;
    bool leaving = false;

    bool operator==(const ListedInstance&) const = default;
};

/// @return The lagging list, or nothing when it cannot be had.
tl::expected<std::vector<ListedInstance>, HttpFailure> listInstances(const std::string& address, Duration timeout);

} // namespace goldcrestwood
