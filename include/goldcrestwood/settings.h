#pragma once

/// @file
/// Settings of one daemon.
/// Generated from schema/settings.toml by support/generate.py; edit the schema instead.

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

/// The instance that the daemon runs on.
struct InstanceSettings {
    /// Unique name.
    InstanceId id;
    /// Its failure domain.
    FailureDomain domain;
    /// Its region.
    Region region;

    bool operator==(const InstanceSettings&) const = default;
};

/// Addresses that the daemon listens on.
struct ListenSettings {
    /// HTTP address for callers.
    std::string callers;
    /// HTTP address for operators.
    std::string operators;
    /// TCP address for other daemons.
    std::string peers;
    /// Number of callers served concurrently.
    std::uint32_t callerThreads = 64;
    /// Largest request body.
    std::uint64_t maxBodySize = 4194304;
    /// Largest request header.
    std::uint64_t maxHeaderSize = 16384;
    /// Longest wait for a caller's request, and for each 4 KiB of its body.
    Duration receiveTimeout = Duration(10000000);

    bool operator==(const ListenSettings&) const = default;
};

/// Addresses and timing of the platform's services.
struct PlatformSettings {
    /// The append-only log.
    std::string log;
    /// The list of instances.
    std::string instances;
    /// Timeout of one request to the platform.
    Duration timeout = Duration(1000000);
    /// Longest time that a read of the log waits for new records.
    Duration readWait = Duration(500000);
    /// Number of claim streams; must be equal on all daemons.
    std::uint32_t claimShards = 4;

    bool operator==(const PlatformSettings&) const = default;
};

/// Communication with other daemons.
struct PeerSettings {
    /// Peer addresses tried at startup, in addition to the list of instances.
    std::vector<std::string> seeds;
    /// Timeout of one request to a peer.
    Duration timeout = Duration(300000);
    /// Time between gossip rounds.
    Duration gossipInterval = Duration(500000);

    bool operator==(const PeerSettings&) const = default;
};

/// Serving of requests.
struct ServingSettings {
    /// Key that signs resume tickets; must be equal on all daemons.
    std::string ticketKey;
    /// How long a run is kept after its caller disconnected.
    Duration resumeWindow = Duration(30000000);
    /// Longest time that a request waits for its first token.
    Duration requestTimeout = Duration(30000000);
    /// Longest duration of a call to a plain service.
    Duration callTimeout = Duration(10000000);
    /// How long callers may cache a response of /v1/endpoints.
    Duration endpointLifetime = Duration(5000000);
    /// Longest that a graceful shutdown waits for streams.
    Duration shutdownTimeout = Duration(120000000);

    bool operator==(const ServingSettings&) const = default;
};

/// All settings of a daemon.
struct Settings {
    /// The instance.
    InstanceSettings instance;
    /// Addresses.
    ListenSettings listen;
    /// The platform.
    PlatformSettings platform;
    /// Other daemons.
    PeerSettings peers;
    /// Serving.
    ServingSettings serving;

    bool operator==(const Settings&) const = default;
};

template <>
std::string encode(const InstanceSettings& message);
template <>
tl::expected<InstanceSettings, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const InstanceSettings& message);
template <>
std::string encode(const ListenSettings& message);
template <>
tl::expected<ListenSettings, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ListenSettings& message);
template <>
std::string encode(const PlatformSettings& message);
template <>
tl::expected<PlatformSettings, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PlatformSettings& message);
template <>
std::string encode(const PeerSettings& message);
template <>
tl::expected<PeerSettings, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PeerSettings& message);
template <>
std::string encode(const ServingSettings& message);
template <>
tl::expected<ServingSettings, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ServingSettings& message);
template <>
std::string encode(const Settings& message);
template <>
tl::expected<Settings, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const Settings& message);

} // namespace goldcrestwood