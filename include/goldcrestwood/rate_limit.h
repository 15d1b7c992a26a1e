#pragma once

/// @file
/// Site-wide token buckets of client accounts, divided among the daemons by demand.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/capacity_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// How an account's rate is divided among daemons.
struct RateSettings {
    /// Share of the site's rate that daemons without a granted share may use together; this overrun is accepted to save messages.
    double silentShare = 0.1;
    /// Validity of a share, from the time the demand was sent.
    Duration term = std::chrono::seconds(3);
    /// Interval between two demands for one account, or a third of the present share's term if that is shorter.
    Duration reportInterval = std::chrono::seconds(1);
    /// Minimum interval before a strongly changed demand is reported.
    Duration minReportInterval = std::chrono::milliseconds(100);
    /// Term of a share that is too small because other daemons still hold theirs.
    Duration shortTerm = std::chrono::milliseconds(600);

    bool operator==(const RateSettings&) const = default;
};

/// The rate limit of one account for the whole site.
struct SiteRate {
    /// Sustained requests per second.
    double requestsPerSecond = 50;
    /// Requests that may arrive at once.
    double burst = 100;

    bool operator==(const SiteRate&) const = default;
};

/// One daemon's share of one account's token bucket.
class AccountBucket {
public:
    AccountBucket(SiteRate rate, std::size_t daemonCount, RateSettings bounds, TimePoint now);

    /// Applies changed limits or a changed number of daemons.
    void configure(SiteRate rate, std::size_t daemonCount, TimePoint now);

    /// @return Nothing if the request may proceed, else the time until it may.
    std::optional<Duration> take(TimePoint now);

    /// @return The demand to report to the account's owner, if this daemon needs more than the silent share and a report is due.
    std::optional<RateDemand> poll(const ClientAccount& account, const InstanceId& self, TimePoint now);

    /// @return Whether this daemon needs more than the silent share.
    bool demanding(TimePoint now) const;

    void onShare(const RateShare& share, TimePoint now);

    /// @return Requests per second that this daemon may use now.
    double rate(TimePoint now) const;

private:
    void refill(TimePoint now);
    double arrivals(TimePoint now) const;
    bool isReportDue(TimePoint now) const;
    double silentRate() const;
    double burst(TimePoint now) const;

    SiteRate site;
    std::size_t daemons;
    RateSettings settings;
    double tokens;
    TimePoint refilledAt;
    double arrivalRate = 0;
    TimePoint arrivalAt;
    std::uint64_t sequence = 0;
    std::uint64_t shareSequence = 0;
    TimePoint sentAt;
    double sentRate = 0;
    Duration shareTerm;
    double shareRate = 0;
    double shareBurst = 0;
    TimePoint shareExpiry;
};

/// Grants max-min fair shares of one account's rate by demand; runs at the account's owner.
class RateIssuer {
public:
    explicit RateIssuer(SiteRate rate, RateSettings bounds = {});

    void configure(SiteRate rate) { this->site = rate; }

    /// @return The sender's share; nothing for an outdated or duplicate demand.
    std::optional<RateShare> onDemand(const RateDemand& demand, TimePoint now);

private:
    struct Sharer {
        InstanceId id;
        std::uint64_t sequence = 0;
        double demand = 0;
        double granted = 0;
        TimePoint expires;
    };

    double fairShare(const Sharer& asking) const;

    SiteRate site;
    RateSettings settings;
    std::vector<Sharer> sharers;
};

} // namespace goldcrestwood
