#pragma once

/// @file
/// Messages between entry daemons on the platform: heartbeats, load of upstreams, and store contents that a few daemons read for all.
/// Generated from schema/edge_messages.toml by support/generate.py; edit the schema instead.

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

/// A shared prompt part used by requests in flight; an engine holds it in memory once.
struct PartUse {
    /// Hash of the part and its scope.
    std::uint32_t key = 0;
    /// Its size.
    std::uint32_t tokens = 0;

    bool operator==(const PartUse&) const = default;
};

/// One daemon's work in flight at one upstream.
struct UpstreamUse {
    /// The upstream.
    UpstreamId upstream;
    /// Requests in flight.
    std::uint32_t requests = 0;
    /// Prompt and expected output tokens of these requests, without shared parts.
    std::uint64_t tokens = 0;
    /// Prompt tokens that the upstream still has to prefill, by the engine's priority classes, the first class first.
    std::vector<std::uint64_t> backlog;
    /// Parts that these requests share with each other or with requests of other daemons.
    std::vector<PartUse> parts;

    bool operator==(const UpstreamUse&) const = default;
};

/// Outcomes of an upstream's answers to one daemon since its last heartbeat.
struct UpstreamExperience {
    /// The upstream.
    UpstreamId upstream;
    /// Complete, successful answers.
    std::uint32_t answers = 0;
    /// Failure answers.
    std::uint32_t failures = 0;

    bool operator==(const UpstreamExperience&) const = default;
};

/// Speed of cache block transfers from an address for one daemon's requests since its last heartbeat.
struct SourceExperience {
    /// A store or an engine.
    std::string address;
    /// Ratios of the latest transfer times to the times that the links allow.
    std::vector<double> slowness;

    bool operator==(const SourceExperience&) const = default;
};

/// How long ago the operator set target weights, according to a daemon that knows the time.
struct NamedWeightsAge {
    /// The model.
    std::string model;
    /// The target version.
    std::uint64_t version = 0;
    /// Milliseconds since it was set.
    std::uint64_t ageMs = 0;
    /// The target version before it, 0 if it is the first one; absent if unknown.
    std::optional<std::uint64_t> replaces;

    bool operator==(const NamedWeightsAge&) const = default;
};

/// Outcomes of one route in a roll-out, for one of the two versions.
struct RolloutOutcomes {
    /// The route.
    std::string route;
    /// Whether the new version answered, rather than an older one.
    bool isTarget = false;
    /// Requests that were answered or aborted.
    std::uint32_t answers = 0;
    /// How many of the answers failed or were incomplete.
    std::uint32_t failures = 0;
    /// How many of the answers have a time to first byte.
    std::uint32_t timed = 0;
    /// Sum of the logarithms of the ratio of that time to the time expected for the prompt.
    double sum = 0;
    /// Sum of their squares.
    double squares = 0;

    bool operator==(const RolloutOutcomes&) const = default;
};

/// One daemon's knowledge of a roll-out.
struct RolloutNotice {
    /// The service.
    ServiceName service;
    /// Offset of the operator's order.
    std::uint64_t order = 0;
    /// Whether the age is known.
    bool isWitnessed = false;
    /// Milliseconds since the order.
    std::uint64_t ageMs = 0;
    /// Whether the roll-out was reverted: the new version gets no further requests.
    bool isReverted = false;
    /// Whether the new version may take over.
    bool isApproved = false;
    /// Outcomes that the sender itself observed.
    std::vector<RolloutOutcomes> outcomes;

    bool operator==(const RolloutNotice&) const = default;
};

/// Requests that wait at one daemon for an upstream of a service.
struct ServiceWaiting {
    /// The service.
    ServiceName service;
    /// Waiting requests.
    std::uint32_t requests = 0;

    bool operator==(const ServiceWaiting&) const = default;
};

