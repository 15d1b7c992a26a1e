#pragma once

/// @file
/// Validation findings and decoding errors.

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwood {

/// A location in a file; line and column count from 1 and are 0 if unknown.
struct SourceLocation {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    auto operator<=>(const SourceLocation&) const = default;
};

/// A problem found in an input. Findings are collected and reported together.
struct Finding {
    SourceLocation location;
    std::string message;

    auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

/// @return @p finding as `file:line:column: message`.
std::string toString(const Finding& finding);

/// The input could not be decoded as the expected message type.
struct DecodeError {
    std::string message;

    auto operator<=>(const DecodeError&) const = default;
};

} // namespace goldcrestwood
