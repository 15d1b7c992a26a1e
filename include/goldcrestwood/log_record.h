#pragma once

/// @file
/// The envelope of every record in the platform's log.
/// Generated from schema/log_record.toml by support/generate.py; edit the schema instead.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "goldcrestwood/codec.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Identifies a record independently of its offset, so that appending it twice is harmless.
struct RecordId {
    /// The daemon that wrote it.
    InstanceId instance;
    /// Start number of that daemon.
    std::uint64_t incarnation = 0;
    /// Sequence number within the incarnation.
    std::uint64_t sequence = 0;

    bool operator==(const RecordId&) const = default;
    auto operator<=>(const RecordId&) const = default;
};

/// One record; the kind names the message type of the payload.
struct LogRecord {
    /// Version of the payload's schema.
    std::uint32_t schemaVersion = 1;
    /// Unique id.
    RecordId id;
    /// Message type of the payload; unknown kinds are skipped and counted.
    std::string kind;
    /// Encoded message.
    std::string payload;

    bool operator==(const LogRecord&) const = default;
};

template <>
std::string encode(const RecordId& message);
template <>
tl::expected<RecordId, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RecordId& message);
template <>
std::string encode(const LogRecord& message);
template <>
tl::expected<LogRecord, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LogRecord& message);

} // namespace goldcrestwood