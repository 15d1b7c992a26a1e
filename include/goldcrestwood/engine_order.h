#pragma once

/// @file
/// In which order an engine reads the prompts that wait there.
///
/// Load pattern: quick questions and long documents of the same rank arrive mixed. An engine reads a long prompt in a
/// hundred milliseconds and more, a question in a few; in order of arrival the questions miss their objectives behind
/// the documents, while a document hardly notices the questions.

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace goldcrestwood {

/// Classes that engines tell apart, 0 first.
inline constexpr std::size_t engineClasses = 10;

/// Prompts of more tokens are long: an engine reads about so many within a tenth of a second.
inline constexpr std::uint64_t longPromptTokens = 4096;

/// @param rank The request's rank, 0 is the most urgent.
/// @return The class of a request at an engine: by rank, and within a rank short prompts first.
constexpr std::size_t engineClass(std::uint32_t rank, std::uint64_t promptTokens)
{
    const std::size_t byRank = 2 * static_cast<std::size_t>(rank);
    return std::min(byRank + (promptTokens > longPromptTokens ? 1 : 0), engineClasses - 1);
}

} // namespace goldcrestwood
