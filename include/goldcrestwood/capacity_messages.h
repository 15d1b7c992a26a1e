#pragma once

/// @file
/// Messages between daemons about permits and rates, and the body of a resume ticket.
/// Generated from schema/capacity_messages.toml by support/generate.py; edit the schema instead.

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

/// A holder's report on an upstream and request for permits, sent to the owner.
struct PermitRequest {
    /// The upstream.
    UpstreamId upstream;
    /// The requesting daemon.
    InstanceId holder;
    /// Start number of that daemon.
    std::uint64_t incarnation = 0;
    /// Sequence number of the request within the incarnation.
    std::uint64_t sequence = 0;
    /// Lowest sequence whose grant the holder accepts.
    std::uint64_t validFrom = 0;
    /// Newest epoch of the upstream that the holder has seen.
    std::uint64_t epoch = 0;
    /// Concurrent requests that its current grant allows.
    std::uint32_t held = 0;
    /// Requests it has in flight at the upstream.
    std::uint32_t inFlight = 0;
    /// Concurrent requests that it wants.
    std::uint32_t wanted = 0;
    /// Requests that succeeded since the holder's start, in this epoch.
    std::uint64_t successes = 0;
    /// Requests that failed since the holder's start, in this epoch.
    std::uint64_t errors = 0;
    /// Mean ratio of observed to expected first-token time since the last report; 0 for none.
    double slowdown = 0;
    /// Whether the holder itself observed that the upstream turned cold.
    bool cold = false;

    bool operator==(const PermitRequest&) const = default;
};

/// The owner's answer: the number of concurrent requests that the holder may have until the term ends.
struct PermitGrant {
    /// The upstream.
    UpstreamId upstream;
    /// The holder's incarnation, from the request.
    std::uint64_t incarnation = 0;
    /// Sequence of the request that this answers.
    std::uint64_t sequence = 0;
    /// Epoch of the upstream that the grant is for.
    std::uint64_t epoch = 0;
    /// Concurrent requests, including those in flight.
    std::uint32_t count = 0;
    /// Whether other holders wait, so that unused permits should be returned soon.
    bool contended = false;
    /// Validity, counted by the holder from the sending of its request.
    Duration term = Duration(0);

    bool operator==(const PermitGrant&) const = default;
};

/// Revokes unused permits because the upstream turned cold.
struct PermitRevoke {
    /// The upstream.
    UpstreamId upstream;
    /// Grants that answer this request of the holder or earlier ones are void.
    std::uint64_t sequence = 0;
    /// Current epoch; grants for lower ones are void.
    std::uint64_t epoch = 0;

    bool operator==(const PermitRevoke&) const = default;
};

/// Requests that an owner charges to one daemon.
struct HolderCharge {
    /// The daemon.
    InstanceId holder;
    /// Its incarnation.
    std::uint64_t incarnation = 0;
    /// Maximum requests it can have in flight.
    std::uint32_t count = 0;

    bool operator==(const HolderCharge&) const = default;
};

/// Hands the permit state of an upstream from a leaving owner to its successor; the sender grants no more.
struct PermitHandover {
    /// The upstream.
    UpstreamId upstream;
    /// Epoch of the upstream.
    std::uint64_t epoch = 0;
    /// Current concurrency limit.
    double limit = 0;
    /// Holders with a charge.
    std::vector<HolderCharge> charges;
    /// Whether a majority supported the sender; if not, other owners may have granted permits since.
    bool authoritative = false;

    bool operator==(const PermitHandover&) const = default;
};

/// The sender's view of the membership; an owner needs a majority with the same view.
struct ViewReport {
    /// The sender.
    InstanceId from;
    /// Hash of the sender's sorted member list.
    std::uint64_t digest = 0;
    /// Start number of the sender.
    std::uint64_t incarnation = 0;
    /// Sequence number of the sender's reports to the receiver.
    std::uint64_t sequence = 0;
    /// Incarnation of the newest report that the sender got from the receiver.
    std::uint64_t echoIncarnation = 0;
    /// Sequence of that report.
    std::uint64_t echo = 0;

    bool operator==(const ViewReport&) const = default;
};

/// A daemon's demand for an account's rate, sent to the account's owner.
struct RateDemand {
    /// The client account.
    ClientAccount account;
    /// The requesting daemon.
    InstanceId holder;
    /// Sequence number of the demand.
    std::uint64_t sequence = 0;
    /// Arrivals per second at the sender.
    double requestsPerSecond = 0;

    bool operator==(const RateDemand&) const = default;
};

/// The owner's answer: the share of an account's rate that a daemon may use.
struct RateShare {
    /// The client account.
    ClientAccount account;
    /// Sequence of the demand that this answers.
    std::uint64_t sequence = 0;
    /// Sustained requests per second.
    double requestsPerSecond = 0;
    /// Maximum burst of requests.
    double burst = 0;
    /// Validity, counted from the sending of the demand.
    Duration term = Duration(0);

    bool operator==(const RateShare&) const = default;
};

/// Lets a caller resume its stream at any daemon.
struct Ticket {
    /// Request id.
    std::string request;
    /// The client account that made the request.
    ClientAccount account;
    /// The service called.
    ServiceName service;
    /// The upstream that runs it.
    UpstreamId upstream;
    /// Run id at the upstream.
    std::string run;
    /// Index of the first token that the caller has not received.
    std::uint64_t nextToken = 0;
    /// Unix time in seconds after which the ticket is invalid.
    std::uint64_t expires = 0;

    bool operator==(const Ticket&) const = default;
};

template <>
std::string encode(const PermitRequest& message);
template <>
tl::expected<PermitRequest, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PermitRequest& message);
template <>
std::string encode(const PermitGrant& message);
template <>
tl::expected<PermitGrant, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PermitGrant& message);
template <>
std::string encode(const PermitRevoke& message);
template <>
tl::expected<PermitRevoke, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PermitRevoke& message);
template <>
std::string encode(const HolderCharge& message);
template <>
tl::expected<HolderCharge, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const HolderCharge& message);
template <>
std::string encode(const PermitHandover& message);
template <>
tl::expected<PermitHandover, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PermitHandover& message);
template <>
std::string encode(const ViewReport& message);
template <>
tl::expected<ViewReport, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ViewReport& message);
template <>
std::string encode(const RateDemand& message);
template <>
tl::expected<RateDemand, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RateDemand& message);
template <>
std::string encode(const RateShare& message);
template <>
tl::expected<RateShare, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RateShare& message);
template <>
std::string encode(const Ticket& message);
template <>
tl::expected<Ticket, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const Ticket& message);

} // namespace goldcrestwood