#pragma once

/// @file
/// The addresses that heartbeats are sent to: those of daemons that may still be alive.

#include <map>
#include <string>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: 1,800 machines are replaced a day, and regions are partitioned for minutes, after which daemons must find each
/// other again.
class PeerAddresses {
public:
    /// @param seeds Addresses from the settings; never removed.
    explicit PeerAddresses(const std::vector<std::string>& seeds = {})
    {
        for (const auto& seed : seeds)
            this->addresses.emplace(seed, Entry { true, {} });
    }

    /// Records that a daemon at @p address was heard or reported.
    void onHeard(const std::string& address, TimePoint now) { this->addresses[address].lastHeard = now; }

    /// Removes addresses not heard of for longer than a partition between regions lasts.
    void sweep(TimePoint now)
    {
        std::erase_if(this->addresses, [&](const auto& entry) { return !entry.second.isSeed && now - entry.second.lastHeard > retention; });
    }

    /// @return All addresses.
    std::vector<std::string> all() const
    {
        std::vector<std::string> result;
        result.reserve(this->addresses.size());
        for (const auto& [address, entry] : this->addresses)
            result.push_back(address);
        return result;
    }

private:
    /// Partitions between regions last minutes and occur several times a year.
    static constexpr Duration retention = std::chrono::minutes(15);

    struct Entry {
        bool isSeed = false;
        TimePoint lastHeard;
    };

    std::map<std::string, Entry> addresses;
};

} // namespace goldcrestwood
