#pragma once

/// @file
/// Findings about input and errors of decoding.

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwood {

/// A place in a file, counted from 1; zero where the place is unknown.
struct SourcePlace {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    auto operator<=>(const SourcePlace&) const = default;
};

/// One thing wrong with an input. Findings are collected and reported together.
struct Finding {
    SourcePlace place;
    std::string message;

    auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

/// @return @p finding as `file:line:column: message`.
std::string toString(const Finding& finding);

/// Bytes that are not a message of the expected type.
struct DecodeError {
    std::string message;

    auto operator<=>(const DecodeError&) const = default;
};

} // namespace goldcrestwood
