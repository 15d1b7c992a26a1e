#pragma once

/// @file
/// Keys of client accounts: made, parsed and checked against salted hashes.

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "goldcrestwood/configuration.h"

namespace goldcrestwood {

/// What the configuration keeps of a key.
struct KeyHash {
    /// Hexadecimal salt.
    std::string salt;
    /// Hexadecimal SHA-256 of the salt as written, followed by the secret.
    std::string hash;

    bool operator==(const KeyHash&) const = default;
};

/// A caller's key, split into its parts.
struct CallerKey {
    ClientAccount account;
    std::string secret;

    bool operator==(const CallerKey&) const = default;
};

/// Why a caller is not let in.
enum class KeyError : std::uint8_t {
    Missing, ///< No `Bearer ACCOUNT.SECRET` header.
    Rejected, ///< Unknown account or wrong secret; which of them is not told.
    NoRandomness, ///< The system gave no random salt.
};

const char* toString(KeyError error);

/// @return The hash of @p secret with a fresh random salt.
tl::expected<KeyHash, KeyError> makeKeyHash(std::string_view secret);

/// @param salt Hexadecimal salt.
/// @return The hash of @p secret with @p salt.
KeyHash hashKey(std::string_view salt, std::string_view secret);

/// @param header Value of the `Authorization` header.
tl::expected<CallerKey, KeyError> parseBearer(std::string_view header);

/// Takes the same time for an unknown account as for a wrong secret.
/// @param entry The account's entry, or null if there is none.
tl::expected<void, KeyError> checkKey(const AccountEntry* entry, std::string_view secret);

} // namespace goldcrestwood
