#pragma once

/// @file
/// Analyses daemon logs: groups failed requests by cause and traces a single request.

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace goldcrestwood {

/// Parsed log events and the number of unreadable lines.
struct LogLines {
    std::vector<nlohmann::json> events; ///< Sorted by time.
    std::size_t unreadable = 0;
};

/// Adds the lines of one log; text that a collector put before the JSON of a line is skipped.
void readLog(std::istream& input, LogLines& lines);

/// Requests that failed or were late for the same reason.
struct FailureGroup {
    std::string cause;
    std::size_t requests = 0;
    std::string example; ///< A request's id.
    double firstSecond = 0; ///< Unix seconds of the first and the last such request.
    double lastSecond = 0;

    bool operator==(const FailureGroup&) const = default;
};

/// @return Groups by cause, the largest first. Each request counts once, by its last line.
std::vector<FailureGroup> groupFailures(const LogLines& lines);

/// Prints the lines of one request in order, with the state changes that its daemons logged meanwhile.
/// @return Whether the request has any lines.
bool explainRequest(const LogLines& lines, const std::string& id, std::ostream& output);

} // namespace goldcrestwood
