#pragma once

/// @file
/// The operators' configuration: client accounts, services, versions, upstreams and failure domains.
/// Generated from schema/configuration.toml by support/generate.py; edit the schema instead.

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

/// Rank of a request under overload.
enum class Priority : std::uint8_t {
    Normal, ///< Default.
    Important, ///< Served first.
    Batch, ///< Work that can be delayed.
};

/// @return The name of @p value as in the schema.
const char* toString(Priority value);

/// Kind of back end of a service.
enum class ServiceKind : std::uint8_t {
    Model, ///< Model engines that stream tokens.
    Plain, ///< A plain HTTP service.
};

/// @return The name of @p value as in the schema.
const char* toString(ServiceKind value);

/// Whether operators let a failure domain take new work.
enum class DomainState : std::uint8_t {
    In, ///< Takes new work.
    Out, ///< Takes no new work.
};

/// @return The name of @p value as in the schema.
const char* toString(DomainState value);

/// A client account with its key and limits.
struct AccountEntry {
    /// Unique name.
    ClientAccount name;
    /// Salt of the key's hash, hexadecimal.
    std::string keySalt;
    /// SHA-256 of salt and key, hexadecimal.
    std::string keyHash;
    /// Rank under overload.
    Priority priority = Priority::Normal;
    /// Sustained requests per second for the whole site.
    double requestsPerSecond = 50;
    /// Maximum burst of requests.
    double burstRequests = 100;
    /// Weight in the sharing among accounts of one priority.
    double weight = 1;

    bool operator==(const AccountEntry&) const = default;
};

/// A service that callers name in requests.
struct ServiceEntry {
    /// Unique name.
    ServiceName name;
    /// Kind of its back ends.
    ServiceKind kind = ServiceKind::Model;
    /// Tokens in a cache block.
    std::uint32_t blockTokens = 1024;
    /// Size of a token's cache entry in bytes.
    std::uint32_t bytesPerToken = 1024;
    /// Tokenizer name; part of the block hash.
    std::string tokenizer = "default";
    /// Bound on time to first token.
    Duration firstTokenTarget = Duration(1500000);
    /// Longest wait for the next event of a stream.
    Duration stallLimit = Duration(2000000);
    /// Whether its calls are idempotent.
    bool repeatable = true;
    /// Whether it can report the outcome of a call by its key.
    bool statusQuery = false;
    /// Concurrent requests that a cold upstream can serve, for all daemons together.
    std::uint32_t coldConcurrency = 2;
    /// Concurrent requests that a warm upstream can serve.
    std::uint32_t maxConcurrency = 32;

    bool operator==(const ServiceEntry&) const = default;
};

/// A weight version of a service.
struct VersionEntry {
    /// The service it belongs to.
    ServiceName service;
    /// Name, unique within the service.
    VersionName version;
    /// Name of the weights in the weight store.
    std::string weights;
    /// Time from acceptance until it serves all traffic; 0 for the first version.
    Duration finishWithin = Duration(0);

    bool operator==(const VersionEntry&) const = default;
};

/// A back end and its capabilities.
struct UpstreamEntry {
    /// Unique name.
    UpstreamId id;
    /// The service that it serves.
    ServiceName service;
    /// IP address and port.
    std::string address;
    /// Its failure domain.
    FailureDomain domain;
    /// Whether it refuses orders with an old fencing number.
    bool checksFencing = false;
    /// Whether it resumes a stream from a token.
    bool resumes = true;

    bool operator==(const UpstreamEntry&) const = default;
};

/// A store instance that keeps cache blocks.
struct StoreEntry {
    /// Unique name.
    UpstreamId id;
    /// The service whose blocks it keeps.
    ServiceName service;
    /// IP address and port.
    std::string address;
    /// Its failure domain.
    FailureDomain domain;
    /// Link capacity in bytes per second.
    std::uint64_t linkBytesPerSecond = 67108864;

    bool operator==(const StoreEntry&) const = default;
};

/// A failure domain.
struct DomainEntry {
    /// Unique name.
    FailureDomain name;
    /// Region it belongs to.
    Region region;
    /// Whether it takes new work.
    DomainState state = DomainState::In;

    bool operator==(const DomainEntry&) const = default;
};

/// The whole configuration, with the overlay of the site merged in.
struct Configuration {
    /// Client accounts.
    std::vector<AccountEntry> accounts;
    /// Services.
    std::vector<ServiceEntry> services;
    /// Versions.
    std::vector<VersionEntry> versions;
    /// Back ends.
    std::vector<UpstreamEntry> upstreams;
    /// Store instances.
    std::vector<StoreEntry> stores;
    /// Failure domains.
    std::vector<DomainEntry> domains;

    bool operator==(const Configuration&) const = default;
};

template <>
std::string encode(const AccountEntry& message);
template <>
tl::expected<AccountEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const AccountEntry& message);
template <>
std::string encode(const ServiceEntry& message);
template <>
tl::expected<ServiceEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ServiceEntry& message);
template <>
std::string encode(const VersionEntry& message);
template <>
tl::expected<VersionEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const VersionEntry& message);
template <>
std::string encode(const UpstreamEntry& message);
template <>
tl::expected<UpstreamEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UpstreamEntry& message);
template <>
std::string encode(const StoreEntry& message);
template <>
tl::expected<StoreEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const StoreEntry& message);
template <>
std::string encode(const DomainEntry& message);
template <>
tl::expected<DomainEntry, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DomainEntry& message);
template <>
std::string encode(const Configuration& message);
template <>
tl::expected<Configuration, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const Configuration& message);
void to_json(nlohmann::json& out, Priority value);
void to_json(nlohmann::json& out, ServiceKind value);
void to_json(nlohmann::json& out, DomainState value);

} // namespace goldcrestwood