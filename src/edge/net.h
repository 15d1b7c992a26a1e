#pragma once

/// @file
/// Aliases for the network libraries, and a completion token that reports errors instead of throwing.

// Asio of Boost 1.74 uses std::exchange without including it.
#include <utility>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace goldcrestwood {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

template <typename Result = void>
using Task = asio::awaitable<Result>;

/// @return A completion token that stores the error in @p error.
inline auto into(ErrorCode& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// @return The endpoint for @p address in the form IP:PORT, or nothing.
inline std::optional<tcp::endpoint> parseEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    ErrorCode error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error)
        return std::nullopt;
    std::uint16_t port = 0;
    const auto* last = address.data() + address.size();
    const auto [end, problem] = std::from_chars(address.data() + colon + 1, last, port);
    if (problem != std::errc() || end != last || port == 0)
        return std::nullopt;
    return tcp::endpoint(ip, port);
}

} // namespace goldcrestwood
