#pragma once

/// @file
/// Structured logs: every glog message is written as one JSON line to standard error.

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrestwood {

/// Redirects glog messages to JSON lines that include the instance name.
void startJsonLog(const char* program, const std::string& instance);

/// A field of a structured log line.
using LogField = std::pair<std::string_view, std::string>;

/// Logs @p event with fields, which must not contain secrets.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace goldcrestwood
