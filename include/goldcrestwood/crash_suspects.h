#pragma once

/// @file
/// Finds prompt parts that crash the engines which answer them, from crashes seen by all daemons, and quarantines them.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "goldcrestwood/edge_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/part_cache.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct CrashSuspectsSettings {
    /// Crashes of different incarnations that a part must have been in.
    std::size_t minCrashes = 4;
    /// Crashes from which on requests with a part are not repeated.
    std::size_t minCrashesToSuspect = 3;
    /// Probability below which a sound part is not taken to have met its crashes by chance. Many parts are tested again and again.
    double maxChance = 1e-6;
    /// Least number of requests that are assumed to have been waiting at a crashed upstream.
    double minRequestsPerCrash = 3;
    /// Requests to a service that a daemon must have received to judge its crashes. A part of many requests is among them.
    std::size_t minRequests = 30;
    /// Least share of broken requests that is assumed; a daemon may have missed the crashes.
    double minBrokenShare = 0.1;
    /// Crashes within this time count as one event, for example a power failure.
    Duration eventGap = std::chrono::milliseconds(200);
    std::size_t minEvents = 3;
    /// Time since a part's first crash in which an answer on the part can become known to all daemons.
    Duration minObservation = std::chrono::milliseconds(1500);
    /// Period over which the share of requests with a part is measured.
    Duration sharePeriod = std::chrono::seconds(30);
    /// Events that suffice for a part whose quarantine has ended by itself.
    std::size_t minCrashesAgain = 2;
    /// First quarantine of a part; doubles with each further one.
    Duration quarantine = std::chrono::minutes(10);
    Duration maxQuarantine = std::chrono::hours(24);
    Duration evidenceLifetime = std::chrono::minutes(10);
    /// How long completed answers are remembered for crashes that a peer reports late.
    Duration answerLifetime = std::chrono::seconds(30);
    /// How long own crashes and answers are repeated to the peers, as datagrams get lost.
    Duration reportLifetime = std::chrono::seconds(6);
    std::size_t maxCrashes = 256;
    /// Parts whose requests, and whose answers, are counted. Parts beyond them are not convicted.
    std::size_t maxTrackedParts = 32768;
    std::size_t maxPartsPerCrash = 64;
    /// Entries of each kind in one notice, so that it fits a datagram.
    std::size_t maxReported = 80;
    /// Size of a notice, without the overhead of its encoding.
    std::size_t maxReportedBytes = 4000;
};

/// A part that crashes engines is in every crash that it causes and never in an answer that began later and was completed.
/// A sound part is in as many crashes as its share of the requests explains, and its requests are answered as often as others.
/// A part is convicted if its crashes and missing answers are very unlikely for a sound one.
class CrashSuspects {
public:
    explicit CrashSuspects(CrashSuspectsSettings suspectsSettings = {})
        : settings(suspectsSettings)
    {
    }

    /// @return The shared parts of a prompt: all but the last one, which is private to its request or session.
    static std::vector<std::string> sharedParts(const std::vector<PromptPart>& parts);

    /// A request arrived.
    void onRequest(const ServiceName& service, const std::vector<std::string>& parts, TimePoint now);

    /// An upstream crashed while it had not answered requests with these parts yet.
    /// @param crash Identifies the crashed incarnation.
    /// @param requests Number of requests that broke.
    void onCrash(std::uint64_t crash, const ServiceName& service, std::size_t requests, const std::vector<std::string>& parts, TimePoint now);

    /// An answer has been running for longer than a crash takes.
    /// @param began When its first byte came.
    void clearParts(const std::vector<std::string>& parts, TimePoint began, TimePoint now);

    /// An answer was completed.
    /// @param began When its first byte came.
    void onAnswer(const ServiceName& service, const std::vector<std::string>& parts, TimePoint began, TimePoint now);

    void onNotice(const CrashNotice& notice, TimePoint now);

    /// @param withPeers Whether to include crashes reported by peers, for a daemon that hears none of them.
    /// @return What this daemon knows; nothing if there is nothing to report.
    std::optional<CrashNotice> notice(bool withPeers, TimePoint now) const;

    /// @return Whether there is something new to report; resets the mark.
    bool takeNews() { return std::exchange(this->hasNews, false); }

