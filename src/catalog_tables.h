#pragma once

/// @file
/// What the catalog's fold, its checks and its diff share: the tables, their keys and their references.

#include <string>
#include <vector>

#include "goldcrestwood/catalog.h"

namespace goldcrestwood {

/// @return The key of a version in its table.
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

/// Calls @p visit with each table's name, the table in @p left and the table in @p right; either side may be a
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
/// @param change 1 for an entry that comes, -1 for one that goes.
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

/// Adds what an edit does to the counts: entries that it replaces or removes go, its own come.
void countEdit(EntryReferences& references, const CatalogView& view, const ConfigurationEdit& edit);

/// @return All that stands in the way of the edit apart from revisions: doubled or missing names, unknown
/// references, doubled addresses. Looks only at what the edit touches.
std::vector<EditConflict> findBroken(
    const CatalogView& view, const ConfigurationEdit& edit, const EntryReferences& references);

} // namespace goldcrestwood
