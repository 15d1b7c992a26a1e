#pragma once

/// @file
/// Non-blocking JSON log on standard output: lines that do not fit into a full pipe are dropped and counted.

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

/// Priority of a line when the rate limit is reached.
enum class LogClass : std::uint8_t {
    Routine, ///< A successful request; limited first.
    Decision, ///< A failed request or a change of state.
    Lifecycle, ///< Start, stop, reload, lost and regained dependencies, and the few lines on usage reports; never limited.
};

/// Sets the instance name for all lines and makes standard output non-blocking.
void startLog(const std::string& instance);

/// Writes one line.
void log(LogClass kind, const char* event, std::initializer_list<LogField> fields);

/// @return Number of lines dropped since the start.
std::uint64_t droppedLines();

} // namespace goldcrestwood::edge
