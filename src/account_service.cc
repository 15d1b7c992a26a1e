#include "goldcrestwood/account_service.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {

double AccountService::decayed(const Entry& entry, TimePoint now) const
{
    return entry.service * std::exp(-toSeconds(now - entry.at) / toSeconds(this->settings.decayTime));
}

void AccountService::add(const ClientAccount& account, TimePoint now)
{
    if (now - this->swept >= this->settings.decayTime) {
        this->swept = now;
        std::erase_if(this->entries, [&](const auto& entry) { return this->decayed(entry.second, now) < this->settings.negligible; });
    }
    auto& entry = this->entries[account];
    entry = { this->decayed(entry, now) + 1, now };
}

double AccountService::of(const ClientAccount& account, TimePoint now) const
{
    const auto found = this->entries.find(account);
    return found == this->entries.end() ? 0 : this->decayed(found->second, now);
}

double AccountService::tolerance(double least) const
{
    return std::max(this->settings.minTolerance, least * this->settings.relativeTolerance);
}

} // namespace goldcrestwood
