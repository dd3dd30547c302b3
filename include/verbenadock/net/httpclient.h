#ifndef VERBENADOCK_NET_HTTPCLIENT_H
#define VERBENADOCK_NET_HTTPCLIENT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>

namespace Verbenadock::Net {

/// A short request to the platform or to an administration port.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string body = {};
    /// Further headers.
    std::map<std::string, std::string> headers = {};

    auto operator<=>(const HttpRequest &) const = default;
};

struct HttpResponse
{
    unsigned status = 0;
    std::string body = {};
    /// Values by name in lower case.
    std::map<std::string, std::string> headers = {};

    auto operator<=>(const HttpResponse &) const = default;
};

/// Opens a connection, sends one request and reads the whole answer, at most 64 MiB. Throws NetError on any failure,
/// also when the time limit passes.
boost::asio::awaitable<HttpResponse> fetch(Endpoint endpoint, HttpRequest request, Duration timeout);

/// The same for programs without an event loop of their own.
HttpResponse fetchBlocking(const Endpoint &endpoint, const HttpRequest &request, Duration timeout);

} // namespace Verbenadock::Net

#endif
