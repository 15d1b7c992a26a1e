#pragma once

/// @file
/// Aliases for the network libraries, and a completion token that reports errors instead of throwing.

// Asio of Boost 1.74 uses std::exchange without including it.
#include <utility>

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

} // namespace goldcrestwood
