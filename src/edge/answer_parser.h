#pragma once

/// @file
/// Parser of answers that leaves out trailer fields.

#include "edge/net.h"

namespace goldcrestwood {

/// Beast's parser stores trailer fields with those of the head, so that a trailer would be relayed, and believed, as a field of the
/// head (RFC 9110, 6.5.1). No field that is evaluated or relayed here is defined for trailers, so they are dropped.
template <typename Body>
class AnswerParser : public http::response_parser<Body> {
private:
    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value, ErrorCode& error) override
    {
        error = {};
        if (!this->is_header_done())
            this->get().insert(name, nameText, value);
    }
};

} // namespace goldcrestwood
