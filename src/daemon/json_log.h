#pragma once

/// @file
/// Structured logs: every glog message leaves as one JSON line on standard error.

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrestwood {

/// Sends glog's messages as JSON lines with the instance's name.
void startJsonLog(const char* program, const std::string& instance);

/// A field of a structured log line.
using LogField = std::pair<std::string_view, std::string>;

/// Logs @p event with fields; never pass a secret.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace goldcrestwood
