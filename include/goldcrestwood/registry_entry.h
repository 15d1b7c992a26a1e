#pragma once

/// @file
/// An upstream's entry in the platform's registry.

#include <cstdint>
#include <map>
#include <string>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// An entry written by one incarnation of an upstream.
struct RegistryEntry {
    UpstreamId id;
    ServiceName service;
    std::string address; ///< IP:PORT.
    FailureDomain domain;
    std::string softwareVersion;
    std::uint32_t slots = 1;
    bool isDraining = false;
    Duration coldRemaining = Duration(0); ///< Remaining cold time when the record was written.
    std::map<std::string, std::uint64_t> weights; ///< Weight version of each model.
    std::int64_t born = 0; ///< Start of the incarnation, Unix milliseconds; 0 if not reported.

    bool operator==(const RegistryEntry&) const = default;
};

/// A model's weight version, set as target by the operator.
struct NamedWeights {
    std::string model;
    std::uint64_t version = 0;

    auto operator<=>(const NamedWeights&) const = default;
};

} // namespace goldcrestwood
