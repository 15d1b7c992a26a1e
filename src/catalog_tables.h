#pragma once

/// @file
/// Helpers shared by the catalog's fold, checks and diff: tables, keys and reference counts.

#include <string>
#include <vector>

#include "goldcrestwood/catalog.h"

namespace goldcrestwood {

/// @return The key of a version in the table of versions.
inline std::string versionKey(const ServiceName& service, const VersionName& version)
{
    return service.value + "/" + version.value;
}

inline std::string keyOf(const AccountEntry& entry) { return entry.name.value; }
inline std::string keyOf(const ServiceEntry& entry) { return entry.name.value; }
inline std::string keyOf(const VersionEntry& entry) { return versionKey(entry.service, entry.version); }
inline std::string keyOf(const UpstreamEntry& entry) { return entry.id.value; }
inline std::string keyOf(const StoreEntry& entry) { return entry.id.value; }
inline std::string keyOf(const DomainEntry& entry) { return entry.name.value; }

/// Calls @p visit for each table with its name and the tables in @p left and @p right; either side may be a
/// CatalogView or a Configuration.
template <typename Left, typename Right, typename Visit>
void forEachTable(Left& left, Right& right, Visit visit)
{
    visit(EntryTable::Account, left.accounts, right.accounts);
    visit(EntryTable::Service, left.services, right.services);
    visit(EntryTable::Version, left.versions, right.versions);
    visit(EntryTable::Upstream, left.upstreams, right.upstreams);
    visit(EntryTable::Store, left.stores, right.stores);
    visit(EntryTable::Domain, left.domains, right.domains);
}

/// Adds the references and the address of an entry to the counts.
/// @param change 1 for an added entry, -1 for a removed one.
template <typename Entry>
void countEntry(EntryReferences& references, const Entry& entry, std::int64_t change)
{
    auto add = [change](auto& counts, const auto& key) {
        if ((counts[key] += change) == 0)
            counts.erase(key);
    };
    if constexpr (requires { entry.service; })
        add(references.uses, EntryRef { EntryTable::Service, entry.service.value });
    if constexpr (requires { entry.domain; })
        add(references.uses, EntryRef { EntryTable::Domain, entry.domain.value });
    if constexpr (requires { entry.address; })
        add(references.addresses, entry.address);
}

/// Applies an edit to the counts: subtracts entries that it replaces or removes, adds its new and changed ones.
void countEdit(EntryReferences& references, const CatalogView& view, const ConfigurationEdit& edit);

/// @return All conflicts of the edit except for revisions: duplicate or empty names, unknown references and
/// duplicate addresses. Checks only what the edit touches.
std::vector<EditConflict> findIntegrityErrors(
    const CatalogView& view, const ConfigurationEdit& edit, const EntryReferences& references);

} // namespace goldcrestwood
