#pragma once

/// @file
/// Distinct name types, so that the compiler rejects, for example, an upstream where an instance is expected.

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace goldcrestwood {

/// A name of one kind; names of different kinds do not convert to one another.
template <typename Tag>
struct Name {
    std::string value;

    Name() = default;
    explicit Name(std::string text)
        : value(std::move(text))
    {
    }

    bool empty() const { return this->value.empty(); }
    auto operator<=>(const Name&) const = default;
};

/// A machine that runs one daemon.
using InstanceId = Name<struct InstanceTag>;
/// A zone whose machines can fail together.
using FailureDomain = Name<struct FailureDomainTag>;
/// A region: failure domains with low latency between them.
using Region = Name<struct RegionTag>;
/// A customer, with its own limits and key.
using ClientAccount = Name<struct ClientAccountTag>;
/// A back end: a replica of a model or a plain service.
using UpstreamId = Name<struct UpstreamTag>;
/// A service that callers name: a model or a plain service.
using ServiceName = Name<struct ServiceTag>;
/// A weight version of a model.
using VersionName = Name<struct VersionTag>;

} // namespace goldcrestwood

template <typename Tag>
struct std::hash<goldcrestwood::Name<Tag>> {
    std::size_t operator()(const goldcrestwood::Name<Tag>& name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};
