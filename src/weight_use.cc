#include "goldcrestwood/weight_use.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace goldcrestwood {

namespace {

    constexpr std::string_view versionMark = "/w";

    /// @return The weight version in a scope of @p model, or nothing if the scope is of another model.
    std::optional<std::uint64_t> versionOf(std::string_view scope, std::string_view model)
    {
        if (!scope.starts_with(model))
            return std::nullopt;
        scope.remove_prefix(model.size());
        if (!scope.starts_with(versionMark))
            return std::nullopt;
        scope.remove_prefix(versionMark.size());
        std::uint64_t version = 0;
        const auto [end, error] = std::from_chars(scope.data(), scope.data() + scope.size(), version);
        if (error != std::errc() || end == scope.data() + scope.size() || *end != '/')
            return std::nullopt;
        return version;
    }

} // namespace

std::string weightScope(const std::string& model, std::uint64_t version)
{
    return model + std::string(versionMark) + std::to_string(version) + "/";
}

void WeightUse::onView(const WeightVersions& versions, TimePoint now)
{
    const bool hasPaused = now - this->lastView > this->settings.maxViewGap;
    this->lastView = now;
    this->retiredScopes.clear();
    // Engines may have had any known version during the pause.
    if (hasPaused)
        for (auto& [name, model] : this->models)
            for (auto& [version, at] : model.lastSeen)
                at = now;
    for (const auto& [name, seen] : versions) {
        auto& model = this->models.try_emplace(name, Model { now, {}, 0 }).first->second;
        for (const auto version : seen)
            model.lastSeen[version] = now;
        const auto oldest = std::find_if(model.lastSeen.begin(), model.lastSeen.end(),
            [&](const auto& entry) { return now - entry.second < this->settings.retireAfter; });
        if (oldest != model.lastSeen.end())
            model.retiredBelow = std::max(model.retiredBelow, oldest->first);
        const bool isNew = now - model.followedSince < this->settings.freeAfter;
        const auto oldestUsed = isNew ? model.lastSeen.rbegin()->first : model.retiredBelow;
        for (const auto version : seen)
            if (version < oldestUsed)
                this->retiredScopes.push_back(weightScope(name, version));
    }
}

bool WeightUse::isRetired(std::string_view scope) const
{
    return std::any_of(this->retiredScopes.begin(), this->retiredScopes.end(), [&](const auto& retired) { return scope.starts_with(retired); });
}

bool WeightUse::isUnused(std::string_view scope, TimePoint confirmed) const
{
    return std::any_of(this->models.begin(), this->models.end(), [&](const auto& entry) {
        const auto& [name, model] = entry;
        const auto version = versionOf(scope, name);
        if (!version || *version >= model.retiredBelow || confirmed - model.followedSince < this->settings.freeAfter)
            return false;
        return std::all_of(model.lastSeen.begin(), model.lastSeen.upper_bound(*version),
            [&](const auto& seen) { return confirmed - seen.second >= this->settings.freeAfter; });
    });
}

} // namespace goldcrestwood
