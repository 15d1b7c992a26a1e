#pragma once

/// @file
/// Messages between daemons that belong to no other schema.
/// Generated from schema/daemon_messages.toml by support/generate.py; edit the schema instead.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "goldcrestwood/codec.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Requests the state of a stream's folds from a peer during a log outage.
struct StateRequest {
    /// Name of the stream.
    std::string stream;
    /// Next offset of the sender; only a state ahead of it is useful.
    std::uint64_t next = 0;

    bool operator==(const StateRequest&) const = default;
};

/// Active configuration revision of a daemon.
struct ConfigRevisionInfo {
    /// The revision.
    std::uint64_t revision = 0;

    bool operator==(const ConfigRevisionInfo&) const = default;
};

/// Load of an upstream as its owner last read it.
struct UpstreamLoadReport {
    /// The upstream.
    UpstreamId upstream;
    /// Epoch of its process.
    std::uint64_t epoch = 0;
    /// Running requests.
    std::uint32_t running = 0;
    /// Waiting requests.
    std::uint32_t waiting = 0;
    /// Version that it reports.
    VersionName version;
    /// Time since it was read.
    Duration age = Duration(0);

    bool operator==(const UpstreamLoadReport&) const = default;
};

/// A daemon's demand for a store's link, sent to the link's owner.
struct AddressedLinkDemand {
    /// The requesting daemon.
    InstanceId from;
    /// The demand.
    LinkDemand demand;

    bool operator==(const AddressedLinkDemand&) const = default;
};

/// The version that an upstream reports.
struct UpstreamVersion {
    /// The upstream.
    UpstreamId upstream;
    /// Its version; empty while it loads.
    VersionName version;

    bool operator==(const UpstreamVersion&) const = default;
};

/// The versions of the upstreams that a daemon owns; a gossip cell.
struct OwnedVersions {
    /// The upstreams, by name.
    std::vector<UpstreamVersion> upstreams;

    bool operator==(const OwnedVersions&) const = default;
};

/// Tells the daemon that started a run that the caller has resumed it.
struct RunResumed {
    /// The run.
    std::string run;

    bool operator==(const RunResumed&) const = default;
};

/// Tells permit holders that other daemons wait for permits of the upstream.
struct PermitContention {
    /// The upstream.
    UpstreamId upstream;

    bool operator==(const PermitContention&) const = default;
};

template <>
std::string encode(const StateRequest& message);
template <>
tl::expected<StateRequest, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const StateRequest& message);
template <>
std::string encode(const ConfigRevisionInfo& message);
template <>
tl::expected<ConfigRevisionInfo, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ConfigRevisionInfo& message);
template <>
std::string encode(const UpstreamLoadReport& message);
template <>
tl::expected<UpstreamLoadReport, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UpstreamLoadReport& message);
template <>
std::string encode(const AddressedLinkDemand& message);
template <>
tl::expected<AddressedLinkDemand, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const AddressedLinkDemand& message);
template <>
std::string encode(const UpstreamVersion& message);
template <>
tl::expected<UpstreamVersion, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UpstreamVersion& message);
template <>
std::string encode(const OwnedVersions& message);
template <>
tl::expected<OwnedVersions, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const OwnedVersions& message);
template <>
std::string encode(const RunResumed& message);
template <>
tl::expected<RunResumed, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RunResumed& message);
template <>
std::string encode(const PermitContention& message);
template <>
tl::expected<PermitContention, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PermitContention& message);

} // namespace goldcrestwood