/// State that a daemon reports about itself.
struct EdgeHeartbeat {
    /// The sender.
    InstanceId instance;
    /// Start of the process, Unix microseconds; a higher value replaces a lower one.
    std::uint64_t incarnation = 0;
    /// Grows with each heartbeat of an incarnation.
    std::uint64_t sequence = 0;
    /// Milliseconds until the next heartbeat.
    std::uint32_t intervalMs = 0;
    /// Failure domain of the sender.
    FailureDomain domain;
    /// Address for callers.
    std::string frontAddress;
    /// Address for peers.
    std::string peerAddress;
    /// Whether callers may be directed to the sender.
    bool isReady = false;
    /// Capacity of the sender, as a share of one processor core.
    double capacity = 0;
    /// Requests per second from callers to the sender.
    double requestRate = 0;
    /// Whether the store has answered the sender recently.
    bool readsStore = false;
    /// Offset up to which the operator's topic is known.
    std::uint64_t operatorEnd = 0;
    /// Offset up to which the registry is known.
    std::uint64_t registryEnd = 0;
    /// Whether the receiver should reply with its own heartbeat.
    bool wantsReply = false;
    /// The newest target weights of each model whose setting time the sender observed or learned from a daemon that did.
    std::vector<NamedWeightsAge> weights;
    /// Peer addresses that the sender has heard from recently.
    std::vector<std::string> peers;
    /// Roll-outs that have not expired.
    std::vector<RolloutNotice> rollouts;
    /// Waiting requests of each service whose number of replicas is adapted to demand; absent if the sender knows no such service or is of an earlier build.
    std::optional<std::vector<ServiceWaiting>> waiting;

    bool operator==(const EdgeHeartbeat&) const = default;
};

/// How long work took on an upstream's machine when the upstream last reported it.
struct PaceReport {
    /// The upstream.
    UpstreamId upstream;
    /// Start of its incarnation.
    std::int64_t born = 0;
    /// Time that work takes, in percent of the normal time.
    std::uint32_t percent = 0;
    /// Milliseconds since the answer with the report was read.
    std::uint64_t ageMs = 0;

    bool operator==(const PaceReport&) const = default;
};

/// A daemon's report to the aggregators of upstreams: its work in flight there and the outcomes.
struct LoadReport {
    /// The sender.
    InstanceId instance;
    /// Work in flight at the upstreams that the receiver aggregates.
    std::vector<UpstreamUse> uses;
    /// Outcomes of these upstreams.
    std::vector<UpstreamExperience> upstreams;
    /// Transfer speeds of sources of cached blocks.
    std::vector<SourceExperience> sources;
    /// Whether the receiver should answer with totals over all daemons.
    bool wantsDigest = false;
    /// Recent reports of upstreams to the sender; absent from earlier builds.
    std::vector<PaceReport> paces;

    bool operator==(const LoadReport&) const = default;
};

/// Total work in flight at one upstream from all daemons except the receiver.
struct UpstreamLoad {
    /// The upstream.
    UpstreamId upstream;
    /// Requests in flight.
    std::uint32_t requests = 0;
    /// Prompt and expected output tokens of these requests; shared parts count once.
    std::uint64_t tokens = 0;
    /// Prompt tokens still to be prefilled, by the engine's priority classes, the first class first.
    std::vector<std::uint64_t> backlog;
    /// Share of failures among recent answers.
    double failureShare = 0;

    bool operator==(const UpstreamLoad&) const = default;
};

/// Answers a LoadReport with totals for the upstreams that the sender aggregates; upstreams not listed are idle.
struct LoadDigest {
    /// The sender.
    InstanceId keeper;
    /// Upstreams with work or failures.
    std::vector<UpstreamLoad> loads;
    /// Slow sources of cached blocks.
    std::vector<SourceExperience> sources;
    /// Recent reports of the upstreams that the sender aggregates; absent from earlier builds.
    std::vector<PaceReport> paces;

    bool operator==(const LoadDigest&) const = default;
};

/// A prompt part that an engine had not answered yet when it crashed.
struct PartCrash {
    /// Hash of the crashed incarnation.
    std::uint64_t crash = 0;
    /// The part; empty if the crash has no suspects.
    std::string part;
    /// Milliseconds since the crash.
    std::uint64_t ageMs = 0;

    bool operator==(const PartCrash&) const = default;
};

/// A completed answer on a prompt part that was suspected.
struct PartAnswer {
    /// The part.
    std::string part;
    /// Milliseconds since the answer began.
    std::uint64_t ageMs = 0;

