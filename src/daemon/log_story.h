#pragma once

/// @file
/// Reads a daemon's log files: which requests failed and why, and the story of one.

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace goldcrestwood {

/// Lines of logs, and how many could not be read.
struct LogLines {
    std::vector<nlohmann::json> events; ///< In the order of their time.
    std::size_t unreadable = 0;
};

/// Adds the lines of one log; whatever a collector wrote before the JSON of a line is passed over.
void readLog(std::istream& input, LogLines& lines);

/// Requests that failed or were late for the same reason.
struct FailureGroup {
    std::string cause;
    std::size_t requests = 0;
    std::string example; ///< A request's id.
    double firstSecond = 0; ///< Unix seconds of the first and of the last of them.
    double lastSecond = 0;

    bool operator==(const FailureGroup&) const = default;
};

/// @return Groups by cause, the largest first. A request counts once, by how it ended.
std::vector<FailureGroup> groupFailures(const LogLines& lines);

/// Prints all that the lines say of one request, in order, and what the daemons that had it came to believe meanwhile.
/// @return Whether there is any line of it.
bool explainRequest(const LogLines& lines, const std::string& id, std::ostream& output);

} // namespace goldcrestwood
