#pragma once

/// @file
/// JSON serializers of value types, used by the generated JSON code.

#include <optional>

#include <nlohmann/json.hpp>

#include "goldcrestwood/names.h"
#include "goldcrestwood/time.h"

namespace nlohmann {

template <>
struct adl_serializer<goldcrestwood::Duration> {
    static void to_json(json& out, const goldcrestwood::Duration& value) { out = goldcrestwood::toSeconds(value); }
};

template <typename Tag>
struct adl_serializer<goldcrestwood::Name<Tag>> {
    static void to_json(json& out, const goldcrestwood::Name<Tag>& name) { out = name.value; }
};

template <typename Value>
struct adl_serializer<std::optional<Value>> {
    static void to_json(json& out, const std::optional<Value>& value)
    {
        if (value)
            out = *value;
        else
            out = nullptr;
    }
};

} // namespace nlohmann
