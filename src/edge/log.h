#pragma once

/// @file
/// JSON log lines on standard output that never block: what a full pipe does not take is dropped and counted.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace goldcrestwood::edge {

/// Value of a field of a log line.
using LogValue = std::variant<std::string, std::int64_t, double, bool>;
using LogField = std::pair<const char*, LogValue>;

/// How much a line matters when the rate limit is reached.
enum class LogClass : std::uint8_t {
    Routine, ///< A request that went well; limited first.
    Decision, ///< A request that failed or a changed belief.
    Lifecycle, ///< Start, stop, reload, lost and regained dependencies; never limited.
};

/// Names the instance in each line and makes standard output non-blocking.
void startLog(const std::string& instance);

/// Writes one line.
void log(LogClass kind, const char* event, std::initializer_list<LogField> fields);

/// @return Lines that were left out since the start.
std::uint64_t droppedLines();

} // namespace goldcrestwood::edge
