#include "goldcrestwood/keys.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace goldcrestwood {

namespace {

    constexpr std::size_t saltBytes = 16;
    constexpr std::size_t hashBytes = 32;

    std::string toHex(const unsigned char* bytes, std::size_t size)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string text;
        text.reserve(2 * size);
        for (std::size_t i = 0; i < size; ++i) {
            text.push_back(digits[bytes[i] >> 4]);
            text.push_back(digits[bytes[i] & 15]);
        }
        return text;
    }

} // namespace

const char* toString(KeyError error)
{
    switch (error) {
    case KeyError::Missing:
        return "Missing";
    case KeyError::Rejected:
        return "Rejected";
    case KeyError::NoRandomness:
        return "NoRandomness";
    }
    return "Unknown";
}

tl::expected<KeyHash, KeyError> makeKeyHash(std::string_view secret)
{
    std::array<unsigned char, saltBytes> salt {};
    if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1)
        return tl::unexpected(KeyError::NoRandomness);
    return hashKey(toHex(salt.data(), salt.size()), secret);
}

KeyHash hashKey(std::string_view salt, std::string_view secret)
{
    const auto text = std::string(salt) + std::string(secret);
    std::array<unsigned char, hashBytes> digest {};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return { std::string(salt), toHex(digest.data(), digest.size()) };
}

tl::expected<CallerKey, KeyError> parseBearer(std::string_view header)
{
    constexpr std::string_view scheme = "Bearer ";
    if (header.substr(0, scheme.size()) != scheme)
        return tl::unexpected(KeyError::Missing);
    const auto key = header.substr(scheme.size());
    // Account names may contain dots, secrets may not.
    const auto dot = key.rfind('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == key.size())
        return tl::unexpected(KeyError::Missing);
    return CallerKey { ClientAccount(std::string(key.substr(0, dot))), std::string(key.substr(dot + 1)) };
}

tl::expected<void, KeyError> checkKey(const AccountEntry* entry, std::string_view secret)
{
    static const AccountEntry placeholder { ClientAccount(), std::string(2 * saltBytes, '0'), std::string(2 * hashBytes, '0') };
    const auto& known = entry ? *entry : placeholder;
    const auto [salt, hash] = hashKey(known.keySalt, secret);
    const bool matches = hash.size() == known.keyHash.size()
        && CRYPTO_memcmp(hash.data(), known.keyHash.data(), hash.size()) == 0;
    if (!matches || !entry)
        return tl::unexpected(KeyError::Rejected);
    return {};
}

} // namespace goldcrestwood
