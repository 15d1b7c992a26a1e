#pragma once

/// @file
/// Parser of requests that ignores the fields behind a body.

#include "edge/net.h"

namespace goldcrestwood {

/// Beast's parser stores trailer fields with those of the head, where they would be taken for them. A trailer must not decide routing,
/// authentication or framing (RFC 9110, 6.5.1), and no field that is evaluated here is defined for trailers, so they are dropped.
class RequestParser : public http::request_parser<http::string_body> {
public:
    /// @return Whether the request's head lets the connection serve another request; valid once the head is complete.
    bool keepsAlive() const { return this->isKeptAlive; }

private:
    void on_header_impl(ErrorCode& error) override
    {
        error = {};
        this->isKeptAlive = this->keep_alive();
    }

    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value, ErrorCode& /*error*/) override
    {
        if (!this->is_header_done())
            this->get().insert(name, nameText, value);
    }

    bool isKeptAlive = false;
};

} // namespace goldcrestwood
