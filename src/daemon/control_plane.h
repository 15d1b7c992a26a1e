#pragma once

/// @file
/// Fold of the control stream: configuration, drain orders and leases. Every daemon maintains it.

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemon/journal_driver.h"
#include "goldcrestwood/catalog.h"
#include "goldcrestwood/journal_messages.h"
#include "goldcrestwood/lease.h"

namespace goldcrestwood {

/// Result of a recently folded edit, with the id of its record.
struct RecentEdit {
    RecordId id;
    EditResult result;
};

/// Fold of the control stream.
class ControlFold {
public:
    ControlFold();

    static std::set<std::string> kinds();
    void apply(const AppliedRecord& record);
    void restore(const std::vector<FoldPart>& parts);
    std::vector<FoldPart> parts() const;

    const Catalog& catalog() const { return *this->configuration; }
    Catalog& catalog() { return *this->configuration; }
    const LeaseTable& leases() const { return this->leaseTable; }

    /// @return The result of the edit with record @p id, or null if it is not among the recent edits.
    const EditResult* resultOf(const RecordId& id) const;

private:
    std::unique_ptr<Catalog> configuration;
    LeaseTable leaseTable;
    std::deque<RecentEdit> recentEdits;
};

using ControlJournal = JournalDriver<ControlFold>;

} // namespace goldcrestwood
