#pragma once

/// @file
/// Reads a daemon's settings and the operators' configuration from TOML files.

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrestwood/configuration.h"
#include "goldcrestwood/error.h"
#include "goldcrestwood/settings.h"

namespace goldcrestwood {

/// A TOML document and its name in findings.
struct NamedText {
    std::string name;
    std::string text;
};

/// @return The contents of a file, or a finding that names it.
tl::expected<NamedText, Findings> readFile(const std::string& path);

/// @return The settings, or all findings.
tl::expected<Settings, Findings> parseSettings(const NamedText& document);

/// Merges a base document with the overlays of a site and reads the result. An overlay entry
/// overrides the keys that it sets in the base entry of the same name; other entries are added.
/// @return The configuration, or all findings in the documents.
tl::expected<Configuration, Findings> parseConfiguration(const NamedText& base, const std::vector<NamedText>& overlays);

} // namespace goldcrestwood
