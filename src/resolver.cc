#include "goldcrestwood/resolver.h"

#include <algorithm>
#include <cmath>

namespace goldcrestwood {
namespace {

    ResolverLevel levelOf(const ResolverCandidate& candidate, const Region& region)
    {
        const bool isExcluded = candidate.address.empty() || candidate.domainOut || candidate.state == MemberState::Dead
            || candidate.state == MemberState::Listed;
        if (isExcluded)
            return ResolverLevel::None;
        if (candidate.phase == MemberPhase::Leaving)
            return ResolverLevel::Leaving;
        if (candidate.phase != MemberPhase::Ready)
            return ResolverLevel::None;
        if (candidate.state == MemberState::Suspect || candidate.listedLeaving)
            return ResolverLevel::Suspect;
        return candidate.region == region ? ResolverLevel::Normal : ResolverLevel::OtherRegion;
    }

    double headroom(const ResolverSettings& settings, const ResolverCandidate& candidate)
    {
        return std::max(settings.minimumWeight, 1.0 - candidate.utilisation);
    }

    struct Sample {
        const ResolverCandidate* candidate = nullptr;
        double weight = 0;
        double sampleKey = 0;
    };

    /// Weighted sampling without replacement: selects the candidates with the lowest keys.
    std::vector<Sample> drawSamples(const ResolverSettings& settings, const std::vector<const ResolverCandidate*>& group,
        std::size_t count, Random& random)
    {
        std::vector<Sample> samples;
        samples.reserve(group.size());
        for (const auto* candidate : group) {
            const auto weight = headroom(settings, *candidate);
            samples.push_back({ candidate, weight, -std::log(1.0 - uniform(random)) / weight });
        }
        std::sort(samples.begin(), samples.end(), [](const Sample& a, const Sample& b) { return a.sampleKey < b.sampleKey; });
        samples.resize(std::min(count, samples.size()));
        return samples;
    }

    bool isBusy(const ResolverSettings& settings, const std::vector<const ResolverCandidate*>& group)
    {
        double sum = 0;
        for (const auto* candidate : group)
            sum += candidate->utilisation;
        return group.empty() || sum > settings.busyUtilisation * static_cast<double>(group.size());
    }

} // namespace

const char* toString(ResolverLevel level)
{
    switch (level) {
    case ResolverLevel::Normal:
        return "normal";
    case ResolverLevel::OtherRegion:
        return "other_region";
    case ResolverLevel::Suspect:
        return "suspect";
    case ResolverLevel::Leaving:
        return "leaving";
    case ResolverLevel::None:
        return "none";
    }
    return "unknown";
}

ResolverCandidate toCandidate(const Member& member, bool domainOut, double utilisation)
{
    return { member.id, member.info.callerAddress, member.info.domain, member.info.region, member.state,
        member.info.phase, member.listedLeaving, domainOut, utilisation };
}

std::vector<ResolverCandidate> candidatesWhenIsolated(std::vector<ResolverCandidate> candidates, const InstanceId& self)
{
    std::erase_if(candidates, [&](const ResolverCandidate& candidate) { return candidate.id == self; });
    for (auto& candidate : candidates) {
        if (candidate.state != MemberState::Listed)
            candidate.state = MemberState::Alive;
    }
    return candidates;
}

ResolverAnswer resolveEndpoints(const ResolverSettings& settings, const std::vector<ResolverCandidate>& candidates,
    const Region& region, const std::optional<FailureDomain>& hint, Random& random)
{
    auto level = ResolverLevel::None;
    for (const auto& candidate : candidates)
        level = std::min(level, levelOf(candidate, region));
    if (level == ResolverLevel::None)
        return {};

    std::vector<const ResolverCandidate*> near;
    std::vector<const ResolverCandidate*> far;
    for (const auto& candidate : candidates) {
        if (levelOf(candidate, region) != level)
            continue;
        const bool isNear = hint && candidate.domain == *hint;
        (isNear ? near : far).push_back(&candidate);
    }
    const bool prefersNear = !isBusy(settings, near);
    if (!prefersNear) {
        far.insert(far.end(), near.begin(), near.end());
        near.clear();
    }
    const auto reserve = std::min(settings.reserveEndpoints, far.size());
    const auto nearCount = std::min(near.size(), settings.maxEndpoints - std::min(reserve, settings.maxEndpoints));
    const auto farCount = prefersNear ? reserve : settings.maxEndpoints;

    ResolverAnswer answer { {}, settings.lifetime, level };
    for (const auto& [candidate, weight, sampleKey] : drawSamples(settings, near, nearCount, random))
        answer.endpoints.push_back({ candidate->address, weight, candidate->domain });
    for (const auto& [candidate, weight, sampleKey] : drawSamples(settings, far, farCount, random)) {
        const auto scaledWeight = prefersNear ? weight * settings.reserveWeight : weight;
        answer.endpoints.push_back({ candidate->address, scaledWeight, candidate->domain });
    }
    return answer;
}

} // namespace goldcrestwood
