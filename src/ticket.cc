#include "goldcrestwood/ticket.h"

#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace goldcrestwood {

namespace {

    /// Length of the truncated signature; 128 bits cannot be guessed.
    constexpr std::size_t signatureBytes = 16;

    /// Maximum length of a ticket text; longer ones are rejected without decoding.
    constexpr std::size_t maxTextBytes = 2048;

    using Signature = std::array<unsigned char, signatureBytes>;

    const unsigned char* asBytes(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

    Signature signatureOf(const std::string& key, std::string_view body)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned int length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(body), body.size(), digest.data(), &length);
        Signature signature {};
        std::copy_n(digest.begin(), signatureBytes, signature.begin());
        return signature;
    }

    std::string toBase64Url(std::string_view bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const auto length = EVP_EncodeBlock(
            reinterpret_cast<unsigned char*>(text.data()), asBytes(bytes), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(length));
        text.erase(text.find_last_not_of('=') + 1);
        std::replace(text.begin(), text.end(), '+', '-');
        std::replace(text.begin(), text.end(), '/', '_');
        return text;
    }

    /// @return The bytes, or an empty string if @p encoded is not base64url.
    std::string fromBase64Url(std::string_view encoded)
    {
        if (encoded.size() % 4 == 1 || encoded.find_first_of("+/= \t\r\n") != std::string_view::npos)
            return {};
        std::string text(encoded);
        std::replace(text.begin(), text.end(), '-', '+');
        std::replace(text.begin(), text.end(), '_', '/');
        const auto padding = (4 - text.size() % 4) % 4;
        text.append(padding, '=');
        std::string bytes(text.size() / 4 * 3, '\0');
        const auto length = EVP_DecodeBlock(
            reinterpret_cast<unsigned char*>(bytes.data()), asBytes(text), static_cast<int>(text.size()));
        if (length < 0)
            return {};
        bytes.resize(static_cast<std::size_t>(length) - padding);
        return bytes;
    }

} // namespace

const char* toString(TicketError error)
{
    switch (error) {
    case TicketError::Malformed:
        return "Malformed";
    case TicketError::BadSignature:
        return "BadSignature";
    case TicketError::Expired:
        return "Expired";
    case TicketError::OtherAccount:
        return "OtherAccount";
    }
    return "Unknown";
}

TicketSigner::TicketSigner(std::vector<std::string> secrets)
    : keys(std::move(secrets))
{
}

std::string TicketSigner::sign(const Ticket& ticket) const
{
    const auto body = encode(ticket);
    const auto signature = signatureOf(this->keys.front(), body);
    return toBase64Url(body + std::string(signature.begin(), signature.end()));
}

tl::expected<Ticket, TicketError> TicketSigner::verify(
    std::string_view text, const ClientAccount& account, std::uint64_t unixSeconds) const
{
    if (text.size() > maxTextBytes)
        return tl::unexpected(TicketError::Malformed);
    const auto bytes = fromBase64Url(text);
    if (bytes.size() <= signatureBytes)
        return tl::unexpected(TicketError::Malformed);
    const auto body = std::string_view(bytes).substr(0, bytes.size() - signatureBytes);
    const auto presentedSignature = std::string_view(bytes).substr(body.size());
    auto isSignedWith = [&](const std::string& key) {
        return CRYPTO_memcmp(signatureOf(key, body).data(), presentedSignature.data(), signatureBytes) == 0;
    };
    if (std::none_of(this->keys.begin(), this->keys.end(), isSignedWith))
        return tl::unexpected(TicketError::BadSignature);
    auto ticket = decode<Ticket>(body);
    if (!ticket)
        return tl::unexpected(TicketError::Malformed);
    if (ticket->account != account)
        return tl::unexpected(TicketError::OtherAccount);
    if (unixSeconds > ticket->expires)
        return tl::unexpected(TicketError::Expired);
    return *ticket;
}

} // namespace goldcrestwood
