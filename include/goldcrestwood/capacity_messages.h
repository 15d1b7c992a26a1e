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

/// A holder's report on an upstream and its wish for permits, sent to the owner.
struct PermitRequest {
    /// The upstream.
    UpstreamId upstream;
    /// The daemon that asks.
    InstanceId holder;
    /// Number of that daemon's start.
    std::uint64_t incarnation = 0;
    /// Count of requests within the incarnation.
    std::uint64_t sequence = 0;
    /// The holder uses no grant that answers a lower sequence.
    std::uint64_t validFrom = 0;
    /// Newest epoch of the upstream that the holder has seen.
    std::uint64_t epoch = 0;
    /// Concurrent requests that its present grant allows.
    std::uint32_t held = 0;
    /// Requests it has at the upstream.
    std::uint32_t inFlight = 0;
    /// Concurrent requests it could use.
    std::uint32_t wanted = 0;
    /// Requests that ended well since the holder's start, in this epoch.
    std::uint64_t successes = 0;
    /// Requests that failed since the holder's start, in this epoch.
    std::uint64_t errors = 0;
    /// Mean ratio of observed to expected first-token time since the last report; 0 for none.
    double slowdown = 0;
    /// Whether the holder's own evidence says that the upstream turned cold.
    bool cold = false;

    bool operator==(const PermitRequest&) const = default;
};

/// The owner's answer: concurrent requests that the holder may have until the term ends.
struct PermitGrant {
    /// The upstream.
    UpstreamId upstream;
    /// The holder's incarnation, from the request.
    std::uint64_t incarnation = 0;
    /// The request that this answers.
    std::uint64_t sequence = 0;
    /// Epoch of the upstream that the grant is for.
    std::uint64_t epoch = 0;
    /// Concurrent requests, those in flight included.
    std::uint32_t count = 0;
    /// Whether others wait, so that unused permits are to be given back soon.
    bool contended = false;
    /// Validity, counted by the holder from the sending of its request.
    Duration term = Duration(0);

    bool operator==(const PermitGrant&) const = default;
};

/// The upstream turned cold: unused permits end now.
struct PermitRevoke {
    /// The upstream.
    UpstreamId upstream;
    /// Grants that answer this request of the holder or earlier ones are void.
    std::uint64_t sequence = 0;
    /// Present epoch; grants for lower ones are void.
    std::uint64_t epoch = 0;

    bool operator==(const PermitRevoke&) const = default;
};

/// What an owner holds against one daemon.
struct HolderCharge {
    /// The daemon.
    InstanceId holder;
    /// Its incarnation.
    std::uint64_t incarnation = 0;
    /// Most requests it can have in flight.
    std::uint32_t count = 0;

    bool operator==(const HolderCharge&) const = default;
};

/// An owner that leaves passes its account of an upstream to its successor and grants no more.
struct PermitHandover {
    /// The upstream.
    UpstreamId upstream;
    /// Epoch of the upstream.
    std::uint64_t epoch = 0;
    /// Concurrency limit reached.
    double limit = 0;
    /// Holders with a charge.
    std::vector<HolderCharge> charges;
    /// Whether a majority supported the sender; if not, others may have granted since.
    bool authoritative = false;

    bool operator==(const PermitHandover&) const = default;
};

/// Which daemons the sender counts as members; owners need a majority that agrees with them.
struct ViewReport {
    /// The sender.
    InstanceId from;
    /// Hash of the sender's sorted members.
    std::uint64_t digest = 0;
    /// Number of the sender's start.
    std::uint64_t incarnation = 0;
    /// Count of the sender's reports to the receiver.
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
    /// The daemon that asks.
    InstanceId holder;
    /// Count of demands.
    std::uint64_t sequence = 0;
    /// Arrivals a second at the sender.
    double requestsPerSecond = 0;

    bool operator==(const RateDemand&) const = default;
};

/// The owner's answer: the part of an account's rate that a daemon may use.
struct RateShare {
    /// The client account.
    ClientAccount account;
    /// The demand that this answers.
    std::uint64_t sequence = 0;
    /// Sustained requests a second.
    double requestsPerSecond = 0;
    /// Requests that may come at once.
    double burst = 0;
    /// Validity, counted from the sending of the demand.
    Duration term = Duration(0);

    bool operator==(const RateShare&) const = default;
};

/// What a caller needs to resume its stream at any daemon.
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
    /// Index of the first token the caller lacks.
    std::uint64_t nextToken = 0;
    /// Unix time in seconds after which it is void.
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