    /// Weighs the evidence and drops what is too old; call a few times a second.
    /// @return Parts that were quarantined by this call.
    std::vector<std::string> sweep(TimePoint now);

    /// @return Whether one of the parts was in so many crashes that a request with it should not be repeated.
    bool isSuspected(const std::vector<std::string>& parts) const;

    /// @return Time until the last of the quarantined parts is accepted again; nothing if none is quarantined.
    std::optional<Duration> quarantineLeft(const std::vector<std::string>& parts, TimePoint now) const;

    /// @return Number of parts whose requests or answers are counted.
    std::size_t trackedParts() const { return std::max(this->requestsByPart.size(), this->answered.size()); }

    /// @return The quarantined parts and the time that is left.
    std::vector<std::pair<std::string, Duration>> quarantined(TimePoint now) const;

private:
    struct Crash {
        TimePoint at;
        bool isOwn = false;
        std::set<std::string> suspects; ///< Parts without an answer that began later.
        std::set<std::string> parts; ///< All parts.
    };
    struct Quarantine {
        TimePoint since;
        TimePoint end;
        std::uint32_t count = 0; ///< Number of quarantines of the part so far.
        bool isLifted = false; ///< An answer ended it.
    };
    struct Clearance {
        TimePoint began; ///< Start of the answer.
        TimePoint at;
        bool isOwn = false;
    };
    /// Crashes of one part that no quarantined part explains.
    struct Evidence {
        std::vector<TimePoint> times;
        double chance = 1; ///< Probability of so many crashes with the part if it is not their cause.
    };
    /// Requests with a part, in the current and in the last period.
    struct RequestCount {
        ServiceName service;
        std::size_t current = 0;
        std::size_t last = 0;
    };

    bool addCrash(std::uint64_t crash, const std::vector<std::string>& parts, TimePoint at, bool isOwn, TimePoint now);
    /// Tells the peers that an answer cleared a part.
    void reportClearance(const std::string& part, TimePoint began, TimePoint now);
    void onAnsweredPart(const std::string& part, TimePoint began, bool isOwn, TimePoint now);
    void quarantine(const std::string& part, TimePoint now);
    void dropOld(TimePoint now);
    std::map<std::string, Evidence> collectEvidence() const;
    bool isConclusive(const std::string& part, const Evidence& evidence, TimePoint now) const;
    /// @return Probability that a sound part was in so many crashes since its first one, and in no answer since.
    double chanceOf(const std::string& part, const Evidence& evidence) const;
    /// @return Share of the requests to a part's service that have the part, or nothing if too few were received to tell.
    std::optional<double> shareOf(const std::string& part) const;
    /// @return Mean number of shared parts of a request.
    double partsPerRequest() const;
    /// @return Share of the requests to a part's service that broke in crashes since @p from.
    double brokenShare(const std::string& part, TimePoint from) const;
    void startPeriod(TimePoint now);
    void addOutcomes(const ServiceName& service, std::size_t answers, std::size_t breaks, TimePoint now);
    /// @return Whether a part of the crash was quarantined then or later.
    bool isExplained(const Crash& crash) const;

    CrashSuspectsSettings settings;
    std::map<std::uint64_t, Crash> crashes;
    std::unordered_map<std::string, TimePoint> answered; ///< Latest start of a completed answer on each part.
    std::map<std::string, Clearance> cleared; ///< Parts that answers cleared of a crash.
    std::map<std::string, Quarantine> quarantines; ///< Also those that have ended.
    /// Outcomes of own requests in a short interval.
    struct OutcomeCount {
        TimePoint from;
        std::size_t answered = 0;
        std::size_t broken = 0;
    };
    std::unordered_map<std::string, RequestCount> requestsByPart;
    std::map<ServiceName, RequestCount> requestsByService;
    std::uint64_t allRequests = 0;
    std::uint64_t allParts = 0; ///< Shared parts of all requests.
    TimePoint periodStart;
    std::map<ServiceName, std::deque<OutcomeCount>> outcomes; ///< Newest last.
    bool hasNews = false;
    TimePoint lastChange; ///< Of the evidence.
};

} // namespace goldcrestwood
