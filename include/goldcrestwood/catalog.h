#pragma once

/// @file
/// The active configuration: a fold of edits and drain orders, with lock-free lookups.

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

/// Version of the configuration: one past the offset of the edit's record; 0 is the empty configuration.
using Revision = std::uint64_t;

/// Bounds of the fold; must be equal on all daemons of a site.
struct CatalogSettings {
    /// Maximum number of remembered removals; with them, an edit on an older base is detected as a conflict.
    std::size_t maxRemovals = 10000;
    /// Maximum number of remembered drain orders; a repeat of one of them is ignored.
    std::size_t maxSeenOrders = 1024;
};

/// An immutable snapshot of the configuration that threads read without a lock.
struct CatalogView {
    Revision revision = 0;
    CopyOnWriteTable<AccountEntry> accounts;
    CopyOnWriteTable<ServiceEntry> services;
    CopyOnWriteTable<VersionEntry> versions;
    CopyOnWriteTable<UpstreamEntry> upstreams;
    CopyOnWriteTable<StoreEntry> stores;
    CopyOnWriteTable<DomainEntry> domains;
    /// Domains and upstreams drained by recorded or provisional orders of operators.
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
    /// @return Whether @p name takes new work: it is configured as In and not drained.
    bool isInService(const FailureDomain& name) const;
    /// @return Whether @p upstream takes new work: its domain takes new work and the upstream is not drained.
    bool takesWork(const UpstreamEntry& upstream) const;
    /// @return All entries, each table sorted by key.
    Configuration configuration() const;
};

/// A reason why an edit was refused.
struct EditConflict {
    EntryRef entry;
    Revision changedAt = 0; ///< Revision that changed the entry after the edit's base; 0 for any other reason.
    std::string message; ///< Description for the operator.

    bool operator==(const EditConflict&) const = default;
};

/// Result of folding an edit.
struct EditResult {
    Revision revision = 0; ///< Revision of the edit, if it was accepted.
    std::vector<EditConflict> conflicts; ///< Empty if the edit was accepted.

    bool isAccepted() const { return this->conflicts.empty(); }
    bool operator==(const EditResult&) const = default;
};

/// A drain order as shown by `status`.
struct DrainStatus {
    DrainOrder order;
    bool recorded = false; ///< False if the order is still provisional.

    bool operator==(const DrainStatus&) const = default;
};

/// Reference counts of services and failure domains, and use counts of addresses.
struct EntryReferences {
    std::map<EntryRef, std::int64_t> uses;
    std::map<std::string, std::int64_t> addresses;
};

/// Fold of ConfigurationEdit and DrainOrder records. Only a later record can undo an accepted edit.
class Catalog {
public:
    explicit Catalog(const CatalogSettings& settings);
    /// @param state State from a snapshot or a peer.
    Catalog(const CatalogSettings& settings, const CatalogState& state);

    /// Folds an edit atomically: either all of it is applied, or it is refused with all conflicts.
    EditResult apply(std::uint64_t offset, const ConfigurationEdit& edit);

    /// Folds a drain order.
    /// @return Whether it is no repeat and its target is configured.
    bool apply(std::uint64_t offset, const DrainOrder& order);

    /// Applies a drain order before it is recorded; Out overrides In until its record arrives. Orders for In are ignored.
    /// @return Whether the order was accepted; the caller then sends it to the peers.
    bool addProvisional(const DrainOrder& order);

    /// @return Active orders that are not yet recorded; to be sent to peers, and submitted once the log answers.
    std::vector<DrainOrder> provisional() const;

    /// @return All active drain orders.
    std::vector<DrainStatus> drains() const;

    /// @return The current configuration; it stays valid while the pointer is held.
    std::shared_ptr<const CatalogView> view() const { return this->current; }

    /// @return The fold for a snapshot, without provisional orders.
    CatalogState state() const;

private:
    std::vector<EditConflict> findConflicts(const ConfigurationEdit& edit) const;
    void publish(CatalogView next);
    void recordRemoval(const EntryRef& entry, Revision revision);

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

/// @param configuration All entries, with the overlay merged in.
/// @return All errors found: duplicate names and addresses, unknown references.
Findings validate(const Configuration& configuration);

/// @return The edit that turns @p base into @p wanted; the caller sets its base revision and author.
ConfigurationEdit diff(const Configuration& base, const Configuration& wanted);

/// @return Whether the edit changes nothing.
bool isEmpty(const ConfigurationEdit& edit);

} // namespace goldcrestwood