    bool operator==(const PartAnswer&) const = default;
};

/// A prompt part that crashes engines; requests with it are refused.
struct PartQuarantine {
    /// The part.
    std::string part;
    /// Milliseconds since the quarantine began.
    std::uint64_t ageMs = 0;
    /// Milliseconds until it ends.
    std::uint64_t leftMs = 0;
    /// Number of quarantines of the part so far.
    std::uint32_t count = 0;

    bool operator==(const PartQuarantine&) const = default;
};

/// The rate of requests that an upstream accepts from all daemons together, as one daemon last saw it.
struct UpstreamLimit {
    /// The upstream.
    UpstreamId upstream;
    /// Start of its incarnation.
    std::int64_t born = 0;
    /// Requests per second; absent if the limit was lifted.
    std::optional<double> perSecond;
    /// Milliseconds since the request was sent whose answer stated this.
    std::uint64_t sentAgeMs = 0;
    /// Milliseconds since that answer was read.
    std::uint64_t readAgeMs = 0;
    /// Requests of the sender to the upstream that still count against the limit.
    std::uint32_t recent = 0;

    bool operator==(const UpstreamLimit&) const = default;
};

/// Upstreams with a request limit, and those whose limit was lifted a moment ago.
struct LimitNotice {
    /// The upstreams, the latest changes first.
    std::vector<UpstreamLimit> limits;

    bool operator==(const LimitNotice&) const = default;
};

/// Runs that upstreams started for one client account.
struct AccountRuns {
    /// The account.
    ClientAccount account;
    /// Number of runs.
    std::uint64_t runs = 0;

    bool operator==(const AccountRuns&) const = default;
};

/// Runs that were started in one window of the usage reports.
struct UsageWindow {
    /// The window begins this many times the window's length after the start of 1970.
    std::uint64_t window = 0;
    /// Accounts with runs, sorted by name, each once.
    std::vector<AccountRuns> counts;

    bool operator==(const UsageWindow&) const = default;
};

/// Runs that one process counted, and the state of the usage reports if it holds the duty.
struct UsageNotice {
    /// The daemon that counted.
    InstanceId instance;
    /// Start of its process, Unix microseconds.
    std::uint64_t incarnation = 0;
    /// The sender's wall clock, Unix milliseconds; 0 if another process sends this in its name.
    std::uint64_t clockMs = 0;
    /// Totals of the runs that the sender itself forwarded, by window; only those that changed.
    std::vector<UsageWindow> counted;
    /// Whether the sender wrote the last record of the duty topic that it knows; the following fields are empty otherwise.
    bool isHolder = false;
    /// Windows below this are in the duty topic or have been given up.
    std::uint64_t settledEnd = 0;
    /// Reports of windows below this were accepted or have been given up.
    std::uint64_t acknowledgedEnd = 0;
    /// Windows that the sender has just appended to the duty topic.
    std::vector<UsageWindow> logged;

    bool operator==(const UsageNotice&) const = default;
};

/// What a daemon knows of prompt parts that may crash engines.
struct CrashNotice {
    /// Recent crashes, newest first.
    std::vector<PartCrash> crashes;
    /// Parts cleared by an answer.
    std::vector<PartAnswer> answered;
    /// Parts in quarantine.
    std::vector<PartQuarantine> quarantined;

    bool operator==(const CrashNotice&) const = default;
};

/// One datagram from a daemon to another.
struct PeerDatagram {
    /// Heartbeat of the sender.
    std::optional<EdgeHeartbeat> heartbeat;
    /// Load report to an aggregator.
    std::optional<LoadReport> report;
    /// Load digest from an aggregator.
    std::optional<LoadDigest> digest;
    /// Crashes of engines that the sender saw.
    std::optional<CrashNotice> crashes;
    /// Request limits of upstreams that the sender saw.
    std::optional<LimitNotice> limits;
    /// Runs that the sender counted, for daemons that may hold the duty.
    std::optional<UsageNotice> usage;

    bool operator==(const PeerDatagram&) const = default;
};

/// A daemon's state, as heard directly by another one.
struct DaemonNotice {
    /// Its last heartbeat, without lists.
    EdgeHeartbeat heartbeat;
    /// Whether it has been heard from recently.
    bool isLive = false;

