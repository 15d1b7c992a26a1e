#include "daemon/control_plane.h"

#include <algorithm>

namespace goldcrestwood {

namespace {

    /// Number of edits whose results are kept for the operators waiting for them.
    constexpr std::size_t maxRecentEdits = 256;

    template <typename Message, typename Apply>
    void applyDecoded(const AppliedRecord& record, const Apply& apply)
    {
        if (const auto message = decode<Message>(record.payload))
            apply(*message);
    }

} // namespace

ControlFold::ControlFold()
    : configuration(std::make_unique<Catalog>(CatalogSettings()))
{
}

std::set<std::string> ControlFold::kinds()
{
    return { "ConfigurationEdit", "DrainOrder", "LeaseClaim", "LeaseRenewal", "LeaseRelease" };
}

void ControlFold::apply(const AppliedRecord& record)
{
    const auto applyLease = [&](const auto& message) { this->leaseTable.apply(record.offset, record.id, message); };
    if (record.kind == "ConfigurationEdit") {
        applyDecoded<ConfigurationEdit>(record, [&](const ConfigurationEdit& edit) {
            this->recentEdits.push_back({ record.id, this->configuration->apply(record.offset, edit) });
            if (this->recentEdits.size() > maxRecentEdits)
                this->recentEdits.pop_front();
        });
    } else if (record.kind == "DrainOrder") {
        applyDecoded<DrainOrder>(record, [&](const DrainOrder& order) { this->configuration->apply(record.offset, order); });
    } else if (record.kind == "LeaseClaim") {
        applyDecoded<LeaseClaim>(record, applyLease);
    } else if (record.kind == "LeaseRenewal") {
        applyDecoded<LeaseRenewal>(record, applyLease);
    } else if (record.kind == "LeaseRelease") {
        applyDecoded<LeaseRelease>(record, applyLease);
    }
}

void ControlFold::restore(const std::vector<FoldPart>& parts)
{
    const auto provisional = this->configuration->provisional();
    for (const auto& [name, bytes] : parts) {
        if (name == "CatalogState") {
            if (const auto state = decode<CatalogState>(bytes))
                this->configuration = std::make_unique<Catalog>(CatalogSettings(), *state);
        } else if (name == "LeaseTableState") {
            if (const auto state = decode<LeaseTableState>(bytes))
                this->leaseTable = LeaseTable(*state);
        }
    }
    for (const auto& order : provisional)
        this->configuration->addProvisional(order);
}

std::vector<FoldPart> ControlFold::parts() const
{
    return {
        { "CatalogState", encode(this->configuration->state()) },
        { "LeaseTableState", encode(this->leaseTable.state()) },
    };
}

const EditResult* ControlFold::resultOf(const RecordId& id) const
{
    const auto matches = [&id](const RecentEdit& edit) { return edit.id == id; };
    const auto found = std::find_if(this->recentEdits.begin(), this->recentEdits.end(), matches);
    return found == this->recentEdits.end() ? nullptr : &found->result;
}

} // namespace goldcrestwood
