#include "goldcrestwood/catalog.h"

#include <algorithm>

#include "catalog_tables.h"

namespace goldcrestwood {

namespace {

    /// Further provisional orders are refused.
    constexpr std::size_t maxProvisionalOrders = 256;

    std::set<std::string>& drainedNames(CatalogView& view, DrainTarget target)
    {
        return target == DrainTarget::Domain ? view.drainedDomains : view.drainedUpstreams;
    }

    bool isConfigured(const CatalogView& view, const DrainOrder& order)
    {
        return order.target == DrainTarget::Domain ? view.domains.find(order.name) != nullptr
                                                   : view.upstreams.find(order.name) != nullptr;
    }

    void removeEntry(CatalogView& view, const EntryRef& entry)
    {
        Configuration none;
        forEachTable(view, none, [&](EntryTable name, auto& table, const auto&) {
            if (name == entry.table)
                table.erase(entry.key);
        });
    }

} // namespace

const VersionEntry* CatalogView::version(const ServiceName& service, const VersionName& version) const
{
    return this->versions.find(versionKey(service, version));
}

bool CatalogView::isInService(const FailureDomain& name) const
{
    const auto* entry = this->domain(name);
    return entry && entry->state == DomainState::In && !this->drainedDomains.contains(name.value);
}

bool CatalogView::takesWork(const UpstreamEntry& upstream) const
{
    return this->isInService(upstream.domain) && !this->drainedUpstreams.contains(upstream.id.value);
}

Configuration CatalogView::configuration() const
{
    Configuration all;
    forEachTable(*this, all, [](EntryTable, const auto& table, auto& entries) {
        table.forEach([&](const auto& row) { entries.push_back(row.entry); });
        std::sort(entries.begin(), entries.end(),
            [](const auto& left, const auto& right) { return keyOf(left) < keyOf(right); });
    });
    return all;
}

Catalog::Catalog(const CatalogSettings& bounds)
    : settings(bounds)
    , current(std::make_shared<const CatalogView>())
{
}

Catalog::Catalog(const CatalogSettings& bounds, const CatalogState& state)
    : settings(bounds)
    , removals(state.removals.begin(), state.removals.end())
    , forgottenRemovals(state.forgottenRemovals)
    , seenOrders(state.seenOrders.begin(), state.seenOrders.end())
    , seenOrderSet(state.seenOrders.begin(), state.seenOrders.end())
{
    std::map<EntryRef, Revision> changedAt;
    for (const auto& [entry, revision] : state.revisions)
        changedAt[entry] = revision;
    CatalogView view;
    view.revision = state.revision;
    forEachTable(view, state.configuration, [&](EntryTable name, auto& table, const auto& entries) {
        for (const auto& entry : entries) {
            table.set(keyOf(entry), entry, changedAt[{ name, keyOf(entry) }]);
            countEntry(this->references, entry, 1);
        }
    });
    for (const auto& [entry, revision] : this->removals)
        this->removedAt[entry] = revision;
    for (const auto& order : state.drained)
        this->drained[{ order.target, order.name }] = order;
    this->publish(std::move(view));
}

EditResult Catalog::apply(std::uint64_t offset, const ConfigurationEdit& edit)
{
    EditResult result;
    result.conflicts = this->findConflicts(edit);
    if (!result.conflicts.empty())
        return result;
    result.revision = offset + 1;
    auto view = *this->current;
    view.revision = result.revision;
    countEdit(this->references, *this->current, edit);
    for (const auto& entry : edit.removed) {
        removeEntry(view, entry);
        this->recordRemoval(entry, result.revision);
    }
    forEachTable(view, edit.changed, [&](EntryTable, auto& table, const auto& entries) {
        for (const auto& entry : entries)
            table.set(keyOf(entry), entry, result.revision);
    });
    this->publish(std::move(view));
    return result;
}

std::vector<EditConflict> Catalog::findConflicts(const ConfigurationEdit& edit) const
{
    const auto& view = *this->current;
    auto conflicts = findIntegrityErrors(view, edit, this->references);
    if (edit.base < this->forgottenRemovals)
        conflicts.push_back({ {}, this->forgottenRemovals, "the base revision is too old" });
    auto check = [&](const EntryRef& entry, Revision changedAt, bool isUnchanged) {
        if (changedAt > edit.base && !isUnchanged)
            conflicts.push_back({ entry, changedAt, "changed after the base revision" });
    };
    auto removalRevision = [&](const EntryRef& entry) {
        const auto place = this->removedAt.find(entry);
        return place == this->removedAt.end() ? Revision(0) : place->second;
    };
    forEachTable(view, edit.changed, [&](EntryTable name, const auto& table, const auto& entries) {
        for (const auto& entry : entries) {
            const EntryRef ref { name, keyOf(entry) };
            const auto* row = table.findRow(ref.key);
            check(ref, row ? row->revision : removalRevision(ref), row && row->entry == entry);
        }
        for (const auto& ref : edit.removed) {
            const auto* row = ref.table == name ? table.findRow(ref.key) : nullptr;
            if (row)
                check(ref, row->revision, false);
        }
    });
    return conflicts;
}

void Catalog::recordRemoval(const EntryRef& entry, Revision revision)
{
    if (entry.table == EntryTable::Domain)
        this->drained.erase({ DrainTarget::Domain, entry.key });
    if (entry.table == EntryTable::Upstream)
        this->drained.erase({ DrainTarget::Upstream, entry.key });
    this->removedAt[entry] = revision;
    this->removals.push_back({ entry, revision });
    if (this->removals.size() <= this->settings.maxRemovals)
        return;
    const auto& oldest = this->removals.front();
    if (const auto place = this->removedAt.find(oldest.entry);
        place != this->removedAt.end() && place->second == oldest.revision)
        this->removedAt.erase(place);
    this->forgottenRemovals = oldest.revision;
    this->removals.pop_front();
}

bool Catalog::apply(std::uint64_t, const DrainOrder& order)
{
    if (!this->seenOrderSet.insert(order.origin).second)
        return false;
    this->seenOrders.push_back(order.origin);
    if (this->seenOrders.size() > this->settings.maxSeenOrders) {
        this->seenOrderSet.erase(this->seenOrders.front());
        this->seenOrders.pop_front();
    }
    std::erase_if(this->provisionalOrders, [&](const DrainOrder& known) { return known.origin == order.origin; });
    const bool hasTarget = isConfigured(*this->current, order);
    if (hasTarget && order.state == DomainState::Out)
        this->drained[{ order.target, order.name }] = order;
    if (hasTarget && order.state == DomainState::In)
        this->drained.erase({ order.target, order.name });
    this->publish(*this->current);
    return hasTarget;
}

bool Catalog::addProvisional(const DrainOrder& order)
{
    const bool isKnown = this->seenOrderSet.contains(order.origin)
        || std::any_of(this->provisionalOrders.begin(), this->provisionalOrders.end(),
            [&](const DrainOrder& known) { return known.origin == order.origin; });
    if (isKnown || order.state == DomainState::In || this->provisionalOrders.size() >= maxProvisionalOrders)
        return false;
    this->provisionalOrders.push_back(order);
    this->publish(*this->current);
    return true;
}

std::vector<DrainOrder> Catalog::provisional() const
{
    return this->provisionalOrders;
}

std::vector<DrainStatus> Catalog::drains() const
{
    std::vector<DrainStatus> all;
    for (const auto& [target, order] : this->drained)
        all.push_back({ order, true });
    for (const auto& order : this->provisionalOrders)
        all.push_back({ order, false });
    return all;
}

void Catalog::publish(CatalogView next)
{
    next.drainedDomains.clear();
    next.drainedUpstreams.clear();
    for (const auto& [order, isRecorded] : this->drains())
        drainedNames(next, order.target).insert(order.name);
    this->current = std::make_shared<const CatalogView>(std::move(next));
}

CatalogState Catalog::state() const
{
    CatalogState state;
    state.revision = this->current->revision;
    state.configuration = this->current->configuration();
    forEachTable(*this->current, state.configuration, [&](EntryTable name, const auto& table, const auto& entries) {
        for (const auto& entry : entries)
            state.revisions.push_back({ { name, keyOf(entry) }, table.findRow(keyOf(entry))->revision });
    });
    state.removals.assign(this->removals.begin(), this->removals.end());
    state.forgottenRemovals = this->forgottenRemovals;
    for (const auto& [target, order] : this->drained)
        state.drained.push_back(order);
    state.seenOrders.assign(this->seenOrders.begin(), this->seenOrders.end());
    return state;
}

} // namespace goldcrestwood
