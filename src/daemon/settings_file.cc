#include "daemon/settings_file.h"

#include <array>
#include <fstream>
#include <iterator>
#include <map>

#include "daemon/configuration_reader.h"
#include "daemon/settings_reader.h"

namespace goldcrestwood {

namespace {

    /// The keys that together identify an entry in one array of the configuration.
    struct EntryKey {
        const char* array;
        std::vector<const char*> keys;
    };

    const std::array<EntryKey, 6>& entryKeys()
    {
        static const std::array<EntryKey, 6> keys { {
            { "account", { "name" } },
            { "service", { "name" } },
            { "version", { "service", "version" } },
            { "upstream", { "id" } },
            { "store", { "id" } },
            { "domain", { "name" } },
        } };
        return keys;
    }

    tl::expected<toml::table, Findings> parseToml(const NamedText& document)
    try {
        return toml::parse(document.text, document.name);
    } catch (const toml::parse_error& error) {
        const auto& begin = error.source().begin;
        return tl::unexpected(Findings { { { document.name, begin.line, begin.column }, std::string(error.description()) } });
    }

    std::string nameOf(const toml::table& entry, const EntryKey& key)
    {
        std::string name;
        for (const auto* part : key.keys)
            name += entry[part].value_or(std::string()) + '\n';
        return name;
    }

    toml::table* findEntry(toml::array& entries, const std::string& name, const EntryKey& key)
    {
        for (auto& element : entries) {
            if (auto* entry = element.as_table(); entry && nameOf(*entry, key) == name)
                return entry;
        }
        return nullptr;
    }

    void mergeEntries(toml::table& base, const toml::table& overlay, const EntryKey& key)
    {
        const auto* added = overlay[key.array].as_array();
        if (!added)
            return;
        if (!base[key.array].is_array())
            base.insert_or_assign(key.array, toml::array());
        auto& entries = *base[key.array].as_array();
        for (const auto& element : *added) {
            const auto* change = element.as_table();
            auto* existing = change ? findEntry(entries, nameOf(*change, key), key) : nullptr;
            if (!existing) {
                entries.push_back(element);
                continue;
            }
            for (const auto& [name, value] : *change)
                existing->insert_or_assign(name, value);
        }
    }

    void findDuplicates(const toml::table& document, const EntryKey& key, const std::string& file, Findings& findings)
    {
        const auto* entries = document[key.array].as_array();
        if (!entries)
            return;
        std::map<std::string, const toml::node*> seen;
        for (const auto& element : *entries) {
            const auto* entry = element.as_table();
            if (!entry)
                continue;
            const auto [first, inserted] = seen.emplace(nameOf(*entry, key), &element);
            if (inserted)
                continue;
            const auto& location = element.source().begin;
            const auto line = std::to_string(first->second->source().begin.line);
            findings.push_back({ { file, location.line, location.column }, std::string(key.array) + " has the same name as the one in line " + line });
        }
    }

    void checkUnknownKeys(const toml::table& document, const std::string& file, Findings& findings)
    {
        for (const auto& [name, node] : document) {
            const auto known = [&name = name](const EntryKey& key) { return name.str() == key.array; };
            if (std::none_of(entryKeys().begin(), entryKeys().end(), known))
                findings.push_back({ { file, name.source().begin.line, name.source().begin.column }, "unknown key " + std::string(name.str()) });
        }
    }

    void checkDistinctAddresses(const toml::table& listen, const std::string& file, Findings& findings)
    {
        std::map<std::string, std::string> keysByAddress;
        for (const auto* key : { "callers", "operators", "peers" }) {
            const auto address = listen[key].value<std::string>();
            if (!address)
                continue;
            const auto [first, inserted] = keysByAddress.emplace(*address, key);
            const auto& location = listen[key].node()->source().begin;
            if (!inserted)
                findings.push_back({ { file, location.line, location.column }, std::string(key) + " has the same address as " + first->second });
        }
    }

} // namespace

tl::expected<NamedText, Findings> readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return tl::unexpected(Findings { { { path, 0, 0 }, "cannot be read" } });
    return NamedText { path, std::string(std::istreambuf_iterator<char>(in), {}) };
}

tl::expected<Settings, Findings> parseSettings(const NamedText& document)
{
    const auto table = parseToml(document);
    if (!table)
        return tl::unexpected(table.error());
    Findings findings;
    Settings settings;
    TableReader reader(*table, document.name, findings);
    readTable(reader, settings);
    if (const auto* listen = (*table)["listen"].as_table())
        checkDistinctAddresses(*listen, document.name, findings);
    if (!findings.empty())
        return tl::unexpected(std::move(findings));
    return settings;
}

tl::expected<Configuration, Findings> parseConfiguration(const NamedText& base, const std::vector<NamedText>& overlays)
{
    Findings findings;
    toml::table merged;
    std::vector<NamedText> documents { base };
    documents.insert(documents.end(), overlays.begin(), overlays.end());
    for (const auto& document : documents) {
        const auto table = parseToml(document);
        if (!table) {
            findings.insert(findings.end(), table.error().begin(), table.error().end());
            continue;
        }
        checkUnknownKeys(*table, document.name, findings);
        for (const auto& key : entryKeys()) {
            findDuplicates(*table, key, document.name, findings);
            mergeEntries(merged, *table, key);
        }
    }
    if (!findings.empty())
        return tl::unexpected(std::move(findings));
    Configuration configuration;
    TableReader reader(merged, base.name, findings);
    readTable(reader, configuration);
    if (!findings.empty())
        return tl::unexpected(std::move(findings));
    return configuration;
}

} // namespace goldcrestwood
