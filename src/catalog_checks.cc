#include <algorithm>
#include <set>

#include "catalog_tables.h"

namespace goldcrestwood {

namespace {

    std::string nameProblem(const EntryRef& entry)
    {
        if (entry.key.empty())
            return "name is empty";
        const bool hasSeparator = entry.key.find('/') != std::string::npos;
        return entry.table == EntryTable::Service && hasSeparator ? "a service name must not contain '/'" : "";
    }

    std::string describe(const EntryRef& entry)
    {
        return std::string(toString(entry.table)) + " " + entry.key;
    }

    void checkNames(const ConfigurationEdit& edit, std::vector<EditConflict>& conflicts)
    {
        std::set<EntryRef> listed;
        auto check = [&](const EntryRef& ref, const std::string& problem) {
            if (!problem.empty())
                conflicts.push_back({ ref, 0, problem });
            if (!listed.insert(ref).second)
                conflicts.push_back({ ref, 0, "listed twice" });
        };
        for (const auto& ref : edit.removed)
            check(ref, "");
        forEachTable(edit.changed, edit.changed, [&](EntryTable name, const auto& entries, const auto&) {
            for (const auto& entry : entries)
                check({ name, keyOf(entry) }, nameProblem({ name, keyOf(entry) }));
        });
    }

    /// @return Whether the entry exists once the edit is applied.
    bool existsAfter(const CatalogView& view, const ConfigurationEdit& edit, const EntryRef& ref)
    {
        bool exists = false;
        forEachTable(view, edit.changed, [&](EntryTable name, const auto& table, const auto& entries) {
            if (name != ref.table)
                return;
            exists = table.find(ref.key) != nullptr
                && std::find(edit.removed.begin(), edit.removed.end(), ref) == edit.removed.end();
            exists = exists || std::any_of(entries.begin(), entries.end(), [&](const auto& entry) {
                return keyOf(entry) == ref.key;
            });
        });
        return exists;
    }

    template <typename Counts>
    std::int64_t countOf(const Counts& counts, const typename Counts::key_type& key)
    {
        const auto place = counts.find(key);
        return place == counts.end() ? 0 : place->second;
    }

} // namespace

void countEdit(EntryReferences& references, const CatalogView& view, const ConfigurationEdit& edit)
{
    forEachTable(view, edit.changed, [&](EntryTable name, const auto& table, const auto& entries) {
        auto subtract = [&](const std::string& key) {
            if (const auto* known = table.find(key))
                countEntry(references, *known, -1);
        };
        for (const auto& entry : entries) {
            subtract(keyOf(entry));
            countEntry(references, entry, 1);
        }
        for (const auto& ref : edit.removed) {
            if (ref.table == name)
                subtract(ref.key);
        }
    });
}

std::vector<EditConflict> findIntegrityErrors(
    const CatalogView& view, const ConfigurationEdit& edit, const EntryReferences& references)
{
    std::vector<EditConflict> conflicts;
    checkNames(edit, conflicts);
    EntryReferences change;
    countEdit(change, view, edit);
    for (const auto& ref : edit.removed)
        change.uses.try_emplace(ref, 0);
    for (const auto& [ref, count] : change.uses) {
        if (count + countOf(references.uses, ref) > 0 && !existsAfter(view, edit, ref))
            conflicts.push_back({ ref, 0, describe(ref) + " is used but not configured" });
    }
    for (const auto& [address, count] : change.addresses) {
        if (count + countOf(references.addresses, address) > 1)
            conflicts.push_back({ {}, 0, "address " + address + " is used twice" });
    }
    return conflicts;
}

Findings validate(const Configuration& configuration)
{
    ConfigurationEdit all;
    all.changed = configuration;
    Findings findings;
    for (const auto& conflict : findIntegrityErrors(CatalogView(), all, EntryReferences())) {
        const auto place = conflict.entry.key.empty() ? std::string("configuration") : describe(conflict.entry);
        findings.push_back({ { place, 0, 0 }, conflict.message });
    }
    return findings;
}

ConfigurationEdit diff(const Configuration& base, const Configuration& wanted)
{
    ConfigurationEdit edit;
    forEachTable(base, wanted, [&](EntryTable name, const auto& before, const auto& after) {
        std::map<std::string, const typename std::decay_t<decltype(before)>::value_type*> known;
        for (const auto& entry : before)
            known[keyOf(entry)] = &entry;
        forEachTable(edit.changed, edit.changed, [&](EntryTable target, auto& changed, const auto&) {
            if constexpr (std::is_same_v<std::decay_t<decltype(changed)>, std::decay_t<decltype(after)>>) {
                if (target != name)
                    return;
                for (const auto& entry : after) {
                    const auto place = known.find(keyOf(entry));
                    if (place == known.end() || *place->second != entry)
                        changed.push_back(entry);
                }
            }
        });
        for (const auto& entry : after)
            known.erase(keyOf(entry));
        for (const auto& [key, entry] : known)
            edit.removed.push_back({ name, key });
    });
    return edit;
}

bool isEmpty(const ConfigurationEdit& edit)
{
    return edit.removed.empty() && edit.changed == Configuration();
}

} // namespace goldcrestwood