    bool operator==(const DaemonNotice&) const = default;
};

/// Daemons that were added, removed or changed.
struct DaemonNews {
    /// Incarnation of the daemon that assigned the change numbers.
    std::uint64_t source = 0;
    /// Change number to continue from in the next query.
    std::uint64_t end = 0;
    /// Whether the list contains all daemons, rather than changes.
    bool isWhole = false;
    /// The daemons.
    std::vector<DaemonNotice> daemons;

    bool operator==(const DaemonNews&) const = default;
};

/// The revision of a key's value, in two parts of falling significance.
struct FeedRevision {
    /// Start of an upstream, or version.
    std::uint64_t high = 0;
    /// Writes of the upstream since its start.
    std::uint64_t low = 0;

    bool operator==(const FeedRevision&) const = default;
};

/// The newest record of a key that a peer holds.
struct FeedRecord {
    /// The key.
    std::string key;
    /// Whether the key was removed.
    bool isRemoved = false;
    /// The value; empty if removed.
    std::string value;
    /// Offset of the record in its topic.
    std::uint64_t offset = 0;
    /// Of a record without a revision: the highest one that the key had before.
    std::optional<FeedRevision> replaced;

    bool operator==(const FeedRecord&) const = default;
};

/// How much of a prompt part a KV cache store holds.
struct CachePartRecord {
    /// Index of the store among the configured stores, sorted by address.
    std::uint32_t store = 0;
    /// Scope of the part: weights and sharing group.
    std::string scope;
    /// The part.
    std::string id;
    /// Tokens held; 0 if no longer held.
    std::uint32_t tokens = 0;

    bool operator==(const CachePartRecord&) const = default;
};

/// Changes of the KV cache stores, as one daemon observed them.
struct CacheNews {
    /// Incarnation of the daemon that assigned the change numbers.
    std::uint64_t source = 0;
    /// Change number to continue from in the next query.
    std::uint64_t end = 0;
    /// Whether the list contains all parts, rather than changes.
    bool isWhole = false;
    /// Hash of the stores' addresses.
    std::uint64_t layout = 0;
    /// Epoch of each store; 0 if its contents are unknown.
    std::vector<std::uint64_t> epochs;
    /// Parts, by age of the change, oldest first.
    std::vector<CachePartRecord> parts;
    /// Milliseconds since the sender last heard of each store.
    std::vector<std::uint64_t> agesMs;

    bool operator==(const CacheNews&) const = default;
};

/// An upstream that is loading new weights.
struct OrderedUpstream {
    /// The upstream.
    UpstreamId upstream;
    /// The model.
    std::string model;
    /// The weight version ordered.
    std::uint64_t version = 0;

    bool operator==(const OrderedUpstream&) const = default;
};

/// Number of replicas of a service that is requested in one failure domain.
struct RequestedReplicas {
    /// The service.
    ServiceName service;
    /// The failure domain.
    FailureDomain domain;
    /// The number.
    std::uint32_t desired = 0;

    bool operator==(const RequestedReplicas&) const = default;
};

/// A record of the duty topic: the lease holder that gives orders to upstreams, and the state of its orders.
struct DutyRecord {
    /// The daemon that wrote the record.
    InstanceId holder;
    /// Its peer address; another machine may have the same name.
    std::string address;
    /// Incarnation of the holder's process.
    std::uint64_t incarnation = 0;
    /// The holder's fencing number; 0 in the claim itself, whose offset determines it.
    std::uint64_t fence = 0;
    /// Upstreams ordered to load weights; they get no new requests.
    std::vector<OrderedUpstream> ordered;
    /// Upstreams observed to have the version.
    std::vector<OrderedUpstream> done;
    /// How often the store had returned from an older copy when the holder wrote the record.
    std::uint64_t era = 0;
    /// Windows of the usage reports below this are in this topic up to this record or have been given up; 0 if the holder sends no reports.
    std::uint64_t settledEnd = 0;
    /// Usage reports of windows below this were accepted or have been given up.
    std::uint64_t acknowledgedEnd = 0;
    /// Windows whose counts the holder is about to report.
    std::vector<UsageWindow> usage;
    /// All numbers of replicas that are requested; empty if none is, or the holder is of an earlier build.
    std::vector<RequestedReplicas> replicas;

