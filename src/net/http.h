#ifndef VERBENADOCK_NET_HTTP_H
#define VERBENADOCK_NET_HTTP_H

// Includes and namespace aliases for the parts of Asio and Beast that the HTTP client and server use.

#include "verbenadock/base/endpoint.h"
#include "verbenadock/net/error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace Verbenadock::Net::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

/// Throws NetError when the address is not an IP address.
inline Tcp::endpoint toAsio(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        throw NetError("'" + endpoint.address + "' is not an IP address");
    }
    return {address, endpoint.port};
}

} // namespace Verbenadock::Net::internal

#endif
