#pragma once

/// @file
/// Parser of requests that decides about each field before it is stored.

#include <concepts>
#include <cstdint>
#include <utility>

#include "edge/net.h"

namespace goldcrestwood {

/// What becomes of a field of a request's head.
enum class FieldAction : std::uint8_t {
    Store,
    Drop,
    Refuse, ///< Ends the request with http::error::header_limit.
};

/// Decides about the fields of a head, in their order.
template <typename Policy>
concept FieldPolicy = requires(Policy policy, http::field name, beast::string_view nameText, beast::string_view value)
{
    {
        policy(name, nameText, value)
        } -> std::same_as<FieldAction>;
};

/// Beast's parser stores trailer fields with those of the head, where they would be taken for them. A trailer must not decide routing,
/// authentication or framing (RFC 9110, 6.5.1), and no field that is evaluated here is defined for trailers, so they are dropped.
template <FieldPolicy Policy>
class RequestParser : public http::request_parser<http::string_body> {
public:
    explicit RequestParser(Policy fieldPolicy)
        : policy(std::move(fieldPolicy))
    {
    }

    /// @return Whether the request's head lets the connection serve another request; valid once the head is complete.
    bool keepsAlive() const { return this->isKeptAlive; }

private:
    void on_header_impl(ErrorCode& error) override
    {
        error = {};
        this->isKeptAlive = this->keep_alive();
    }

    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value, ErrorCode& error) override
    {
        if (this->is_header_done())
            return;
        const auto action = this->policy(name, nameText, value);
        if (action == FieldAction::Refuse)
            error = http::error::header_limit;
        else if (action == FieldAction::Store)
            this->get().insert(name, nameText, value);
    }

    Policy policy;
    bool isKeptAlive = false;
};

} // namespace goldcrestwood
