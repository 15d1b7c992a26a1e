#pragma once

/// @file
/// Selects the daemon addresses that callers should use.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestwood/membership.h"
#include "goldcrestwood/names.h"
#include "goldcrestwood/random.h"
#include "goldcrestwood/time.h"

namespace goldcrestwood {

struct ResolverSettings {
    /// How long a caller may cache an answer.
    Duration lifetime = std::chrono::seconds(5);
    /// Maximum number of addresses per answer.
    std::size_t maxEndpoints = 8;
    /// Number of addresses outside the caller's failure domain that an answer includes as a reserve.
    std::size_t reserveEndpoints = 2;
    /// Factor on the weight of an address outside the caller's failure domain.
    double reserveWeight = 0.1;
    /// Average utilisation of the caller's failure domain above which its instances are not preferred.
    double busyUtilisation = 0.8;
    /// Minimum weight of an instance, even if it is fully utilised.
    double minimumWeight = 0.05;
};

/// An instance that may be included in an answer.
struct ResolverCandidate {
    InstanceId id;
    std::string address; ///< Address for callers.
    FailureDomain domain;
    Region region;
    MemberState state = MemberState::Alive;
    MemberPhase phase = MemberPhase::Ready;
    bool listedLeaving = false;
    bool domainOut = false; ///< Its failure domain takes no new work.
    double utilisation = 0; ///< 0 to 1.

    bool operator==(const ResolverCandidate&) const = default;
};

/// Fallback level of an answer; a level is used only if all earlier ones have no candidates.
enum class ResolverLevel : std::uint8_t {
    Normal, ///< Ready and alive in the region of the answering daemon.
    OtherRegion, ///< Ready and alive in another region.
    Suspect, ///< Ready, but unresponsive to some daemon, or leaving according to the lagging instance list only.
    Leaving, ///< Announced its stop a short time ago and still accepts requests.
    None, ///< No usable instance; the caller should ask again soon.
};

/// @return The name of @p level.
const char* toString(ResolverLevel level);

struct ResolvedEndpoint {
    std::string address;
    double weight = 1; ///< Relative share of the caller's requests.
    FailureDomain domain;

    bool operator==(const ResolvedEndpoint&) const = default;
};

struct ResolverAnswer {
    std::vector<ResolvedEndpoint> endpoints;
    Duration lifetime = Duration(0);
    ResolverLevel level = ResolverLevel::None;

    bool operator==(const ResolverAnswer&) const = default;
};

/// @return The candidate for @p member.
ResolverCandidate toCandidate(const Member& member, bool domainOut, double utilisation);

/// An isolated daemon cannot tell whether others are dead or only unreachable for itself, and its callers may still
/// reach them.
/// @return The candidates for the answers of an isolated daemon: all others as if alive, without @p self.
std::vector<ResolverCandidate> candidatesWhenIsolated(std::vector<ResolverCandidate> candidates, const InstanceId& self);

/// Selects addresses. Never includes instances that are dead, isolated or not ready (leaving ones are a fallback), or
/// whose failure domain is taken out of service.
/// @param region The region of the answering daemon.
/// @param hint The caller's failure domain, if known.
/// @param random Spreads callers if there are more instances than an answer can hold.
ResolverAnswer resolveEndpoints(const ResolverSettings& settings, const std::vector<ResolverCandidate>& candidates,
    const Region& region, const std::optional<FailureDomain>& hint, Random& random);

} // namespace goldcrestwood
