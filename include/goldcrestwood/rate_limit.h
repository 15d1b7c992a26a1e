#pragma once

/// @file
/// Token buckets of client accounts for the whole site, shared out among daemons by demand.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "goldcrestwood/capacity_messages.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// How an account's rate is shared out.
struct RateSettings {
    /// Part of the site's rate that all silent daemons together may use; the overrun that is accepted to spare messages.
    double silentShare = 0.1;
    /// Validity of a share, counted from the sending of the demand.
    Duration term = std::chrono::seconds(3);
    /// Time between two demands for one account; a third of the term of the present share, if that is less.
    Duration reportEvery = std::chrono::seconds(1);
    /// Time after which a demand that has changed much is reported.
    Duration reportSoonest = std::chrono::milliseconds(100);
    /// Term of a share that is too small because another daemon has not yet given up its own.
    Duration shortTerm = std::chrono::milliseconds(600);

    bool operator==(const RateSettings&) const = default;
};

/// The rate limit of one account for the whole site.
struct SiteRate {
    /// Sustained requests a second.
    double requestsPerSecond = 50;
    /// Requests that may come at once.
    double burst = 100;

    bool operator==(const SiteRate&) const = default;
};

/// One daemon's part of one account's bucket.
class AccountBucket {
public:
    AccountBucket(SiteRate rate, std::size_t daemonCount, RateSettings bounds, TimePoint now);

    /// Changed limits or a changed number of daemons.
    void configure(SiteRate rate, std::size_t daemonCount, TimePoint now);

    /// @return Nothing if the request may go on, else the time until it may.
    std::optional<Duration> take(TimePoint now);

    /// @return The demand to report to the account's owner, if it is above the silent share and a report is due.
    std::optional<RateDemand> poll(const ClientAccount& account, const InstanceId& self, TimePoint now);

    /// @return Whether this daemon needs more than the silent share.
    bool demanding(TimePoint now) const;

    void onShare(const RateShare& share, TimePoint now);

    /// @return Requests a second that this daemon may use now.
    double rate(TimePoint now) const;

private:
    void refill(TimePoint now);
    double arrivals(TimePoint now) const;
    bool due(TimePoint now) const;
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

/// The owner's view of one account: max-min fair shares by demand.
class RateIssuer {
public:
    explicit RateIssuer(SiteRate rate, RateSettings bounds = {});

    void configure(SiteRate rate) { this->site = rate; }

    /// @return The share of the sender; nothing for a late or doubled demand.
    std::optional<RateShare> onDemand(const RateDemand& demand, TimePoint now);

private:
    struct Sharer {
        InstanceId id;
        std::uint64_t sequence = 0;
        double demand = 0;
        double given = 0;
        TimePoint expires;
    };

    double fairShare(const Sharer& asking) const;

    SiteRate site;
    RateSettings settings;
    std::vector<Sharer> sharers;
};

} // namespace goldcrestwood
