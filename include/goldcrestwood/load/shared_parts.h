#pragma once

/// @file
/// Counts the shared prompt parts that requests in flight at one engine use.

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "goldcrestwood/edge_messages.h"

namespace goldcrestwood {

/// Load pattern: clients whose prompts have thousands of parts, so that the requests in flight at an engine use tens of thousands. A question
/// about one part, or about their sum, must not go through all of them, as each placement asks it for each engine.
class SharedParts {
public:
    /// One more request uses the part; its size is the one given last.
    void add(const PartUse& part);

    /// One request less uses the part.
    void remove(std::uint32_t key);

    /// @return Whether a request uses the part.
    bool contains(std::uint32_t key) const { return this->counts.contains(key); }

    /// @return Tokens of all parts, each counted once.
    std::uint64_t tokens() const { return this->sum; }

    /// @return The parts with the lowest keys, at most @p limit.
    std::vector<PartUse> first(std::size_t limit) const;

private:
    struct Count {
        std::uint32_t tokens = 0;
        std::uint32_t requests = 0;
    };

    std::map<std::uint32_t, Count> counts;
    std::uint64_t sum = 0;
};

} // namespace goldcrestwood
