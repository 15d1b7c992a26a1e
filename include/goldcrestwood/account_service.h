#pragma once

/// @file
/// Recent service of client accounts: decayed numbers of placements.

#include <map>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct AccountServiceSettings {
    /// Time constant of the decay: several placements at a daemon that places a few a second, yet short enough that an account that
    /// was idle delays the others by no more than about this time.
    Duration decayTime = std::chrono::seconds(2);
    /// Accounts whose service differs by less than this many placements count as served equally: the smallest difference that one
    /// placement does not cause.
    double minTolerance = 2;
    /// The same as a share of the lower service: random arrivals of accounts of the same size differ by this much.
    double relativeTolerance = 0.25;
    /// Service below this many placements is forgotten.
    double negligible = 0.05;
};

/// Placements of each account, each weighted by its age.
class AccountService {
public:
    explicit AccountService(AccountServiceSettings serviceSettings = {})
        : settings(serviceSettings)
    {
    }

    /// Counts one placement of the account.
    void add(const ClientAccount& account, TimePoint now);
    /// @return Decayed number of placements of the account.
    double of(const ClientAccount& account, TimePoint now) const;
    /// @return The difference to the service @p least from which another account counts as served more.
    double tolerance(double least) const;

private:
    struct Entry {
        double service = 0; ///< At the time of the last placement.
        TimePoint at;
    };

    double decayed(const Entry& entry, TimePoint now) const;

    AccountServiceSettings settings;
    std::map<ClientAccount, Entry> entries;
    TimePoint swept; ///< When negligible entries were last removed.
};

} // namespace goldcrestwood
