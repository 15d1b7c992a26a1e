#pragma once

/// @file
/// Checked reading of TOML tables: each error becomes a finding with its location.

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <toml++/toml.h>

#include "goldcrestwood/error.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

enum class Presence {
    Optional,
    Required,
};

/// Inclusive bounds; an absent bound means no limit.
template <typename Value>
struct Bounds {
    std::optional<Value> low;
    std::optional<Value> high;
};

/// Reads the keys of one table and reports unknown keys.
class TableReader {
public:
    /// @param table The table to read; must outlive the reader.
    /// @param fileName File name for findings.
    /// @param collected Receives the findings; must outlive the reader.
    TableReader(const toml::table& table, std::string fileName, Findings& collected)
        : source(table)
        , file(std::move(fileName))
        , findings(collected)
    {
    }

    void string(const char* key, std::string& out, Presence presence);
    void boolean(const char* key, bool& out, Presence presence);
    void strings(const char* key, std::vector<std::string>& out, Presence presence);
    /// Reads a duration such as `"500ms"`; units are us, ms, s, min, h and d.
    void duration(const char* key, Duration& out, Presence presence, Bounds<Duration> bounds);
    /// Reads a size such as `"16MiB"`; units are B, KiB, MiB and GiB.
    void size(const char* key, std::uint64_t& out, Presence presence, Bounds<std::uint64_t> bounds);
    /// Reads an IP address and port, such as `"127.0.0.1:8080"`.
    void address(const char* key, std::string& out, Presence presence);
    void addresses(const char* key, std::vector<std::string>& out, Presence presence);

    template <typename Number>
    void number(const char* key, Number& out, Presence presence, Bounds<double> bounds)
    {
        const auto value = this->numberInBounds(key, presence, bounds, std::is_integral_v<Number>);
        if (value)
            out = static_cast<Number>(*value);
    }

    template <typename Enum>
    void choice(const char* key, Enum& out, Presence presence, std::initializer_list<std::pair<const char*, Enum>> choices)
    {
        std::string text;
        this->string(key, text, presence);
        if (text.empty())
            return;
        std::string known;
        for (const auto& [name, value] : choices) {
            if (text == name) {
                out = value;
                return;
            }
            known += known.empty() ? name : std::string(", ") + name;
        }
        this->report(*this->source.get(key), std::string(key) + " is \"" + text + "\"; expected one of " + known);
    }

    template <typename Value>
    void table(const char* key, Value& out, Presence presence)
    {
        const auto* node = this->find(key, presence);
        if (!node)
            return;
        if (const auto* inner = node->as_table()) {
            TableReader reader(*inner, this->file, this->findings);
            readTable(reader, out);
            return;
        }
        this->report(*node, std::string(key) + " must be a table");
    }

    template <typename Value>
    void tables(const char* key, std::vector<Value>& out, Presence presence)
    {
        const auto* node = this->find(key, presence);
        if (!node)
            return;
        const auto* array = node->as_array();
        if (!array) {
            this->report(*node, std::string(key) + " must be an array of tables, [[" + key + "]]");
            return;
        }
        for (const auto& element : *array) {
            const auto* inner = element.as_table();
            if (!inner) {
                this->report(element, std::string(key) + " must hold tables only");
                continue;
            }
            TableReader reader(*inner, this->file, this->findings);
            readTable(reader, out.emplace_back());
        }
    }

    /// Adds a finding for each key that was not read.
    void finish();

    /// Adds a finding at @p node.
    void report(const toml::node& node, std::string message);

private:
    const toml::node* find(const char* key, Presence presence);
    std::optional<double> numberInBounds(const char* key, Presence presence, Bounds<double> bounds, bool integral);
    std::optional<std::string> text(const char* key, Presence presence);

    const toml::table& source;
    std::string file;
    Findings& findings;
    std::set<std::string, std::less<>> readKeys;
};

} // namespace goldcrestwood
