#pragma once

/// @file
/// Signed tickets that let a caller resume its stream at any daemon.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrestwood/capacity_messages.h"

namespace goldcrestwood {

/// Why a ticket is rejected.
enum class TicketError : std::uint8_t {
    Malformed, ///< Not a ticket.
    BadSignature, ///< Modified after signing, or signed with an unknown key.
    Expired, ///< The run is no longer retained.
    OtherAccount, ///< Issued to another client account.
};

const char* toString(TicketError error);

/// Signs and verifies tickets with HMAC-SHA256. All daemons of a site share the keys.
class TicketSigner {
public:
    /// @param secrets Secret keys: the first one signs and all are accepted, so that keys can be rotated without breaking streams.
    explicit TicketSigner(std::vector<std::string> secrets);

    /// @return @p ticket as an SSE event id: printable, without spaces or line breaks.
    std::string sign(const Ticket& ticket) const;

    /// @param text The caller's `Last-Event-ID`.
    /// @param account The authenticated account of the caller.
    /// @param unixSeconds Current wall-clock time in seconds since 1970.
    tl::expected<Ticket, TicketError> verify(
        std::string_view text, const ClientAccount& account, std::uint64_t unixSeconds) const;

private:
    std::vector<std::string> keys;
};

} // namespace goldcrestwood
