#pragma once

/// @file
/// Priority classes in which an engine prefills its queued prompts.
///
/// Short and long prompts of the same rank arrive mixed. A long prompt takes an engine a hundred milliseconds and more to
/// prefill, a short one a few. In order of arrival short prompts miss their objectives behind long ones, while short prompts
/// hardly delay a long one.

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace goldcrestwood {

/// Number of priority classes of an engine; class 0 is served first.
inline constexpr std::size_t engineClasses = 10;

/// Prompts with more tokens are long; an engine prefills about this many in a tenth of a second.
inline constexpr std::uint64_t longPromptTokens = 4096;

/// @param rank The request's rank; 0 is the most urgent.
/// @return The priority class of a request at an engine: by rank, and short prompts first within a rank.
constexpr std::size_t engineClass(std::uint32_t rank, std::uint64_t promptTokens)
{
    const std::size_t byRank = 2 * static_cast<std::size_t>(rank);
    return std::min(byRank + (promptTokens > longPromptTokens ? 1 : 0), engineClasses - 1);
}

} // namespace goldcrestwood