    bool operator==(const DutyRecord&) const = default;
};

/// The last record of the duty topic, as a peer read it.
struct DutyNotice {
    /// The record.
    DutyRecord record;
    /// Milliseconds since it was read.
    std::uint64_t ageMs = 0;

    bool operator==(const DutyNotice&) const = default;
};

/// Requests the records that a peer holds from these offsets on.
struct FeedQuery {
    /// Offset in the operator's topic.
    std::uint64_t operatorFrom = 0;
    /// Offset in the registry.
    std::uint64_t registryFrom = 0;
    /// Whether to include changes of the KV cache stores.
    bool wantsCache = false;
    /// Incarnation of the daemon that assigned the following number.
    std::uint64_t cacheSource = 0;
    /// Number of the first change requested.
    std::uint64_t cacheFrom = 0;
    /// Incarnation of the daemon that assigned the following number.
    std::uint64_t daemonsSource = 0;
    /// Number of the first change of daemons requested.
    std::uint64_t daemonsFrom = 0;
    /// Whether the answer may be compressed.
    bool acceptsCompressed = false;
    /// Whether the answer needs only the remembered removals, for how long they are known, and the registry's end.
    bool removalsOnly = false;
    /// Offset up to which the sender has read the operator's topic; it may ask for earlier records as well.
    std::uint64_t operatorEnd = 0;

    bool operator==(const FeedQuery&) const = default;
};

/// An encoded FeedAnswer in the zlib format.
struct CompressedAnswer {
    /// Bytes of the encoded answer.
    std::uint64_t size = 0;
    /// The compressed bytes.
    std::string content;

    bool operator==(const CompressedAnswer&) const = default;
};

/// Answers a FeedQuery.
struct FeedAnswer {
    /// Records of the operator's topic.
    std::vector<FeedRecord> operatorRecords;
    /// Offset up to which the records are complete.
    std::uint64_t operatorEnd = 0;
    /// Records of the registry.
    std::vector<FeedRecord> registryRecords;
    /// Offset up to which the records are complete.
    std::uint64_t registryEnd = 0;
    /// Changes of the KV cache stores, if requested.
    std::optional<CacheNews> cache;
    /// Changes of daemons.
    DaemonNews daemons;
    /// Ongoing orders to upstreams.
    std::optional<DutyNotice> duty;
    /// Whether the sender reads the store for all daemons and hears from all of them.
    bool hearsAll = false;
    /// Whether the store answers the sender.
    bool isReading = false;
    /// Milliseconds since the registry became readable.
    std::uint64_t readingMs = 0;
    /// Crashes of engines that the sender saw or heard of.
    std::optional<CrashNotice> crashes;
    /// The whole answer; the other fields are then empty.
    std::optional<CompressedAnswer> compressed;
    /// Request limits of upstreams that the sender saw or heard of.
    std::optional<LimitNotice> limits;
    /// Whether a key of the operator's topic is gone if it has no record in the answer.
    bool isOperatorListing = false;
    /// Whether a key of the registry is gone if it has no record in the answer.
    bool isRegistryListing = false;
    /// Remembered removals from the registry, if requested.
    std::vector<FeedRecord> removals;
    /// Milliseconds for which the sender knows all removals.
    std::uint64_t rememberedMs = 0;

    bool operator==(const FeedAnswer&) const = default;
};

