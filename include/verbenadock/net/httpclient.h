#ifndef VERBENADOCK_NET_HTTPCLIENT_H
#define VERBENADOCK_NET_HTTPCLIENT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>

namespace Verbenadock::Net {

/// A request to the platform or to an administration port.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string body = {};
    /// Additional header fields, values by name.
    std::map<std::string, std::string> headers = {};

    auto operator<=>(const HttpRequest &) const = default;
};

struct HttpResponse
{
    unsigned status = 0;
    std::string body = {};
    /// Header values by lower-case name.
    std::map<std::string, std::string> headers = {};

    auto operator<=>(const HttpResponse &) const = default;
};

/// Limits and reports of a response with a body that may take long on a thin link.
struct BodyProgress
{
    /// Time for the body from the head on, as long as no pause in it reaches the timeout of the call; zero to let the
    /// timeout cover the whole call.
    Duration limit{0};
    /// Called when the head of the response has arrived.
    std::function<void()> begun = {};
};

/// Opens a connection, sends one request and reads the complete response, at most 64 MiB. Throws NetError on any
/// failure, including a timeout.
boost::asio::awaitable<HttpResponse> fetch(Endpoint endpoint,
                                           HttpRequest request,
                                           Duration timeout,
                                           BodyProgress progress = {});

/// Blocking variant of fetch() for programs without an event loop.
HttpResponse fetchBlocking(const Endpoint &endpoint, const HttpRequest &request, Duration timeout);

} // namespace Verbenadock::Net

#endif
