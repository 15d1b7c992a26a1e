#pragma once

/// @file
/// The configuration in force: a fold of edits and drain orders, with lookups that need no lock.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "goldcrestwood/configuration.h"
#include "goldcrestwood/copy_on_write_table.h"
#include "goldcrestwood/error.h"
#include "goldcrestwood/journal_messages.h"

namespace goldcrestwood {

/// A point in the history of the configuration: one past the offset of the edit's record, so that 0 is the empty configuration.
using Revision = std::uint64_t;

/// Bounds of the fold; equal on all daemons of a site.
struct CatalogSettings {
    /// Removed entries whose removal is remembered, so that an edit on an older base conflicts.
    std::size_t removals = 10000;
    /// Drain orders whose origins are remembered, so that an order counts once.
    std::size_t orders = 1024;
};

/// An immutable state of the configuration; threads keep and read it without a lock.
struct CatalogView {
    Revision revision = 0;
    CopyOnWriteTable<AccountEntry> accounts;
    CopyOnWriteTable<ServiceEntry> services;
    CopyOnWriteTable<VersionEntry> versions;
    CopyOnWriteTable<UpstreamEntry> upstreams;
    CopyOnWriteTable<StoreEntry> stores;
    CopyOnWriteTable<DomainEntry> domains;
    /// Domains and upstreams that operators ordered out: recorded and provisional orders.
    std::set<std::string> drainedDomains;
    std::set<std::string> drainedUpstreams;

    /// @return The entry, or null.
    const AccountEntry* account(const ClientAccount& name) const { return this->accounts.find(name.value); }
    /// @return The entry, or null.
    const ServiceEntry* service(const ServiceName& name) const { return this->services.find(name.value); }
    /// @return The entry, or null.
    const VersionEntry* version(const ServiceName& service, const VersionName& version) const;
    /// @return The entry, or null.
    const UpstreamEntry* upstream(const UpstreamId& id) const { return this->upstreams.find(id.value); }
    /// @return The entry, or null.
    const StoreEntry* store(const UpstreamId& id) const { return this->stores.find(id.value); }
    /// @return The entry, or null.
    const DomainEntry* domain(const FailureDomain& name) const { return this->domains.find(name.value); }
    /// @return Whether @p name takes new work: neither its entry nor an order says out.
    bool isIn(const FailureDomain& name) const;
    /// @return Whether @p upstream takes new work: neither it nor its domain is out.
    bool takesWork(const UpstreamEntry& upstream) const;
    /// @return All entries, each table in order of its keys.
    Configuration configuration() const;
};

/// One entry that stands in the way of an edit.
struct EditConflict {
    EntryRef entry;
    Revision changedAt = 0; ///< Revision that changed it after the edit's base; 0 if the reason is another.
    std::string message; ///< What is in the way.

    bool operator==(const EditConflict&) const = default;
};

/// What the fold made of an edit.
struct EditResult {
    Revision revision = 0; ///< Of the edit if it is in force.
    std::vector<EditConflict> conflicts; ///< Empty if the edit is in force.

    bool isAccepted() const { return this->conflicts.empty(); }
    bool operator==(const EditResult&) const = default;
};

/// A drain order as `status` shows it.
struct DrainStatus {
    DrainOrder order;
    bool recorded = false; ///< False: in force, not yet recorded.

    bool operator==(const DrainStatus&) const = default;
};

/// How often entries name services and failure domains, and which addresses they have.
struct EntryReferences {
    std::map<EntryRef, std::int64_t> uses;
    std::map<std::string, std::int64_t> addresses;
};

/// Fold of ConfigurationEdit and DrainOrder records. Nothing but a later record changes an accepted edit.
class Catalog {
public:
    explicit Catalog(const CatalogSettings& settings);
    /// @param state From a snapshot or a peer.
    Catalog(const CatalogSettings& settings, const CatalogState& state);

    /// Folds an edit: in force as a whole, or refused as a whole with all that stands in the way.
    EditResult apply(std::uint64_t offset, const ConfigurationEdit& edit);

    /// Folds a drain order.
    /// @return Whether it counts: not a repeat of an earlier one.
    bool apply(std::uint64_t offset, const DrainOrder& order);

    /// Puts an order to drain in force before it is recorded; out wins over in until its record comes. Orders for `in` are ignored.
    /// @return Whether it was new; then spread it to the peers.
    bool addProvisional(const DrainOrder& order);

    /// @return Orders in force that are not yet recorded; to be spread, and submitted once the log answers.
    std::vector<DrainOrder> provisional() const;

    /// @return All drain orders in force.
    std::vector<DrainStatus> drains() const;

    /// @return The state in force; valid for as long as it is kept.
    std::shared_ptr<const CatalogView> view() const { return this->current; }

    /// @return The fold for a snapshot; provisional orders are no part of it.
    CatalogState state() const;

private:
    std::vector<EditConflict> findConflicts(const ConfigurationEdit& edit) const;
    void publish(CatalogView next);
    void rememberRemoval(const EntryRef& entry, Revision revision);

    CatalogSettings settings;
    std::shared_ptr<const CatalogView> current;
    EntryReferences references;
    std::deque<EntryRevision> removals;
    std::map<EntryRef, Revision> removedAt;
    Revision forgottenRemovals = 0;
    std::map<std::pair<DrainTarget, std::string>, DrainOrder> drained;
    std::deque<RecordId> seenOrders;
    std::set<RecordId> seenOrderSet;
    std::vector<DrainOrder> provisionalOrders;
};

/// @param configuration All entries after the overlay is merged.
/// @return All that is wrong with it: doubled names and addresses, unknown references.
Findings validate(const Configuration& configuration);

/// @return The edit that turns @p base into @p wanted; its base revision and author are left for the caller.
ConfigurationEdit diff(const Configuration& base, const Configuration& wanted);

/// @return Whether the edit changes nothing.
bool isEmpty(const ConfigurationEdit& edit);

} // namespace goldcrestwood
