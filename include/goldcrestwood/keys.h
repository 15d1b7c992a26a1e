#pragma once

/// @file
/// Keys of client accounts: parsing, and creation and verification of salted hashes.

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "goldcrestwood/configuration.h"

namespace goldcrestwood {

/// Salted hash of a key, as stored in the configuration.
struct KeyHash {
    /// Hexadecimal salt.
    std::string salt;
    /// Hexadecimal SHA-256 of the hexadecimal salt followed by the secret.
    std::string hash;

    bool operator==(const KeyHash&) const = default;
};

/// A caller's key, parsed.
struct CallerKey {
    ClientAccount account;
    std::string secret;

    bool operator==(const CallerKey&) const = default;
};

/// Why a key is rejected or cannot be hashed.
enum class KeyError : std::uint8_t {
    Missing, ///< No valid `Bearer ACCOUNT.SECRET` header.
    Rejected, ///< Unknown account or wrong secret; the caller is not told which.
    NoRandomness, ///< The system's random generator failed.
};

const char* toString(KeyError error);

/// @return The hash of @p secret with a fresh random salt.
tl::expected<KeyHash, KeyError> makeKeyHash(std::string_view secret);

/// @param salt Hexadecimal salt.
/// @return The hash of @p secret with @p salt.
KeyHash hashKey(std::string_view salt, std::string_view secret);

/// @param header Value of the `Authorization` header.
tl::expected<CallerKey, KeyError> parseBearer(std::string_view header);

/// Takes equally long for an unknown account and a wrong secret, so that timing reveals no account names.
/// @param entry The account's entry, or null if there is none.
tl::expected<void, KeyError> checkKey(const AccountEntry* entry, std::string_view secret);

} // namespace goldcrestwood
