#pragma once

/// @file
/// Where heartbeats go: addresses of daemons that may be alive, and not those of all that ever were.

#include <map>
#include <string>
#include <vector>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Load pattern: 1,800 machines are replaced a day, and regions part for minutes, after which daemons must find each other again.
class PeerAddresses {
public:
    /// @param seeds Addresses from the settings; never forgotten.
    explicit PeerAddresses(const std::vector<std::string>& seeds = {})
    {
        for (const auto& seed : seeds)
            this->addresses.emplace(seed, Entry { true, {} });
    }

    /// A daemon at @p address was heard or heard of.
    void hear(const std::string& address, TimePoint now) { this->addresses[address].heard = now; }

    /// Drops what was not heard of for longer than a region stays parted.
    void sweep(TimePoint now)
    {
        std::erase_if(this->addresses, [&](const auto& entry) { return !entry.second.isSeed && now - entry.second.heard > memory; });
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
    /// Regions lose each other for minutes, several times a year.
    static constexpr Duration memory = std::chrono::minutes(15);

    struct Entry {
        bool isSeed = false;
        TimePoint heard;
    };

    std::map<std::string, Entry> addresses;
};

} // namespace goldcrestwood
