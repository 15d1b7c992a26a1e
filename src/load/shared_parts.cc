#include "goldcrestwood/load/shared_parts.h"

#include <algorithm>

namespace goldcrestwood {

void SharedParts::add(const PartUse& part)
{
    auto& count = this->counts[part.key];
    this->sum = this->sum - count.tokens + part.tokens;
    count.tokens = part.tokens;
    ++count.requests;
}

void SharedParts::remove(std::uint32_t key)
{
    const auto found = this->counts.find(key);
    if (found == this->counts.end() || --found->second.requests > 0)
        return;
    this->sum -= found->second.tokens;
    this->counts.erase(found);
}

std::vector<PartUse> SharedParts::first(std::size_t limit) const
{
    std::vector<PartUse> result;
    result.reserve(std::min(limit, this->counts.size()));
    for (auto position = this->counts.begin(); position != this->counts.end() && result.size() < limit; ++position)
        result.push_back({ position->first, position->second.tokens });
    return result;
}

} // namespace goldcrestwood
