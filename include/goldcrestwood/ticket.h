#pragma once

/// @file
/// Signed tickets with which a caller resumes its stream at any daemon.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrestwood/capacity_messages.h"

namespace goldcrestwood {

/// Why a ticket is not accepted.
enum class TicketError : std::uint8_t {
    Malformed, ///< Not a ticket.
    BadSignature, ///< Changed after it was signed, or signed with an unknown key.
    Expired, ///< The run is no longer kept.
    OtherAccount, ///< Made for another client account.
};

const char* toString(TicketError error);

/// Signs and checks tickets with HMAC-SHA256. All daemons of a site share the keys.
class TicketSigner {
public:
    /// @param secrets Secret keys: the first signs, all are accepted, so that a key can be replaced without cutting streams.
    explicit TicketSigner(std::vector<std::string> secrets);

    /// @return @p ticket as an SSE event id: printable, without spaces or line ends.
    std::string sign(const Ticket& ticket) const;

    /// @param text The caller's `Last-Event-ID`.
    /// @param account The authenticated account of the caller.
    /// @param unixSeconds Present wall-clock time.
    tl::expected<Ticket, TicketError> check(
        std::string_view text, const ClientAccount& account, std::uint64_t unixSeconds) const;

private:
    std::vector<std::string> keys;
};

} // namespace goldcrestwood
