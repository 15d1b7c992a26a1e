#include "daemon/table_reader.h"

#include <array>
#include <charconv>
#include <string_view>

#include <arpa/inet.h>

namespace goldcrestwood {

namespace {

    struct Unit {
        std::string_view name;
        std::uint64_t factor;
    };

    constexpr std::array durationUnits {
        Unit { "us", 1 },
        Unit { "ms", 1'000 },
        Unit { "s", 1'000'000 },
        Unit { "min", 60'000'000 },
        Unit { "h", 3'600'000'000 },
        Unit { "d", 86'400'000'000 },
    };

    constexpr std::array sizeUnits {
        Unit { "B", 1 },
        Unit { "KiB", std::uint64_t { 1 } << 10 },
        Unit { "MiB", std::uint64_t { 1 } << 20 },
        Unit { "GiB", std::uint64_t { 1 } << 30 },
    };

    /// @return The quantity in base units, or nothing if @p text is not a whole number with a known unit.
    template <typename Units>
    std::optional<std::uint64_t> parseQuantity(std::string_view text, const Units& units)
    {
        std::uint64_t count = 0;
        const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (error != std::errc())
            return std::nullopt;
        const std::string_view unit(rest, static_cast<std::size_t>(text.data() + text.size() - rest));
        for (const auto& [name, factor] : units) {
            if (unit == name && count <= std::numeric_limits<std::int64_t>::max() / factor)
                return count * factor;
        }
        return std::nullopt;
    }

    bool isAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos)
            return false;
        auto host = text.substr(0, colon);
        const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
        if (bracketed)
            host = host.substr(1, host.size() - 2);
        in6_addr parsed {};
        if (inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), &parsed) != 1)
            return false;
        unsigned port = 0;
        const auto* end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
        return error == std::errc() && rest == end && port > 0 && port <= 65535;
    }

} // namespace

void TableReader::report(const toml::node& node, std::string message)
{
    const auto& [begin, end, path] = node.source();
    const auto name = path ? *path : this->file;
    this->findings.push_back({ { name, begin.line, begin.column }, std::move(message) });
}

const toml::node* TableReader::find(const char* key, Presence presence)
{
    this->readKeys.insert(key);
    const auto* node = this->source.get(key);
    if (!node && presence == Presence::Required)
        this->report(this->source, std::string(key) + " is missing");
    return node;
}

std::optional<std::string> TableReader::text(const char* key, Presence presence)
{
    const auto* node = this->find(key, presence);
    if (!node)
        return std::nullopt;
    const auto* value = node->as_string();
    if (!value) {
        this->report(*node, std::string(key) + " must be a string");
        return std::nullopt;
    }
    if (value->get().empty()) {
        this->report(*node, std::string(key) + " must not be empty");
        return std::nullopt;
    }
    return value->get();
}

void TableReader::string(const char* key, std::string& out, Presence presence)
{
    if (auto value = this->text(key, presence))
        out = std::move(*value);
}

void TableReader::boolean(const char* key, bool& out, Presence presence)
{
    const auto* node = this->find(key, presence);
    if (!node)
        return;
    if (const auto* value = node->as_boolean())
        out = value->get();
    else
        this->report(*node, std::string(key) + " must be true or false");
}

void TableReader::strings(const char* key, std::vector<std::string>& out, Presence presence)
{
    const auto* node = this->find(key, presence);
    if (!node)
        return;
    const auto* array = node->as_array();
    if (!array) {
        this->report(*node, std::string(key) + " must be an array of strings");
        return;
    }
    for (const auto& element : *array) {
        if (const auto* value = element.as_string())
            out.push_back(value->get());
        else
            this->report(element, std::string(key) + " must hold strings only");
    }
}

void TableReader::duration(const char* key, Duration& out, Presence presence, Bounds<Duration> bounds)
{
    const auto value = this->text(key, presence);
    if (!value)
        return;
    const auto parsed = parseQuantity(*value, durationUnits);
    const auto& node = *this->source.get(key);
    if (!parsed) {
        this->report(node, std::string(key) + " is \"" + *value + "\"; expected a whole number with a unit of us, ms, s, min, h or d");
        return;
    }
    const Duration result(static_cast<std::int64_t>(*parsed));
    if ((bounds.low && result < *bounds.low) || (bounds.high && result > *bounds.high)) {
        this->report(node, std::string(key) + " is out of range");
        return;
    }
    out = result;
}

void TableReader::size(const char* key, std::uint64_t& out, Presence presence, Bounds<std::uint64_t> bounds)
{
    const auto value = this->text(key, presence);
    if (!value)
        return;
    const auto parsed = parseQuantity(*value, sizeUnits);
    const auto& node = *this->source.get(key);
    if (!parsed) {
        this->report(node, std::string(key) + " is \"" + *value + "\"; expected a whole number with a unit of B, KiB, MiB or GiB");
        return;
    }
    if ((bounds.low && *parsed < *bounds.low) || (bounds.high && *parsed > *bounds.high)) {
        this->report(node, std::string(key) + " is out of range");
        return;
    }
    out = *parsed;
}

void TableReader::address(const char* key, std::string& out, Presence presence)
{
    auto value = this->text(key, presence);
    if (!value)
        return;
    if (isAddress(*value))
        out = std::move(*value);
    else
        this->report(*this->source.get(key), std::string(key) + " is \"" + *value + "\"; expected an IP address and a port");
}

void TableReader::addresses(const char* key, std::vector<std::string>& out, Presence presence)
{
    std::vector<std::string> values;
    this->strings(key, values, presence);
    for (auto& value : values) {
        if (isAddress(value))
            out.push_back(std::move(value));
        else
            this->report(*this->source.get(key), std::string(key) + " holds \"" + value + "\"; expected an IP address and a port");
    }
}

std::optional<double> TableReader::numberInBounds(const char* key, Presence presence, Bounds<double> bounds, bool integral)
{
    const auto* node = this->find(key, presence);
    if (!node)
        return std::nullopt;
    if (!node->is_number() || (integral && !node->is_integer())) {
        this->report(*node, std::string(key) + (integral ? " must be a whole number" : " must be a number"));
        return std::nullopt;
    }
    const auto value = *node->value<double>();
    if ((bounds.low && value < *bounds.low) || (bounds.high && value > *bounds.high)) {
        this->report(*node, std::string(key) + " is out of range");
        return std::nullopt;
    }
    return value;
}

void TableReader::finish()
{
    for (const auto& [key, node] : this->source) {
        if (!this->readKeys.contains(key.str()))
            this->findings.push_back({ { this->file, key.source().begin.line, key.source().begin.column }, "unknown key " + std::string(key.str()) });
    }
}

} // namespace goldcrestwood
