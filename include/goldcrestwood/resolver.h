#pragma once

/// @file
/// Decides which daemon addresses callers are told to use.

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
    /// How long a caller may keep an answer.
    Duration lifetime = std::chrono::seconds(5);
    /// Addresses in one answer.
    std::size_t maxEndpoints = 8;
    /// Addresses outside the caller's failure domain that an answer keeps in reserve.
    std::size_t reserveEndpoints = 2;
    /// Weight of an address outside the caller's failure domain, against 1 inside.
    double reserveWeight = 0.1;
    /// Above this utilisation the instances of the caller's failure domain have no preference.
    double busyUtilisation = 0.8;
    /// Least share of the weight that a fully busy instance keeps.
    double minimumWeight = 0.05;
};

/// An instance that may be named to callers.
struct ResolverCandidate {
    InstanceId id;
    std::string address; ///< For callers.
    FailureDomain domain;
    Region region;
    MemberState state = MemberState::Alive;
    MemberPhase phase = MemberPhase::Ready;
    bool listedLeaving = false;
    bool domainOut = false; ///< Its failure domain takes no new work.
    double utilisation = 0; ///< 0 to 1.

    bool operator==(const ResolverCandidate&) const = default;
};

/// How far an answer had to fall back; each level is used only when all before are empty.
enum class ResolverLevel : std::uint8_t {
    Normal, ///< Ready and alive in the own region.
    OtherRegion, ///< Ready and alive elsewhere.
    Suspect, ///< Ready, but does not answer some daemon, or leaving by the lagging list only.
    Leaving, ///< Still accepts, since it announced its stop a short time ago.
    None, ///< Nothing usable; the caller should ask again soon.
};

/// @return The name of @p level.
const char* toString(ResolverLevel level);

struct ResolvedEndpoint {
    std::string address;
    double weight = 1; ///< Share of the caller's requests, relative to the others.
    FailureDomain domain;

    bool operator==(const ResolvedEndpoint&) const = default;
};

struct ResolverAnswer {
    std::vector<ResolvedEndpoint> endpoints;
    Duration lifetime = Duration(0);
    ResolverLevel level = ResolverLevel::None;

    bool operator==(const ResolverAnswer&) const = default;
};

/// @return The candidate that @p member is.
ResolverCandidate toCandidate(const Member& member, bool domainOut, double utilisation);

/// What a daemon that is cut off holds for dead or suspect may well be alive for its callers.
/// @return The candidates as an isolated daemon should name them: others as if alive, itself left out.
std::vector<ResolverCandidate> seenWhileIsolated(std::vector<ResolverCandidate> candidates, const InstanceId& self);

/// Picks addresses. Dead and isolated instances, those that are not ready and those in a failure domain
/// that is taken out are never named.
/// @param region The region of the answering daemon.
/// @param hint The caller's failure domain, if it told.
/// @param random Spreads callers when there are more instances than an answer holds.
ResolverAnswer resolveEndpoints(const ResolverSettings& settings, const std::vector<ResolverCandidate>& candidates,
    const Region& region, const std::optional<FailureDomain>& hint, Random& random);

} // namespace goldcrestwood