template <>
std::string encode(const PartUse& message);
template <>
tl::expected<PartUse, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PartUse& message);
template <>
std::string encode(const UpstreamUse& message);
template <>
tl::expected<UpstreamUse, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UpstreamUse& message);
template <>
std::string encode(const UpstreamExperience& message);
template <>
tl::expected<UpstreamExperience, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UpstreamExperience& message);
template <>
std::string encode(const SourceExperience& message);
template <>
tl::expected<SourceExperience, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const SourceExperience& message);
template <>
std::string encode(const NamedWeightsAge& message);
template <>
tl::expected<NamedWeightsAge, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const NamedWeightsAge& message);
template <>
std::string encode(const RolloutOutcomes& message);
template <>
tl::expected<RolloutOutcomes, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RolloutOutcomes& message);
template <>
std::string encode(const RolloutNotice& message);
template <>
tl::expected<RolloutNotice, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RolloutNotice& message);
template <>
std::string encode(const ServiceWaiting& message);
template <>
tl::expected<ServiceWaiting, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const ServiceWaiting& message);
template <>
std::string encode(const EdgeHeartbeat& message);
template <>
tl::expected<EdgeHeartbeat, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const EdgeHeartbeat& message);
template <>
std::string encode(const PaceReport& message);
template <>
tl::expected<PaceReport, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PaceReport& message);
template <>
std::string encode(const LoadReport& message);
template <>
tl::expected<LoadReport, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LoadReport& message);
template <>
std::string encode(const UpstreamLoad& message);
template <>
tl::expected<UpstreamLoad, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UpstreamLoad& message);
template <>
std::string encode(const LoadDigest& message);
template <>
tl::expected<LoadDigest, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LoadDigest& message);
template <>
std::string encode(const PartCrash& message);
template <>
tl::expected<PartCrash, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PartCrash& message);
template <>
std::string encode(const PartAnswer& message);
template <>
tl::expected<PartAnswer, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PartAnswer& message);
template <>
std::string encode(const PartQuarantine& message);
template <>
tl::expected<PartQuarantine, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PartQuarantine& message);
template <>
std::string encode(const UpstreamLimit& message);
template <>
tl::expected<UpstreamLimit, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UpstreamLimit& message);
template <>
std::string encode(const LimitNotice& message);
template <>
tl::expected<LimitNotice, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const LimitNotice& message);
template <>
std::string encode(const AccountRuns& message);
template <>
tl::expected<AccountRuns, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const AccountRuns& message);
template <>
std::string encode(const UsageWindow& message);
template <>
tl::expected<UsageWindow, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UsageWindow& message);
template <>
std::string encode(const UsageNotice& message);
template <>
tl::expected<UsageNotice, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const UsageNotice& message);
template <>
std::string encode(const CrashNotice& message);
template <>
tl::expected<CrashNotice, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const CrashNotice& message);
template <>
std::string encode(const PeerDatagram& message);
template <>
tl::expected<PeerDatagram, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const PeerDatagram& message);
template <>
std::string encode(const DaemonNotice& message);
template <>
tl::expected<DaemonNotice, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DaemonNotice& message);
template <>
std::string encode(const DaemonNews& message);
template <>
tl::expected<DaemonNews, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DaemonNews& message);
template <>
std::string encode(const FeedRevision& message);
template <>
tl::expected<FeedRevision, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const FeedRevision& message);
template <>
std::string encode(const FeedRecord& message);
template <>
tl::expected<FeedRecord, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const FeedRecord& message);
template <>
std::string encode(const CachePartRecord& message);
template <>
tl::expected<CachePartRecord, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const CachePartRecord& message);
template <>
std::string encode(const CacheNews& message);
template <>
tl::expected<CacheNews, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const CacheNews& message);
template <>
std::string encode(const OrderedUpstream& message);
template <>
tl::expected<OrderedUpstream, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const OrderedUpstream& message);
template <>
std::string encode(const RequestedReplicas& message);
template <>
tl::expected<RequestedReplicas, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const RequestedReplicas& message);
template <>
std::string encode(const DutyRecord& message);
template <>
tl::expected<DutyRecord, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DutyRecord& message);
template <>
std::string encode(const DutyNotice& message);
template <>
tl::expected<DutyNotice, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const DutyNotice& message);
template <>
std::string encode(const FeedQuery& message);
template <>
tl::expected<FeedQuery, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const FeedQuery& message);
template <>
std::string encode(const CompressedAnswer& message);
template <>
tl::expected<CompressedAnswer, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const CompressedAnswer& message);
template <>
std::string encode(const FeedAnswer& message);
template <>
tl::expected<FeedAnswer, DecodeError> decode(std::string_view bytes);
void to_json(nlohmann::json& out, const FeedAnswer& message);

} // namespace goldcrestwood