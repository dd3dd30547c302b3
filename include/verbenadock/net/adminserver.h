#ifndef VERBENADOCK_NET_ADMINSERVER_H
#define VERBENADOCK_NET_ADMINSERVER_H

#include "verbenadock/base/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Net {

/// A page served beside those that all processes have.
struct AdminPage
{
    std::string body;
    /// Additional header fields, values by name.
    std::map<std::string, std::string> headers = {};
    unsigned status = 200;

    auto operator<=>(const AdminPage &) const = default;
};

/// Serves /ready, /metrics and /dump of a process over HTTP/1.1.
///
/// Usage: `AdminServer admin(context, endpoint, {.ready = ..., .metrics = ..., .dump = ...});` The constructor binds
/// the port and throws NetError on failure.
class AdminServer
{
public:
    struct Handlers
    {
        std::function<bool()> ready;
        std::function<std::string()> metrics;
        /// The whole state of the process as JSON text.
        std::function<std::string()> dump;
        /// Returns a further page by its request target; std::nullopt if the page does not exist.
        std::function<std::optional<AdminPage>(std::string_view target)> page = {};
    };

    AdminServer(boost::asio::io_context &context, const Endpoint &endpoint, Handlers handlers);
    ~AdminServer();

    /// The bound endpoint.
    Endpoint endpoint() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Net

#endif
